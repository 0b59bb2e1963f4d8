//! [`SlotTimes`]: learned slot times of statements.

use std::collections;
use std::mem;
use std::time;

use crate::decide::customer_queue;
use crate::model::ids;

/// Fingerprints in one of the two generations. It bounds the table at twice this number.
const GENERATION_SIZE: usize = 2_048;
/// Weight of the newest measurement in the mean.
const NEWEST_WEIGHT: f64 = 0.2;
/// Largest measurement that is taken in, as a multiple of the mean. One pause of the machine or of
/// the upstream raised the mean of a 5 ms statement above 50 ms before this bound, and the statement
/// then waited behind exports for the slots of long work until it had run several times.
const OUTLIER_FACTOR: f64 = 2.0;
/// Slot time up to which a measurement is taken in whatever the mean is, in seconds.
const OUTLIER_FLOOR: f64 = 0.010;
/// Assumed slot time before anything is measured.
const INITIAL_MEAN: time::Duration = time::Duration::from_millis(2);

/// Exponentially weighted means of the slot time by fingerprint. A fingerprint that is not seen
/// for a whole generation is forgotten.
#[derive(Clone, Debug)]
pub struct SlotTimes {
    current: collections::HashMap<ids::FingerprintId, f64>,
    previous: collections::HashMap<ids::FingerprintId, f64>,
    overall: f64,
}

impl Default for SlotTimes {
    fn default() -> Self {
        Self {
            current: collections::HashMap::new(),
            previous: collections::HashMap::new(),
            overall: INITIAL_MEAN.as_secs_f64(),
        }
    }
}

impl SlotTimes {
    /// Returns the mean slot time of a fingerprint, once measured.
    #[must_use]
    pub fn mean(&self, fingerprint: ids::FingerprintId) -> Option<time::Duration> {
        self.current
            .get(&fingerprint)
            .or_else(|| self.previous.get(&fingerprint))
            .map(|mean| time::Duration::from_secs_f64(*mean))
    }

    /// Returns the expected slot time: that of the fingerprint, or of all work.
    #[must_use]
    pub fn expected(&self, fingerprint: ids::FingerprintId) -> time::Duration {
        self.mean(fingerprint)
            .unwrap_or_else(|| time::Duration::from_secs_f64(self.overall))
    }

    /// Returns the class of a statement. What the entry says about its length goes first.
    #[must_use]
    pub fn class(
        &self,
        fingerprint: ids::FingerprintId,
        long: Option<bool>,
        long_after: time::Duration,
    ) -> customer_queue::WorkClass {
        match (long, self.mean(fingerprint)) {
            (Some(true), _) => customer_queue::WorkClass::Long,
            (Some(false), _) => customer_queue::WorkClass::Short,
            (None, None) => customer_queue::WorkClass::Unproven,
            (None, Some(mean)) if mean > long_after => customer_queue::WorkClass::Long,
            (None, Some(_)) => customer_queue::WorkClass::Short,
        }
    }

    /// Takes a measurement in.
    pub fn record(&mut self, fingerprint: ids::FingerprintId, slot_time: time::Duration) {
        let seconds = slot_time.as_secs_f64();
        self.overall += NEWEST_WEIGHT * (seconds - self.overall);
        self.update(
            fingerprint,
            |mean| {
                let bounded = seconds.min((mean * OUTLIER_FACTOR).max(OUTLIER_FLOOR));
                mean + NEWEST_WEIGHT * (bounded - mean)
            },
            seconds,
        );
    }

    /// Notes that a statement has already run for `elapsed`, which is a lower bound of its time. A
    /// statement that was measured before keeps its mean, since one slow run does not make it long.
    pub fn raise(&mut self, fingerprint: ids::FingerprintId, elapsed: time::Duration) {
        let seconds = elapsed.as_secs_f64();
        self.update(fingerprint, |mean| mean, seconds);
    }

    fn update(
        &mut self,
        fingerprint: ids::FingerprintId,
        change: impl FnOnce(f64) -> f64,
        first: f64,
    ) {
        let known = self
            .current
            .get(&fingerprint)
            .or_else(|| self.previous.get(&fingerprint));
        let mean = known.map_or(first, |mean| change(*mean));
        if self.current.len() >= GENERATION_SIZE && !self.current.contains_key(&fingerprint) {
            self.previous = mem::take(&mut self.current);
        }
        self.current.insert(fingerprint, mean);
    }
}
