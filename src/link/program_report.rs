//! [`ProgramReport`]: status report of an entry or a pool to the keeper on its VM.

use std::time;

use serde::{Deserialize, Serialize};

use crate::model::{ids, refusal_reason, retry_reason};

/// State of the queue of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueReport {
    /// The upstream.
    pub upstream: ids::UpstreamId,
    /// Number of batches that wait for a slot.
    pub waiting: u32,
    /// Number of batches that are running.
    pub running: u32,
    /// Number of open connections.
    pub connections: u32,
    /// Estimated time that a batch waits for a slot.
    pub wait: time::Duration,
}

/// Status of a program. It is sent at each new rule revision and once a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramReport {
    /// Revision of the rules in force.
    pub rules_revision: ids::RuleRevision,
    /// Number of callers' open sessions.
    pub sessions: u64,
    /// Queues by upstream; empty on an entry.
    pub queues: Vec<QueueReport>,
    /// Number of refusals since the start, by reason.
    pub refusals: Vec<(refusal_reason::RefusalReason, u64)>,
    /// Number of retries since the start, by reason.
    pub retries: Vec<(retry_reason::RetryReason, u64)>,
}
