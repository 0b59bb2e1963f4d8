//! [`PlacementShare`]: the share of a group's reads that a VM sends to another data centre.
//!
//! Answers the load of a data centre whose own upstreams are too few for a while, such as at the
//! crest of a wave or in a burst. The share changes in bounded steps, after a condition has held for
//! some time, and with different conditions for raising and lowering it. All times are scaled by a
//! phase that differs between VMs, so that VMs that observe the same decide at different times.

use std::time;

/// Change of the share in one step.
const STEP: f64 = 0.05;
/// Largest share. Some reads stay, which show when the upstreams at home have room again.
const MAX_SHARE: f64 = 0.6;
/// Time for which leaving has to pay before the share is raised.
const RAISE_HOLD: time::Duration = time::Duration::from_millis(300);
/// Time for which it has to pay no more before the share is lowered.
const LOWER_HOLD: time::Duration = time::Duration::from_millis(900);
/// Time between two steps. The averages of answer times follow a step within that time.
const STEP_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Time without a raise after a data centre was closed because its link is slow or it is silent.
const CLOSED_TIME: time::Duration = time::Duration::from_secs(2);
/// Time without any read after which the share starts anew.
const FORGET_AFTER: time::Duration = time::Duration::from_secs(5);
/// Advantage from which on leaving pays: the price of the traffic.
const RAISE_MARGIN: time::Duration = time::Duration::from_millis(9);
/// Advantage below which leaving no longer pays.
const LOWER_MARGIN: time::Duration = time::Duration::from_millis(3);
/// Both margins as a part of the wait in the other data centre, since averages of long answer times
/// differ by chance.
const MARGIN_SHARES: (f64, f64) = (0.4, 0.1);

/// What a VM observes of its own data centre and of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlaceView {
    /// Shortest expected wait at home, unless no upstream there is usable.
    pub home_wait: Option<time::Duration>,
    /// Shortest expected wait in the other data centre, round trip included, unless no upstream there
    /// is usable.
    pub away_wait: Option<time::Duration>,
    /// Whether all upstreams of the other data centre are silent, or the link to it is slow.
    pub closed: bool,
}

/// A change of the share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum ShareChange {
    /// Leaving pays, so more reads leave.
    Raised,
    /// Leaving no longer pays, so fewer reads leave.
    Lowered,
    /// The other data centre cannot be used, so no reads leave.
    Closed,
}

/// The share of a group's reads that a VM sends to another data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementShare {
    share: f64,
    pays_since: Option<time::Duration>,
    idle_since: Option<time::Duration>,
    stepped_at: time::Duration,
    closed_until: time::Duration,
    updated_at: time::Duration,
}

impl PlacementShare {
    /// Returns the share, between 0 and 1.
    #[must_use]
    pub const fn value(&self) -> f64 {
        self.share
    }

    /// Updates the share by what is observed at `now`. `phase`, between 0 and 1, lengthens all times;
    /// `room` is what the shares of other data centres leave.
    pub fn update(
        &mut self,
        now: time::Duration,
        phase: f64,
        room: f64,
        view: PlaceView,
    ) -> Option<ShareChange> {
        let scale = |time: time::Duration| time.mul_f64(1.0 + phase.clamp(0.0, 1.0));
        if now.saturating_sub(self.updated_at) > FORGET_AFTER {
            *self = Self {
                closed_until: self.closed_until,
                ..Self::default()
            };
        }
        self.updated_at = now;
        if view.closed {
            self.closed_until = now + scale(CLOSED_TIME);
            self.pays_since = None;
            let left = std::mem::replace(&mut self.share, 0.0) > 0.0;
            return left.then_some(ShareChange::Closed);
        }
        let (Some(home), Some(away)) = (view.home_wait, view.away_wait) else {
            return None;
        };
        let raise = away + RAISE_MARGIN.max(away.mul_f64(MARGIN_SHARES.0));
        let lower = away + LOWER_MARGIN.max(away.mul_f64(MARGIN_SHARES.1));
        let pays = home > raise && now >= self.closed_until;
        let idle = home < lower;
        self.pays_since = pays.then(|| self.pays_since.unwrap_or(now));
        self.idle_since = idle.then(|| self.idle_since.unwrap_or(now));
        if now.saturating_sub(self.stepped_at) < scale(STEP_INTERVAL) {
            return None;
        }
        let held = |since: Option<time::Duration>, hold| {
            since.is_some_and(|since| now.saturating_sub(since) >= scale(hold))
        };
        let max_share = MAX_SHARE.min(self.share + room.max(0.0));
        if held(self.pays_since, RAISE_HOLD) && self.share < max_share {
            self.share = (self.share + STEP).min(max_share);
            self.stepped_at = now;
            return Some(ShareChange::Raised);
        }
        if held(self.idle_since, LOWER_HOLD) && self.share > 0.0 {
            let lowered = self.share - STEP;
            // Steps of a fraction leave a remainder that is not worth a read.
            self.share = if lowered < STEP / 2.0 { 0.0 } else { lowered };
            self.stepped_at = now;
            return Some(ShareChange::Lowered);
        }
        None
    }
}
