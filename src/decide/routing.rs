//! Chooses the upstream for a unit of work.

use std::time;

use crate::model::{ids, log_position, upstream_spec, upstream_state};

/// Cost of a replica in another data centre, as a wait for a slot: the round trip between data
/// centres. A read goes to another data centre only if that saves a longer wait for a slot.
pub const REMOTE_COST: time::Duration = time::Duration::from_millis(3);

/// Reachability of an upstream, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UpstreamReach {
    /// A pool reports a connection to it.
    Reported,
    /// No reachable pool reports on it. The pool of the next owner in rank may still reach it, and
    /// checks the position and the term itself.
    Assumed,
    /// Every pool that reports on it has lost its connection to it.
    Lost,
}

/// State of one upstream, from the feeds of the pools.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamView {
    /// Description of the upstream by the platform.
    pub spec: upstream_spec::UpstreamSpec,
    /// Latest state in any feed, if there is one.
    pub state: Option<upstream_state::UpstreamState>,
    /// Reachability of the upstream.
    pub reach: UpstreamReach,
    /// Whether the upstream takes no new work.
    pub leaving: bool,
    /// Estimated wait for a slot.
    pub wait: time::Duration,
}

/// Why an upstream was chosen for a unit of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum RouteReason {
    /// A replica in the entry's data centre is fresh enough.
    LocalReplica,
    /// A replica in another data centre is fresh enough.
    RemoteReplica,
    /// No replica is fresh enough in time.
    PrimaryFallback,
    /// The unit may change data.
    PrimaryWrite,
}

/// A chosen upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteChoice {
    /// The upstream.
    pub upstream: ids::UpstreamId,
    /// Term in which it is the primary, if it was chosen as such.
    pub term: Option<ids::TermNumber>,
    /// Why it was chosen.
    pub reason: RouteReason,
}

/// Returns the primary of the highest term, with that term. A primary of a lower term has been
/// replaced and is never returned, even if that of the highest term cannot be reached.
#[must_use]
pub fn find_primary(views: &[UpstreamView]) -> Option<(&UpstreamView, ids::TermNumber)> {
    views
        .iter()
        .filter_map(|view| Some((view, view.state.as_ref()?.primary_term?)))
        .max_by_key(|(_, term)| *term)
        .filter(|(view, _)| view.reach != UpstreamReach::Lost)
}

/// Chooses the upstream for a unit of work that may write. The unit may read as well, so the term
/// of the primary must be at least `min_term`, the term of the position that the session has to
/// see.
#[must_use]
pub fn route_write(views: &[UpstreamView], min_term: ids::TermNumber) -> Option<RouteChoice> {
    let (view, term) = find_primary(views)?;
    (!view.leaving && term >= min_term).then(|| RouteChoice {
        upstream: view.spec.upstream.clone(),
        term: Some(term),
        reason: RouteReason::PrimaryWrite,
    })
}

/// Chooses a replica that has applied `min_position`, or returns `None` if there is none now.
/// `avoid` names the upstreams that have refused this unit of work.
#[must_use]
pub fn route_read(
    views: &[UpstreamView],
    min_position: log_position::LogPosition,
    data_centre: &str,
    avoid: &[ids::UpstreamId],
) -> Option<RouteChoice> {
    route_read_in_turn(views, min_position, data_centre, avoid, 0)
}

/// Chooses a replica like [`route_read`], but in turn among equally good ones; `turn` counts the
/// reads. Without turns, all reads between two reports of a pool go to the slots of one replica.
#[must_use]
pub fn route_read_in_turn(
    views: &[UpstreamView],
    min_position: log_position::LogPosition,
    data_centre: &str,
    avoid: &[ids::UpstreamId],
    turn: usize,
) -> Option<RouteChoice> {
    let mut candidates: Vec<_> = views
        .iter()
        .filter(|view| view.reach != UpstreamReach::Lost && !view.leaving)
        .filter(|view| !avoid.contains(&view.spec.upstream))
        .filter(|view| {
            view.state
                .as_ref()
                .is_some_and(|state| state.primary_term.is_none() && state.applied >= min_position)
        })
        .map(|view| {
            let remote = view.spec.data_centre != data_centre;
            // An idle replica a few milliseconds away is better than a local one without a free
            // slot.
            let cost = if remote {
                REMOTE_COST
            } else {
                time::Duration::ZERO
            };
            ((view.reach, view.wait + cost), remote, view)
        })
        .collect();
    let first = turn.checked_rem(candidates.len())?;
    candidates.rotate_left(first);
    candidates
        .into_iter()
        .min_by_key(|(rank, _, _)| *rank)
        .map(|(_, remote, view)| RouteChoice {
            upstream: view.spec.upstream.clone(),
            term: None,
            reason: if remote {
                RouteReason::RemoteReplica
            } else {
                RouteReason::LocalReplica
            },
        })
}

/// Chooses the primary for a read that no replica can serve in time.
#[must_use]
pub fn route_fallback(
    views: &[UpstreamView],
    min_position: log_position::LogPosition,
    avoid: &[ids::UpstreamId],
) -> Option<RouteChoice> {
    let (view, _) = find_primary(views)?;
    let state = view.state.as_ref()?;
    let usable =
        !view.leaving && state.applied >= min_position && !avoid.contains(&view.spec.upstream);
    usable.then(|| RouteChoice {
        upstream: view.spec.upstream.clone(),
        term: None,
        reason: RouteReason::PrimaryFallback,
    })
}
