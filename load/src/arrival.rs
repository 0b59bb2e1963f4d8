//! [`ArrivalSchedule`]: the times at which requests are due, independent of how fast they are
//! answered.

use std::time;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;

/// Period with a constant mean arrival rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ArrivalPhase {
    /// Length of the period.
    pub duration: time::Duration,
    /// Mean arrivals per second.
    pub rate: f64,
}

/// Poisson process whose rate changes from phase to phase: the times between arrivals are
/// exponentially distributed. The same seed gives the same schedule.
#[derive(Debug)]
pub struct ArrivalSchedule {
    phases: Vec<ArrivalPhase>,
    random: rngs::StdRng,
    now_seconds: f64,
}

impl ArrivalSchedule {
    /// Creates a schedule of phases that follow one another.
    #[must_use]
    pub fn new(phases: Vec<ArrivalPhase>, seed: u64) -> Self {
        Self {
            phases,
            random: rngs::StdRng::seed_from_u64(seed),
            now_seconds: 0.0,
        }
    }

    /// Returns the phase at a time in seconds, and when the phase ends.
    fn phase_at(&self, seconds: f64) -> Option<(ArrivalPhase, f64)> {
        let mut end = 0.0;
        for phase in &self.phases {
            end += phase.duration.as_secs_f64();
            if seconds < end {
                return Some((*phase, end));
            }
        }
        None
    }
}

impl Iterator for ArrivalSchedule {
    type Item = time::Duration;

    fn next(&mut self) -> Option<Self::Item> {
        loop {
            let (phase, end) = self.phase_at(self.now_seconds)?;
            if phase.rate <= 0.0 {
                self.now_seconds = end;
                continue;
            }
            let uniform: f64 = self.random.random();
            let arrival = self.now_seconds - (1.0 - uniform).ln() / phase.rate;
            if arrival >= end {
                // The exponential distribution is memoryless, so the next arrival is drawn from the
                // end of this phase with the rate of the next.
                self.now_seconds = end;
                continue;
            }
            self.now_seconds = arrival;
            return Some(time::Duration::from_secs_f64(arrival));
        }
    }
}
