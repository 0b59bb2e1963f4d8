//! [`SlotTimes`]: measured mean slot times of statements.

use std::collections;
use std::mem;
use std::time;

use crate::decide::customer_queue;
use crate::model::ids;

/// Fingerprints in one of the two generations; the table holds at most twice as many.
const GENERATION_SIZE: usize = 2_048;
/// Weight of the newest measurement in the mean.
const NEWEST_WEIGHT: f64 = 0.2;
/// Upper bound of a measurement as a multiple of the mean. Without it, one pause of the machine or
/// of the upstream raises the mean of a 5 ms statement above 50 ms. The statement then waits behind
/// exports for the slots of long batches until it has run several times.
const OUTLIER_FACTOR: f64 = 2.0;
/// Slot time in seconds up to which a measurement counts in full, whatever the mean is.
const MIN_OUTLIER_SECONDS: f64 = 0.010;
/// Assumed slot time before anything is measured.
const INITIAL_MEAN: time::Duration = time::Duration::from_millis(2);

/// Exponentially weighted mean slot times by fingerprint. A fingerprint that was not measured for a
/// whole generation is removed.
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

    /// Returns the expected slot time: the mean of the fingerprint or, if it was never measured, of
    /// all statements.
    #[must_use]
    pub fn expected(&self, fingerprint: ids::FingerprintId) -> time::Duration {
        self.mean(fingerprint)
            .unwrap_or_else(|| time::Duration::from_secs_f64(self.overall))
    }

    /// Returns the class of a statement. The mark of the entry in `long` takes precedence over the
    /// measured mean.
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
            (None, None) => customer_queue::WorkClass::Unmeasured,
            (None, Some(mean)) if mean > long_after => customer_queue::WorkClass::Long,
            (None, Some(_)) => customer_queue::WorkClass::Short,
        }
    }

    /// Adds a measurement to the means.
    pub fn record(&mut self, fingerprint: ids::FingerprintId, slot_time: time::Duration) {
        let seconds = slot_time.as_secs_f64();
        self.overall += NEWEST_WEIGHT * (seconds - self.overall);
        self.update(
            fingerprint,
            |mean| {
                let bounded = seconds.min((mean * OUTLIER_FACTOR).max(MIN_OUTLIER_SECONDS));
                mean + NEWEST_WEIGHT * (bounded - mean)
            },
            seconds,
        );
    }

    /// Records that an unfinished run of a statement has already taken `elapsed`, a lower bound of
    /// its slot time. A statement that was measured before keeps its mean, since one slow run does
    /// not make it long.
    pub fn record_unfinished(&mut self, fingerprint: ids::FingerprintId, elapsed: time::Duration) {
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
