//! [`LatencyTally`]: latencies and outcomes of one class of requests.

use std::collections;
use std::sync;
use std::time;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Counts of error texts since they were last taken; a run prints them to show causes.
static TEXTS: sync::Mutex<collections::BTreeMap<String, u64>> =
    sync::Mutex::new(collections::BTreeMap::new());

fn note(text: &str) {
    let mut texts = TEXTS.lock().unwrap_or_else(sync::PoisonError::into_inner);
    *texts.entry(text.to_owned()).or_default() += 1;
}

/// Prints and forgets the counts of error texts.
pub fn print_texts(case: &str) {
    let mut texts = TEXTS.lock().unwrap_or_else(sync::PoisonError::into_inner);
    for (text, count) in std::mem::take(&mut *texts) {
        eprintln!("{case}: {count} times {text}");
    }
}

/// How a request ended, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Hash)]
#[serde(rename_all = "snake_case")]
pub enum RequestEnd {
    /// A whole answer.
    Answered,
    /// Refused, and the refusal says that it was not run.
    NotRun,
    /// The outcome is unknown.
    Unknown,
    /// Dropped by a failover.
    Dropped,
    /// Any other error.
    Failed,
}

impl RequestEnd {
    /// Reads the end of a request from what the driver returned.
    #[must_use]
    pub fn from_error(error: &tokio_postgres::Error) -> Self {
        let Some(state) = error.code() else {
            note(&format!("none: {error}"));
            return Self::Unknown;
        };
        let text = error
            .as_db_error()
            .map(tokio_postgres::error::DbError::message);
        note(&format!("{}: {}", state.code(), text.unwrap_or_default()));
        match state.code() {
            "57P03" | "53300" | "53400" | "57P01" => Self::NotRun,
            "40003" => Self::Unknown,
            "40001" => Self::Dropped,
            _ => Self::Failed,
        }
    }
}

/// Latencies in microseconds, counted from the intended start, and outcomes.
#[derive(Clone, Debug)]
pub struct LatencyTally {
    histogram: Histogram<u64>,
    ends: collections::BTreeMap<RequestEnd, u64>,
}

/// The figures of a tally that reports show.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TallySummary {
    /// Requests by how they ended.
    pub ends: collections::BTreeMap<RequestEnd, u64>,
    /// Median latency of answered requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// Highest, in milliseconds.
    pub max_ms: f64,
}

impl LatencyTally {
    /// Creates an empty tally.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are constants that it accepts.
    #[must_use]
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, 600_000_000, 3)
            .unwrap_or_else(|error| unreachable!("histogram bounds are valid: {error}"));
        Self {
            histogram,
            ends: collections::BTreeMap::new(),
        }
    }

    /// Records the end of a request. Only answered requests count towards the latencies.
    pub fn record(&mut self, end: RequestEnd, latency: time::Duration) {
        *self.ends.entry(end).or_default() += 1;
        if end == RequestEnd::Answered {
            let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            self.histogram.saturating_record(micros.max(1));
        }
    }

    /// Adds all requests of another tally.
    pub fn merge(&mut self, other: &Self) {
        for (end, count) in &other.ends {
            *self.ends.entry(*end).or_default() += count;
        }
        // Both histograms have the same bounds, so adding cannot fail.
        let _same_bounds = self.histogram.add(&other.histogram);
    }

    /// Returns the number of requests that ended in one way.
    #[must_use]
    pub fn count(&self, end: RequestEnd) -> u64 {
        self.ends.get(&end).copied().unwrap_or_default()
    }

    /// Returns the number of requests that were not answered.
    #[must_use]
    pub fn others(&self) -> u64 {
        let answered = |end: &&RequestEnd| **end != RequestEnd::Answered;
        self.ends
            .keys()
            .filter(answered)
            .map(|end| self.count(*end))
            .sum()
    }

    /// Returns a latency quantile of the answered requests.
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> time::Duration {
        time::Duration::from_micros(self.histogram.value_at_quantile(quantile))
    }

    /// Returns the figures for a report.
    #[must_use]
    pub fn summary(&self) -> TallySummary {
        let millis = |duration: time::Duration| duration.as_secs_f64() * 1_000.0;
        TallySummary {
            ends: self.ends.clone(),
            p50_ms: millis(self.quantile(0.5)),
            p99_ms: millis(self.quantile(0.99)),
            max_ms: millis(time::Duration::from_micros(self.histogram.max())),
        }
    }
}

impl Default for LatencyTally {
    fn default() -> Self {
        Self::new()
    }
}
