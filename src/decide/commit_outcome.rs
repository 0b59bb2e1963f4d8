//! Decides when a commit is acknowledged. `docs/design.md`, "Acknowledged writes survive", gives the
//! reasons.

use crate::model::{ids, log_position, upstream_state};

/// What is known about a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// A second upstream holds it, or every later primary does. Every log that has reached the
    /// position contains the commit.
    Durable(log_position::LogPosition),
    /// A later primary started below it, so it is gone.
    Dropped,
    /// Nothing settles it yet.
    Pending,
}

/// Judges the commit at `position`, made by `committer`, by the latest states of the group.
pub fn resolve_commit<'a>(
    committer: &str,
    position: log_position::LogPosition,
    states: impl Iterator<Item = &'a upstream_state::UpstreamState> + Clone,
) -> CommitOutcome {
    let confirmed = states
        .clone()
        .any(|state| state.upstream != committer && state.confirms(position));
    if confirmed {
        return CommitOutcome::Durable(position);
    }
    let Some((settled, holder)) = settled_start(position.term, states) else {
        return CommitOutcome::Pending;
    };
    let Some(next) = holder.first_start_after(position.term) else {
        return CommitOutcome::Pending;
    };
    if position.offset >= next.offset {
        return CommitOutcome::Dropped;
    }
    // The offset alone proves nothing: the later primary may have started from a log that never had
    // this term and whose older entries fill the offset. A log with the term's start entry has the
    // term's entries up to the next start.
    let has = |wanted: &dyn Fn(ids::TermNumber) -> bool| {
        holder.starts.iter().any(|start| wanted(start.term))
    };
    if has(&|term| term == position.term) {
        // A primary of a term in between may have started from a log without the commit and never
        // have been settled. Its position is above the commit's, but below the settled start.
        CommitOutcome::Durable(settled)
    } else if has(&|term| term < position.term) {
        CommitOutcome::Dropped
    } else {
        // The list of recent starts may have been cut off.
        CommitOutcome::Pending
    }
}

/// Returns a start entry of a term after `term` that every later primary has, with an upstream that
/// holds it. Two upstreams have to hold it while they promise its term and no higher one. A start
/// that two got later, from a primary of a higher term, may still be replaced.
fn settled_start<'a>(
    term: ids::TermNumber,
    states: impl Iterator<Item = &'a upstream_state::UpstreamState> + Clone,
) -> Option<(log_position::LogPosition, &'a upstream_state::UpstreamState)> {
    states
        .clone()
        .filter(|state| state.promised > term)
        .filter_map(|state| {
            let own = |start: &&log_position::LogPosition| start.term == state.promised;
            Some((*state.starts.iter().find(own)?, state))
        })
        .filter(|(start, _)| {
            states
                .clone()
                .filter(|state| state.confirms(*start))
                .map(|state| &state.upstream)
                .collect::<std::collections::BTreeSet<_>>()
                .len()
                >= 2
        })
        .min_by_key(|(start, _)| *start)
}
