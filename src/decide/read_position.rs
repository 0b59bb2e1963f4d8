//! Decides which log position a read has to see. `docs/design.md`, "Positions and consistency",
//! gives the reasons.

use std::collections;
use std::time;

use crate::model::{log_position, upstream_state};

/// Confirmed positions kept per group. At one observation every 50 ms, they cover more than ten
/// seconds.
const HISTORY_LENGTH: usize = 256;

/// What a read needs before it can be routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRequirement {
    /// The upstream must have applied this position.
    At(log_position::LogPosition),
    /// The primary's position has to be confirmed first, by an observation that begins after the
    /// read arrived.
    Confirm,
}

/// The log positions that the reads of one session have to see.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionPositions {
    own: Option<log_position::LogPosition>,
    observed: Option<log_position::LogPosition>,
    named: bool,
}

impl SessionPositions {
    /// Records a position that the caller sent or that a commit of the session reached.
    pub fn record_own(&mut self, position: log_position::LogPosition) {
        self.own = self.own.max(Some(position));
    }

    /// Records a position that was confirmed after the session began.
    pub fn record_observed(&mut self, position: log_position::LogPosition) {
        self.observed = self.observed.max(Some(position));
    }

    /// Sets whether the session has a name. A named session may use several connections at once.
    pub fn set_named(&mut self, named: bool) {
        self.named = named;
    }

    /// Returns the highest position that the caller sent or that was acknowledged to it.
    #[must_use]
    pub const fn own(&self) -> Option<log_position::LogPosition> {
        self.own
    }

    /// Returns what the next read needs. `has_position` tells whether the caller sent a position.
    #[must_use]
    pub fn requirement(&self, has_position: bool) -> ReadRequirement {
        // Another connection of a named session may have written since the last observation.
        if self.named && !has_position {
            return ReadRequirement::Confirm;
        }
        match self.own.max(self.observed) {
            Some(position) => ReadRequirement::At(position),
            None => ReadRequirement::Confirm,
        }
    }

    /// Returns the lowest position that a read has to see once `confirmed` has been observed for
    /// it.
    #[must_use]
    pub fn min_position(&self, confirmed: log_position::LogPosition) -> log_position::LogPosition {
        self.own
            .map_or(confirmed, |position| position.max(confirmed))
    }
}

/// Returns the position of the primary if `states` confirm it: a second upstream must have entries
/// of the primary's term and must have promised no higher one. The states have to be read after the
/// request that needs the position has arrived.
#[must_use]
pub fn confirm_position(
    states: &[upstream_state::UpstreamState],
) -> Option<log_position::LogPosition> {
    let (term, primary) = states
        .iter()
        .filter_map(|state| state.primary_term.map(|term| (term, state)))
        .max_by_key(|(term, _)| *term)?;
    let second = states.iter().any(|state| {
        state.upstream != primary.upstream
            && state.promised <= term
            && (state.held.term == term || state.starts.iter().any(|start| start.term == term))
    });
    second.then_some(primary.held)
}

/// Confirmed primary positions of one group, each with the time at which its observation began.
#[derive(Clone, Debug, Default)]
pub struct ConfirmedHistory {
    entries: collections::VecDeque<(time::Duration, log_position::LogPosition)>,
}

impl ConfirmedHistory {
    /// Records a position whose observation began at `began`, measured from any fixed moment.
    pub fn record(&mut self, began: time::Duration, position: log_position::LogPosition) {
        if self.entries.back().is_some_and(|(last, _)| *last > began) {
            return;
        }
        if self.entries.len() == HISTORY_LENGTH {
            self.entries.pop_front();
        }
        self.entries.push_back((began, position));
    }

    /// Returns the lowest position that satisfies a read of data at most `age` old, or `None` if no
    /// observation is recent enough.
    #[must_use]
    pub fn min_position(
        &self,
        now: time::Duration,
        age: time::Duration,
    ) -> Option<log_position::LogPosition> {
        self.entries
            .iter()
            .filter(|(began, _)| now.saturating_sub(*began) <= age)
            .map(|(_, position)| *position)
            .min()
    }

    /// Returns how long ago the last observation began.
    #[must_use]
    pub fn newest_age(&self, now: time::Duration) -> Option<time::Duration> {
        self.entries
            .back()
            .map(|(began, _)| now.saturating_sub(*began))
    }
}
