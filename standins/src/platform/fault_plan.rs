//! [`FaultPlan`]: faults that tests inject with `POST /admin/faults`.

use serde::{Deserialize, Serialize};

/// Kind of outage of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageKind {
    /// No outage.
    #[default]
    None,
    /// Every call is answered with 503.
    Refuse,
    /// No call is answered while the outage lasts.
    Hang,
}

/// Faults in force; a post replaces all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Outage in force.
    pub outage: OutageKind,
    /// Delay added to each call, in milliseconds.
    pub slow_ms: u64,
    /// Number of upcoming writes that take effect and are never answered.
    pub lost_answers: u32,
}
