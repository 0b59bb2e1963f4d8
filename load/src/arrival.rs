//! [`ArrivalPlan`]: when requests are due, independent of how fast they are answered.

use std::time;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;

/// A span of time with a constant mean rate of arrivals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ArrivalPhase {
    /// Length of the span.
    pub length: time::Duration,
    /// Mean arrivals per second.
    pub rate: f64,
}

/// Draws exponentially distributed gaps between arrivals, phase after phase. The same seed gives
/// the same plan.
#[derive(Debug)]
pub struct ArrivalPlan {
    phases: Vec<ArrivalPhase>,
    random: rngs::StdRng,
    now: f64,
}

impl ArrivalPlan {
    /// Creates a plan from its phases.
    #[must_use]
    pub fn new(phases: Vec<ArrivalPhase>, seed: u64) -> Self {
        Self {
            phases,
            random: rngs::StdRng::seed_from_u64(seed),
            now: 0.0,
        }
    }

    /// Returns the phase at `at` seconds and the time at which it ends.
    fn phase_at(&self, at: f64) -> Option<(ArrivalPhase, f64)> {
        let mut end = 0.0;
        for phase in &self.phases {
            end += phase.length.as_secs_f64();
            if at < end {
                return Some((*phase, end));
            }
        }
        None
    }
}

impl Iterator for ArrivalPlan {
    type Item = time::Duration;

    fn next(&mut self) -> Option<Self::Item> {
        loop {
            let (phase, end) = self.phase_at(self.now)?;
            if phase.rate <= 0.0 {
                self.now = end;
                continue;
            }
            let uniform: f64 = self.random.random();
            let arrival = self.now - (1.0 - uniform).ln() / phase.rate;
            if arrival >= end {
                // The exponential distribution has no memory, so the draw starts anew at the
                // boundary with the next phase's rate.
                self.now = end;
                continue;
            }
            self.now = arrival;
            return Some(time::Duration::from_secs_f64(arrival));
        }
    }
}
