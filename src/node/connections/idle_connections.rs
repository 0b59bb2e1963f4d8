//! [`IdleConnections`]: the idle connections to one upstream, each of one workspace.

use tokio::time::Instant;

use crate::node::connections::share;
use crate::node::workspaces::workspace_binding;
use crate::node::{edge, node_log, upstream_session};

/// An idle connection, and when it was used last.
struct IdleConnection<E: edge::NodeEdge> {
    last_use: Instant,
    session: upstream_session::UpstreamSession<E>,
}

/// The idle connections to one upstream, the most recently used one last.
pub struct IdleConnections<E: edge::NodeEdge> {
    connections: Vec<IdleConnection<E>>,
}

impl<E: edge::NodeEdge> std::fmt::Debug for IdleConnections<E> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_list().entries(self.iter()).finish()
    }
}

impl<E: edge::NodeEdge> Default for IdleConnections<E> {
    fn default() -> Self {
        Self {
            connections: Vec::new(),
        }
    }
}

impl<E: edge::NodeEdge> IdleConnections<E> {
    /// Adds a connection that was last used at `last_use`.
    pub fn put(&mut self, last_use: Instant, session: upstream_session::UpstreamSession<E>) {
        let place = self
            .connections
            .partition_point(|idle| idle.last_use <= last_use);
        self.connections
            .insert(place, IdleConnection { last_use, session });
    }

    /// Removes and returns the most recently used connection of a workspace.
    pub fn take(
        &mut self,
        workspace: &workspace_binding::WorkspaceBinding,
    ) -> Option<upstream_session::UpstreamSession<E>> {
        loop {
            let place = self
                .connections
                .iter()
                .rposition(|idle| idle.session.workspace() == workspace)?;
            let mut session = self.connections.remove(place).session;
            if is_usable(&mut session) {
                return Some(session);
            }
        }
    }

    /// Removes and returns the most recently used connection of any workspace for statements of the
    /// node itself. One without a workspace is preferred.
    pub fn take_for_probe(&mut self) -> Option<upstream_session::UpstreamSession<E>> {
        let unbound = |idle: &IdleConnection<E>| idle.session.workspace().name().is_none();
        loop {
            let last = self.connections.len().checked_sub(1)?;
            let place = self.connections.iter().rposition(unbound).unwrap_or(last);
            let mut idle = self.connections.remove(place);
            if is_usable(&mut idle.session) {
                // A probe must not make a connection look as if a workspace needed it.
                if share::is_divided(idle.session.pool()) {
                    idle.session.set_probed_after(idle.last_use);
                }
                return Some(idle.session);
            }
        }
    }

    /// Removes and returns the connections for which `remove` holds, the least recently used ones
    /// first. It gets the workspace and the last use of each.
    #[must_use]
    pub fn extract(
        &mut self,
        mut remove: impl FnMut(&workspace_binding::WorkspaceBinding, Instant) -> bool,
    ) -> Vec<upstream_session::UpstreamSession<E>> {
        self.connections
            .extract_if(.., |idle| remove(idle.session.workspace(), idle.last_use))
            .map(|idle| idle.session)
            .collect()
    }

    /// Returns the workspace and the last use of each connection, the least recently used one first.
    pub fn iter(&self) -> impl Iterator<Item = (&workspace_binding::WorkspaceBinding, Instant)> {
        self.connections
            .iter()
            .map(|idle| (idle.session.workspace(), idle.last_use))
    }

    /// Removes and returns the connection at this place of [`Self::iter`].
    pub fn remove(&mut self, place: usize) -> Option<upstream_session::UpstreamSession<E>> {
        (place < self.connections.len()).then(|| self.connections.remove(place).session)
    }

    /// Returns the number of idle connections of a workspace.
    #[must_use]
    pub fn count_of(&self, workspace: &workspace_binding::WorkspaceBinding) -> u32 {
        let own = self.iter().filter(|(other, _)| *other == workspace);
        u32::try_from(own.count()).unwrap_or(u32::MAX)
    }

    /// Returns whether a workspace has an idle connection.
    #[must_use]
    pub fn has(&self, workspace: &workspace_binding::WorkspaceBinding) -> bool {
        self.iter().any(|(other, _)| other == workspace)
    }

    /// Returns the number of idle connections.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether there is no idle connection.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
}

fn is_usable<E: edge::NodeEdge>(session: &mut upstream_session::UpstreamSession<E>) -> bool {
    let stale = session.is_stale();
    if stale {
        let upstream = session.pool().upstream();
        node_log::debug("upstream_connection_stale", &[("upstream", upstream)]);
    }
    !stale
}
