//! Counters of refusals and retries, one per reason.
//!
//! They are exported through `metrics` and also kept here, because the programs report them to the
//! keeper on their VM.

use std::collections;
use std::sync;

use crate::model::refusal_reason;
use crate::model::retry_reason;

static REFUSALS: sync::Mutex<collections::BTreeMap<refusal_reason::RefusalReason, u64>> =
    sync::Mutex::new(collections::BTreeMap::new());
static RETRIES: sync::Mutex<collections::BTreeMap<retry_reason::RetryReason, u64>> =
    sync::Mutex::new(collections::BTreeMap::new());

/// Counts a refusal.
pub fn count_refusal(reason: refusal_reason::RefusalReason) {
    metrics::counter!("persimmontack_refusals_total", "reason" => reason.to_string()).increment(1);
    *REFUSALS
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner)
        .entry(reason)
        .or_default() += 1;
}

/// Counts a retry.
pub fn count_retry(reason: retry_reason::RetryReason) {
    metrics::counter!("persimmontack_retries_total", "reason" => reason.to_string()).increment(1);
    *RETRIES
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner)
        .entry(reason)
        .or_default() += 1;
}

/// Returns the number of refusals since the process started, by reason.
#[must_use]
pub fn refusals() -> Vec<(refusal_reason::RefusalReason, u64)> {
    let table = REFUSALS
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner);
    table
        .iter()
        .map(|(reason, count)| (*reason, *count))
        .collect()
}

/// Returns the number of retries since the process started, by reason.
#[must_use]
pub fn retries() -> Vec<(retry_reason::RetryReason, u64)> {
    let table = RETRIES.lock().unwrap_or_else(sync::PoisonError::into_inner);
    table
        .iter()
        .map(|(reason, count)| (*reason, *count))
        .collect()
}
