//! [`WorkRequest`]: opens a unit of work on a pool.

use serde::{Deserialize, Serialize};

use crate::model::{ids, log_position};

/// Whether a unit of work may change data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum WorkAccess {
    /// Known to be read-only.
    Read,
    /// Anything else.
    Write,
}

/// Opens a unit of work: one batch of statements, or a transaction of several batches. The unit
/// ends, and its connection is returned to the pool, when a batch leaves no open transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkRequest {
    /// Id by which log lines of entry and pool can be matched.
    pub request: ids::RequestId,
    /// Upstream on which to run.
    pub upstream: ids::UpstreamId,
    /// Database that the caller connected to.
    pub database: ids::DatabaseName,
    /// Customer of the caller's login, by which the fair queue policy shares the slots.
    pub customer: ids::CustomerId,
    /// Whether the work may change data.
    pub access: WorkAccess,
    /// For reads: log position that the upstream must have applied.
    pub min_applied: Option<log_position::LogPosition>,
    /// For writes: term in which the upstream must be the primary.
    pub term: Option<ids::TermNumber>,
}
