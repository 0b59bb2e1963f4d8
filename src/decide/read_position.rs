//! Decides which position a read has to see. `docs/design.md`, "Positions and consistency", gives
//! the reasons.

use std::collections;
use std::time;

use crate::model::{log_position, upstream_state};

/// Confirmed positions that are remembered per group; at one observation in 50 ms they reach back
/// more than ten seconds.
const HISTORY_LENGTH: usize = 256;

/// What a read needs before it can be routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRequirement {
    /// The upstream must have applied this position.
    At(log_position::LogPosition),
    /// A primary position has to be confirmed first, by an observation begun after the read arrived.
    Confirm,
}

/// The positions that one session has to see.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionPositions {
    own: Option<log_position::LogPosition>,
    observed: Option<log_position::LogPosition>,
    named: bool,
}

impl SessionPositions {
    /// Takes over a position that the caller carries or that a commit of the session reached.
    pub fn record_own(&mut self, position: log_position::LogPosition) {
        self.own = self.own.max(Some(position));
    }

    /// Takes over a position confirmed after the session arrived.
    pub fn record_observed(&mut self, position: log_position::LogPosition) {
        self.observed = self.observed.max(Some(position));
    }

    /// Says whether the session has a name, and so may use several connections at once.
    pub fn set_named(&mut self, named: bool) {
        self.named = named;
    }

    /// Returns the highest position that was carried or acknowledged.
    #[must_use]
    pub const fn own(&self) -> Option<log_position::LogPosition> {
        self.own
    }

    /// Returns what the next read needs.
    #[must_use]
    pub fn requirement(&self, carried: bool) -> ReadRequirement {
        // Another connection of a named session may have written since the last observation.
        if self.named && !carried {
            return ReadRequirement::Confirm;
        }
        match self.own.max(self.observed) {
            Some(position) => ReadRequirement::At(position),
            None => ReadRequirement::Confirm,
        }
    }

    /// Returns the position for a read after `confirmed` was observed for it.
    #[must_use]
    pub fn min_position(&self, confirmed: log_position::LogPosition) -> log_position::LogPosition {
        self.own
            .map_or(confirmed, |position| position.max(confirmed))
    }
}

/// Returns the confirmed primary position that follows from states read after the need arose, if
/// they confirm one.
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

/// Confirmed primary positions of one group with the time at which their observations began.
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

    /// Returns the lowest position that a read accepting `age` has to see, or `None` if no
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
