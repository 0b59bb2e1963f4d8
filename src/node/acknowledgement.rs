//! Decides whether a commit that an upstream has acknowledged is kept whoever leads next.
//!
//! An upstream acknowledges a commit that one replica has received. While the primary is being
//! replaced, that replica may be one that the successor is not compared with: it joined later, or
//! receives again. So a commit of a term that may be ending counts once the successor holds it. See
//! `docs/node.md`, "Acknowledgements while the primary changes".

use std::rc;
use std::time;

use futures::future;
use tokio::time::Instant;

use crate::model::{ids, log_position};
use crate::node::{edge, group, isolation, limits, node_log, node_tables, pool, probe, request};

/// A commit that an upstream has acknowledged.
#[derive(Clone, Debug)]
pub struct AcknowledgedCommit {
    /// The caller's request.
    pub request: request::CallerRequest,
    /// The group.
    pub group: rc::Rc<group::GroupState>,
    /// The upstream that acknowledged it.
    pub upstream: ids::UpstreamId,
    /// Its position.
    pub position: log_position::LogPosition,
}

/// Why an acknowledgement does not count by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
enum CommitDoubt {
    /// The primary is being replaced by this upstream, or by one that is not known yet.
    Replaced(Option<ids::UpstreamId>),
    /// This VM may have missed that the primary is being replaced.
    Uninformed,
    /// The store is away, so that this VM hears of decisions by other VMs alone.
    WithoutStore,
    /// This VM may have been cut off before the acknowledgement.
    Unreached,
}

/// Completes once the commit is known to be kept.
///
/// # Errors
///
/// Fails if the commit is dropped, and does not complete while that is unknown.
pub async fn await_kept<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    commit: &AcknowledgedCommit,
) -> Result<(), String> {
    let started = Instant::now();
    let acknowledged = node_tables::steady_now();
    let mut held = false;
    let mut lacking_since = None;
    let result = loop {
        let Some(doubt) = doubt(tables, commit, acknowledged) else {
            break Ok(());
        };
        if doubt == CommitDoubt::Unreached {
            reach_others(tables, commit).await;
            continue;
        }
        if !std::mem::replace(&mut held, true) {
            report(commit, "commit_held", &format!("{doubt:?}"), started);
        }
        let decision = commit.group.decision();
        let kept = look(tables, commit, &doubt).await;
        if kept == Some(true) && commit.group.decision() == decision {
            commit.group.note_kept(commit.position);
            break Ok(());
        }
        let leads = matches!(&doubt, CommitDoubt::Replaced(Some(successor))
            if commit.group.is_primary(successor));
        if kept == Some(false) && leads {
            let since: Instant = *lacking_since.get_or_insert_with(Instant::now);
            if since.elapsed() > limits::HOLD_PATIENCE {
                break Err("the new primary lacks the commit".to_owned());
            }
        }
        tokio::select! {
            () = tables.changed.notified() => {}
            () = tokio::time::sleep(limits::HOLD_POLL) => {}
        }
    };
    if held {
        let outcome = if result.is_ok() { "kept" } else { "dropped" };
        report(commit, "commit_settled", outcome, started);
        metrics::counter!("persimmontack_commits_held_total", "outcome" => outcome).increment(1);
    }
    result
}

/// Looks for the commit where it has to be. Returns nothing if that is not known.
async fn look<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    commit: &AcknowledgedCommit,
    doubt: &CommitDoubt,
) -> Option<bool> {
    let guard = LookGuard::begin(&commit.group)?;
    let kept = match doubt {
        CommitDoubt::Replaced(Some(successor)) => {
            let pool = tables.pool(successor)?;
            probe::ask_holds(&pool, commit.position).await
        }
        CommitDoubt::Replaced(None) | CommitDoubt::Unreached => None,
        CommitDoubt::Uninformed => all_replicas_hold(tables, commit).await.then_some(true),
        CommitDoubt::WithoutStore => any_replica_holds(tables, commit).await.then_some(true),
    };
    drop(guard);
    kept
}

/// Held by the one commit that is being looked for.
struct LookGuard<'a> {
    group: &'a group::GroupState,
}

impl<'a> LookGuard<'a> {
    fn begin(group: &'a group::GroupState) -> Option<Self> {
        (!group.set_looking(true)).then_some(Self { group })
    }
}

impl Drop for LookGuard<'_> {
    fn drop(&mut self) {
        self.group.set_looking(false);
    }
}

fn doubt<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    commit: &AcknowledgedCommit,
    acknowledged: time::Duration,
) -> Option<CommitDoubt> {
    let group = &commit.group;
    if group.is_kept(commit.position) {
        return None;
    }
    let leader = group
        .primary()
        .filter(|primary| *primary != commit.upstream);
    let change = group
        .open_change(node_tables::steady_now())
        .filter(|change| change.threatens(commit.position));
    if let Some(change) = change {
        return Some(CommitDoubt::Replaced(change.successor.or(leader)));
    }
    if !group.is_primary(&commit.upstream) {
        return Some(CommitDoubt::Replaced(leader));
    }
    if tables.isolation.is_uninformed(tables.edge.boot_time()) {
        return Some(CommitDoubt::Uninformed);
    }
    if !tables.store_up.get() {
        return Some(CommitDoubt::WithoutStore);
    }
    let remote = isolation::remote_pools(tables);
    let is_reached = |pool: &rc::Rc<pool::UpstreamPool<E>>| {
        let reached = pool.health.get().reached();
        reached.is_some_and(|reached| reached >= acknowledged)
    };
    let unreached = !remote.is_empty() && !remote.iter().any(is_reached);
    unreached.then_some(CommitDoubt::Unreached)
}

/// Asks an upstream in another data centre for a sign of life. A VM that is cut off finds that out
/// only after a while, and what is acknowledged in its data centre until then may rest on an
/// upstream that nobody else knows of.
async fn reach_others<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    commit: &AcknowledgedCommit,
) {
    let mut remote = isolation::remote_pools(tables);
    remote.retain(|pool| !pool.is_suspect());
    let nearest = remote
        .iter()
        .max_by_key(|pool| (pool.health.get().heard(), pool.upstream()));
    let Some((pool, guard)) = nearest.zip(LookGuard::begin(&commit.group)) else {
        tokio::time::sleep(limits::REACH_POLL).await;
        return;
    };
    let group = tables.group(&pool.read_entry(|entry| entry.group.clone()));
    if probe::ask_lead(pool, &group, false).await == probe::LeadAnswer::Silent {
        node_log::debug("upstream_unreached", &[("upstream", pool.upstream())]);
        tokio::time::sleep(limits::REACH_POLL).await;
    }
    drop(guard);
}

/// Returns the replicas in the list that stay. Whoever replaces the primary compares all of them.
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
    let asked = replicas
        .iter()
        .map(|pool| probe::ask_holds(pool, commit.position));
    let answers = future::join_all(asked).await;
    answers.into_iter().all(|holds| holds == Some(true))
}

async fn any_replica_holds<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    commit: &AcknowledgedCommit,
) -> bool {
    let mut replicas = staying_replicas(tables, commit);
    replicas.retain(|pool| !pool.is_suspect());
    let is_remote = |pool: &pool::UpstreamPool<E>| {
        pool.read_entry(|entry| entry.data_centre != tables.own.data_centre)
    };
    replicas.sort_by_key(|pool| is_remote(pool));
    // One after the other: giving an answer up would cost its connection.
    for pool in replicas {
        if probe::ask_holds(&pool, commit.position).await == Some(true) {
            return true;
        }
    }
    false
}

fn report(commit: &AcknowledgedCommit, event: &'static str, what: &str, started: Instant) {
    node_log::info(
        event,
        &[
            ("request", &commit.request.id_text()),
            ("group", &commit.group.group),
            ("upstream", &commit.upstream),
            ("position", &commit.position),
            ("decision", &commit.group.decision()),
            ("what", &what),
            ("elapsed_ms", &started.elapsed().as_millis()),
        ],
    );
}
