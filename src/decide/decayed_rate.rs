//! [`DecayedRate`]: a rate of events, averaged with exponential decay.

use std::time;

/// Rate of events over about the last `span`; older events count exponentially less.
#[derive(Clone, Debug)]
pub struct DecayedRate {
    span: time::Duration,
    events: f64,
    at: time::Duration,
}

impl DecayedRate {
    /// Creates a rate of zero that is averaged over `span`.
    #[must_use]
    pub const fn new(span: time::Duration) -> Self {
        Self {
            span,
            events: 0.0,
            at: time::Duration::ZERO,
        }
    }

    /// Adds events at `now`; a negative count takes events back.
    pub fn add(&mut self, count: f64, now: time::Duration) {
        self.events = (self.weighted(now) + count).max(0.0);
        self.at = self.at.max(now);
    }

    /// Multiplies the rate by `factor`.
    pub fn scale(&mut self, factor: f64) {
        self.events *= factor;
    }

    /// Returns the events per second at `now`.
    #[must_use]
    pub fn per_second(&self, now: time::Duration) -> f64 {
        self.weighted(now) / self.span.as_secs_f64()
    }

    fn weighted(&self, now: time::Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.events * (-age / self.span.as_secs_f64()).exp()
    }
}
