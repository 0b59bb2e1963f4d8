//! Decides when a commit is acknowledged. `docs/design.md`, "Acknowledged writes survive", gives
//! the reasons.

use crate::model::{ids, log_position, upstream_state};

/// Outcome of a commit, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// A second upstream holds the commit, or every later primary does. Every log that has reached
    /// the given position contains the commit.
    Durable(log_position::LogPosition),
    /// The log of a later primary does not contain the commit, so it is lost.
    Dropped,
    /// The known states do not decide it yet.
    Pending,
}

/// Returns the outcome of the commit at `position`, made on the upstream `committer`, as far as the
/// latest states of the group determine it.
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
    let Some((start, holder)) = quorum_start(position.term, states) else {
        return CommitOutcome::Pending;
    };
    let Some(next) = holder.first_start_after(position.term) else {
        return CommitOutcome::Pending;
    };
    if position.offset >= next.offset {
        return CommitOutcome::Dropped;
    }
    // The offset alone proves nothing: the later primary may have started from a log that never had
    // this term and whose entries of older terms reach beyond the offset. A log with the start
    // entry of the term also has the entries of the term up to the next start entry.
    let has_term = |wanted: &dyn Fn(ids::TermNumber) -> bool| {
        holder.starts.iter().any(|start| wanted(start.term))
    };
    if has_term(&|term| term == position.term) {
        // A primary of a term in between may have started from a log without the commit and never
        // have reached a quorum. Its position is above that of the commit, but below the start
        // entry that a quorum holds.
        CommitOutcome::Durable(start)
    } else if has_term(&|term| term < position.term) {
        CommitOutcome::Dropped
    } else {
        // The list of recent start entries may not reach back to the term.
        CommitOutcome::Pending
    }
}

/// Returns the first start entry of a term after `term` that every later primary has, with an
/// upstream that holds it. Two upstreams have to hold the entry while they promise its term and no
/// higher one. An entry that they received later, from a primary of a higher term, may still be
/// replaced.
fn quorum_start<'a>(
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
