//! The frames between a VM that relays a session and the host that runs its statements.

use serde::{Deserialize, Serialize};

use crate::model::ids;
use crate::node::{answers, request, session_state};

/// A frame to the host. The first one is `Open`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayFrame {
    /// Opens a session on a database.
    Open(ids::DatabaseName),
    /// Runs a statement.
    Request {
        /// What the session has set up, if it has changed since the last statement.
        state: Option<Box<session_state::SessionState>>,
        /// The statement.
        request: request::CallerRequest,
    },
}

/// A frame from the host: `Welcome` or `Rejected` once, then an `Answer` to each request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayReply {
    /// The session is open.
    Welcome,
    /// The session was not opened.
    Rejected(answers::StatementError),
    /// The answer to the oldest request without one.
    Answer(answers::CallerAnswer),
    /// The session ends, and no request without an answer has run.
    Closing,
}
