//! [`CallerHello`]: how a caller opens its session.

use crate::model::ids;
use crate::node::workspaces::{api_key, workspace_binding};

/// What a caller asks for when it opens a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerHello {
    /// Database of the session.
    pub database: ids::DatabaseName,
    /// What proves the caller's workspace.
    pub credentials: CallerCredentials,
}

/// What proves the workspace of a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerCredentials {
    /// A caller's key.
    Key(api_key::ApiKey),
    /// The VM that forwards the session has checked the key.
    Forwarded(workspace_binding::WorkspaceBinding),
}
