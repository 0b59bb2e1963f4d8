//! [`GroupState`]: the node's view of one group of upstreams.

use std::cell;
use std::time;

use crate::decide::read_position;
use crate::model::{ids, log_position, term_start};
use crate::node::placement::group_placement;
use crate::node::{counted_upstreams, decision_record, lead_proof, log_knowledge};

/// Maximum number of reported positions that wait for the proof that the primary led. The oldest
/// ones are dropped first, since newer ones serve the same reads.
const UNPROVED_POSITIONS: usize = 64;

/// Number of a commit that waits for its answer.
pub type CommitNumber = u64;

/// The node's view of one group of upstreams: the primary, its log positions, commits in flight,
/// and decisions on the primary.
#[derive(Debug)]
pub struct GroupState {
    /// The group.
    pub group: ids::GroupId,
    primary: cell::RefCell<Option<ids::UpstreamId>>,
    /// Term in which the primary leads, if it has reported it.
    primary_term: cell::Cell<Option<ids::TermNumber>>,
    /// Whether the primary is known to lead.
    pub proof: lead_proof::LeadProof,
    /// Upstreams that every decision counts, according to other VMs.
    pub counted: counted_upstreams::CountedUpstreams,
    /// Positions that the primary has reported, each with the time at which it was asked, that are
    /// valid only if it still led then.
    unproved: cell::RefCell<Vec<(time::Duration, log_position::LogPosition)>>,
    history: cell::RefCell<read_position::ConfirmedHistory>,
    newest_position_time: cell::Cell<Option<time::Duration>>,
    log: cell::Cell<log_knowledge::LogKnowledge>,
    /// Highest position that the primary has reported: a commit that is sent later comes after it.
    newest_reported: cell::Cell<Option<log_position::LogPosition>>,
    /// Whether this VM asks the primary for the start of its term.
    searching_start: cell::Cell<bool>,
    commits: cell::RefCell<Vec<(CommitNumber, time::Duration)>>,
    next_commit: cell::Cell<CommitNumber>,
    last_commit: cell::Cell<time::Duration>,
    /// Until when commits are refused, since the primary cannot commit.
    commits_refused_until: cell::Cell<time::Duration>,
    /// What this VM knows of the decisions on the primary.
    pub decisions: decision_record::DecisionRecord,
    /// Whether a check runs for a commit whose acknowledgement is not sufficient.
    checking_commit: cell::Cell<bool>,
    /// Shares of the reads that leave the data centre.
    pub placement: group_placement::GroupPlacement,
}

impl GroupState {
    /// Creates the state of a group about which nothing is known yet.
    #[must_use]
    pub fn new(group: ids::GroupId) -> Self {
        Self {
            group,
            primary: cell::RefCell::default(),
            primary_term: cell::Cell::default(),
            proof: lead_proof::LeadProof::default(),
            counted: counted_upstreams::CountedUpstreams::default(),
            unproved: cell::RefCell::default(),
            history: cell::RefCell::default(),
            newest_position_time: cell::Cell::default(),
            log: cell::Cell::default(),
            newest_reported: cell::Cell::default(),
            searching_start: cell::Cell::default(),
            commits: cell::RefCell::default(),
            next_commit: cell::Cell::default(),
            last_commit: cell::Cell::default(),
            commits_refused_until: cell::Cell::default(),
            decisions: decision_record::DecisionRecord::default(),
            checking_commit: cell::Cell::default(),
            placement: group_placement::GroupPlacement::default(),
        }
    }

    /// Returns the primary, if one is known.
    #[must_use]
    pub fn primary(&self) -> Option<ids::UpstreamId> {
        self.primary.borrow().clone()
    }

    /// Returns whether `upstream` is the primary that this node uses.
    #[must_use]
    pub fn is_primary(&self, upstream: &str) -> bool {
        self.primary.borrow().as_deref() == Some(upstream)
    }

    /// Sets or clears the primary. Returns whether that is a change.
    ///
    /// A new primary resets the confirmed positions, since a promotion may have dropped the tail of
    /// the old primary's log.
    pub fn set_primary(&self, primary: Option<&str>) -> bool {
        if self.primary.borrow().as_deref() == primary {
            return false;
        }
        *self.primary.borrow_mut() = primary.map(str::to_owned);
        self.primary_term.set(None);
        self.proof.clear();
        self.accept_commits();
        self.unproved.borrow_mut().clear();
        if primary.is_some() {
            *self.history.borrow_mut() = read_position::ConfirmedHistory::default();
            self.newest_position_time.set(None);
            self.newest_reported.set(None);
            self.commits.borrow_mut().clear();
        }
        true
    }

    /// Returns the term in which the primary leads, if it has reported it.
    #[must_use]
    pub fn primary_term(&self) -> Option<ids::TermNumber> {
        self.primary_term.get()
    }

    /// Records the term in which an upstream leads, if it is the primary that this node uses.
    pub fn set_primary_term(&self, upstream: &str, term: ids::TermNumber) {
        self.record_term(term);
        if self.is_primary(upstream) {
            self.primary_term.set(Some(term));
        }
    }

    /// Records a position that the primary has reported. It counts once the primary is proved to
    /// have led at `sent_at`, when the request was sent, a time of [`crate::node::edge::NodeEdge::boot_time`].
    pub fn report_position(
        &self,
        upstream: &str,
        sent_at: time::Duration,
        position: log_position::LogPosition,
    ) {
        self.record_term(position.term);
        if !self.is_primary(upstream) {
            return;
        }
        self.newest_reported
            .set(self.newest_reported.get().max(Some(position)));
        let mut unproved = self.unproved.borrow_mut();
        if unproved.len() == UNPROVED_POSITIONS {
            unproved.remove(0);
        }
        unproved.push((sent_at, position));
    }

    /// Ends the round of questions whether the primary leads that began at `began_at`. If it is
    /// `proved`, the positions that the primary reported to earlier requests are confirmed.
    pub fn end_round(&self, began_at: time::Duration, proved: bool) {
        if proved {
            let mut unproved = self.unproved.borrow_mut();
            let mut confirmed: Vec<_> = unproved
                .extract_if(.., |(sent_at, _)| *sent_at <= began_at)
                .collect();
            confirmed.sort_unstable();
            for (sent_at, position) in confirmed {
                self.history.borrow_mut().record(sent_at, position);
                self.newest_position_time
                    .set(self.newest_position_time.get().max(Some(sent_at)));
            }
        }
        self.proof.end_round(began_at, proved);
    }

    /// Returns the minimum position that a read must see if it arrived at `arrival` and accepts
    /// data of this `age`.
    #[must_use]
    pub fn min_position(
        &self,
        arrival: time::Duration,
        age: time::Duration,
    ) -> Option<log_position::LogPosition> {
        self.history.borrow().min_position(arrival, age)
    }

    /// Returns when the request for the newest confirmed position was sent.
    #[must_use]
    pub fn newest_position_time(&self) -> Option<time::Duration> {
        self.newest_position_time.get()
    }

    /// Records that a commit was sent at `now`, a time of the monotonic clock.
    pub fn commit_sent(&self, now: time::Duration) -> CommitNumber {
        let number = self.next_commit.get();
        self.next_commit.set(number + 1);
        self.commits.borrow_mut().push((number, now));
        number
    }

    /// Records that a commit was answered or abandoned.
    pub fn commit_ended(&self, number: CommitNumber) {
        self.commits
            .borrow_mut()
            .retain(|(other, _)| *other != number);
    }

    /// Records that the primary has acknowledged a commit.
    pub fn commit_succeeded(&self, now: time::Duration) {
        self.last_commit.set(now);
        self.accept_commits();
    }

    /// Records that the primary cannot commit: commits are refused until the given time of the
    /// monotonic clock.
    pub fn refuse_commits(&self, until: time::Duration) {
        self.commits_refused_until.set(until);
    }

    /// Records that the primary may be able to commit again.
    pub fn accept_commits(&self) {
        self.commits_refused_until.set(time::Duration::ZERO);
    }

    /// Returns whether commits are refused, since the primary cannot commit.
    #[must_use]
    pub fn refuses_commits(&self, now: time::Duration) -> bool {
        now < self.commits_refused_until.get()
    }

    /// Returns the highest position that the primary has reported. A commit that is sent now comes
    /// after it.
    #[must_use]
    pub fn newest_reported(&self) -> Option<log_position::LogPosition> {
        self.newest_reported.get()
    }

    /// Records that a caller is told of a commit. The primary reported `position` with it, which may
    /// include later commits; the commit comes after `earlier`.
    pub fn acknowledge(
        &self,
        position: log_position::LogPosition,
        earlier: Option<log_position::LogPosition>,
    ) {
        let told = earlier.map(|earlier| {
            let offset = position.offset.min(earlier.offset + 1);
            log_position::LogPosition::new(position.term, offset)
        });
        self.learn(log_knowledge::LogKnowledge {
            told,
            acknowledged: Some(position),
            ..log_knowledge::LogKnowledge::default()
        });
    }

    /// Returns what this VM knows about the group's log.
    #[must_use]
    pub fn log_knowledge(&self) -> log_knowledge::LogKnowledge {
        self.log.get()
    }

    /// Adds to what this VM knows about the group's log.
    pub fn learn(&self, knowledge: log_knowledge::LogKnowledge) {
        let mut log = self.log.get();
        log.merge(knowledge);
        self.log.set(log);
    }

    /// Records where a term began.
    pub fn record_term_start(&self, start: term_start::TermStart) {
        self.learn(log_knowledge::LogKnowledge {
            term: start.term,
            term_start: Some(start),
            ..log_knowledge::LogKnowledge::default()
        });
    }

    /// Sets whether this VM asks the primary for the start of its term, and returns the previous
    /// value.
    pub fn set_searching_start(&self, searching: bool) -> bool {
        self.searching_start.replace(searching)
    }

    /// Returns for how long commits have been waiting without any success.
    #[must_use]
    pub fn commit_stall(&self, now: time::Duration) -> time::Duration {
        let oldest = self.commits.borrow().iter().map(|(_, sent)| *sent).min();
        oldest.map_or(time::Duration::ZERO, |sent| {
            now.saturating_sub(sent.max(self.last_commit.get()))
        })
    }

    /// Sets whether a commit is being checked, and returns the previous value. One check at a time
    /// suffices for all waiting commits.
    pub fn set_checking_commit(&self, checking: bool) -> bool {
        self.checking_commit.replace(checking)
    }

    /// Returns the highest term that this node knows of.
    #[must_use]
    pub fn term(&self) -> ids::TermNumber {
        self.log.get().term
    }

    /// Records a term that was seen.
    pub fn record_term(&self, term: ids::TermNumber) {
        self.learn(log_knowledge::LogKnowledge {
            term,
            ..log_knowledge::LogKnowledge::default()
        });
    }
}
