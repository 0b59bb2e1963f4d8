//! [`UpstreamHealth`]: whether an upstream answers, judged by what its connections show.

use std::time;

use crate::node::limits;

/// Whether an upstream answers. Times are of the steady clock since any fixed start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamHealth {
    running: u32,
    heard: Option<time::Duration>,
    reached: Option<time::Duration>,
    unanswered: Option<time::Duration>,
    refused: bool,
    usual: Option<f64>,
}

impl UpstreamHealth {
    /// Notes that something was sent.
    pub fn sent(&mut self, now: time::Duration) {
        self.running += 1;
        self.unanswered.get_or_insert(now);
    }

    /// Notes an answer. `elapsed` is the time it took, for statements whose time is typical.
    pub fn answered(&mut self, now: time::Duration, elapsed: Option<time::Duration>) {
        self.running = self.running.saturating_sub(1);
        self.heard = Some(now);
        self.refused = false;
        self.unanswered = (self.running > 0).then_some(now);
        if let Some(elapsed) = elapsed {
            let elapsed = elapsed.as_secs_f64();
            let usual = self.usual.unwrap_or(elapsed);
            self.usual = Some(usual + (elapsed - usual) * limits::ANSWER_TIME_WEIGHT);
        }
    }

    /// Notes that a request that was sent at `sent` was answered.
    pub fn note_reached(&mut self, sent: time::Duration) {
        self.reached = self.reached.max(Some(sent));
    }

    /// Notes that a request ended without an answer, because its connection broke.
    pub fn lost(&mut self) {
        self.running = self.running.saturating_sub(1);
        if self.running == 0 && !self.refused {
            self.unanswered = None;
        }
    }

    /// Notes that a connection was refused: nothing runs at the address.
    pub fn refused(&mut self) {
        self.refused = true;
    }

    /// Notes that a connection was not answered in time.
    pub fn silent(&mut self, since: time::Duration) {
        let since = self.unanswered.map_or(since, |earlier| earlier.min(since));
        self.unanswered = Some(since);
    }

    /// Forgets that answers are owed. What was seen while this VM was cut off says nothing of the
    /// upstream.
    pub fn forget_silence(&mut self, now: time::Duration) {
        self.unanswered = (self.running > 0).then_some(now);
        self.refused = false;
    }

    /// Returns how long the upstream has owed an answer.
    #[must_use]
    pub fn silence(&self, now: time::Duration) -> time::Duration {
        self.unanswered
            .map_or(time::Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Tells whether the upstream should get no new work.
    #[must_use]
    pub fn is_suspect(&self, now: time::Duration) -> bool {
        self.refused || self.silence(now) > limits::SILENT_AFTER
    }

    /// Tells whether it should be probed.
    #[must_use]
    pub fn wants_probe(&self, now: time::Duration) -> bool {
        self.refused || self.silence(now) > limits::PROBE_AFTER
    }

    /// Returns the requests under way.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Returns when the upstream last answered.
    #[must_use]
    pub const fn heard(&self) -> Option<time::Duration> {
        self.heard
    }

    /// Returns when the latest request was sent that was answered: the upstream could be reached then.
    #[must_use]
    pub const fn reached(&self) -> Option<time::Duration> {
        self.reached
    }

    /// Returns the usual time to an answer.
    #[must_use]
    pub fn usual(&self) -> Option<time::Duration> {
        self.usual.map(time::Duration::from_secs_f64)
    }
}
