//! What upstreams answer, and what callers are told.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::model::{ids, log_position};
use crate::node::limits;

/// Where a session or a connection stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionState {
    /// Outside a transaction.
    #[default]
    Idle,
    /// In a transaction.
    Open,
    /// In a transaction that failed and can only be ended.
    Failed,
}

/// Why a statement has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum ErrorCode {
    /// Not run: no slot in time.
    Busy,
    /// Not kept: the transaction was rolled back.
    Aborted,
    /// Not run: the log lacks the wanted position.
    Lagging,
    /// Not run: the upstream is not the primary.
    ReadOnly,
    /// Not run: another upstream answers at the address.
    Misrouted,
    /// Not run: the upstream has all the connections it allows.
    TooMany,
    /// It ran and failed.
    Failed,
    /// Not run: no such prepared statement.
    NoStatement,
    /// It may have run; no answer came in time.
    Timeout,
    /// It may have run; its outcome cannot be known.
    Unknown,
    /// No such database.
    NoDatabase,
    /// The message is too long.
    TooLong,
    /// The message breaks the protocol or does not fit the state.
    Malformed,
}

/// An error with the words that explain it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementError {
    /// The reason.
    pub code: ErrorCode,
    /// An explanation for people.
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

/// The whole answer of an upstream to one command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamAnswer {
    /// Rows, unchanged.
    pub rows: Vec<Bytes>,
    /// The upstream's signature, or why there is no result.
    pub result: Result<Bytes, StatementError>,
    /// Where the connection stands now.
    pub state: TransactionState,
    /// Position that the upstream has applied.
    pub position: Option<log_position::LogPosition>,
}

impl UpstreamAnswer {
    /// Returns the reason for the failure, if it failed.
    #[must_use]
    pub fn error_code(&self) -> Option<ErrorCode> {
        self.result.as_ref().err().map(|error| error.code)
    }
}

/// What a caller is told about one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerAnswer {
    /// Rows, unchanged.
    pub rows: Vec<Bytes>,
    /// The upstream's signature, `None` for what the node answers itself, or an error.
    pub result: Result<Option<Bytes>, StatementError>,
    /// Where the session stands now.
    pub state: TransactionState,
    /// Group and position of the commit, if the request was one that wrote.
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

    /// Creates an error.
    pub fn error(code: ErrorCode, text: impl Into<Bytes>, state: TransactionState) -> Self {
        Self {
            rows: Vec::new(),
            result: Err(StatementError::new(code, text)),
            state,
            written: None,
        }
    }

    /// Creates the error for the end of a transaction where none is open.
    #[must_use]
    pub fn no_transaction() -> Self {
        let text = "no transaction is open";
        Self::error(ErrorCode::Malformed, text, TransactionState::Idle)
    }

    /// Creates the error for a prepared statement that the session does not have.
    #[must_use]
    pub fn no_statement(name: Bytes, state: TransactionState) -> Self {
        Self::error(ErrorCode::NoStatement, name, state)
    }

    /// Passes an upstream's answer on to a session that stands at `state`.
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

/// Returns the text of a refusal that nothing came of, with the time to come back.
#[must_use]
pub fn retry_later_text(reason: &dyn std::fmt::Display) -> String {
    let pause = limits::COME_BACK.as_millis();
    format!("{reason}; come back in {pause} ms")
}
