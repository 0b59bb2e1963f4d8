//! [`DbError`]: an error that an instance reports to its client.

/// An SQLSTATE and a message.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{code}: {message}")]
pub struct DbError {
    /// SQLSTATE.
    pub code: &'static str,
    /// Human-readable message.
    pub message: String,
}

impl DbError {
    /// Creates an error.
    #[must_use]
    pub fn new(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }

    /// Returns the error for a statement that the instance does not support.
    #[must_use]
    pub fn syntax(message: impl Into<String>) -> Self {
        Self::new("42601", message)
    }

    /// Returns the error for a write in a read-only transaction or on an instance that is not the
    /// primary.
    #[must_use]
    pub fn read_only(message: impl Into<String>) -> Self {
        Self::new("25006", message)
    }

    /// Returns the error for a control statement that the current state does not allow.
    #[must_use]
    pub fn wrong_state(message: impl Into<String>) -> Self {
        Self::new("55000", message)
    }

    /// Returns the error for a statement that the client cancelled.
    #[must_use]
    pub fn cancelled() -> Self {
        Self::new("57014", "canceling statement due to user request")
    }
}
