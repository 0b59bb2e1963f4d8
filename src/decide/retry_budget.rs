//! [`RetryBudget`]: bounds how many requests are sent a second time.

use std::time;

/// Share of recent requests that may be retried, as a divisor.
const REQUESTS_PER_RETRY: u64 = 5;
/// Retries that are allowed in a window without any request, so that a quiet entry can retry.
const FLOOR_RETRIES: u64 = 3;
/// Length of the window over which requests and retries are counted.
const WINDOW: time::Duration = time::Duration::from_secs(10);
/// Longest pause between two attempts.
const MAX_BACK_OFF: time::Duration = time::Duration::from_millis(200);
/// Pause before the second attempt.
const FIRST_BACK_OFF: time::Duration = time::Duration::from_millis(5);

/// Bounds retries to a fifth of recent requests plus a small floor. Without a bound, retries
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
    /// Records a request of a caller at `now`, measured from any fixed moment.
    pub fn record_request(&mut self, now: time::Duration) {
        self.advance(now);
        self.requests += 1;
    }

    /// Takes one retry from the budget. Returns false if it is used up.
    pub fn take_retry(&mut self, now: time::Duration) -> bool {
        self.advance(now);
        let allowed = FLOOR_RETRIES + (self.requests + self.earlier_requests) / REQUESTS_PER_RETRY;
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

/// Returns the pause before attempt number `attempt` (the second is 1). `jitter` is a random number
/// from 0 to 1; it spreads callers that failed at the same moment.
#[must_use]
pub fn back_off(attempt: u32, jitter: f64) -> time::Duration {
    let doubled = FIRST_BACK_OFF
        .saturating_mul(1_u32 << attempt.saturating_sub(1).min(10))
        .min(MAX_BACK_OFF);
    doubled.mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0))
}
