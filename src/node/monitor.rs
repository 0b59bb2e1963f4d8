//! Monitors the upstreams of one group: which ones answer, which one is the primary, and whether a
//! decision on the primary is due.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use crate::model::ids;
use crate::node::{
    claims, decision, edge, failover, group, leadership, limits, node_log, node_tables, pool, probe,
};

/// Why a group may need another primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum GroupProblem {
    /// No upstream is known to be the primary.
    NoPrimary,
    /// The primary does not answer.
    Silent,
    /// The primary answers, but its commits hang.
    Stalled,
    /// The primary is leaving.
    Leaving,
    /// A decision was begun but never closed.
    Abandoned,
}

/// Monitors a group as long as the node runs.
pub async fn run<E: edge::NodeEdge>(
    tables: rc::Rc<node_tables::NodeTables<E>>,
    group: rc::Rc<group::GroupState>,
) {
    let probing = rc::Rc::new(ProbeTable::default());
    let mut since: Option<(GroupProblem, time::Duration)> = None;
    let mut last_tick = node_tables::monotonic_now();
    let mut last_fence = time::Duration::ZERO;
    let mut last_reserve = node_tables::monotonic_now();
    loop {
        tokio::time::sleep(limits::MONITOR_TICK).await;
        let now = node_tables::monotonic_now();
        let gap = now.saturating_sub(last_tick);
        last_tick = now;
        if !tables.is_configured(&group.group) || !tables.is_host(&group.group) {
            for pool in tables.pools_of(&group.group) {
                pool.close_idle();
            }
            since = None;
            continue;
        }
        let has_primary = tables.has_primary(&group);
        let pools = tables.pools_of(&group.group);
        // One silent upstream may be the first sign that a data centre is cut off. The others are
        // probed then too, since without statements their silence would go unnoticed.
        let silence_of = |pool: &rc::Rc<pool::UpstreamPool<E>>| {
            now.saturating_sub(pool.health.get().last_answer().unwrap_or_default())
        };
        let is_remote = |pool: &rc::Rc<pool::UpstreamPool<E>>| {
            pool.read_entry(|entry| entry.data_centre != tables.own_entry.data_centre)
        };
        let remote_silent = pools
            .iter()
            .filter(|pool| is_remote(pool))
            .all(|pool| silence_of(pool) > limits::REMOTE_PROBE_AFTER);
        let may_be_cut_off = remote_silent || pools.iter().any(|pool| pool.is_suspect());
        for pool in pools {
            pool.ensure_connection();
            pool.close_unused();
            pool.review_waiting();
            if pool.is_closed() {
                pool.redirect_waiting();
            }
            let health = pool.health.get();
            let quiet = silence_of(&pool) > limits::POSITION_INTERVAL;
            if health.needs_probe(now) || !has_primary || (may_be_cut_off && quiet) {
                spawn_probe(&tables, &group, &pool, &probing);
            }
        }
        refresh_position(&tables, &group, &probing);
        let due = now.saturating_sub(last_fence) >= limits::FENCE_INTERVAL;
        if due || has_open_leaver(&tables, &group) {
            last_fence = now;
            fence_leaving(&tables, &group);
        }
        if gap > limits::STALL_GAP {
            node_log::info(
                "process_stalled",
                &[("group", &group.group), ("gap_ms", &gap.as_millis())],
            );
            since = None;
            continue;
        }
        // Neither a partial list nor observations made while cut off justify a decision.
        if !tables.has_complete_list()
            || tables
                .isolation
                .may_have_missed_decisions(tables.edge.boot_time())
        {
            since = None;
            continue;
        }
        let Some(problem) = find_problem(&tables, &group, now) else {
            since = None;
            if now.saturating_sub(last_reserve) >= limits::RESERVE_INTERVAL {
                last_reserve = now;
                reserve_number_if_due(&tables, &group, now);
            }
            continue;
        };
        let begun = match since {
            Some((earlier, begun)) if earlier == problem => begun,
            _ => now,
        };
        since = Some((problem, begun));
        if group.decisions.is_deciding() || !is_due(&tables, &group, problem, begun, now) {
            continue;
        }
        since = None;
        spawn_decision(&tables, &group, problem);
    }
}

/// Returns the problem with the primary, if there is one.
fn find_problem<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    group: &group::GroupState,
    now: time::Duration,
) -> Option<GroupProblem> {
    let Some(pool) = tables.primary_pool(group) else {
        return Some(GroupProblem::NoPrimary);
    };
    if pool.is_suspect() {
        return Some(GroupProblem::Silent);
    }
    if group.commit_stall(now) > limits::COMMIT_STALL || group.refuses_commits(now) {
        return Some(GroupProblem::Stalled);
    }
    if pool.read_entry(|entry| entry.leaving) {
        return Some(GroupProblem::Leaving);
    }
    group
        .decisions
        .is_abandoned(now)
        .then_some(GroupProblem::Abandoned)
}

fn is_due<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    group: &group::GroupState,
    problem: GroupProblem,
    begun: time::Duration,
    now: time::Duration,
) -> bool {
    // While commits are refused, the VM has to notice soon that they need not be any more.
    let rank = if group.refuses_commits(now) {
        0
    } else {
        tables.decision_rank(group)
    };
    let min_duration = limits::FAILOVER_AFTER + limits::RANK_DELAY * rank;
    let is_recent = |moment: Option<time::Duration>, span: time::Duration| {
        moment.is_some_and(|moment| now.saturating_sub(moment) < span)
    };
    // An upstream that is leaving may just have been promoted, and has to hand over in time.
    let is_over = problem == GroupProblem::Leaving && group.decisions.open_change(now).is_none();
    now.saturating_sub(begun) >= min_duration
        && !is_recent(group.decisions.ended_at(), limits::DECISION_COOLDOWN)
        && (is_over || !is_recent(group.decisions.seen_at(), limits::DECISION_HOLD_OFF))
}

fn spawn_decision<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    group: &rc::Rc<group::GroupState>,
    problem: GroupProblem,
) {
    group.decisions.set_deciding(true);
    let previous = group.decisions.latest();
    let tables = rc::Rc::clone(tables);
    let group = rc::Rc::clone(group);
    tokio::task::spawn_local(async move {
        let end = failover::decide(&tables, &group, problem, previous).await;
        if let decision::DecisionEnd::Waiting(missing) = &end {
            // Without a decision there is nothing to wait for before the next attempt.
            node_log::info(
                "decision_postponed",
                &[
                    ("group", &group.group),
                    ("trouble", &problem),
                    ("reason", missing),
                ],
            );
            group.decisions.set_deciding(false);
            return;
        }
        node_log::warn(
            "decision_ended",
            &[
                ("group", &group.group),
                ("decision", &group.decisions.latest()),
                ("trouble", &problem),
                ("end", &end),
            ],
        );
        metrics::counter!("persimmontack_decisions_total", "trouble" => problem.to_string())
            .increment(1);
        group.decisions.record_ended(node_tables::monotonic_now());
        group.decisions.set_deciding(false);
        tables.changed.notify_waiters();
    });
}

/// Reserves a decision number on the VM of rank 0 while the group is healthy.
fn reserve_number_if_due<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    group: &rc::Rc<group::GroupState>,
    now: time::Duration,
) {
    let busy = group
        .decisions
        .seen_at()
        .is_some_and(|moment| now.saturating_sub(moment) < limits::DECISION_HOLD_OFF);
    let open = group.decisions.open_change(now).is_some();
    let wanted = tables.store_available.get() && !group.decisions.is_deciding() && !busy && !open;
    if !wanted || group.decisions.has_reserved() || tables.decision_rank(group) > 0 {
        return;
    }
    let previous = group.decisions.latest();
    let tables = rc::Rc::clone(tables);
    let group = rc::Rc::clone(group);
    tokio::task::spawn_local(async move {
        claims::reserve_number(&tables, &group, previous).await;
    });
}

/// Returns whether a replica is leaving that is not known to be fenced under the current primary.
fn has_open_leaver<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    group: &group::GroupState,
) -> bool {
    let Some(primary) = group.primary() else {
        return false;
    };
    tables.pools_of(&group.group).iter().any(|pool| {
        let leaving = pool.read_entry(|entry| entry.leaving);
        leaving && *pool.upstream() != primary && !pool.fence.is_under(&primary)
    })
}

/// Fences replicas that are leaving, so that commits are acknowledged only by replicas that stay.
/// Otherwise the log of a leaving replica could be the only second copy of a commit.
fn fence_leaving<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    group: &rc::Rc<group::GroupState>,
) {
    let Some(primary) = group.primary() else {
        return;
    };
    let pools = tables.pools_of(&group.group);
    let is_leaving = |pool: &pool::UpstreamPool<E>| pool.read_entry(|entry| entry.leaving);
    let is_staying = |pool: &pool::UpstreamPool<E>| {
        *pool.upstream() != primary && !is_leaving(pool) && !pool.is_suspect()
    };
    if group.decisions.is_deciding() || !pools.iter().any(|pool| is_staying(pool)) {
        return;
    }
    for pool in pools {
        if !is_leaving(&pool) || *pool.upstream() == primary || pool.is_suspect() {
            continue;
        }
        let primary = primary.clone();
        let group = rc::Rc::clone(group);
        tokio::task::spawn_local(async move {
            let Some(status) = probe::fence(&pool, group.term() + 1).await else {
                return;
            };
            group.record_term(status.term);
            if status.primary || status.fenced == 0 || pool.fence.is_under(&primary) {
                return;
            }
            node_log::info(
                "leaving_replica_fenced",
                &[
                    ("upstream", pool.upstream()),
                    ("primary", &primary),
                    ("received", &status.received),
                ],
            );
            pool.fence.set(primary);
        });
    }
}

/// Queries the role of an upstream, and sets it as the primary of the group if it has that role.
pub fn verify_primary<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    group: &rc::Rc<group::GroupState>,
    upstream: &str,
) {
    let Some(pool) = tables.pool(upstream) else {
        return;
    };
    let tables = rc::Rc::clone(tables);
    let group = rc::Rc::clone(group);
    tokio::task::spawn_local(async move {
        let answer = probe::query_role(&pool, &group, false).await;
        if let probe::RoleAnswer::Primary(lead) = answer {
            leadership::accept_primary(&tables, &group, &pool, lead.term, "listed");
        }
    });
}

/// Upstreams that are being probed.
#[derive(Debug, Default)]
struct ProbeTable {
    running: cell::RefCell<collections::BTreeSet<ids::UpstreamId>>,
}

fn spawn_probe<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    group: &rc::Rc<group::GroupState>,
    pool: &rc::Rc<pool::UpstreamPool<E>>,
    probing: &rc::Rc<ProbeTable>,
) {
    if !probing.running.borrow_mut().insert(pool.upstream().clone()) {
        return;
    }
    let tables = rc::Rc::clone(tables);
    let group = rc::Rc::clone(group);
    let pool = rc::Rc::clone(pool);
    let probing = rc::Rc::clone(probing);
    tokio::task::spawn_local(async move {
        // Old connections may be dead while a new one works.
        let suspect = pool.is_suspect();
        let answer = probe::query_role(&pool, &group, suspect).await;
        if suspect && answer != probe::RoleAnswer::Silent {
            pool.close_idle();
            node_log::info("upstream_answers_again", &[("upstream", pool.upstream())]);
            tables.changed.notify_waiters();
        }
        match answer {
            probe::RoleAnswer::Primary(lead) => {
                let leads = leadership::accept_primary(&tables, &group, &pool, lead.term, "probed");
                if leads {
                    // Confirms the position that the primary has just reported.
                    let now = tables.edge.boot_time();
                    leadership::prove_primary(&tables, &group, now).await;
                }
            }
            probe::RoleAnswer::Replica if group.is_primary(pool.upstream()) => {
                tables.set_primary(&group, None, "follows");
            }
            probe::RoleAnswer::Replica | probe::RoleAnswer::Silent => {}
        }
        probing.running.borrow_mut().remove(pool.upstream());
    });
}

/// Queries the position of the primary if no recent statement has reported one.
fn refresh_position<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    group: &rc::Rc<group::GroupState>,
    probing: &rc::Rc<ProbeTable>,
) {
    let age = group
        .newest_position_time()
        .map(|newest| tables.edge.boot_time().saturating_sub(newest));
    if age.is_some_and(|age| age < limits::POSITION_INTERVAL) {
        return;
    }
    if let Some(pool) = tables.primary_pool(group) {
        spawn_probe(tables, group, &pool, probing);
    }
}
