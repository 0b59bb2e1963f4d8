//! Decides whether a commit that an upstream has acknowledged survives a change of the primary.
//!
//! An upstream acknowledges a commit once one replica has received it. While the primary is being
//! replaced, that replica may not be among those that were compared to choose the successor: it may
//! have joined later, or resumed receiving. A commit of a term that may be ending is therefore
//! reported to the caller only once the successor holds it. See `docs/node.md`, "Acknowledgements
//! while the primary changes".

use std::rc;
use std::time;

use futures::future;
use tokio::time::Instant;

use crate::model::{ids, log_position};
use crate::node::{
    commit_moment, edge, group, isolation, limits, node_log, node_tables, pool, probe, request,
};

/// A commit that an upstream has acknowledged.
#[derive(Clone, Debug)]
pub struct AcknowledgedCommit {
    /// The request that the commit belongs to.
    pub request: request::CallerRequest,
    /// State of the upstream's group.
    pub group: rc::Rc<group::GroupState>,
    /// The upstream that acknowledged the commit.
    pub upstream: ids::UpstreamId,
    /// Log position of the commit.
    pub position: log_position::LogPosition,
    /// When the commit was sent.
    pub moment: commit_moment::CommitMoment,
}

/// Why the acknowledgement of an upstream is not sufficient.
#[derive(Clone, Debug, PartialEq, Eq)]
enum UnconfirmedReason {
    /// The primary is being replaced, by the given upstream or by one that is not known yet.
    Replaced(Option<ids::UpstreamId>),
    /// This VM may have missed a decision to replace the primary.
    Uninformed,
    /// The store is unavailable, so this VM learns of decisions only from other VMs.
    WithoutStore,
    /// No other data centre is known to have been reachable since the acknowledgement.
    Unreached,
    /// The replica that confirmed the commit may be one that leaves, and takes its log with it.
    Leaving,
}

/// Waits until the commit is known to survive a change of the primary.
///
/// Does not complete as long as the outcome is unknown.
///
/// # Errors
///
/// Fails if the new primary lacks the commit.
pub async fn await_durable<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    commit: &AcknowledgedCommit,
) -> Result<(), String> {
    let started = Instant::now();
    let acknowledged = node_tables::monotonic_now();
    let mut held = false;
    let mut lacking_since = None;
    let result = loop {
        let Some(reason) = unconfirmed_reason(tables, commit, acknowledged) else {
            break Ok(());
        };
        if reason == UnconfirmedReason::Unreached {
            probe_other_centres(tables, commit).await;
            continue;
        }
        if !std::mem::replace(&mut held, true) {
            log_commit(commit, "commit_held", &format!("{reason:?}"), started);
        }
        let decision = commit.group.decisions.latest();
        let kept = check_commit(tables, commit, &reason).await;
        if kept == Some(true) && commit.group.decisions.latest() == decision {
            commit
                .group
                .decisions
                .record_successor_position(commit.position);
            break Ok(());
        }
        let is_promoted = matches!(&reason, UnconfirmedReason::Replaced(Some(successor))
            if commit.group.is_primary(successor));
        if kept == Some(false) && is_promoted {
            let since: Instant = *lacking_since.get_or_insert_with(Instant::now);
            if since.elapsed() > limits::COMMIT_APPLY_TIMEOUT {
                break Err("the new primary lacks the commit".to_owned());
            }
        }
        tokio::select! {
            () = tables.changed.notified() => {}
            () = tokio::time::sleep(limits::COMMIT_CHECK_PAUSE) => {}
        }
    };
    if held {
        let outcome = if result.is_ok() { "kept" } else { "dropped" };
        log_commit(commit, "commit_settled", outcome, started);
        metrics::counter!("persimmontack_commits_held_total", "outcome" => outcome).increment(1);
    }
    result
}

/// Asks the upstreams that have to hold the commit whether they do. Returns `None` if the answer is
/// not known, or if another commit of the group is being checked.
async fn check_commit<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    commit: &AcknowledgedCommit,
    reason: &UnconfirmedReason,
) -> Option<bool> {
    let guard = CheckGuard::begin(&commit.group)?;
    let kept = match reason {
        UnconfirmedReason::Replaced(Some(successor)) => {
            let pool = tables.pool(successor)?;
            probe::holds_position(&pool, commit.position).await
        }
        UnconfirmedReason::Replaced(None) | UnconfirmedReason::Unreached => None,
        UnconfirmedReason::Uninformed => all_replicas_hold(tables, commit).await.then_some(true),
        UnconfirmedReason::WithoutStore | UnconfirmedReason::Leaving => {
            any_replica_holds(tables, commit).await.then_some(true)
        }
    };
    drop(guard);
    kept
}

/// Marks that a commit of the group is being checked; at most one check runs at a time.
struct CheckGuard<'a> {
    group: &'a group::GroupState,
}

impl<'a> CheckGuard<'a> {
    fn begin(group: &'a group::GroupState) -> Option<Self> {
        (!group.set_checking_commit(true)).then_some(Self { group })
    }
}

impl Drop for CheckGuard<'_> {
    fn drop(&mut self) {
        self.group.set_checking_commit(false);
    }
}

fn unconfirmed_reason<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    commit: &AcknowledgedCommit,
    acknowledged: time::Duration,
) -> Option<UnconfirmedReason> {
    let group = &commit.group;
    if group.decisions.successor_holds(commit.position) {
        return None;
    }
    let leader = group
        .primary()
        .filter(|primary| *primary != commit.upstream);
    let change = group
        .decisions
        .open_change(node_tables::monotonic_now())
        .filter(|change| change.may_drop(commit.position));
    if let Some(change) = change {
        return Some(UnconfirmedReason::Replaced(change.successor.or(leader)));
    }
    if !group.is_primary(&commit.upstream) {
        return Some(UnconfirmedReason::Replaced(leader));
    }
    if tables
        .isolation
        .may_have_missed_decisions(tables.edge.boot_time())
    {
        return Some(UnconfirmedReason::Uninformed);
    }
    if !tables.store_available.get() {
        return Some(UnconfirmedReason::WithoutStore);
    }
    let remote = isolation::remote_pools(tables);
    let is_reached = |pool: &rc::Rc<pool::UpstreamPool<E>>| {
        let reached = pool.health.get().last_reached();
        reached.is_some_and(|reached| reached >= acknowledged)
    };
    if !remote.is_empty() && !remote.iter().any(is_reached) {
        return Some(UnconfirmedReason::Unreached);
    }
    may_rest_on_leaving(tables, commit).then_some(UnconfirmedReason::Leaving)
}

/// Returns whether a replica that leaves may have confirmed the commit: it was not known to be
/// fenced when the commit was sent.
fn may_rest_on_leaving<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    commit: &AcknowledgedCommit,
) -> bool {
    let is_open = |pool: &rc::Rc<pool::UpstreamPool<E>>| {
        let leaving = pool.read_entry(|entry| entry.leaving);
        let fenced_at = pool.fence.since(&commit.upstream);
        let fenced = fenced_at.is_some_and(|fenced_at| fenced_at <= commit.moment.sent_at);
        leaving && *pool.upstream() != commit.upstream && !fenced
    };
    let has_left = commit
        .group
        .leaver_gone_at()
        .is_some_and(|gone_at| commit.moment.sent_at < gone_at + limits::LEAVER_GRACE);
    has_left || tables.pools_of(&commit.group.group).iter().any(is_open)
}

/// Probes an upstream in another data centre. A VM that is cut off detects it only after a timeout,
/// and until then commits in its data centre may have been acknowledged by a replica that no VM
/// elsewhere knows of.
async fn probe_other_centres<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    commit: &AcknowledgedCommit,
) {
    let mut remote = isolation::remote_pools(tables);
    remote.retain(|pool| !pool.is_suspect());
    let nearest = remote
        .iter()
        .max_by_key(|pool| (pool.health.get().last_answer(), pool.upstream()));
    let Some((pool, guard)) = nearest.zip(CheckGuard::begin(&commit.group)) else {
        tokio::time::sleep(limits::REMOTE_CHECK_PAUSE).await;
        return;
    };
    let group = tables.group(&pool.read_entry(|entry| entry.group.clone()));
    if probe::query_role(pool, &group, false).await == probe::RoleAnswer::Silent {
        node_log::debug("upstream_unreached", &[("upstream", pool.upstream())]);
        tokio::time::sleep(limits::REMOTE_CHECK_PAUSE).await;
    }
    drop(guard);
}

/// Returns the listed replicas that are not leaving. A failover compares all of them.
fn staying_replicas<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    commit: &AcknowledgedCommit,
) -> Vec<rc::Rc<pool::UpstreamPool<E>>> {
    let mut pools = tables.pools_of(&commit.group.group);
    pools.retain(|pool| {
        *pool.upstream() != commit.upstream && !pool.read_entry(|entry| entry.leaving)
    });
    pools
}

async fn all_replicas_hold<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    commit: &AcknowledgedCommit,
) -> bool {
    let replicas = staying_replicas(tables, commit);
    if replicas.is_empty() || replicas.iter().any(|pool| pool.is_suspect()) {
        return false;
    }
    let queries = replicas
        .iter()
        .map(|pool| probe::holds_position(pool, commit.position));
    let answers = future::join_all(queries).await;
    answers.into_iter().all(|holds| holds == Some(true))
}

async fn any_replica_holds<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    commit: &AcknowledgedCommit,
) -> bool {
    let mut replicas = staying_replicas(tables, commit);
    replicas.retain(|pool| !pool.is_suspect());
    let is_remote = |pool: &pool::UpstreamPool<E>| {
        pool.read_entry(|entry| entry.data_centre != tables.own_entry.data_centre)
    };
    replicas.sort_by_key(|pool| is_remote(pool));
    // Asked one at a time, since abandoning an unanswered request closes its connection.
    for pool in replicas {
        if probe::holds_position(&pool, commit.position).await == Some(true) {
            return true;
        }
    }
    false
}

fn log_commit(commit: &AcknowledgedCommit, event: &'static str, what: &str, started: Instant) {
    node_log::info(
        event,
        &[
            ("request", &commit.request.id_text()),
            ("group", &commit.group.group),
            ("upstream", &commit.upstream),
            ("position", &commit.position),
            ("decision", &commit.group.decisions.latest()),
            ("primary", &commit.group.primary().as_deref().unwrap_or("-")),
            ("term", &commit.group.term()),
            ("what", &what),
            ("elapsed_ms", &started.elapsed().as_millis()),
        ],
    );
}
