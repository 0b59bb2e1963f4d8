//! Decides which upstream becomes the primary. Pure.
//!
//! A commit is acknowledged once one replica has received it. So the replica that received most,
//! among all that could have acknowledged something, holds every acknowledged commit. See
//! `docs/node.md`, "Failover".

use crate::model::{ids, log_position};

/// What is known of one upstream of the group, other than the primary that is to be replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionCandidate {
    /// The upstream.
    pub upstream: ids::UpstreamId,
    /// Last position that it has received, once it has been fenced or asked.
    pub received: Option<log_position::LogPosition>,
    /// Whether it was fenced, and so acknowledges nothing any more.
    pub fenced: bool,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromotionChoice {
    /// Promote this upstream.
    Promote(ids::UpstreamId),
    /// Ask again: this upstream has not answered, and might hold acknowledged commits.
    Await(ids::UpstreamId),
    /// This upstream has to receive more first.
    CatchUp(ids::UpstreamId),
    /// There is nothing to promote.
    Nothing,
}

/// Chooses the successor of a primary that does not answer. Every VM chooses the same one from the
/// same replicas. `acknowledged` is the highest position that this VM has seen acknowledged.
#[must_use]
pub fn choose_failover(
    candidates: &[PromotionCandidate],
    acknowledged: Option<log_position::LogPosition>,
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
    if best.received < acknowledged {
        return PromotionChoice::CatchUp(best.upstream.clone());
    }
    PromotionChoice::Promote(best.upstream.clone())
}

/// Chooses the upstream to which the lead moves while the primary still serves: the one that
/// received most among those that stay.
#[must_use]
pub fn choose_target(candidates: &[PromotionCandidate]) -> Option<&PromotionCandidate> {
    candidates
        .iter()
        .filter(|candidate| !candidate.leaving && candidate.received.is_some())
        .max_by_key(|candidate| (candidate.received, &candidate.upstream))
}

/// Decides whether the lead can move to `target` now: every other replica is fenced, so that only
/// `target` can acknowledge, and it holds `head`, which the primary had applied after that.
#[must_use]
pub fn choose_move(
    candidates: &[PromotionCandidate],
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
        Some(_) => PromotionChoice::CatchUp(target.to_owned()),
        None => PromotionChoice::Nothing,
    }
}
