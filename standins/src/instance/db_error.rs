//! [`DbError`]: an error that the client of the instance sees.

/// An SQLSTATE and a message.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{code}: {message}")]
pub struct DbError {
    /// SQLSTATE.
    pub code: &'static str,
    /// Text for people.
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

    /// The statement is not one that the instance understands.
    #[must_use]
    pub fn syntax(message: impl Into<String>) -> Self {
        Self::new("42601", message)
    }

    /// A write reached an instance that is not the primary, or a read-only transaction.
    #[must_use]
    pub fn read_only(message: impl Into<String>) -> Self {
        Self::new("25006", message)
    }

    /// A control statement does not fit the present state.
    #[must_use]
    pub fn wrong_state(message: impl Into<String>) -> Self {
        Self::new("55000", message)
    }

    /// The client cancelled the statement.
    #[must_use]
    pub fn cancelled() -> Self {
        Self::new("57014", "canceling statement due to user request")
    }
}
