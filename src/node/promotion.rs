//! Chooses which upstream becomes the primary, as pure functions.
//!
//! A commit is acknowledged once one replica has received it. Among all replicas that could have
//! acknowledged a commit, the one with the highest received position therefore holds every
//! acknowledged commit. See `docs/node.md`, "Failover".

use crate::model::{ids, log_position};

/// State of one upstream of the group other than the primary that is being replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionCandidate {
    /// The upstream.
    pub upstream: ids::UpstreamId,
    /// Last position that it has received, once it has been fenced or queried.
    pub received: Option<log_position::LogPosition>,
    /// Whether it is fenced, and so acknowledges no further commits.
    pub fenced: bool,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Next step of a decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromotionChoice {
    /// Promote this upstream.
    Promote(ids::UpstreamId),
    /// Wait for this upstream: it has not been fenced, and might hold acknowledged commits.
    Await(ids::UpstreamId),
    /// This upstream has to receive more first.
    CatchUp(ids::UpstreamId),
    /// There is nothing to promote.
    Nothing,
}

/// Chooses the successor of a primary that does not answer. The choice is deterministic: every VM
/// chooses the same upstream from the same replicas. `acknowledged` is the highest position that
/// this VM knows to be acknowledged.
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

/// Chooses the target of a planned move while the primary still serves: the upstream with the
/// highest received position among those that are not leaving.
#[must_use]
pub fn choose_target(candidates: &[PromotionCandidate]) -> Option<&PromotionCandidate> {
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
