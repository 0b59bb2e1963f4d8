//! Chooses the upstream for a read. Pure: the tables go in as plain values.

use std::time;

use crate::node::limits;

/// Answer time that is assumed of an upstream that has not answered a statement yet.
const UNKNOWN_ANSWER_TIME: time::Duration = time::Duration::from_millis(20);

/// One upstream that could serve a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadCandidate {
    /// Whether it is in another data centre.
    pub remote: bool,
    /// Whether it does not answer, takes no new work or lagged a moment ago.
    pub avoid: bool,
    /// Whether this read has been sent there before.
    pub tried: bool,
    /// Requests of this VM that run or wait there.
    pub load: u32,
    /// Its usual time to an answer.
    pub usual: Option<time::Duration>,
}

impl ReadCandidate {
    fn cost(&self) -> time::Duration {
        let usual = self.usual.unwrap_or(UNKNOWN_ANSWER_TIME);
        let wait = usual.mul_f64(1.0 + limits::LOAD_WEIGHT * f64::from(self.load));
        if self.remote {
            wait + limits::REMOTE_PENALTY
        } else {
            wait
        }
    }
}

/// Returns the index of the candidate with the shortest expected wait. Candidates that were tried
/// before come last, and those to avoid are not taken at all.
#[must_use]
pub fn choose_read(candidates: &[ReadCandidate]) -> Option<usize> {
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| !candidate.avoid)
        .min_by_key(|(_, candidate)| (candidate.tried, candidate.cost()))
        .map(|(index, _)| index)
}
