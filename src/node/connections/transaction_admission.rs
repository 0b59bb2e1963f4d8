//! Admits transactions, which may hold a connection for long, to the connections of a pool.

use std::rc;

use tokio::time::Instant;

use crate::node::connections::{pool, share, wait_queue};
use crate::node::workspaces::workspace_binding;
use crate::node::{edge, node_log, node_tables, reads, upstream_session};

/// Returns a connection of a workspace for a transaction.
///
/// # Errors
///
/// Fails as [`pool::UpstreamPool::acquire`] does, and with
/// [`pool::AcquireError::TransactionLimit`] if too many transactions hold connections.
pub async fn acquire<E: edge::NodeEdge>(
    pool: &rc::Rc<pool::UpstreamPool<E>>,
    workspace: workspace_binding::WorkspaceBinding,
    options: wait_queue::WaitOptions,
) -> Result<upstream_session::UpstreamSession<E>, pool::AcquireError> {
    if !share::is_divided(pool) {
        return pool.acquire(workspace, options).await;
    }
    let (limits, idle) = (share::limits(pool), share::transaction_idle(pool));
    let ticket = pool
        .transactions
        .begin(&workspace, limits, idle, options.deadline)
        .await;
    let Some(ticket) = ticket else {
        return Err(pool::AcquireError::TransactionLimit);
    };
    let mut session = pool.acquire(workspace, options).await?;
    session.set_ticket(ticket);
    Ok(session)
}

/// Returns whether no upstream is expected to have a connection for a new transaction in time.
#[must_use]
pub fn refuses_begin<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    plan: &reads::ReadPlan,
    read_only: bool,
) -> bool {
    let deadline = plan.route.wait_options(Instant::now()).deadline;
    let refuses = |pool: &rc::Rc<pool::UpstreamPool<E>>| refuses(pool, &plan.workspace, deadline);
    let pools = if read_only {
        tables.pools_of(&plan.group.group)
    } else {
        tables.primary_pool(&plan.group).into_iter().collect()
    };
    let Some(first) = pools.first().filter(|_| pools.iter().all(refuses)) else {
        return false;
    };
    log_refused(first, &plan.workspace);
    true
}

/// Returns whether a transaction of a workspace is not expected to get a connection in time.
fn refuses<E: edge::NodeEdge>(
    pool: &pool::UpstreamPool<E>,
    workspace: &workspace_binding::WorkspaceBinding,
    deadline: Instant,
) -> bool {
    let (limits, idle) = (share::limits(pool), share::transaction_idle(pool));
    share::is_divided(pool)
        && !pool
            .transactions
            .may_begin(workspace, limits, idle, deadline)
}

/// Logs and counts a transaction that is refused since too many hold connections.
pub fn log_refused<E: edge::NodeEdge>(
    pool: &pool::UpstreamPool<E>,
    workspace: &workspace_binding::WorkspaceBinding,
) {
    metrics::counter!("persimmontack_connections_refused_total", "reason" => "transactions")
        .increment(1);
    node_log::warn(
        "transaction_refused",
        &[
            ("upstream", pool.upstream()),
            ("workspace", workspace),
            ("held", &pool.held_by_transactions()),
        ],
    );
}
