//! Runs decisions on the primary of a group, and cleans up after them.
//!
//! Each decision has a number from the store that increases from one decision to the next; the
//! platform refuses calls with an outdated number (a fencing token). [`decision`] implements one
//! decision. See `docs/node.md`, "Failover".

use std::rc;

use futures::future;

use crate::model::ids;
use crate::node::{
    claims, command, decision, decision_outcome, edge, group, limits, monitor, node_log,
    node_tables, notices, pool, primary_change, probe, promotion, promotion_candidate,
    successor_wait,
};

/// Claims a decision number, runs the decision, and cleans up after it. `previous` is the latest
/// number that was known when the decision became due; if another VM has claimed one since then,
/// that VM decides.
pub async fn decide<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    group: &rc::Rc<group::GroupState>,
    problem: monitor::GroupProblem,
    mut previous: edge::RevisionNumber,
) -> decision::DecisionEnd {
    // A promotion of an earlier decision that was never closed may still take effect.
    let pending = group
        .decisions
        .open_change(node_tables::monotonic_now())
        .is_some();
    if let Err(end) = await_successor(tables, group, problem, previous).await {
        return end;
    }
    let deadline = tables.edge.boot_time() + limits::DECISION_TIMEOUT;
    let mut fenced = Vec::new();
    loop {
        let successor = match problem {
            monitor::GroupProblem::Leaving => match choose_successor(tables, group).await {
                Some(successor) => Some(successor),
                None => {
                    return decision::DecisionEnd::GaveUp("no replica can take over".to_owned());
                }
            },
            monitor::GroupProblem::NoPrimary
            | monitor::GroupProblem::Silent
            | monitor::GroupProblem::Stalled
            | monitor::GroupProblem::Abandoned => None,
        };
        let change = primary_change::PrimaryChange {
            ends: group.term(),
            successor,
        };
        let number = match claims::claim_number(tables, group, previous, &change).await {
            Ok(number) => number,
            Err(claims::ClaimError::Overtaken) => return decision::DecisionEnd::Overtaken,
            Err(error @ claims::ClaimError::Store(_)) => {
                return decision::DecisionEnd::GaveUp(error.to_string());
            }
        };
        previous = number;
        group.decisions.set_own(number);
        let mut decision = decision::Decision::begin(tables, group, number, change, deadline);
        decision.log_begun(problem);
        let end = decision.run(problem).await;
        fenced.append(&mut decision.fenced);
        if end == decision::DecisionEnd::Outdated && tables.edge.boot_time() < deadline {
            tokio::time::sleep(limits::PROMOTION_POLL).await;
            continue;
        }
        if pending && !rules_out_earlier(group, &decision, &end).await {
            return end;
        }
        if pending {
            fenced = replicas(tables, group);
        }
        finish(tables, group, number, &end, fenced).await;
        return end;
    }
}

/// Waits until an upstream may be promoted, if the decision is to promote one for certain.
async fn await_successor<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    group: &rc::Rc<group::GroupState>,
    problem: monitor::GroupProblem,
    previous: edge::RevisionNumber,
) -> Result<(), decision::DecisionEnd> {
    match problem {
        monitor::GroupProblem::NoPrimary
        | monitor::GroupProblem::Silent
        | monitor::GroupProblem::Stalled => {
            successor_wait::await_successor(tables, group, problem, previous).await
        }
        monitor::GroupProblem::Leaving | monitor::GroupProblem::Abandoned => {
            query_term(tables, group).await;
            Ok(())
        }
    }
}

/// Ensures that no promotion of an earlier decision can still take effect. Returns whether that is
/// certain.
async fn rules_out_earlier<E: edge::NodeEdge>(
    group: &group::GroupState,
    decision: &decision::Decision<'_, E>,
    end: &decision::DecisionEnd,
) -> bool {
    match end {
        decision::DecisionEnd::Promoted(_) => true,
        decision::DecisionEnd::Kept(_)
        | decision::DecisionEnd::Outdated
        | decision::DecisionEnd::GaveUp(_) => match group.primary() {
            Some(primary) => decision.confirm_primary(&primary).await,
            None => false,
        },
        decision::DecisionEnd::Waiting(_)
        | decision::DecisionEnd::Overtaken
        | decision::DecisionEnd::Unsettled(_) => false,
    }
}

fn replicas<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    group: &group::GroupState,
) -> Vec<rc::Rc<pool::UpstreamPool<E>>> {
    let mut pools = tables.pools_of(&group.group);
    pools.retain(|pool| !group.is_primary(pool.upstream()));
    pools
}

/// Closes a decision in the store, and lifts its fences if they are no longer needed. The fences
/// stay if another VM has begun a decision, which relies on them, and as long as a promotion may
/// still take effect: until then, no replica may confirm commits of the old primary.
async fn finish<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    group: &rc::Rc<group::GroupState>,
    number: edge::RevisionNumber,
    end: &decision::DecisionEnd,
    fenced: Vec<rc::Rc<pool::UpstreamPool<E>>>,
) {
    match end {
        decision::DecisionEnd::Promoted(_) => {
            let outcome = decision_outcome::DecisionOutcome::Promoted;
            claims::spawn_close(tables, group, number, outcome);
        }
        decision::DecisionEnd::Waiting(_)
        | decision::DecisionEnd::Overtaken
        | decision::DecisionEnd::Unsettled(_) => {}
        decision::DecisionEnd::Kept(_)
        | decision::DecisionEnd::Outdated
        | decision::DecisionEnd::GaveUp(_) => {
            let outcome = decision_outcome::DecisionOutcome::Kept;
            match claims::close_decision(tables, group, number, outcome).await {
                Ok(()) => lift_fences(group, number, &fenced).await,
                Err(edge::StoreError::Conflict) => {}
                Err(_unanswered) => finish_without_store(tables, group, number, fenced),
            }
        }
    }
}

/// Cleans up after a decision while the store is unavailable. If all hosts of the group reply and
/// none knows of a later decision, the fences are lifted before the store is back.
fn finish_without_store<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    group: &rc::Rc<group::GroupState>,
    number: edge::RevisionNumber,
    fenced: Vec<rc::Rc<pool::UpstreamPool<E>>>,
) {
    let tables = rc::Rc::clone(tables);
    let group = rc::Rc::clone(group);
    tokio::task::spawn_local(async move {
        let notice = primary_change::ChangeNotice {
            group: group.group.clone(),
            number,
            change: group
                .decisions
                .open_change(node_tables::monotonic_now())
                .unwrap_or_default(),
        };
        let hosts = tables.ordered_hosts(&group.group);
        let replies = notices::notify_hosts(rc::Rc::clone(&tables), notice, hosts).await;
        let is_latest = replies.complete && replies.latest <= number;
        if is_latest {
            lift_fences(&group, number, &fenced).await;
        }
        let outcome = decision_outcome::DecisionOutcome::Kept;
        if claims::close_with_retry(&tables, &group, number, outcome).await && !is_latest {
            lift_fences(&group, number, &fenced).await;
        }
    });
}

async fn lift_fences<E: edge::NodeEdge>(
    group: &group::GroupState,
    number: edge::RevisionNumber,
    fenced: &[rc::Rc<pool::UpstreamPool<E>>],
) {
    let staying: Vec<_> = fenced
        .iter()
        .filter(|pool| !pool.read_entry(|entry| entry.leaving))
        .collect();
    let names: Vec<_> = staying
        .iter()
        .map(|pool| pool.upstream().as_str())
        .collect();
    node_log::info(
        "fences_lifted",
        &[
            ("group", &group.group),
            ("decision", &number),
            ("latest", &group.decisions.latest()),
            ("upstreams", &names.join(",")),
        ],
    );
    let queries = staying
        .iter()
        .map(|pool| probe::query_status(pool, &command::UpstreamCommand::Unfence));
    future::join_all(queries).await;
}

/// Queries the upstreams for the term of the group if this VM knows none.
async fn query_term<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    group: &group::GroupState,
) {
    if group.term() > 0 {
        return;
    }
    let pools = tables.pools_of(&group.group);
    let queries = pools
        .iter()
        .filter(|pool| !pool.is_suspect())
        .map(|pool| probe::query_status(pool, &command::UpstreamCommand::Status));
    for status in future::join_all(queries).await.into_iter().flatten() {
        group.record_term(status.term);
    }
}

/// Chooses the successor of a primary that is leaving.
async fn choose_successor<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    group: &group::GroupState,
) -> Option<ids::UpstreamId> {
    let old = group.primary()?;
    let pools = tables.pools_of(&group.group);
    let queries = pools
        .iter()
        .filter(|pool| *pool.upstream() != old && !pool.is_suspect())
        .map(|pool| async {
            let status = probe::query_status(pool, &command::UpstreamCommand::Status).await;
            let mut candidate = promotion_candidate::PromotionCandidate::new(pool);
            candidate.received = status.map(|status| status.received);
            candidate
        });
    let candidates = future::join_all(queries).await;
    promotion::choose_target(&candidates).map(|best| best.upstream.clone())
}
