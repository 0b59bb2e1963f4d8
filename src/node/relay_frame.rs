//! Frames between a VM that forwards a session and the host that runs the session's statements.

use serde::{Deserialize, Serialize};

use crate::model::ids;
use crate::node::{answers, config, request, session_state};

/// The route by which a VM forwards a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRoute {
    /// Version of the configuration that has it.
    pub config: config::ConfigVersion,
    /// Group of the database.
    pub group: ids::GroupId,
}

/// A frame to the host. The first one on a stream is `Open`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayFrame {
    /// Opens a session.
    Open {
        /// Database of the session.
        database: ids::DatabaseName,
        /// Workspace of the session, whose key the sender has checked. Keys are never sent.
        workspace: Option<ids::WorkspaceName>,
    },
    /// Runs a statement.
    Request {
        /// The route by which the sender forwards it.
        route: ForwardedRoute,
        /// Session values and prepared statements, if they have changed since the last statement.
        state: Option<Box<session_state::SessionState>>,
        /// The statement.
        request: request::CallerRequest,
    },
}

/// A frame from the host: first `Welcome` or `Rejected`, then an `Answer` to each request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayReply {
    /// The session is open.
    Welcome,
    /// The session was rejected, and the stream ends.
    Rejected(answers::StatementError),
    /// The host has an older configuration than the sender of the oldest unanswered request, with another route.
    /// The request has not run.
    Behind,
    /// The answer to the oldest unanswered request.
    Answer(answers::CallerAnswer),
    /// The host ends the session. Requests that are not answered yet have not run.
    Closing,
}
