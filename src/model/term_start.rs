//! [`TermStart`]: where the log of a term begins.

use serde::{Deserialize, Serialize};

use crate::model::{ids, log_position};

/// Where the log of a term begins. A primary leads its term with the log that it had when it was
/// promoted, so an upstream that holds the start of a term holds every commit that was acknowledged
/// in earlier terms.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
#[display("{term} after {position}")]
pub struct TermStart {
    /// The term.
    pub term: ids::TermNumber,
    /// Last position of the primary's log before the first entry of the term.
    pub position: log_position::LogPosition,
}

impl TermStart {
    /// Returns whether the log of this term holds a position of an earlier term, or `None` if the start
    /// does not tell, since it lies in a term between the two.
    #[must_use]
    pub fn holds(&self, position: log_position::LogPosition) -> Option<bool> {
        if self.position.term > position.term {
            return None;
        }
        Some(self.position >= position)
    }
}
