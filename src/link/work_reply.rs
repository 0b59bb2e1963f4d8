//! [`WorkReply`]: messages from a pool on a `Work` stream.

use std::time;

use serde::{Deserialize, Serialize};

use crate::model::{ids, log_position, refusal_reason};

/// Transaction state of the upstream connection after a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionStatus {
    /// No transaction; the unit of work has ended.
    Idle,
    /// In an open transaction.
    Open,
    /// In a transaction that has failed.
    Failed,
}

/// The end of a batch's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchDone {
    /// Id of the answered batch.
    pub request: ids::RequestId,
    /// Last bytes of the answer, up to and including ReadyForQuery.
    pub tail: bytes::Bytes,
    /// Transaction state of the connection.
    pub status: TransactionStatus,
    /// Log position of a commit in this batch.
    pub position: Option<log_position::LogPosition>,
    /// SQLSTATE of the last error in the answer.
    pub sql_state: Option<String>,
    /// Time spent in the queue.
    pub queued: time::Duration,
    /// Time from sending the batch to the end of the answer.
    pub ran: time::Duration,
}

/// Refusal of a batch: nothing of it was sent to the upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkRefusal {
    /// Reason of the refusal.
    pub reason: refusal_reason::RefusalReason,
    /// Description of the reason, with the peer concerned.
    pub detail: String,
}

/// Failure of a batch of which a part may have reached the upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkFailure {
    /// Operation that failed.
    pub step: String,
    /// Upstream on which the batch ran.
    pub peer: ids::UpstreamId,
    /// Error of the library.
    pub cause: String,
}

/// A frame from pool to entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkReply {
    /// Bytes of the answer. A message may be split over several frames.
    Rows(bytes::Bytes),
    /// The answer is complete.
    BatchDone(BatchDone),
    /// The batch was not run. The unit of work has ended, and its transaction, if any, is rolled
    /// back.
    Refused(WorkRefusal),
    /// The batch may have run. The unit of work has ended.
    Broken(WorkFailure),
}
