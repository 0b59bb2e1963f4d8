//! [`UpstreamCommand`]: what a node sends to an upstream.

use bytes::Bytes;

use crate::model::{ids, log_position};
use crate::node::request;

/// Number of a prepared statement on one connection. Callers' names never reach an upstream,
/// because they collide between callers.
pub type PreparedNumber = u32;

/// One command to an upstream. `min_position` is a position that the upstream's log has to hold, or it
/// answers that it lags.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamCommand {
    /// A caller's statement with its id and text unchanged.
    Caller {
        /// The caller's id.
        id: Bytes,
        /// Position that the log has to hold.
        min_position: Option<log_position::LogPosition>,
        /// The caller's text.
        text: Bytes,
    },
    /// A caller's prepared statement, under the connection's number for it.
    Execute {
        /// The caller's id.
        id: Bytes,
        /// Position that the log has to hold.
        min_position: Option<log_position::LogPosition>,
        /// The connection's number for the statement.
        number: PreparedNumber,
        /// The caller's text after the name.
        arguments: Bytes,
    },
    /// Begins a transaction for a caller or for a check.
    Begin {
        /// Whether it may only read. An upstream that is not the primary refuses any other.
        read_only: bool,
        /// Position that the log has to hold.
        min_position: Option<log_position::LogPosition>,
    },
    /// Rolls back.
    Rollback,
    /// Clears the values and prepared statements of the connection.
    Reset,
    /// Sets a value of the connection.
    Set {
        /// Name of the value.
        name: Bytes,
        /// The value.
        value: Bytes,
    },
    /// Prepares a statement.
    Prepare {
        /// The connection's number for it.
        number: PreparedNumber,
        /// What it does.
        shape: request::PreparedShape,
    },
    /// Asks for the state of the upstream.
    Status,
    /// Stops a replica from receiving, up to this term.
    Fence(ids::TermNumber),
    /// Lets a replica receive again.
    Unfence,
}

impl UpstreamCommand {
    /// Tells whether it is a caller's statement.
    #[must_use]
    pub const fn is_statement(&self) -> bool {
        matches!(self, Self::Caller { .. } | Self::Execute { .. })
    }
}

/// State of an upstream, as it reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamStatus {
    /// Whether it acts as the primary.
    pub primary: bool,
    /// Term that it knows.
    pub term: ids::TermNumber,
    /// Last position that it has received.
    pub received: log_position::LogPosition,
    /// Term up to which it is fenced; 0 if it is not.
    pub fenced: ids::TermNumber,
}
