//! [`RequestWindow`]: how many statements this VM sends to an upstream at a time.
//!
//! VMs do not see each other's load. Each one shrinks its window while answers are slow or refused
//! for want of a slot, so that statements wait here, where they can be ordered and refused early,
//! and not in the upstream's own queue.

use std::time;

/// Answer time above which the upstream's queue counts as long.
const SLOW_ANSWER: time::Duration = time::Duration::from_millis(55);
/// Part of the window that is left after a slow answer.
const SLOW_FACTOR: f64 = 0.93;
/// Part of the window that is left after a refusal for want of a slot.
const BUSY_FACTOR: f64 = 0.8;
/// Growth of the window for one window of fast answers.
const GROWTH_PER_WINDOW: f64 = 0.5;
/// Smallest window; with less, nothing would show that the upstream is fast again.
const MIN_SIZE: f64 = 1.0;
/// Largest window; the share of connections bounds it further.
const MAX_SIZE: f64 = 16.0;

/// How many statements this VM sends to an upstream at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestWindow {
    size: f64,
}

impl Default for RequestWindow {
    fn default() -> Self {
        Self { size: MAX_SIZE }
    }
}

impl RequestWindow {
    /// Notes that a statement was answered after `elapsed`.
    pub fn record_answer(&mut self, elapsed: time::Duration) {
        if elapsed > SLOW_ANSWER {
            self.shrink(SLOW_FACTOR);
        } else {
            self.size = (self.size + GROWTH_PER_WINDOW / self.size).min(MAX_SIZE);
        }
    }

    /// Notes that a statement was refused for want of a slot.
    pub fn record_busy(&mut self) {
        self.shrink(BUSY_FACTOR);
    }

    /// Bounds the window, so that it shrinks from what is really used.
    pub fn limit_to(&mut self, maximum: u32) {
        self.size = self.size.min(f64::from(maximum).max(MIN_SIZE));
    }

    fn shrink(&mut self, factor: f64) {
        self.size = (self.size * factor).max(MIN_SIZE);
    }

    /// Returns the statements that may be under way.
    #[must_use]
    pub fn size(&self) -> u32 {
        let mut whole = 1_u32;
        while f64::from(whole + 1) <= self.size {
            whole += 1;
        }
        whole
    }
}
