//! [`CallerRequest`]: one statement of a caller.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Whether a prepared statement reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AccessKind {
    /// It reads.
    Read,
    /// It writes.
    Write,
}

/// What a prepared statement does, without the name that a caller gave it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PreparedShape {
    /// Whether it reads or writes.
    pub access: AccessKind,
    /// Its shape, as the caller wrote it.
    pub shape: Bytes,
}

/// What a statement does, as far as the node has to know.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatementKind {
    /// Begins a transaction.
    Begin {
        /// Whether it may only read.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads an item.
    Read,
    /// Writes an item.
    Write,
    /// Sets a value of the session.
    Set {
        /// Name of the value.
        name: Bytes,
        /// The value.
        value: Bytes,
    },
    /// Names a statement.
    Prepare {
        /// The caller's name for it.
        name: Bytes,
        /// What it does.
        shape: PreparedShape,
    },
    /// Runs a named statement.
    Execute {
        /// The caller's name for it.
        name: Bytes,
        /// The rest of the text after the name.
        arguments: Bytes,
    },
    /// Forgets a named statement.
    Forget {
        /// The caller's name for it.
        name: Bytes,
    },
}

impl StatementKind {
    /// Tells whether it only sets the session up, which needs no upstream.
    #[must_use]
    pub const fn is_session_setup(&self) -> bool {
        matches!(
            self,
            Self::Set { .. } | Self::Prepare { .. } | Self::Forget { .. }
        )
    }

    /// Tells whether it ends a transaction.
    #[must_use]
    pub const fn ends_transaction(&self) -> bool {
        matches!(self, Self::Commit | Self::Rollback)
    }
}

/// One statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// Id that the caller gave it. It goes to the upstream unchanged and into each log line.
    pub id: Bytes,
    /// What it does.
    pub kind: StatementKind,
    /// Its whole text, which goes to the upstream unchanged.
    pub text: Bytes,
}

impl CallerRequest {
    /// Returns the id for a log line.
    #[must_use]
    pub fn id_text(&self) -> std::borrow::Cow<'_, str> {
        String::from_utf8_lossy(&self.id)
    }
}
