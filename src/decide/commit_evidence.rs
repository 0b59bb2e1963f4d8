//! Decides whether an acknowledged commit survives a change of the primary, from what a VM knows.
//!
//! That nothing speaks against a commit does not make it safe: a VM may have missed a decision, or
//! have seen its end without its outcome. So a commit is reported to the caller only with evidence
//! that every later primary holds it. `docs/node.md`, "Acknowledgements while the primary changes",
//! gives the reasons for the rules.

use crate::model::{ids, log_position, term_start};

/// What a VM knows about an acknowledged commit and its group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CommitKnowledge {
    /// Latest term of the group that the VM knows.
    pub latest_term: ids::TermNumber,
    /// Start of the latest term whose start is known.
    pub term_start: Option<term_start::TermStart>,
    /// Highest position that the next primary is known to hold.
    pub successor_position: Option<log_position::LogPosition>,
    /// Last term that an open decision ends.
    pub ending_term: Option<ids::TermNumber>,
    /// Whether the VM takes the upstream that acknowledged the commit for the primary.
    pub leads: bool,
    /// Whether the VM may have missed a decision: it was cut off or suspended.
    pub uninformed: bool,
    /// Whether another data centre has been reached since the acknowledgement.
    pub reached: bool,
    /// Highest position that every later primary holds, see
    /// [`crate::decide::leadership::replicated_position`].
    pub replicated: Option<log_position::LogPosition>,
}

/// Why a commit is known to survive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum CommitEvidence {
    /// The next primary holds it.
    Successor,
    /// A later term began after it.
    TermStart,
    /// A replica holds it that every decision counts.
    Replica,
    /// All replicas that stay hold it.
    AllReplicas,
}

/// Why a commit is not known to survive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum MissingEvidence {
    /// The primary is being replaced, or was.
    Replaced,
    /// The VM may have missed a decision to replace the primary.
    Uninformed,
    /// No other data centre is known to have been reachable since the acknowledgement.
    Unreached,
    /// No replica is known to hold the commit that every decision counts.
    Unreplicated,
}

/// Whether a commit survives every change of the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitVerdict {
    /// Every later primary holds it.
    Kept(CommitEvidence),
    /// A later term began without it.
    Lost,
    /// The VM does not know.
    Unknown(MissingEvidence),
}

/// Judges whether a commit at `position` survives.
#[must_use]
pub fn judge_commit(
    position: log_position::LogPosition,
    knowledge: &CommitKnowledge,
) -> CommitVerdict {
    let reaches = |held: Option<log_position::LogPosition>| {
        held.is_some_and(|held| held.term == position.term && held.offset >= position.offset)
    };
    if reaches(knowledge.successor_position) {
        return CommitVerdict::Kept(CommitEvidence::Successor);
    }
    if knowledge.latest_term > position.term {
        let start = knowledge.term_start;
        let later = start.filter(|start| start.term > position.term);
        return match later.and_then(|start| start.holds(position)) {
            Some(true) => CommitVerdict::Kept(CommitEvidence::TermStart),
            Some(false) => CommitVerdict::Lost,
            None => CommitVerdict::Unknown(MissingEvidence::Replaced),
        };
    }
    let is_ending = |ending: ids::TermNumber| position.term <= ending;
    if !knowledge.leads || knowledge.ending_term.is_some_and(is_ending) {
        return CommitVerdict::Unknown(MissingEvidence::Replaced);
    }
    if knowledge.uninformed {
        return CommitVerdict::Unknown(MissingEvidence::Uninformed);
    }
    if !knowledge.reached {
        return CommitVerdict::Unknown(MissingEvidence::Unreached);
    }
    if reaches(knowledge.replicated) {
        return CommitVerdict::Kept(CommitEvidence::Replica);
    }
    CommitVerdict::Unknown(MissingEvidence::Unreplicated)
}
