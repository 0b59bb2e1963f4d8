//! Waits for an upstream that may be promoted, before a decision is begun.
//!
//! Until then nothing is claimed and no replica is fenced: a replica that lacks commits goes on to
//! receive, and the other VMs go on to report commits to their callers. As long as the primary
//! answers but cannot commit, new commits are refused at once; reads go on.

use std::rc;

use tokio::time::Instant;

use crate::model::log_position;
use crate::node::{
    decision, edge, group, limits, log_evidence, log_format, log_survey, monitor, node_log,
    node_tables, promotion, promotion_candidate,
};

/// Waits until an upstream may be promoted, as far as this VM knows. `previous` is the latest
/// decision number that was known when the problem was found.
///
/// # Errors
///
/// Fails with the end of the wait if there is nothing to decide any more, or if no upstream may be
/// promoted for [`limits::DECISION_TIMEOUT`].
pub async fn await_successor<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    group: &rc::Rc<group::GroupState>,
    problem: monitor::GroupProblem,
    previous: edge::RevisionNumber,
) -> Result<(), decision::DecisionEnd> {
    let deadline = Instant::now() + limits::DECISION_TIMEOUT;
    let stalled = problem == monitor::GroupProblem::Stalled;
    let mut logged = None;
    let mut head = None;
    if stalled {
        // If the replicas receive what the primary writes, only answers were lost, and a failover
        // would not help.
        head = log_survey::LogSurvey::take(tables, group).await.head;
        tokio::time::sleep(limits::STALL_CHECK).await;
    }
    loop {
        let survey = log_survey::LogSurvey::take(tables, group).await;
        if group.decisions.latest() != previous {
            return Err(decision::DecisionEnd::Overtaken);
        }
        if let Some(kept) = group.primary() {
            let serves = !stalled && tables.has_primary(group);
            let replicates = stalled && survey.is_replicated(head);
            if replicates {
                group.accept_commits();
            }
            if serves || replicates {
                return Err(decision::DecisionEnd::Kept(kept));
            }
        }
        head = survey.head;
        let choice = promotion::choose_failover(&survey.candidates, &own_evidence(group));
        if logged.as_ref() != Some(&choice) {
            log_choice(group, problem, &choice, &survey.candidates, head);
        }
        let missing = match &choice {
            promotion::PromotionChoice::Promote(_) => return Ok(()),
            promotion::PromotionChoice::Nothing => "nothing to promote".to_owned(),
            promotion::PromotionChoice::Await(upstream) => format!("{upstream} is missing"),
            promotion::PromotionChoice::CatchUp(upstream, deficit) => {
                format!("{upstream} lacks {deficit}")
            }
        };
        if stalled && survey.head.is_some() {
            group.refuse_commits(node_tables::monotonic_now() + limits::COMMIT_REFUSAL);
        }
        if Instant::now() >= deadline {
            return Err(decision::DecisionEnd::Waiting(missing));
        }
        logged = Some(choice);
        tokio::time::sleep(limits::MONITOR_TICK).await;
    }
}

/// Returns what this VM knows about the commits that a successor must hold. The decision asks the
/// other hosts before it promotes.
fn own_evidence(group: &group::GroupState) -> log_evidence::LogEvidence {
    let own = group.log_knowledge();
    log_evidence::LogEvidence {
        own,
        hosts: own,
        complete: true,
    }
}

fn log_choice(
    group: &group::GroupState,
    problem: monitor::GroupProblem,
    choice: &promotion::PromotionChoice,
    candidates: &[promotion_candidate::PromotionCandidate],
    head: Option<log_position::LogPosition>,
) {
    let log = group.log_knowledge();
    node_log::info(
        "logs_surveyed",
        &[
            ("group", &group.group),
            ("trouble", &problem),
            ("choice", &format!("{choice:?}")),
            ("candidates", &log_format::format_candidates(candidates)),
            ("head", &log_format::format_position(head)),
            (
                "acknowledged",
                &log_format::format_position(log.acknowledged),
            ),
            ("told", &log_format::format_position(log.told)),
            ("term", &log.term),
            ("term_start", &log_format::format_start(log.term_start)),
        ],
    );
}
