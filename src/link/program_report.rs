//! [`ProgramReport`]: what an entry or a pool tells the keeper on its VM.

use std::time;

use serde::{Deserialize, Serialize};

use crate::model::{ids, refusal_reason, retry_reason};

/// Queue of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueReport {
    /// The upstream.
    pub upstream: ids::UpstreamId,
    /// Batches that wait for a slot.
    pub waiting: u32,
    /// Batches that run.
    pub running: u32,
    /// Open connections.
    pub connections: u32,
    /// Estimated wait for a slot.
    pub wait: time::Duration,
}

/// Sent at each new rule revision and once a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramReport {
    /// Revision of the rules in force.
    pub rules_revision: ids::RuleRevision,
    /// Sessions that callers have open.
    pub sessions: u64,
    /// Queues, on a pool.
    pub queues: Vec<QueueReport>,
    /// Refusals since the start, by reason.
    pub refusals: Vec<(refusal_reason::RefusalReason, u64)>,
    /// Retries since the start, by reason.
    pub retries: Vec<(retry_reason::RetryReason, u64)>,
}
