//! [`LeadProof`]: until when a group's primary is known to have led.

use std::cell;
use std::time;

use tokio::sync::Notify;

use crate::model::log_position;
use crate::node::limits;

/// Result of the latest round of questions whether the primary leads.
#[derive(Clone, Copy, Debug)]
struct RoundResult {
    /// When the round began, as a time of [`crate::node::edge::NodeEdge::boot_time`].
    began_at: time::Duration,
    proved: bool,
}

/// Until when a group's primary is known to have led, and whether a round of questions is running.
#[derive(Debug, Default)]
pub struct LeadProof {
    latest: cell::Cell<Option<RoundResult>>,
    /// When the first of the latest rounds without a proof began.
    unproved_since: cell::Cell<Option<time::Duration>>,
    running: cell::Cell<bool>,
    /// Highest position that every later primary holds, see
    /// [`crate::decide::leadership::replicated_position`].
    replicated: cell::Cell<Option<log_position::LogPosition>>,
    /// Notified when that position has advanced.
    pub advanced: Notify,
    /// Notified when a round ends.
    pub round_ended: Notify,
}

impl LeadProof {
    /// Returns whether the primary led at `since`, or `None` if no round has begun since then.
    #[must_use]
    pub fn result_since(&self, since: time::Duration) -> Option<bool> {
        let latest = self.latest.get()?;
        (latest.began_at >= since).then_some(latest.proved)
    }

    /// Returns whether the latest round proved that the primary led.
    #[must_use]
    pub fn is_proved(&self) -> bool {
        self.latest.get().is_some_and(|latest| latest.proved)
    }

    /// Returns whether a round may begin; one round runs at a time.
    pub fn begin_round(&self) -> bool {
        !self.running.replace(true)
    }

    /// Records the result of the round that began at `began_at`.
    pub fn end_round(&self, began_at: time::Duration, proved: bool) {
        self.latest.set(Some(RoundResult { began_at, proved }));
        let since = self.unproved_since.get().unwrap_or(began_at);
        self.unproved_since.set((!proved).then_some(since));
        self.running.set(false);
        self.round_ended.notify_waiters();
    }

    /// Records a position that every later primary holds.
    pub fn record_replicated(&self, position: log_position::LogPosition) {
        if self.replicated.get() < Some(position) {
            self.replicated.set(Some(position));
            self.advanced.notify_waiters();
        }
    }

    /// Returns the highest position that every later primary is known to hold.
    #[must_use]
    pub const fn replicated(&self) -> Option<log_position::LogPosition> {
        self.replicated.get()
    }

    /// Forgets the latest result, since it is about an earlier primary.
    pub fn clear(&self) {
        self.latest.set(None);
        self.unproved_since.set(None);
        self.replicated.set(None);
    }

    /// Returns for how long no round has proved that the primary leads.
    #[must_use]
    pub fn unproved_time(&self, now: time::Duration) -> time::Duration {
        let since = self.unproved_since.get();
        since.map_or(time::Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Returns whether that is so long that a statement which needs the proof should not wait.
    #[must_use]
    pub fn is_overdue(&self, now: time::Duration) -> bool {
        self.unproved_time(now) > limits::UNPROVED_REFUSAL
    }
}
