//! [`CallerRequest`]: one statement of a caller.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Whether a prepared statement reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AccessKind {
    /// The statement reads.
    Read,
    /// The statement writes.
    Write,
}

/// A prepared statement without the name that a caller gave it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PreparedShape {
    /// Whether the statement reads or writes.
    pub access: AccessKind,
    /// Text of the statement, as the caller sent it.
    pub shape: Bytes,
}

/// Kind of a statement, as far as routing depends on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatementKind {
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls back the transaction.
    Rollback,
    /// Reads an item.
    Read,
    /// Writes an item.
    Write,
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: Bytes,
        /// The value.
        value: Bytes,
    },
    /// Prepares a statement under a name.
    Prepare {
        /// The caller's name for the statement.
        name: Bytes,
        /// Access and text of the statement.
        shape: PreparedShape,
    },
    /// Executes a prepared statement.
    Execute {
        /// The caller's name for the statement.
        name: Bytes,
        /// Rest of the request's text after the name.
        arguments: Bytes,
    },
    /// Deallocates a prepared statement.
    Forget {
        /// The caller's name for the statement.
        name: Bytes,
    },
}

impl StatementKind {
    /// Returns whether the statement only changes the session's state, which needs no upstream.
    #[must_use]
    pub const fn is_session_setup(&self) -> bool {
        matches!(
            self,
            Self::Set { .. } | Self::Prepare { .. } | Self::Forget { .. }
        )
    }

    /// Returns whether the statement ends a transaction.
    #[must_use]
    pub const fn ends_transaction(&self) -> bool {
        matches!(self, Self::Commit | Self::Rollback)
    }
}

/// One statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// Id assigned by the caller. It is sent to the upstream unchanged and appears in log lines.
    pub id: Bytes,
    /// Kind of statement.
    pub kind: StatementKind,
    /// Full text, which is sent to the upstream unchanged.
    pub text: Bytes,
}

impl CallerRequest {
    /// Returns the id for a log line.
    #[must_use]
    pub fn id_text(&self) -> std::borrow::Cow<'_, str> {
        String::from_utf8_lossy(&self.id)
    }
}
