//! [`WorkReply`]: what a pool sends on a work stream.

use std::time;

use serde::{Deserialize, Serialize};

use crate::model::{ids, log_position, refusal_reason};

/// State of the upstream connection after a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionStatus {
    /// No transaction; the unit of work has ended.
    Idle,
    /// Inside a transaction.
    Open,
    /// Inside a transaction that has failed.
    Failed,
}

/// The end of a batch's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchDone {
    /// The batch that is answered.
    pub request: ids::RequestId,
    /// Last bytes of the answer, up to and including ReadyForQuery.
    pub tail: bytes::Bytes,
    /// State of the connection.
    pub status: TransactionStatus,
    /// Position that a commit in this batch reached.
    pub position: Option<log_position::LogPosition>,
    /// SQLSTATE of the last error in the answer.
    pub sql_state: Option<String>,
    /// Time spent in the queue.
    pub queued: time::Duration,
    /// Time from sending the batch to the end of the answer.
    pub ran: time::Duration,
}

/// A refusal: nothing of the batch was written to the upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkRefusal {
    /// Why.
    pub reason: refusal_reason::RefusalReason,
    /// The same in words, with the peer concerned.
    pub detail: String,
}

/// A broken batch: some of it may have reached the upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkBreakage {
    /// What was being done.
    pub step: String,
    /// Upstream at which it broke.
    pub peer: ids::UpstreamId,
    /// What the library reported.
    pub cause: String,
}

/// A frame from pool to entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkReply {
    /// bytes::Bytes of the answer. A message may be split over frames.
    Rows(bytes::Bytes),
    /// The answer is whole.
    BatchDone(BatchDone),
    /// The batch was not run. The unit has ended, and its transaction, if any, is rolled back.
    Refused(WorkRefusal),
    /// The batch may have run. The unit has ended.
    Broken(WorkBreakage),
}
