//! [`ScheduleLimits`]: limits of one upstream's queue.

use std::time;

use serde::Deserialize;

/// Order in which slots are granted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueuePolicy {
    /// By open transaction, priority, share and length, as `docs/design.md` describes.
    #[default]
    Fair,
    /// In order of arrival; measurements use it as the baseline.
    #[serde(rename = "first_come")]
    FirstComeFirstServed,
}

/// Limits of one upstream's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduleLimits {
    /// Order in which slots are granted.
    pub policy: QueuePolicy,
    /// Statements that the upstream runs at once.
    pub slots: u32,
    /// Units of work (transactions, or batches outside one) that may hold a connection at once.
    pub units: u32,
    /// Batches that may wait.
    pub max_waiting: usize,
    /// Mean slot time above which a statement counts as long.
    pub long_after: time::Duration,
}
