//! [`RequestStats`]: latencies and outcomes of one class of requests.

use std::collections;
use std::sync;
use std::time;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Number of errors by SQLSTATE and message since the counts were last printed.
static ERROR_COUNTS: sync::Mutex<collections::BTreeMap<String, u64>> =
    sync::Mutex::new(collections::BTreeMap::new());

fn count_error(text: &str) {
    let mut counts = ERROR_COUNTS
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner);
    *counts.entry(text.to_owned()).or_default() += 1;
}

/// Prints on standard error how often each error occurred in a case and resets the counts.
pub fn print_error_counts(case: &str) {
    let mut counts = ERROR_COUNTS
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner);
    for (text, count) in std::mem::take(&mut *counts) {
        eprintln!("{case}: {text} ({count} times)");
    }
}

/// How a request ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Hash)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The client received the complete answer.
    Answered,
    /// The proxy refused the request and reported that it was not run.
    NotRun,
    /// The client cannot tell whether the request was run.
    Unknown,
    /// A failover dropped the request.
    Dropped,
    /// The request failed with any other error.
    Failed,
}

impl RequestOutcome {
    /// Classifies an error of the driver by its SQLSTATE; without one the outcome is unknown.
    #[must_use]
    pub fn from_error(error: &tokio_postgres::Error) -> Self {
        let Some(state) = error.code() else {
            count_error(&format!("no SQLSTATE: {error}"));
            return Self::Unknown;
        };
        let message = error
            .as_db_error()
            .map(tokio_postgres::error::DbError::message);
        count_error(&format!(
            "{}: {}",
            state.code(),
            message.unwrap_or_default()
        ));
        match state.code() {
            "57P03" | "53300" | "53400" | "57P01" => Self::NotRun,
            "40003" => Self::Unknown,
            "40001" => Self::Dropped,
            _ => Self::Failed,
        }
    }
}

/// Outcomes of requests, and a histogram of the latencies of those answered. A latency is in
/// microseconds and counts from the time at which the request was due.
#[derive(Clone, Debug)]
pub struct RequestStats {
    histogram: Histogram<u64>,
    outcomes: collections::BTreeMap<RequestOutcome, u64>,
}

/// Outcomes and latency quantiles of a [`RequestStats`].
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StatsSummary {
    /// Number of requests by outcome.
    #[serde(rename = "ends")]
    pub outcomes: collections::BTreeMap<RequestOutcome, u64>,
    /// Median latency of answered requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of answered requests, in milliseconds.
    pub p99_ms: f64,
    /// Highest latency of an answered request, in milliseconds.
    pub max_ms: f64,
}

impl RequestStats {
    /// Creates statistics without requests.
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
            outcomes: collections::BTreeMap::new(),
        }
    }

    /// Records the outcome of a request. Only answered requests count towards the latencies.
    pub fn record(&mut self, outcome: RequestOutcome, latency: time::Duration) {
        *self.outcomes.entry(outcome).or_default() += 1;
        if outcome == RequestOutcome::Answered {
            let microseconds = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            self.histogram.saturating_record(microseconds.max(1));
        }
    }

    /// Adds the requests of other statistics.
    pub fn merge(&mut self, other: &Self) {
        for (outcome, count) in &other.outcomes {
            *self.outcomes.entry(*outcome).or_default() += count;
        }
        // Both histograms have the same bounds, so adding cannot fail.
        let _same_bounds = self.histogram.add(&other.histogram);
    }

    /// Returns the number of requests with an outcome.
    #[must_use]
    pub fn count(&self, outcome: RequestOutcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or_default()
    }

    /// Returns the number of requests that were not answered.
    #[must_use]
    pub fn unanswered(&self) -> u64 {
        let answered = |outcome: &&RequestOutcome| **outcome != RequestOutcome::Answered;
        self.outcomes
            .keys()
            .filter(answered)
            .map(|outcome| self.count(*outcome))
            .sum()
    }

    /// Returns a latency quantile of the answered requests; `quantile` is from 0 to 1.
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> time::Duration {
        time::Duration::from_micros(self.histogram.value_at_quantile(quantile))
    }

    /// Returns the outcomes and the quantiles that reports show.
    #[must_use]
    pub fn summary(&self) -> StatsSummary {
        let milliseconds = |duration: time::Duration| duration.as_secs_f64() * 1_000.0;
        StatsSummary {
            outcomes: self.outcomes.clone(),
            p50_ms: milliseconds(self.quantile(0.5)),
            p99_ms: milliseconds(self.quantile(0.99)),
            max_ms: milliseconds(time::Duration::from_micros(self.histogram.max())),
        }
    }
}

impl Default for RequestStats {
    fn default() -> Self {
        Self::new()
    }
}
