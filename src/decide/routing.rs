//! Chooses the upstream for a unit of work.

use std::time;

use crate::model::{ids, log_position, upstream_spec, upstream_state};

/// Wait for a slot that a read accepts at a replica in its own data centre before it goes to another
/// data centre. It is the round trip between data centres.
pub const REMOTE_COST: time::Duration = time::Duration::from_millis(3);

/// How far an upstream can be reached, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UpstreamReach {
    /// A pool reports a connection to it.
    Reported,
    /// No pool that can be reached reports on it; the next owner in rank may still reach it, and
    /// checks the position and the term itself.
    Assumed,
    /// Every pool that reports on it has lost it.
    Lost,
}

/// One upstream as the feeds describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamView {
    /// What the platform says.
    pub spec: upstream_spec::UpstreamSpec,
    /// Latest state in any feed.
    pub state: Option<upstream_state::UpstreamState>,
    /// How far it can be reached.
    pub reach: UpstreamReach,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Estimated wait for a slot.
    pub wait: time::Duration,
}

/// Why a unit of work goes where it goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum RouteReason {
    /// A replica in the entry's data centre is fresh enough.
    LocalReplica,
    /// A replica in another data centre is fresh enough.
    RemoteReplica,
    /// No replica is fresh enough in time.
    PrimaryFallback,
    /// It may change data.
    PrimaryWrite,
}

/// A chosen upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteChoice {
    /// The upstream.
    pub upstream: ids::UpstreamId,
    /// Term in which it is the primary, if it was chosen as such.
    pub term: Option<ids::TermNumber>,
    /// Why.
    pub reason: RouteReason,
}

/// Returns the primary of the highest term with that term. A primary of a lower term never counts,
/// even if that of the highest cannot be reached: it has been replaced.
#[must_use]
pub fn find_primary(views: &[UpstreamView]) -> Option<(&UpstreamView, ids::TermNumber)> {
    views
        .iter()
        .filter_map(|view| Some((view, view.state.as_ref()?.primary_term?)))
        .max_by_key(|(_, term)| *term)
        .filter(|(view, _)| view.reach != UpstreamReach::Lost)
}

/// Chooses the upstream for a unit that may write. It may read as well, so a primary below
/// `least_term`, the term of a position that the session has to see, does not do.
#[must_use]
pub fn route_write(views: &[UpstreamView], least_term: ids::TermNumber) -> Option<RouteChoice> {
    let (view, term) = find_primary(views)?;
    (!view.leaving && term >= least_term).then(|| RouteChoice {
        upstream: view.spec.upstream.clone(),
        term: Some(term),
        reason: RouteReason::PrimaryWrite,
    })
}

/// Chooses a replica that has applied `floor`, or returns `None` if there is none now. `avoid` names
/// upstreams that refused this unit.
#[must_use]
pub fn route_read(
    views: &[UpstreamView],
    floor: log_position::LogPosition,
    data_centre: &str,
    avoid: &[ids::UpstreamId],
) -> Option<RouteChoice> {
    route_read_in_turn(views, floor, data_centre, avoid, 0)
}

/// Like [`route_read`]; `turn` counts the reads, so that replicas which are equally good take turns.
/// Without turns, all reads between two reports of a pool went to the same replica and to its slots
/// only.
#[must_use]
pub fn route_read_in_turn(
    views: &[UpstreamView],
    floor: log_position::LogPosition,
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
                .is_some_and(|state| state.primary_term.is_none() && state.applied >= floor)
        })
        .map(|view| {
            let remote = view.spec.data_centre != data_centre;
            // A full local replica is worse than an idle one a few milliseconds away.
            let far = if remote {
                REMOTE_COST
            } else {
                time::Duration::ZERO
            };
            ((view.reach, view.wait + far), remote, view)
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
    floor: log_position::LogPosition,
    avoid: &[ids::UpstreamId],
) -> Option<RouteChoice> {
    let (view, _) = find_primary(views)?;
    let state = view.state.as_ref()?;
    let usable = !view.leaving && state.applied >= floor && !avoid.contains(&view.spec.upstream);
    usable.then(|| RouteChoice {
        upstream: view.spec.upstream.clone(),
        term: None,
        reason: RouteReason::PrimaryFallback,
    })
}
