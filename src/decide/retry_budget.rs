//! [`RetryBudget`]: limits how many requests are retried.

use std::time;

/// Number of recent requests that allow one retry.
const REQUESTS_PER_RETRY: u64 = 5;
/// Retries that are allowed in a window without any request, so that an entry with little load can
/// retry.
const MIN_RETRIES: u64 = 3;
/// Length of the window over which requests and retries are counted.
const WINDOW: time::Duration = time::Duration::from_secs(10);
/// Longest backoff between two attempts.
const MAX_BACK_OFF: time::Duration = time::Duration::from_millis(200);
/// Backoff before the second attempt.
const FIRST_BACK_OFF: time::Duration = time::Duration::from_millis(5);

/// Limits retries to a fifth of the recent requests plus a small minimum. Without a limit, retries
/// multiply the load exactly when upstreams have the least capacity.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    window_start: time::Duration,
    requests: u64,
    retries: u64,
    earlier_requests: u64,
    earlier_retries: u64,
}

impl RetryBudget {
    /// Records a request of a caller. `now` is measured from any fixed moment.
    pub fn record_request(&mut self, now: time::Duration) {
        self.advance(now);
        self.requests += 1;
    }

    /// Takes one retry from the budget. Returns false if the budget is used up.
    pub fn take_retry(&mut self, now: time::Duration) -> bool {
        self.advance(now);
        let allowed = MIN_RETRIES + (self.requests + self.earlier_requests) / REQUESTS_PER_RETRY;
        if self.retries + self.earlier_retries >= allowed {
            return false;
        }
        self.retries += 1;
        true
    }

    fn advance(&mut self, now: time::Duration) {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed < WINDOW {
            return;
        }
        let adjacent = elapsed < WINDOW * 2;
        self.earlier_requests = if adjacent { self.requests } else { 0 };
        self.earlier_retries = if adjacent { self.retries } else { 0 };
        self.requests = 0;
        self.retries = 0;
        self.window_start = now;
    }
}

/// Returns the backoff before a retry; `attempt` is 1 for the first retry. `jitter` is a random
/// number from 0 to 1; it spreads the retries of requests that failed at the same moment.
#[must_use]
pub fn back_off(attempt: u32, jitter: f64) -> time::Duration {
    let doubled = FIRST_BACK_OFF
        .saturating_mul(1_u32 << attempt.saturating_sub(1).min(10))
        .min(MAX_BACK_OFF);
    doubled.mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0))
}
