//! [`EvictionRecord`]: recent evictions of idle connections to one upstream.

use tokio::time::Instant;

/// Length of the interval over which evictions are counted.
const INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);
/// Evictions within an interval that are reported as a storm.
const STORM_SIZE: u32 = 12;

/// Recent evictions of idle connections to one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct EvictionRecord {
    /// When a connection that had been used recently was evicted last.
    pub last_forced: Option<Instant>,
    interval_start: Option<Instant>,
    count: u32,
}

impl EvictionRecord {
    /// Records an eviction. Returns whether it is the one that makes a storm, once an interval.
    pub fn record(&mut self, now: Instant, forced: bool) -> bool {
        if forced {
            self.last_forced = Some(now);
        }
        let current = self
            .interval_start
            .is_some_and(|start| now.duration_since(start) < INTERVAL);
        if !current {
            self.interval_start = Some(now);
            self.count = 0;
        }
        self.count += 1;
        self.count == STORM_SIZE
    }
}
