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
    command, edge, group, lead_round, node_log, node_tables, peer_list, pool, probe, term_search,
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
    let latest = group.decisions.latest();
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
    if proved && let Some(term) = group.primary_term() {
        let now = node_tables::monotonic_now();
        group.decisions.record_proof(latest, term, now);
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
    let mut round = lead_round::LeadRound::begin(tables, group, primary, term);
    let mut queries = FuturesUnordered::new();
    for (index, report) in round.reports.iter().enumerate() {
        if let Some(pool) = tables.pool(&report.upstream)
            && !pool.is_suspect()
        {
            queries.push(async move { (index, query_report(&pool).await) });
        }
    }
    let mut verdict = round.verdict();
    while verdict == LeadVerdict::Unproved
        && let Some((index, role)) = queries.next().await
    {
        round.add(index, role);
        verdict = round.verdict();
    }
    if verdict == LeadVerdict::Leads {
        group.counted.clear_vanished();
        for report in &round.reports {
            group.counted.add_early(&report.upstream);
        }
    }
    let silent = round.reports.iter().any(|report| report.role.is_none());
    let doubtful = silent || verdict == LeadVerdict::Unproved;
    if doubtful && !round.list.recent && tables.has_complete_list() {
        if tables.store_available.get() {
            tables.refresh.notify_one();
        }
        peer_list::spawn_query(tables, group);
    }
    // Abandoning a question would close its connection, and a later answer may show that more of the
    // log is replicated.
    tokio::task::spawn_local(async move {
        while let Some((index, role)) = queries.next().await {
            round.add(index, role);
        }
    });
    verdict
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
        received: status.received,
    })
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
