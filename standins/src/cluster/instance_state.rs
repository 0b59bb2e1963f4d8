//! [`InstanceState`]: state of one simulated database instance.

use bytes::Bytes;
use persimmontack::model::{ids, log_position};
use persimmontack::node::upstream_entry;

/// A committed transaction in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Its log position.
    pub position: log_position::LogPosition,
    /// Id of the statement that committed it.
    pub id: Bytes,
    /// Changed items and their new data.
    pub changes: Vec<(Bytes, Bytes)>,
}

/// State of one instance, with the faults that the test has set.
#[derive(Clone, Debug)]
pub struct InstanceState {
    /// Its entry in the store.
    pub entry: upstream_entry::UpstreamEntry,
    /// Whether it is the primary.
    pub primary: bool,
    /// Latest term that it knows.
    pub term: ids::TermNumber,
    /// Log entries that it has received.
    pub log: Vec<LogEntry>,
    /// Number of entries that are applied and so visible to reads.
    pub applied: usize,
    /// Term up to which it is fenced.
    pub fenced: ids::TermNumber,
    /// Whether it accepts connections and answers.
    pub up: bool,
    /// Whether it receives the primary's commits.
    pub receives: bool,
    /// Whether the store has its entry.
    pub listed: bool,
    /// Whether it applies received entries.
    pub applies: bool,
    /// Number of upcoming statements that run and whose answers are lost.
    pub lost_statement_answers: u32,
    /// Number of upcoming orders to step down that are carried out and whose answers are lost.
    pub lost_step_downs: u32,
    /// Number of upcoming statements that are refused because no slot is free.
    pub busy: u32,
    /// Ids and texts of the callers' statements that it ran.
    pub ran: Vec<(Bytes, String)>,
    /// For each statement in `ran`, the names of the values that were set on its connection.
    pub ran_value_names: Vec<Vec<Bytes>>,
    /// For each statement in `ran`, the workspace in whose name its connection was opened.
    pub ran_workspaces: Vec<Option<ids::WorkspaceName>>,
}

impl InstanceState {
    /// Tells whether it is a replica that can receive the primary's commits.
    #[must_use]
    pub const fn can_receive(&self) -> bool {
        !self.primary && self.up && self.receives && self.fenced == 0
    }

    /// Replaces its log by that of the primary if their last entries differ.
    pub fn receive_log(&mut self, log: &[LogEntry]) {
        let last = |log: &[LogEntry]| log.last().map(|entry| entry.position);
        if last(&self.log) != last(log) {
            log.clone_into(&mut self.log);
            self.applied = self.applied.min(log.len());
        }
    }

    /// Returns the last applied position.
    #[must_use]
    pub fn applied_position(&self) -> log_position::LogPosition {
        self.applied
            .checked_sub(1)
            .and_then(|last| self.log.get(last))
            .map_or(log_position::LogPosition::new(1, 0), |entry| entry.position)
    }

    /// Returns the last received position.
    #[must_use]
    pub fn received_position(&self) -> log_position::LogPosition {
        self.log
            .last()
            .map_or(log_position::LogPosition::new(1, 0), |entry| entry.position)
    }

    /// Returns the data of an item as of the last applied entry.
    #[must_use]
    pub fn read(&self, item: &[u8]) -> Bytes {
        self.log
            .iter()
            .take(self.applied)
            .rev()
            .flat_map(|entry| entry.changes.iter().rev())
            .find(|(name, _)| name.as_ref() == item)
            .map_or_else(|| Bytes::from_static(b"none"), |(_, data)| data.clone())
    }
}
