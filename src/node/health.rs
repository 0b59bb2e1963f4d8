//! [`UpstreamHealth`]: whether an upstream answers, as observed on its connections.

use std::time;

use crate::decide::upstream_load;
use crate::node::limits;

/// Whether an upstream answers. All times are monotonic, relative to an arbitrary fixed start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamHealth {
    running: u32,
    last_answer: Option<time::Duration>,
    last_reached: Option<time::Duration>,
    unanswered_since: Option<time::Duration>,
    refused: bool,
    /// What is observed of its load.
    pub load: upstream_load::UpstreamLoad,
}

impl UpstreamHealth {
    /// Records that a request was sent.
    pub fn record_sent(&mut self, now: time::Duration) {
        self.running += 1;
        self.unanswered_since.get_or_insert(now);
    }

    /// Records an answer. `elapsed` updates the mean answer time; it is given for statements only.
    pub fn record_answer(&mut self, now: time::Duration, elapsed: Option<time::Duration>) {
        self.running = self.running.saturating_sub(1);
        self.last_answer = Some(now);
        self.refused = false;
        self.unanswered_since = (self.running > 0).then_some(now);
        if let Some(elapsed) = elapsed {
            self.load.record_answer(now, elapsed);
        }
    }

    /// Records that a request that was sent at `sent` was answered.
    pub fn record_reached(&mut self, sent: time::Duration) {
        self.last_reached = self.last_reached.max(Some(sent));
    }

    /// Records that a request ended without an answer, because its connection broke.
    pub fn record_lost(&mut self) {
        self.running = self.running.saturating_sub(1);
        if self.running == 0 && !self.refused {
            self.unanswered_since = None;
        }
    }

    /// Records that a connection was refused: nothing listens at the address.
    pub fn record_refused(&mut self) {
        self.refused = true;
    }

    /// Records a timeout of a connection or request that began at `since`.
    pub fn record_silent(&mut self, since: time::Duration) {
        let since = self
            .unanswered_since
            .map_or(since, |earlier| earlier.min(since));
        self.unanswered_since = Some(since);
    }

    /// Restarts the measurement of silence. What was observed while this VM was cut off says
    /// nothing about the upstream.
    pub fn forget_silence(&mut self, now: time::Duration) {
        self.unanswered_since = (self.running > 0).then_some(now);
        self.refused = false;
    }

    /// Returns for how long requests have gone unanswered.
    #[must_use]
    pub fn silence(&self, now: time::Duration) -> time::Duration {
        self.unanswered_since
            .map_or(time::Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Returns whether the upstream should get no new work.
    #[must_use]
    pub fn is_suspect(&self, now: time::Duration) -> bool {
        self.refused || self.silence(now) > limits::SILENT_AFTER
    }

    /// Returns whether the upstream should be probed.
    #[must_use]
    pub fn needs_probe(&self, now: time::Duration) -> bool {
        self.refused || self.silence(now) > limits::PROBE_AFTER
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Returns when the upstream last answered.
    #[must_use]
    pub const fn last_answer(&self) -> Option<time::Duration> {
        self.last_answer
    }

    /// Returns when the latest answered request was sent: the upstream was reachable at that time.
    #[must_use]
    pub const fn last_reached(&self) -> Option<time::Duration> {
        self.last_reached
    }

    /// Returns the moving average of the answer times of statements.
    #[must_use]
    pub fn mean_answer_time(&self) -> Option<time::Duration> {
        self.load.mean_answer_time()
    }
}
