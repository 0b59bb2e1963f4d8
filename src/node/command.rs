//! [`UpstreamCommand`]: commands that a node sends to an upstream, and [`UpstreamStatus`].

use bytes::Bytes;

use crate::model::{ids, log_position};
use crate::node::request;

/// Number of a prepared statement on one connection. It replaces the caller's name for the
/// statement, because callers that share a connection may use the same name.
pub type PreparedNumber = u32;

/// One command to an upstream. If the upstream's log does not hold `min_position`, the upstream
/// does not run the command and answers with a lag error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamCommand {
    /// A caller's statement, with its id and text unchanged.
    Caller {
        /// The caller's id.
        id: Bytes,
        /// Position that the log has to hold.
        min_position: Option<log_position::LogPosition>,
        /// The statement's text.
        text: Bytes,
    },
    /// Execution of a caller's prepared statement.
    Execute {
        /// The caller's id.
        id: Bytes,
        /// Position that the log has to hold.
        min_position: Option<log_position::LogPosition>,
        /// The connection's number for the statement.
        number: PreparedNumber,
        /// The statement's text after the name.
        arguments: Bytes,
    },
    /// Begins a transaction, for a caller or to check that the upstream is the primary.
    Begin {
        /// Whether the transaction is read-only. A replica refuses any other.
        read_only: bool,
        /// Position that the log has to hold.
        min_position: Option<log_position::LogPosition>,
    },
    /// Rolls back the transaction.
    Rollback,
    /// Clears the session values and prepared statements of the connection.
    Reset,
    /// Sets a session value on the connection.
    Set {
        /// Name of the value.
        name: Bytes,
        /// The value.
        value: Bytes,
    },
    /// Prepares a statement.
    Prepare {
        /// The connection's number for the statement.
        number: PreparedNumber,
        /// Access and text of the statement.
        shape: request::PreparedShape,
    },
    /// Asks for the upstream's status.
    Status,
    /// Fences a replica: it receives no log entries of terms up to this one.
    Fence(ids::TermNumber),
    /// Removes the fence of a replica.
    Unfence,
    /// Makes a primary of a term below this one a replica.
    StepDown(ids::TermNumber),
}

impl UpstreamCommand {
    /// Returns whether the command is a caller's statement.
    #[must_use]
    pub const fn is_statement(&self) -> bool {
        matches!(self, Self::Caller { .. } | Self::Execute { .. })
    }

    /// Returns whether the upstream answers without a slot and without any wait.
    #[must_use]
    pub const fn is_immediate(&self) -> bool {
        matches!(self, Self::Begin { .. } | Self::Rollback | Self::Fence(_))
    }
}

/// Status of an upstream, as reported by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamStatus {
    /// Whether the upstream acts as the primary.
    pub primary: bool,
    /// Latest term that the upstream knows.
    pub term: ids::TermNumber,
    /// Last log position that it has received.
    pub received: log_position::LogPosition,
    /// Term up to which it is fenced; 0 if it is not fenced.
    pub fenced: ids::TermNumber,
}
