//! This VM's share of the connections to an upstream, as the configuration divides it.

use std::rc;
use std::time;

use crate::decide::share_limits;
use crate::node::connections::pool;
use crate::node::workspaces::workspace_binding;
use crate::node::{config, edge};

fn config<E: edge::NodeEdge>(pool: &pool::UpstreamPool<E>) -> Option<rc::Rc<config::NodeConfig>> {
    pool.tables.upgrade()?.config()
}

/// Returns whether the configuration lists workspaces, between which the share is divided.
#[must_use]
pub fn is_divided<E: edge::NodeEdge>(pool: &pool::UpstreamPool<E>) -> bool {
    config(pool).is_some_and(|config| !config.workspaces.is_empty())
}

/// Returns whether the configuration lists a workspace.
#[must_use]
pub fn is_listed<E: edge::NodeEdge>(
    pool: &pool::UpstreamPool<E>,
    workspace: &workspace_binding::WorkspaceBinding,
) -> bool {
    let Some(name) = workspace.name() else {
        return true;
    };
    config(pool).is_some_and(|config| config.workspaces.contains_key(name))
}

/// Returns this VM's share of the connections that the upstream allows.
#[must_use]
pub fn max_connections<E: edge::NodeEdge>(pool: &pool::UpstreamPool<E>) -> u32 {
    let Some(tables) = pool.tables.upgrade() else {
        return 0;
    };
    pool.read_entry(|entry| tables.connection_share(&entry.group))
}

/// Returns how this VM's share of the connections is divided.
#[must_use]
pub fn limits<E: edge::NodeEdge>(pool: &pool::UpstreamPool<E>) -> share_limits::ShareLimits {
    let share = max_connections(pool);
    if is_divided(pool) {
        share_limits::ShareLimits::divided(share)
    } else {
        share_limits::ShareLimits::undivided(share)
    }
}

/// Returns the time after which an idle transaction may be ended, if there is a limit.
#[must_use]
pub fn transaction_idle<E: edge::NodeEdge>(pool: &pool::UpstreamPool<E>) -> Option<time::Duration> {
    config(pool)?.transaction_idle
}
