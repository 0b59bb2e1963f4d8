//! [`LogKnowledge`]: what a VM knows about the log of a group.

use serde::{Deserialize, Serialize};

use crate::model::{ids, log_position, term_start};

/// What a VM knows about the log of a group, from answers of its upstreams, from the store and from
/// other VMs. See `docs/node.md`, "What a successor has to hold".
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogKnowledge {
    /// Latest known term.
    pub term: ids::TermNumber,
    /// Start of the latest term whose start is known.
    pub term_start: Option<term_start::TermStart>,
    /// Position up to which the log is certain to be acknowledged, as far as is known. It may be a
    /// little below the latest commit that a caller was told of.
    pub told: Option<log_position::LogPosition>,
    /// Highest position that an acknowledged commit may have. A primary reports the end of its log
    /// with an acknowledgement, which may include later commits that no replica has received.
    pub acknowledged: Option<log_position::LogPosition>,
}

impl LogKnowledge {
    /// Adds what is known from another source.
    pub fn merge(&mut self, other: Self) {
        let terms = [
            other.term,
            other.term_start.map_or(0, |start| start.term),
            other.told.map_or(0, |position| position.term),
            other.acknowledged.map_or(0, |position| position.term),
        ];
        self.term = terms.into_iter().fold(self.term, ids::TermNumber::max);
        self.term_start = self.term_start.max(other.term_start);
        self.told = self.told.max(other.told);
        self.acknowledged = self.acknowledged.max(other.acknowledged);
    }

    /// Returns the start of the latest known term, if it is known.
    #[must_use]
    pub fn latest_start(&self) -> Option<log_position::LogPosition> {
        let start = self.term_start?;
        (start.term >= self.term).then_some(start.position)
    }
}
