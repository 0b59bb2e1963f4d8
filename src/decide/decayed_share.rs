//! [`DecayedShare`]: the share of recent requests that had a certain outcome.

use std::time;

/// Time after which an outcome counts half.
const HALF_LIFE: time::Duration = time::Duration::from_secs(2);
/// Requests that are assumed besides the recorded ones, so that one among few says little.
const ASSUMED_REQUESTS: f64 = 4.0;

/// The share of recent requests that had a certain outcome, decayed over time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayedShare {
    hits: f64,
    requests: f64,
    updated_at: time::Duration,
}

impl DecayedShare {
    /// Records a request; `hit` says whether it had the outcome.
    pub fn record(&mut self, now: time::Duration, hit: bool) {
        let kept = self.kept(now);
        self.hits *= kept;
        self.requests *= kept;
        self.updated_at = self.updated_at.max(now);
        self.requests += 1.0;
        if hit {
            self.hits += 1.0;
        }
    }

    /// Returns the share, between 0 and 1. It goes to `assumed` while there are no requests.
    #[must_use]
    pub fn value(&self, now: time::Duration, assumed: f64) -> f64 {
        let kept = self.kept(now);
        (self.hits * kept + assumed * ASSUMED_REQUESTS) / (self.requests * kept + ASSUMED_REQUESTS)
    }

    fn kept(&self, now: time::Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at);
        0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
