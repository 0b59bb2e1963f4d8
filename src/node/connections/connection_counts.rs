//! [`ConnectionCounts`]: how many connections to one upstream each workspace has.

use std::collections;

use crate::node::workspaces::workspace_binding;

/// Connections of one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkspaceCount {
    /// Open connections.
    pub open: u32,
    /// Open connections that transactions hold.
    pub held: u32,
}

/// How many connections to one upstream each workspace has.
#[derive(Debug, Default)]
pub struct ConnectionCounts {
    by_workspace: collections::BTreeMap<workspace_binding::WorkspaceBinding, WorkspaceCount>,
}

impl ConnectionCounts {
    /// Changes the count of a workspace.
    pub fn change(
        &mut self,
        workspace: &workspace_binding::WorkspaceBinding,
        change: impl FnOnce(&mut WorkspaceCount),
    ) {
        let mut count = self.of(workspace);
        change(&mut count);
        if count == WorkspaceCount::default() {
            self.by_workspace.remove(workspace);
        } else {
            self.by_workspace.insert(workspace.clone(), count);
        }
    }

    /// Returns the count of a workspace.
    #[must_use]
    pub fn of(&self, workspace: &workspace_binding::WorkspaceBinding) -> WorkspaceCount {
        self.by_workspace
            .get(workspace)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open(&self) -> u32 {
        self.by_workspace.values().map(|count| count.open).sum()
    }

    /// Returns the number of connections that transactions hold.
    #[must_use]
    pub fn held(&self) -> u32 {
        self.by_workspace.values().map(|count| count.held).sum()
    }
}
