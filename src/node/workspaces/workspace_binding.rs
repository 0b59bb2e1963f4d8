//! [`WorkspaceBinding`]: the workspace that a session or a connection belongs to.

use std::rc;

use crate::model::ids;

/// Workspace that a session or a connection to an upstream belongs to for its whole life. It is
/// empty where the configuration lists no workspaces, and for callers of a public route without a
/// key.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkspaceBinding(Option<rc::Rc<str>>);

impl WorkspaceBinding {
    /// Binds to a workspace.
    #[must_use]
    pub fn new(workspace: &str) -> Self {
        Self(Some(rc::Rc::from(workspace)))
    }

    /// Returns the name of the workspace, if there is one.
    #[must_use]
    pub fn name(&self) -> Option<&str> {
        self.0.as_deref()
    }

    /// Returns the name of the workspace for a message.
    #[must_use]
    pub fn to_name(&self) -> Option<ids::WorkspaceName> {
        self.name().map(ToOwned::to_owned)
    }

    /// Binds to the workspace of a message.
    #[must_use]
    pub fn from_name(name: Option<&str>) -> Self {
        name.map_or_else(Self::default, Self::new)
    }
}

impl std::fmt::Display for WorkspaceBinding {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.name().unwrap_or("-"))
    }
}
