//! Chooses which upstream becomes the primary, as pure functions.
//!
//! A commit is acknowledged once one replica has received it. Among all replicas that could have
//! acknowledged a commit of the primary's term, the one with the highest received position therefore
//! holds every acknowledged commit of that term. For commits of earlier terms, the primary itself may
//! have been that replica: see [`log_evidence`] and `docs/node.md`, "What a successor has to hold".

use crate::model::{ids, log_position};
use crate::node::{log_evidence, promotion_candidate};

/// Next step of a decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromotionChoice {
    /// Promote this upstream.
    Promote(ids::UpstreamId),
    /// Wait for this upstream: it has not been fenced, and might hold acknowledged commits.
    Await(ids::UpstreamId),
    /// This upstream has to receive more first, since it may lack acknowledged commits.
    CatchUp(ids::UpstreamId, log_evidence::LogDeficit),
    /// There is nothing to promote.
    Nothing,
}

/// Chooses the successor of a primary that does not answer. The choice is deterministic: every VM
/// chooses the same upstream from the same replicas.
#[must_use]
pub fn choose_failover(
    candidates: &[promotion_candidate::PromotionCandidate],
    evidence: &log_evidence::LogEvidence,
) -> PromotionChoice {
    let missing = candidates.iter().find(|candidate| !candidate.fenced);
    if let Some(candidate) = missing {
        return PromotionChoice::Await(candidate.upstream.clone());
    }
    let Some(best) = candidates
        .iter()
        .max_by_key(|candidate| (candidate.received, !candidate.leaving, &candidate.upstream))
    else {
        return PromotionChoice::Nothing;
    };
    let received = best.received.unwrap_or_default();
    match evidence.find_deficit(received) {
        Some(deficit) => PromotionChoice::CatchUp(best.upstream.clone(), deficit),
        None => PromotionChoice::Promote(best.upstream.clone()),
    }
}

/// Chooses the target of a planned move while the primary still serves: the upstream with the
/// highest received position among those that are not leaving.
#[must_use]
pub fn choose_target(
    candidates: &[promotion_candidate::PromotionCandidate],
) -> Option<&promotion_candidate::PromotionCandidate> {
    candidates
        .iter()
        .filter(|candidate| !candidate.leaving && candidate.received.is_some())
        .max_by_key(|candidate| (candidate.received, &candidate.upstream))
}

/// Decides whether `target` can be promoted now in a planned move: every other replica is fenced,
/// so that only `target` can acknowledge commits, and it holds `primary_position`, the position
/// that the primary had applied after that.
#[must_use]
pub fn choose_move(
    candidates: &[promotion_candidate::PromotionCandidate],
    target: &str,
    primary_position: log_position::LogPosition,
) -> PromotionChoice {
    let missing = candidates
        .iter()
        .find(|candidate| candidate.upstream != target && !candidate.fenced);
    if let Some(candidate) = missing {
        return PromotionChoice::Await(candidate.upstream.clone());
    }
    let received = candidates
        .iter()
        .find(|candidate| candidate.upstream == target)
        .and_then(|candidate| candidate.received);
    match received {
        Some(received) if received >= primary_position => {
            PromotionChoice::Promote(target.to_owned())
        }
        Some(_) => {
            let deficit = log_evidence::LogDeficit::AcknowledgedCommit;
            PromotionChoice::CatchUp(target.to_owned(), deficit)
        }
        None => PromotionChoice::Nothing,
    }
}
