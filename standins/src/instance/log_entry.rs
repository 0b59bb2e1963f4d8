//! [`LogEntry`] and [`WriteOp`]: entries of the replicated log and their row changes.

use persimmontack::model::{ids, log_position};
use serde::{Deserialize, Serialize};

/// One change of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteOp {
    /// Adds a row whose key is absent.
    Insert {
        /// Table name.
        table: String,
        /// Key.
        k: String,
        /// Value.
        v: String,
    },
    /// Changes a row if it exists.
    Update {
        /// Table name.
        table: String,
        /// Key.
        k: String,
        /// Value.
        v: String,
    },
    /// Removes a row if it exists.
    Delete {
        /// Table name.
        table: String,
        /// Key.
        k: String,
    },
}

/// One committed write transaction, or the start entry of a term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the primary that wrote the entry.
    pub term: ids::TermNumber,
    /// Offset in the log, from 1.
    pub offset: ids::LogOffset,
    /// True for the start entry of the term.
    #[serde(default)]
    pub start: bool,
    /// Changes in order; empty for a start entry.
    #[serde(default)]
    pub writes: Vec<WriteOp>,
}

impl LogEntry {
    /// Returns the entry's position.
    #[must_use]
    pub const fn position(&self) -> log_position::LogPosition {
        log_position::LogPosition::new(self.term, self.offset)
    }
}
