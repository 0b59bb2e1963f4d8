//! [`UpstreamState`]: what a database instance reports about its log and its promises.

use serde::{Deserialize, Serialize};

use crate::model::{ids, log_position};

/// The replication state of one upstream, as its control statements return it.
///
/// See `docs/design.md`, "Upstream protocol", for the JSON form.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamState {
    /// The upstream that reports.
    pub upstream: ids::UpstreamId,
    /// Start of the database process; states of different incarnations are not comparable.
    pub incarnation: ids::IncarnationId,
    /// Grows with each change of this state within one incarnation.
    pub version: u64,
    /// Highest term promised at a fence.
    pub promised: ids::TermNumber,
    /// Term in which the upstream acts as the primary.
    pub primary_term: Option<ids::TermNumber>,
    /// Last log entry received.
    pub held: log_position::LogPosition,
    /// Last log entry visible to reads.
    pub applied: log_position::LogPosition,
    /// Start entries of the recent terms, oldest first.
    pub starts: Vec<log_position::LogPosition>,
}

impl UpstreamState {
    /// Tells whether this state is a later observation of the same upstream than `other`.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.version) > (other.incarnation, other.version)
    }

    /// Tells whether the upstream holds the log entry at `position` and has promised no term above
    /// the entry's, which is what makes it count as the second copy of an acknowledged write.
    #[must_use]
    pub fn confirms(&self, position: log_position::LogPosition) -> bool {
        self.promised == position.term
            && self.held.term == position.term
            && self.held.offset >= position.offset
    }

    /// Returns the start entry of the first term after `term` in this upstream's log.
    #[must_use]
    pub fn first_start_after(&self, term: ids::TermNumber) -> Option<log_position::LogPosition> {
        self.starts
            .iter()
            .copied()
            .filter(|start| start.term > term)
            .min()
    }
}
