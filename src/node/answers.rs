//! Answers from upstreams, answers to callers, and the errors in both.

use std::time;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::model::{ids, log_position};
use crate::node::limits;

/// Transaction state of a session or of a connection to an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionState {
    /// Outside a transaction.
    #[default]
    Idle,
    /// In a transaction.
    Open,
    /// In a failed transaction, which accepts only a commit or a rollback.
    Failed,
}

/// Why a statement has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum ErrorCode {
    /// Not run: the upstream had no free slot in time.
    Busy,
    /// Without effect: the transaction was rolled back.
    Aborted,
    /// Not run: the upstream's log does not hold the required position.
    Lagging,
    /// Not run: the upstream is not the primary.
    ReadOnly,
    /// Not run: another upstream answers at the address.
    Misrouted,
    /// Not run: the upstream's connection limit is reached.
    TooMany,
    /// The statement ran and failed.
    Failed,
    /// Not run: the prepared statement does not exist.
    NoStatement,
    /// The statement may have run; no answer came in time.
    Timeout,
    /// The statement may have run; its outcome is unknown.
    Unknown,
    /// The database does not exist.
    NoDatabase,
    /// The message is too long.
    TooLong,
    /// The message violates the protocol or is not allowed in the current state.
    Malformed,
    /// Not run: no workspace has the caller's key.
    NoKey,
}

/// An error code with an explanation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementError {
    /// Kind of error.
    pub code: ErrorCode,
    /// Human-readable explanation.
    pub text: Bytes,
}

impl StatementError {
    /// Creates an error.
    pub fn new(code: ErrorCode, text: impl Into<Bytes>) -> Self {
        Self {
            code,
            text: text.into(),
        }
    }
}

/// The complete answer of an upstream to one command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamAnswer {
    /// Result rows, as the upstream sent them.
    pub rows: Vec<Bytes>,
    /// The upstream's signature, or the error.
    pub result: Result<Bytes, StatementError>,
    /// Transaction state of the connection after the command.
    pub state: TransactionState,
    /// Log position that the upstream has applied.
    pub position: Option<log_position::LogPosition>,
}

impl UpstreamAnswer {
    /// Returns the error code, if the command failed.
    #[must_use]
    pub fn error_code(&self) -> Option<ErrorCode> {
        self.result.as_ref().err().map(|error| error.code)
    }
}

/// The answer to one request of a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerAnswer {
    /// Result rows, as the upstream sent them.
    pub rows: Vec<Bytes>,
    /// The upstream's signature, `None` if the node answers by itself, or the error.
    pub result: Result<Option<Bytes>, StatementError>,
    /// Transaction state of the session after the request.
    pub state: TransactionState,
    /// Group and log position of the session's last commit, if the request wrote.
    pub written: Option<(ids::GroupId, log_position::LogPosition)>,
}

impl CallerAnswer {
    /// Creates the answer to a statement that the node handled itself.
    #[must_use]
    pub const fn local(state: TransactionState) -> Self {
        Self {
            rows: Vec::new(),
            result: Ok(None),
            state,
            written: None,
        }
    }

    /// Creates an error answer.
    pub fn error(code: ErrorCode, text: impl Into<Bytes>, state: TransactionState) -> Self {
        Self {
            rows: Vec::new(),
            result: Err(StatementError::new(code, text)),
            state,
            written: None,
        }
    }

    /// Creates the error for a commit or rollback outside a transaction.
    #[must_use]
    pub fn no_transaction() -> Self {
        let text = "no transaction is open";
        Self::error(ErrorCode::Malformed, text, TransactionState::Idle)
    }

    /// Creates the error for a prepared statement that does not exist in the session.
    #[must_use]
    pub fn no_statement(name: Bytes, state: TransactionState) -> Self {
        Self::error(ErrorCode::NoStatement, name, state)
    }

    /// Converts an upstream's answer for a session that is now in `state`.
    #[must_use]
    pub fn from_upstream(answer: UpstreamAnswer, state: TransactionState) -> Self {
        Self {
            rows: answer.rows,
            result: answer.result.map(Some),
            state,
            written: None,
        }
    }
}

/// Returns the text of an error for a request that had no effect, with the time after which the
/// caller should retry.
#[must_use]
pub fn retry_later_text(reason: &dyn std::fmt::Display) -> String {
    retry_after_text(reason, limits::RETRY_AFTER)
}

/// Returns the text of such an error with the time `pause`.
#[must_use]
pub fn retry_after_text(reason: &dyn std::fmt::Display, pause: time::Duration) -> String {
    let pause = pause.as_millis();
    format!("{reason}; come back in {pause} ms")
}
