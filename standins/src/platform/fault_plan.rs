//! [`FaultPlan`]: faults that tests switch on by `POST /admin/faults`.

use serde::{Deserialize, Serialize};

/// How the platform is out of service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageKind {
    /// It is in service.
    #[default]
    None,
    /// Every call gets 503.
    Refuse,
    /// No call gets an answer while the outage lasts.
    Hang,
}

/// Faults in force; a post replaces all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Outage.
    pub outage: OutageKind,
    /// Time added to each call, in milliseconds.
    pub slow_ms: u64,
    /// Number of coming writes that take effect but get no answer.
    pub lost_answers: u32,
}
