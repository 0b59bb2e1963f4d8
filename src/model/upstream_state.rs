//! [`UpstreamState`]: the replication state that a database instance reports.

use serde::{Deserialize, Serialize};

use crate::model::{ids, log_position};

/// The replication state of one upstream, as its control statements return it.
///
/// See `docs/design.md`, "Upstream protocol", for the JSON form.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamState {
    /// The upstream that reports the state.
    pub upstream: ids::UpstreamId,
    /// Run of the database process. Versions are comparable only within one incarnation.
    pub incarnation: ids::IncarnationId,
    /// Increases with each change of this state within one incarnation.
    pub version: u64,
    /// Highest term promised at a fence; the upstream accepts no primary of a lower term.
    pub promised: ids::TermNumber,
    /// Term in which the upstream acts as the primary.
    pub primary_term: Option<ids::TermNumber>,
    /// Position of the last log entry received.
    pub held: log_position::LogPosition,
    /// Position of the last log entry that reads see.
    pub applied: log_position::LogPosition,
    /// Positions of the start entries of recent terms, oldest first. A start entry is the first
    /// entry that a primary writes in its term.
    pub starts: Vec<log_position::LogPosition>,
}

impl UpstreamState {
    /// Returns whether this state is a later observation of the same upstream than `other`.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.version) > (other.incarnation, other.version)
    }

    /// Returns whether the upstream counts as the second copy of the write at `position`: it holds
    /// the log entry and has promised no term above that of the entry.
    #[must_use]
    pub fn confirms(&self, position: log_position::LogPosition) -> bool {
        self.promised == position.term
            && self.held.term == position.term
            && self.held.offset >= position.offset
    }

    /// Returns the position of the first start entry after `term` in this upstream's log.
    #[must_use]
    pub fn first_start_after(&self, term: ids::TermNumber) -> Option<log_position::LogPosition> {
        self.starts
            .iter()
            .copied()
            .filter(|start| start.term > term)
            .min()
    }
}
