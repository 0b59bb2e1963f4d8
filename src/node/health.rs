//! [`UpstreamHealth`]: whether an upstream answers, judged by what its connections show.

use std::time;

use crate::node::limits;

/// Whether an upstream answers. Times are of the steady clock since any fixed start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamHealth {
    running: u32,
    last_answer: Option<time::Duration>,
    last_reached: Option<time::Duration>,
    unanswered_since: Option<time::Duration>,
    refused: bool,
    usual_answer_time: Option<f64>,
}

impl UpstreamHealth {
    /// Notes that something was sent.
    pub fn note_sent(&mut self, now: time::Duration) {
        self.running += 1;
        self.unanswered_since.get_or_insert(now);
    }

    /// Notes an answer. `elapsed` is the time it took, for statements whose time is typical.
    pub fn note_answer(&mut self, now: time::Duration, elapsed: Option<time::Duration>) {
        self.running = self.running.saturating_sub(1);
        self.last_answer = Some(now);
        self.refused = false;
        self.unanswered_since = (self.running > 0).then_some(now);
        if let Some(elapsed) = elapsed {
            let elapsed = elapsed.as_secs_f64();
            let usual = self.usual_answer_time.unwrap_or(elapsed);
            self.usual_answer_time = Some(usual + (elapsed - usual) * limits::ANSWER_TIME_WEIGHT);
        }
    }

    /// Notes that a request that was sent at `sent` was answered.
    pub fn note_reached(&mut self, sent: time::Duration) {
        self.last_reached = self.last_reached.max(Some(sent));
    }

    /// Notes that a request ended without an answer, because its connection broke.
    pub fn note_lost(&mut self) {
        self.running = self.running.saturating_sub(1);
        if self.running == 0 && !self.refused {
            self.unanswered_since = None;
        }
    }

    /// Notes that a connection was refused: nothing runs at the address.
    pub fn note_refused(&mut self) {
        self.refused = true;
    }

    /// Notes that a connection was not answered in time.
    pub fn note_silent(&mut self, since: time::Duration) {
        let since = self
            .unanswered_since
            .map_or(since, |earlier| earlier.min(since));
        self.unanswered_since = Some(since);
    }

    /// Forgets that answers are owed. What was seen while this VM was cut off says nothing of the
    /// upstream.
    pub fn forget_silence(&mut self, now: time::Duration) {
        self.unanswered_since = (self.running > 0).then_some(now);
        self.refused = false;
    }

    /// Returns how long the upstream has owed an answer.
    #[must_use]
    pub fn silence(&self, now: time::Duration) -> time::Duration {
        self.unanswered_since
            .map_or(time::Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Tells whether the upstream should get no new work.
    #[must_use]
    pub fn is_suspect(&self, now: time::Duration) -> bool {
        self.refused || self.silence(now) > limits::SILENT_AFTER
    }

    /// Tells whether it should be probed.
    #[must_use]
    pub fn needs_probe(&self, now: time::Duration) -> bool {
        self.refused || self.silence(now) > limits::PROBE_AFTER
    }

    /// Returns the requests under way.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Returns when the upstream last answered.
    #[must_use]
    pub const fn last_answer(&self) -> Option<time::Duration> {
        self.last_answer
    }

    /// Returns when the latest request was sent that was answered: the upstream could be reached then.
    #[must_use]
    pub const fn last_reached(&self) -> Option<time::Duration> {
        self.last_reached
    }

    /// Returns the usual time to an answer.
    #[must_use]
    pub fn usual_answer_time(&self) -> Option<time::Duration> {
        self.usual_answer_time.map(time::Duration::from_secs_f64)
    }
}
