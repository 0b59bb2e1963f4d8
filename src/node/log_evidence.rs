//! [`LogEvidence`]: what a decision knows about the commits that a successor must hold.

use crate::model::log_position;
use crate::node::log_knowledge;

/// What a decision knows about the commits that a successor must hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogEvidence {
    /// What this VM knows.
    pub own: log_knowledge::LogKnowledge,
    /// What this VM and all hosts that have replied know.
    pub hosts: log_knowledge::LogKnowledge,
    /// Whether all hosts have replied, so that no VM has told a caller of a later commit.
    pub complete: bool,
}

/// Why a log may lack acknowledged commits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum LogDeficit {
    /// A caller was told of a later commit.
    ToldCommit,
    /// This VM has seen an acknowledgement of a commit that may be later.
    AcknowledgedCommit,
    /// The log ends in an earlier term, and before the start of the latest one.
    TermStart,
    /// The log ends in an earlier term, and the start of the latest one is not known.
    UnknownTermStart,
}

impl LogEvidence {
    /// Returns whether a log that ends at `received` holds every commit of which the hosts have told a
    /// caller, whichever upstream has confirmed it. They all have to have replied, and one that was
    /// restarted has forgotten what it told before.
    #[must_use]
    pub fn covers_told(&self, received: Option<log_position::LogPosition>) -> bool {
        self.complete && received >= self.hosts.acknowledged
    }

    /// Returns why a log that ends at `received` may lack acknowledged commits, or `None` if it
    /// holds them all. The log has to be the longest one of all replicas that could have confirmed
    /// commits of the latest term.
    ///
    /// If it ends in the latest term, the replicas have received no more of that term, and it holds
    /// what the primary held when it was promoted. If it ends in an earlier term, no replica has
    /// received a commit of the latest one, but the primary may have been the only one that held the
    /// latest commits of the term before. Then the log has to reach the start of the latest term.
    /// Where that is not known, it has to reach everything that any VM has seen acknowledged.
    #[must_use]
    pub fn find_deficit(&self, received: log_position::LogPosition) -> Option<LogDeficit> {
        let received_all = |position| Some(received) >= position;
        if !received_all(self.hosts.told) {
            return Some(LogDeficit::ToldCommit);
        }
        if !received_all(self.own.acknowledged) {
            return Some(LogDeficit::AcknowledgedCommit);
        }
        if received.term >= self.hosts.term {
            return None;
        }
        match self.hosts.latest_start() {
            Some(start) if received >= start => None,
            Some(_) => Some(LogDeficit::TermStart),
            None if self.complete && received_all(self.hosts.acknowledged) => None,
            None => Some(LogDeficit::UnknownTermStart),
        }
    }
}
