//! [`CoreState`]: the log, the promised term and the tables of an instance.

use std::time;

use persimmontack::model::{ids, log_position, upstream_state};

use crate::instance::db_error;
use crate::instance::journal;
use crate::instance::log_entry;
use crate::instance::tables;

/// Number of latest start entries that a state reports.
const REPORTED_STARTS: usize = 8;

/// First and last offset of consecutive entries of one term.
pub type TermRun = (ids::TermNumber, ids::LogOffset, ids::LogOffset);

/// The primary that a follower pulls from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FollowTarget {
    /// Term of the primary.
    pub term: ids::TermNumber,
    /// Its address, `ip:port`.
    pub address: String,
}

/// State that control statements and commits change, guarded by one lock.
#[derive(Debug)]
pub struct CoreState {
    state: upstream_state::UpstreamState,
    fenced_at: Option<ids::TermNumber>,
    following: Option<FollowTarget>,
    log: Vec<log_entry::LogEntry>,
    received_at: Vec<time::Instant>,
    tables: tables::TableSet,
    applied_count: usize,
    starts: Vec<log_position::LogPosition>,
}

impl CoreState {
    /// Rebuilds the state from the journal and increments the incarnation.
    #[must_use]
    pub fn restore(upstream: &str, events: &[journal::JournalEvent]) -> Self {
        let mut core = Self {
            state: upstream_state::UpstreamState {
                upstream: upstream.to_owned(),
                ..Default::default()
            },
            fenced_at: None,
            following: None,
            log: Vec::new(),
            received_at: Vec::new(),
            tables: tables::TableSet::default(),
            applied_count: 0,
            starts: Vec::new(),
        };
        for event in events {
            core.replay(event);
        }
        core.state.incarnation += 1;
        core.apply_up_to(core.log.len());
        core.refresh();
        core
    }

    fn replay(&mut self, event: &journal::JournalEvent) {
        match event {
            journal::JournalEvent::Start { incarnation, .. } => {
                self.state.incarnation = *incarnation;
            }
            journal::JournalEvent::Commit { entry, .. }
            | journal::JournalEvent::Received { entry } => self.push(entry.clone()),
            journal::JournalEvent::Promote { entry } => {
                self.push(entry.clone());
                // A primary does not resume its term after a restart.
                self.fenced_at = None;
            }
            journal::JournalEvent::TailDropped { after, .. } => {
                self.truncate(*after);
            }
            journal::JournalEvent::Fence { term } => {
                self.state.promised = *term;
                self.fenced_at = Some(*term);
                self.following = None;
            }
            journal::JournalEvent::Promise { term, address } => {
                self.state.promised = *term;
                self.fenced_at = None;
                self.following = Some(FollowTarget {
                    term: *term,
                    address: address.clone(),
                });
            }
            journal::JournalEvent::Statement { .. }
            | journal::JournalEvent::Rollback { .. }
            | journal::JournalEvent::Demote { .. } => {}
        }
    }

    /// Returns the state as the control statements report it.
    #[must_use]
    pub const fn state(&self) -> &upstream_state::UpstreamState {
        &self.state
    }

    /// Returns the tables as of the last applied entry.
    #[must_use]
    pub const fn tables(&self) -> &tables::TableSet {
        &self.tables
    }

    /// Returns the primary that this instance follows.
    #[must_use]
    pub const fn following(&self) -> Option<&FollowTarget> {
        self.following.as_ref()
    }

    /// Returns up to `limit` entries after `offset`.
    #[must_use]
    pub fn entries_after(&self, offset: ids::LogOffset, limit: usize) -> Vec<log_entry::LogEntry> {
        let skip = usize::try_from(offset).unwrap_or(usize::MAX);
        self.log.iter().skip(skip).take(limit).cloned().collect()
    }

    /// Returns the terms in the log with their first and last offsets.
    #[must_use]
    pub fn term_runs(&self) -> Vec<TermRun> {
        let mut runs: Vec<TermRun> = Vec::new();
        for entry in &self.log {
            match runs.last_mut() {
                Some(run) if run.0 == entry.term => run.2 = entry.offset,
                _ => runs.push((entry.term, entry.offset, entry.offset)),
            }
        }
        runs
    }

    /// Returns the last offset at which this log and a log with the given runs agree. Entries with
    /// the same term and offset are identical, and so are all entries before them.
    #[must_use]
    pub fn common_offset(&self, other: &[TermRun]) -> ids::LogOffset {
        let mut common = 0;
        for own in self.term_runs() {
            for run in other.iter().filter(|run| run.0 == own.0) {
                let first = own.1.max(run.1);
                let last = own.2.min(run.2);
                if first <= last {
                    common = common.max(last);
                }
            }
        }
        common
    }

    /// Promises a term and stops being a primary or a follower.
    ///
    /// # Errors
    ///
    /// Fails with 55000 if the promised term is not lower.
    pub fn fence(
        &mut self,
        term: ids::TermNumber,
        journal: &journal::JournalFile,
    ) -> Result<(), db_error::DbError> {
        if term <= self.state.promised {
            return Err(db_error::DbError::wrong_state(format!(
                "term {term} is not above the promised term {}",
                self.state.promised
            )));
        }
        journal.append(&journal::JournalEvent::Fence { term });
        self.state.promised = term;
        self.state.primary_term = None;
        self.fenced_at = Some(term);
        self.following = None;
        self.refresh();
        Ok(())
    }

    /// Becomes the primary of the term at which this instance was fenced.
    ///
    /// # Errors
    ///
    /// Fails with 55000 if this instance is not fenced at the term.
    pub fn promote(
        &mut self,
        term: ids::TermNumber,
        journal: &journal::JournalFile,
    ) -> Result<(), db_error::DbError> {
        if self.state.promised != term || self.fenced_at != Some(term) {
            return Err(db_error::DbError::wrong_state(format!(
                "not fenced at term {term}, promised term is {}",
                self.state.promised
            )));
        }
        let entry = log_entry::LogEntry {
            term,
            offset: self.next_offset(),
            start: true,
            writes: Vec::new(),
        };
        journal.append(&journal::JournalEvent::Promote {
            entry: entry.clone(),
        });
        self.fenced_at = None;
        self.state.primary_term = Some(term);
        self.push(entry);
        self.apply_up_to(self.log.len());
        self.refresh();
        Ok(())
    }

    /// Promises the term and starts to follow its primary.
    ///
    /// # Errors
    ///
    /// Fails with 55000 if a higher term is promised or this instance is the primary of the term.
    pub fn follow(
        &mut self,
        target: FollowTarget,
        journal: &journal::JournalFile,
    ) -> Result<(), db_error::DbError> {
        if target.term < self.state.promised || self.state.primary_term == Some(target.term) {
            return Err(db_error::DbError::wrong_state(format!(
                "cannot follow term {}: promised term is {}, primary term is {:?}",
                target.term, self.state.promised, self.state.primary_term
            )));
        }
        if self.following.as_ref() == Some(&target) {
            return Ok(());
        }
        journal.append(&journal::JournalEvent::Promise {
            term: target.term,
            address: target.address.clone(),
        });
        self.state.promised = target.term;
        self.state.primary_term = None;
        self.fenced_at = None;
        self.following = Some(target);
        self.refresh();
        Ok(())
    }

    /// Stops being the primary if `term` is higher than its own.
    pub fn learn_term(&mut self, term: ids::TermNumber, journal: &journal::JournalFile) {
        if self.state.primary_term.is_some_and(|own| own < term) {
            journal.append(&journal::JournalEvent::Demote { term });
            self.state.primary_term = None;
            self.refresh();
        }
    }

    /// Appends a committed transaction to the log of the primary. The caller must have checked that
    /// this instance is the primary and that the keys of all inserts are absent.
    pub fn commit(
        &mut self,
        term: ids::TermNumber,
        writes: Vec<log_entry::WriteOp>,
        record: impl FnOnce(&log_entry::LogEntry),
    ) -> log_position::LogPosition {
        let entry = log_entry::LogEntry {
            term,
            offset: self.next_offset(),
            start: false,
            writes,
        };
        let position = entry.position();
        record(&entry);
        self.push(entry);
        self.apply_up_to(self.log.len());
        self.refresh();
        position
    }

    /// Appends an entry from the followed primary. Returns false if the entry is refused.
    pub fn receive(
        &mut self,
        target: &FollowTarget,
        entry: log_entry::LogEntry,
        journal: &journal::JournalFile,
    ) -> bool {
        if !self.accepts(target) || entry.offset != self.next_offset() {
            return false;
        }
        journal.append(&journal::JournalEvent::Received {
            entry: entry.clone(),
        });
        self.push(entry);
        self.refresh();
        true
    }

    /// Drops all entries after `offset`. Returns false if the primary is no longer followed.
    pub fn drop_tail(
        &mut self,
        target: &FollowTarget,
        offset: ids::LogOffset,
        journal: &journal::JournalFile,
    ) -> bool {
        if !self.accepts(target) {
            return false;
        }
        let keep = usize::try_from(offset).unwrap_or(usize::MAX);
        if keep < self.log.len() {
            journal.append(&journal::JournalEvent::TailDropped {
                after: offset,
                dropped: self.state.held,
            });
            self.truncate(offset);
            if self.applied_count > keep {
                self.tables = tables::TableSet::default();
                self.applied_count = 0;
                self.apply_up_to(keep);
            }
            self.refresh();
        }
        true
    }

    /// Applies all received entries that arrived at least `delay` ago. Returns when the next one is
    /// due.
    pub fn apply_due(&mut self, delay: time::Duration) -> Option<time::Instant> {
        let now = time::Instant::now();
        let mut target = self.applied_count;
        while let Some(received) = self.received_at.get(target) {
            if *received + delay > now {
                break;
            }
            target += 1;
        }
        if target > self.applied_count {
            self.apply_up_to(target);
            self.refresh();
        }
        self.received_at
            .get(target)
            .map(|received| *received + delay)
    }

    fn accepts(&self, target: &FollowTarget) -> bool {
        self.following.as_ref() == Some(target) && self.state.promised == target.term
    }

    fn next_offset(&self) -> ids::LogOffset {
        self.log.last().map_or(0, |entry| entry.offset) + 1
    }

    fn push(&mut self, entry: log_entry::LogEntry) {
        if entry.start {
            self.starts.push(entry.position());
        }
        self.log.push(entry);
        self.received_at.push(time::Instant::now());
    }

    fn truncate(&mut self, after: ids::LogOffset) {
        let keep = usize::try_from(after).unwrap_or(usize::MAX);
        self.log.truncate(keep);
        self.received_at.truncate(keep);
        self.starts.retain(|start| start.offset <= after);
    }

    fn apply_up_to(&mut self, count: usize) {
        while self.applied_count < count {
            let Some(entry) = self.log.get(self.applied_count) else {
                return;
            };
            for write in &entry.writes {
                self.tables.apply(write);
            }
            self.applied_count += 1;
        }
    }

    fn refresh(&mut self) {
        self.state.version += 1;
        self.state.held = self.log.last().map_or_else(Default::default, position_of);
        self.state.applied = self
            .applied_count
            .checked_sub(1)
            .and_then(|index| self.log.get(index))
            .map_or_else(Default::default, position_of);
        self.state.starts = self
            .starts
            .iter()
            .rev()
            .take(REPORTED_STARTS)
            .rev()
            .copied()
            .collect();
    }
}

fn position_of(entry: &log_entry::LogEntry) -> log_position::LogPosition {
    entry.position()
}
