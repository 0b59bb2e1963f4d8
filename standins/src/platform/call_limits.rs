//! [`CallLimits`]: counts calls and enforces the rate limits.

use std::collections;
use std::time;

use serde::{Deserialize, Serialize};

/// Number of calls by VM and call, such as `counts["vm-1"]["PUT /kv"]`.
pub type CallCounts = collections::BTreeMap<String, collections::BTreeMap<String, u64>>;

/// Answer of `GET /admin/counts`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountReport {
    /// Calls served or refused, by VM and call.
    pub calls: CallCounts,
    /// Calls refused with 429, by VM and call.
    pub refused: CallCounts,
}

/// Kind of a call, each with its own rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A read.
    Read,
    /// A write.
    Write,
}

/// Counts calls and limits reads and writes with a token bucket each. The burst size is one
/// second's worth of calls.
#[derive(Debug)]
pub struct CallLimits {
    report: CountReport,
    rates: [f64; 2],
    tokens: [f64; 2],
    filled: time::Instant,
}

impl CallLimits {
    /// Creates limits with full token buckets.
    #[must_use]
    pub fn new(reads_per_second: u32, writes_per_second: u32, now: time::Instant) -> Self {
        let rates = [f64::from(reads_per_second), f64::from(writes_per_second)];
        Self {
            report: CountReport::default(),
            rates,
            tokens: rates,
            filled: now,
        }
    }

    /// Counts a call and tells whether its rate limit admits it.
    pub fn admit(&mut self, vm: &str, call: &str, kind: CallKind, now: time::Instant) -> bool {
        let passed = now.duration_since(self.filled).as_secs_f64();
        self.filled = now;
        for (tokens, rate) in self.tokens.iter_mut().zip(self.rates) {
            *tokens = (*tokens + passed * rate).min(rate);
        }
        count(&mut self.report.calls, vm, call);
        let [reads, writes] = &mut self.tokens;
        let tokens = match kind {
            CallKind::Read => reads,
            CallKind::Write => writes,
        };
        let admitted = *tokens >= 1.0;
        if admitted {
            *tokens -= 1.0;
        } else {
            count(&mut self.report.refused, vm, call);
        }
        admitted
    }

    /// Returns all counts.
    #[must_use]
    pub const fn report(&self) -> &CountReport {
        &self.report
    }
}

fn count(counts: &mut CallCounts, vm: &str, call: &str) {
    *counts
        .entry(vm.to_owned())
        .or_default()
        .entry(call.to_owned())
        .or_default() += 1;
}
