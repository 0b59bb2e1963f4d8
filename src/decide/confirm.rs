//! Decides when a commit is acknowledged. `docs/design.md`, "Acknowledged writes survive", gives the
//! reasons.

use crate::model::{ids, log_position, upstream_state};

/// What is known about a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitVerdict {
    /// A second upstream holds it, or every later primary does.
    Kept,
    /// A later primary started below it, so it is gone.
    Dropped,
    /// Nothing settles it yet.
    Pending,
}

/// Judges the commit at `position`, made by `committer`, by the latest states of the group.
pub fn judge_commit<'a>(
    committer: &str,
    position: log_position::LogPosition,
    states: impl Iterator<Item = &'a upstream_state::UpstreamState> + Clone,
) -> CommitVerdict {
    let confirmed = states
        .clone()
        .any(|state| state.upstream != committer && state.confirms(position));
    if confirmed {
        return CommitVerdict::Kept;
    }
    let Some((start, holder)) = settled_start(position.term, states) else {
        return CommitVerdict::Pending;
    };
    if position.offset >= start.offset {
        return CommitVerdict::Dropped;
    }
    // The offset alone proves nothing: the later primary may have started from a log that never had
    // this term and whose older entries fill the offset. A log with the term's start entry has the
    // term's entries up to the next start.
    let has = |wanted: &dyn Fn(ids::TermNumber) -> bool| {
        holder.starts.iter().any(|start| wanted(start.term))
    };
    if has(&|term| term == position.term) {
        CommitVerdict::Kept
    } else if has(&|term| term < position.term) {
        CommitVerdict::Dropped
    } else {
        // The list of recent starts may have been cut off.
        CommitVerdict::Pending
    }
}

/// Returns the start entry of the first term after `term` once two upstreams hold it, with one of them. One copy is no
/// evidence: a primary that was cut off right after its promotion may be replaced without a trace.
fn settled_start<'a>(
    term: ids::TermNumber,
    states: impl Iterator<Item = &'a upstream_state::UpstreamState> + Clone,
) -> Option<(log_position::LogPosition, &'a upstream_state::UpstreamState)> {
    let holds = |state: &upstream_state::UpstreamState, start: log_position::LogPosition| {
        state.first_start_after(term) == Some(start) && state.held >= start
    };
    states
        .clone()
        .filter_map(|state| Some((state.first_start_after(term)?, state)))
        .filter(|(start, _)| {
            states
                .clone()
                .filter(|state| holds(state, *start))
                .map(|state| &state.upstream)
                .collect::<std::collections::BTreeSet<_>>()
                .len()
                >= 2
        })
        .min_by_key(|(start, _)| *start)
}
