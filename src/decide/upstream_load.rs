//! [`UpstreamLoad`]: what a VM observes of the load of one upstream, and the wait that it expects
//! there.
//!
//! VMs do not know each other's load. Each sees it in the answers that it gets: in their times, and
//! in refusals because no slot was free. The record has a fixed size and is decayed over time.

use std::time;

use crate::decide::decayed_share;

/// Answer time assumed for an upstream that has not answered a statement yet.
const UNKNOWN_ANSWER_TIME: f64 = 0.020;
/// Weight of the newest answer time in the moving average.
const ANSWER_TIME_WEIGHT: f64 = 0.1;
/// Weight of the newest round trip in the moving average.
const ROUND_TRIP_WEIGHT: f64 = 0.2;
/// Weight with which the lowest average follows a higher one, since an upstream may become slower
/// without any load.
const FLOOR_RISE: f64 = 0.002;
/// Seconds after the last answer from which on the average is less and less trusted.
const FRESH_SECONDS: f64 = 1.0;
/// Seconds in which the trust in an older average halves.
const STALE_HALF_SECONDS: f64 = 1.0;
/// Seconds by which a refusal because no slot is free counts: the wait before it, a second attempt,
/// and the slot time that others lose by it.
const REFUSED_SECONDS: f64 = 0.12;
/// Seconds that a statement loses whose connection breaks or that is given up. With more, an upstream
/// that fails in part loses the reads that it could still serve, and overloads the others.
const BROKEN_SECONDS: f64 = 0.06;
/// Seconds that a read loses that an upstream refuses because its log is behind: a round trip and
/// the choice of another upstream.
const LAG_SECONDS: f64 = 0.02;
/// Growth of the answer time, as a part of the one without load, that counts as full pressure.
const FULL_PRESSURE: f64 = 1.0;
/// Shortest answer time in seconds whose growth is judged.
const MIN_FLOOR: f64 = 0.001;
/// Share of refusals that counts as full pressure.
const FULL_REFUSED_SHARE: f64 = 0.03;
/// Growth of the answer time that may be due to chance.
const NO_PRESSURE: f64 = 0.4;
/// Round trips grown by this factor and [`GROWN_SECONDS`] show a congested link.
const GROWN_FACTOR: f64 = 3.0;
/// See [`GROWN_FACTOR`]; below this, the growth may be due to the processes at both ends.
const GROWN_SECONDS: f64 = 0.005;
/// Time for which an observation of a link counts. A link that is avoided would otherwise never be
/// found to have recovered.
const LINK_MEMORY: time::Duration = time::Duration::from_secs(5);
/// Size of an answer, in bytes, from which on its time shows the speed of the link.
const LARGE_ANSWER: usize = 8 * 1024;

/// What a VM observes of the load of one upstream. All times are monotonic, relative to an arbitrary
/// fixed start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamLoad {
    answer_time: Option<f64>,
    /// Lowest recent average: the answer time without load.
    floor: Option<f64>,
    answered_at: time::Duration,
    round_trip: Option<f64>,
    round_trip_floor: Option<f64>,
    round_trip_at: time::Duration,
    /// Bytes per second of large answers.
    speed: Option<f64>,
    speed_at: time::Duration,
    refused: decayed_share::DecayedShare,
    lagging: decayed_share::DecayedShare,
    broken: decayed_share::DecayedShare,
}

impl UpstreamLoad {
    /// Records the answer to a statement that took `elapsed`.
    pub fn record_answer(&mut self, now: time::Duration, elapsed: time::Duration) {
        let elapsed = elapsed.as_secs_f64();
        let mean = self.answer_time.unwrap_or(elapsed);
        let mean = mean + (elapsed - mean) * ANSWER_TIME_WEIGHT;
        self.answer_time = Some(mean);
        self.floor = Some(rise_slowly(self.floor, mean));
        self.answered_at = self.answered_at.max(now);
        self.refused.record(now, false);
        self.lagging.record(now, false);
        self.broken.record(now, false);
    }

    /// Records the size of the rows that were returned within `elapsed`.
    pub fn record_size(&mut self, now: time::Duration, elapsed: time::Duration, bytes: usize) {
        if bytes < LARGE_ANSWER || elapsed.is_zero() {
            return;
        }
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        let speed = bytes / elapsed.as_secs_f64();
        let mean = self.speed.unwrap_or(speed);
        self.speed = Some(mean + (speed - mean) * ROUND_TRIP_WEIGHT);
        self.speed_at = self.speed_at.max(now);
    }

    /// Records a request that takes no slot and was answered within `elapsed`.
    pub fn record_round_trip(&mut self, now: time::Duration, elapsed: time::Duration) {
        let elapsed = elapsed.as_secs_f64();
        let mean = self.round_trip.unwrap_or(elapsed);
        let mean = mean + (elapsed - mean) * ROUND_TRIP_WEIGHT;
        self.round_trip = Some(mean);
        self.round_trip_floor = Some(rise_slowly(self.round_trip_floor, mean));
        self.round_trip_at = self.round_trip_at.max(now);
    }

    /// Records a refusal because no slot was free.
    pub fn record_refused(&mut self, now: time::Duration) {
        self.refused.record(now, true);
    }

    /// Records a refusal because the upstream's log lacked a required position.
    pub fn record_lag(&mut self, now: time::Duration) {
        self.lagging.record(now, true);
    }

    /// Records a request whose connection broke or that was given up without an answer.
    pub fn record_broken(&mut self, now: time::Duration) {
        self.broken.record(now, true);
    }

    /// Returns the moving average of the answer times of statements.
    #[must_use]
    pub fn mean_answer_time(&self) -> Option<time::Duration> {
        self.answer_time.map(time::Duration::from_secs_f64)
    }

    /// Returns the share of recent requests that were refused because no slot was free.
    #[must_use]
    pub fn refused_share(&self, now: time::Duration) -> f64 {
        self.refused.value(now, 0.0)
    }

    /// Returns the expected answer time, including what statements lose by recent refusals and
    /// failures. An old average counts less and less, since the load behind it may be over; instead,
    /// the growth of the round trips counts, which are also observed without statements. Without requests, this share of them is assumed to be refused.
    #[must_use]
    pub fn expected_wait(&self, now: time::Duration, assumed_refused: f64) -> time::Duration {
        let mean = self.answer_time.unwrap_or(UNKNOWN_ANSWER_TIME);
        let floor = self.floor.unwrap_or(mean);
        let age = now.saturating_sub(self.answered_at).as_secs_f64() - FRESH_SECONDS;
        let trust = 0.5_f64.powf(age.max(0.0) / STALE_HALF_SECONDS);
        let detour = match (self.round_trip, self.round_trip_floor) {
            (Some(round_trip), Some(floor)) if is_recent(now, self.round_trip_at) => {
                round_trip - floor
            }
            _ => 0.0,
        };
        let answer_time = floor + (mean - floor) * trust + detour * (1.0 - trust);
        time::Duration::from_secs_f64(
            answer_time
                + self.refused.value(now, assumed_refused) * REFUSED_SECONDS
                + self.broken.value(now, 0.0) * BROKEN_SECONDS
                + self.lagging.value(now, 0.0) * LAG_SECONDS,
        )
    }

    /// Returns how much the answer times and refusals show that statements wait for slots, from 0 to 1.
    #[must_use]
    pub fn pressure(&self, now: time::Duration) -> f64 {
        let floor = self.floor.unwrap_or(UNKNOWN_ANSWER_TIME);
        let growth = self.expected_wait(now, 0.0).as_secs_f64() / floor.max(MIN_FLOOR) - 1.0;
        let by_time = (growth - NO_PRESSURE) / (FULL_PRESSURE - NO_PRESSURE);
        let by_refusals = self.refused.value(now, 0.0) / FULL_REFUSED_SHARE;
        by_time.max(by_refusals).clamp(0.0, 1.0)
    }

    /// Returns whether recent round trips have grown far beyond the usual ones.
    #[must_use]
    pub fn is_link_slow(&self, now: time::Duration) -> bool {
        let (Some(mean), Some(floor)) = (self.round_trip, self.round_trip_floor) else {
            return false;
        };
        is_recent(now, self.round_trip_at) && mean > floor * GROWN_FACTOR + GROWN_SECONDS
    }

    /// Returns the speed of recent large answers in bytes per second.
    #[must_use]
    pub fn speed(&self, now: time::Duration) -> Option<f64> {
        self.speed.filter(|_| is_recent(now, self.speed_at))
    }
}

fn is_recent(now: time::Duration, observed_at: time::Duration) -> bool {
    now.saturating_sub(observed_at) < LINK_MEMORY
}

fn rise_slowly(floor: Option<f64>, mean: f64) -> f64 {
    match floor {
        Some(floor) if floor < mean => floor + (mean - floor) * FLOOR_RISE,
        _ => mean,
    }
}
