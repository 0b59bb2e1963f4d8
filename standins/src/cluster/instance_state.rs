//! [`InstanceState`]: one instance of a group.

use bytes::Bytes;
use persimmontack::model::{ids, log_position};
use persimmontack::node::upstream_entry;

/// One committed write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Its position.
    pub position: log_position::LogPosition,
    /// Id of the statement that committed it.
    pub id: Bytes,
    /// Items and their new data.
    pub changes: Vec<(Bytes, Bytes)>,
}

/// One instance.
#[derive(Clone, Debug)]
pub struct InstanceState {
    /// What the list says of it.
    pub entry: upstream_entry::UpstreamEntry,
    /// Whether it leads.
    pub primary: bool,
    /// Term that it knows.
    pub term: ids::TermNumber,
    /// What it has received.
    pub log: Vec<LogEntry>,
    /// How many entries reads see.
    pub applied: usize,
    /// Term up to which it is fenced.
    pub fenced: ids::TermNumber,
    /// Whether it takes new connections and answers.
    pub up: bool,
    /// Whether it receives what the primary commits.
    pub receives: bool,
    /// Whether the store's list has its entry.
    pub listed: bool,
    /// Whether it applies what it has received.
    pub applies: bool,
    /// Answers to the next statements that are lost after they ran.
    pub lose_answers: u32,
    /// Statements that it has no slot for, one after the other.
    pub busy: u32,
    /// Callers' statements that it ran, with their ids and texts.
    pub ran: Vec<(Bytes, String)>,
    /// Names of the values that were set on the connection of each of them.
    pub ran_with: Vec<Vec<Bytes>>,
}

impl InstanceState {
    /// Tells whether it receives what the primary commits, if it is a replica.
    #[must_use]
    pub const fn can_receive(&self) -> bool {
        !self.primary && self.up && self.receives && self.fenced == 0
    }

    /// Takes over the log of the primary.
    pub fn receive_log(&mut self, log: &[LogEntry]) {
        let last = |log: &[LogEntry]| log.last().map(|entry| entry.position);
        if last(&self.log) != last(log) {
            log.clone_into(&mut self.log);
            self.applied = self.applied.min(log.len());
        }
    }

    /// Returns the last position that reads see.
    #[must_use]
    pub fn applied_position(&self) -> log_position::LogPosition {
        self.applied
            .checked_sub(1)
            .and_then(|last| self.log.get(last))
            .map_or(log_position::LogPosition::new(1, 0), |entry| entry.position)
    }

    /// Returns the last position that it has received.
    #[must_use]
    pub fn received_position(&self) -> log_position::LogPosition {
        self.log
            .last()
            .map_or(log_position::LogPosition::new(1, 0), |entry| entry.position)
    }

    /// Returns the data of an item that reads see.
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
