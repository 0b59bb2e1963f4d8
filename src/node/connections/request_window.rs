//! [`RequestWindow`]: how many statements this VM runs on an upstream concurrently.
//!
//! This is a congestion window with additive increase and multiplicative decrease. VMs do not know
//! each other's load, so each one shrinks its window while an upstream answers slowly or refuses
//! statements because it has no free slot. Statements then wait in this VM's queue, where they can
//! be ordered and refused early, and not in the upstream's.

use std::time;

/// Answer time above which the upstream counts as congested.
const SLOW_ANSWER: time::Duration = time::Duration::from_millis(55);
/// Factor by which a slow answer shrinks the window.
const SLOW_FACTOR: f64 = 0.93;
/// Factor by which a refusal without a free slot shrinks the window.
const BUSY_FACTOR: f64 = 0.8;
/// Statements by which the window grows after a full window of fast answers.
const GROWTH_PER_WINDOW: f64 = 0.5;
/// Smallest window. With less, no answer would show that the upstream is fast again.
const MIN_SIZE: f64 = 1.0;
/// Largest window. This VM's share of connections limits it further.
const MAX_SIZE: f64 = 16.0;

/// Limit on the statements that this VM runs on an upstream concurrently.
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
    /// Adjusts the window after an answer that took `elapsed`.
    pub fn record_answer(&mut self, elapsed: time::Duration) {
        if elapsed > SLOW_ANSWER {
            self.shrink(SLOW_FACTOR);
        } else {
            self.size = (self.size + GROWTH_PER_WINDOW / self.size).min(MAX_SIZE);
        }
    }

    /// Shrinks the window after a statement was refused because no slot was free.
    pub fn record_busy(&mut self) {
        self.shrink(BUSY_FACTOR);
    }

    /// Limits the window to `maximum`, so that later decreases start from what can be used.
    pub fn limit_to(&mut self, maximum: u32) {
        self.size = self.size.min(f64::from(maximum).max(MIN_SIZE));
    }

    fn shrink(&mut self, factor: f64) {
        self.size = (self.size * factor).max(MIN_SIZE);
    }

    /// Returns the number of statements that may run concurrently.
    #[must_use]
    pub fn size(&self) -> u32 {
        let mut whole = 1_u32;
        while f64::from(whole + 1) <= self.size {
            whole += 1;
        }
        whole
    }
}
