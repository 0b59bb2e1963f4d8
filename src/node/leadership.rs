//! Finds out whether a group's primary still leads, by asking the other upstreams of the group.
//!
//! One round of questions at a time serves all statements that wait for it. The questions need no
//! execution slot. [`decide::leadership`] judges the reports. See `docs/node.md`, "Who leads".
//!
//! [`decide::leadership`]: crate::decide::leadership

use std::rc;
use std::time;

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use crate::decide::leadership::{self, LeadVerdict};
use crate::model::ids;
use crate::node::{
    command, edge, group, limits, node_log, node_tables, peer_list, pool, probe, term_search,
};

/// Returns whether the primary of the group still led at `since`, a time of
/// [`edge::NodeEdge::boot_time`]. Waits for the round that asks for it, and starts one if needed.
pub async fn prove_primary<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    group: &rc::Rc<group::GroupState>,
    since: time::Duration,
) -> bool {
    loop {
        let ended = group.proof.round_ended.notified();
        if let Some(proved) = group.proof.result_since(since) {
            return proved;
        }
        if group.proof.begin_round() {
            let tables = rc::Rc::clone(tables);
            let group = rc::Rc::clone(group);
            tokio::task::spawn_local(async move { run_round(&tables, &group).await });
        }
        ended.await;
    }
}

/// Runs one round of questions, and applies its verdict.
async fn run_round<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    group: &rc::Rc<group::GroupState>,
) {
    let began_at = tables.edge.boot_time();
    let primary = group.primary();
    let verdict = match &primary {
        Some(primary) => judge(tables, group, primary).await,
        None => LeadVerdict::Unproved,
    };
    // The reports say nothing about a primary that became known meanwhile.
    let unchanged = group.primary() == primary;
    let proved = unchanged && verdict == LeadVerdict::Leads;
    if proved != group.proof.is_proved() {
        node_log::info(
            "lead_judged",
            &[
                ("group", &group.group),
                ("primary", &primary.as_deref().unwrap_or("-")),
                ("term", &group.term()),
                ("verdict", &format!("{verdict:?}")),
            ],
        );
    }
    if unchanged && let LeadVerdict::Superseded(successor) = verdict {
        tables.set_primary(group, successor.as_deref(), "superseded");
    }
    group.end_round(began_at, proved);
}

async fn judge<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    group: &rc::Rc<group::GroupState>,
    primary: &str,
) -> LeadVerdict {
    let Some(pool) = tables.pool(primary) else {
        return LeadVerdict::Unproved;
    };
    let Some(term) = primary_term(group, &pool).await else {
        return LeadVerdict::Unproved;
    };
    if term < group.term() {
        return LeadVerdict::Superseded(None);
    }
    let list = leadership::ListKnowledge {
        recent: has_recent_list(tables),
        vanished: group.counted.has_vanished(),
        deciding: may_end(group, term),
    };
    let pools = tables.pools_of(&group.group);
    let others = pools.into_iter().filter(|pool| pool.upstream() != primary);
    let now = tables.edge.boot_time();
    // All upstreams that were listed earlier may have gone. After this time, every decision that this
    // VM may have missed has ended, and its successor is listed.
    let unproved = group.proof.unproved_time(now);
    let expired = list.recent && unproved > limits::DECISION_EXPIRY;
    let mut reports = Vec::new();
    let mut queries = FuturesUnordered::new();
    for pool in others {
        let listed = list.recent || group.counted.contains(pool.upstream(), now);
        let leaving = pool.read_entry(|entry| entry.leaving);
        let early = expired || group.counted.is_early(pool.upstream());
        reports.push(leadership::MemberReport {
            upstream: pool.upstream().clone(),
            leaving,
            early,
            recent: listed,
            role: None,
        });
        if !pool.is_suspect() {
            let index = reports.len() - 1;
            queries.push(async move { (index, query_report(&pool).await) });
        }
    }
    let mut verdict = leadership::judge_primary(term, &reports, list);
    while verdict == LeadVerdict::Unproved
        && let Some((index, role)) = queries.next().await
    {
        if let Some(role) = role {
            group.record_term(role.term);
        }
        if let Some(report) = reports.get_mut(index) {
            report.role = role;
        }
        verdict = leadership::judge_primary(term, &reports, list);
    }
    // Abandoning a question would close its connection.
    tokio::task::spawn_local(async move { while queries.next().await.is_some() {} });
    if verdict == LeadVerdict::Leads {
        group.counted.clear_vanished();
        for report in &reports {
            group.counted.add_early(&report.upstream);
        }
    }
    let silent = reports.iter().any(|report| report.role.is_none());
    let doubtful = silent || verdict == LeadVerdict::Unproved;
    if doubtful && !list.recent && tables.has_complete_list() {
        if tables.store_available.get() {
            tables.refresh.notify_one();
        }
        peer_list::spawn_query(tables, group);
    }
    verdict
}

/// Returns whether a decision may be in progress that ends `term`. One that ended an earlier term
/// may still be open because its VM does not reach the store.
fn may_end(group: &group::GroupState, term: ids::TermNumber) -> bool {
    group
        .decisions
        .open_change(node_tables::monotonic_now())
        .is_some_and(|change| change.ends >= term)
}

/// Returns the term in which an upstream acts as the primary, if it does.
async fn primary_term<E: edge::NodeEdge>(
    group: &group::GroupState,
    pool: &rc::Rc<pool::UpstreamPool<E>>,
) -> Option<ids::TermNumber> {
    if let Some(term) = group.primary_term() {
        return Some(term);
    }
    match probe::query_role(pool, group, false).await {
        probe::RoleAnswer::Primary(lead) => {
            group.set_primary_term(pool.upstream(), lead.term);
            Some(lead.term)
        }
        probe::RoleAnswer::Replica | probe::RoleAnswer::Silent => None,
    }
}

async fn query_report<E: edge::NodeEdge>(
    pool: &rc::Rc<pool::UpstreamPool<E>>,
) -> Option<leadership::RoleReport> {
    let status =
        probe::query_status(pool, &command::UpstreamCommand::Fence(probe::NO_FENCE)).await?;
    Some(leadership::RoleReport {
        primary: status.primary,
        term: status.term,
        fenced: status.fenced,
    })
}

/// Returns whether every decision still counts the upstreams in the list: entries that vanish from
/// the store are kept for [`limits::STORE_RETURN_GRACE`].
fn has_recent_list<E: edge::NodeEdge>(tables: &node_tables::NodeTables<E>) -> bool {
    let age = tables.isolation.store_answer_age(tables.edge.boot_time());
    tables.has_complete_list() && age < limits::STORE_RETURN_GRACE
}

/// Records an upstream that answered as the primary of `term`: as the group's primary, or, if a
/// later term is known, as an old one, which is told to step down. Returns whether it is the
/// group's primary.
pub fn accept_primary<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    group: &rc::Rc<group::GroupState>,
    pool: &rc::Rc<pool::UpstreamPool<E>>,
    term: ids::TermNumber,
    reason: &str,
) -> bool {
    if term >= group.term() {
        tables.set_primary(group, Some(pool.upstream()), reason);
        group.set_primary_term(pool.upstream(), term);
        term_search::spawn(group, pool, term);
        return true;
    }
    if group.is_primary(pool.upstream()) {
        tables.set_primary(group, None, "superseded");
    }
    let latest = group.term();
    let group = rc::Rc::clone(group);
    let pool = rc::Rc::clone(pool);
    tokio::task::spawn_local(async move {
        let command = command::UpstreamCommand::StepDown(latest);
        let status = probe::query_status(&pool, &command).await;
        node_log::warn(
            "old_primary_told_to_step_down",
            &[
                ("group", &group.group),
                ("upstream", pool.upstream()),
                ("term", &term),
                ("latest", &latest),
                ("obeyed", &status.is_some_and(|status| !status.primary)),
            ],
        );
    });
    false
}
