//! [`BatchRequest`]: PostgreSQL messages to run on the connection of a unit of work.

use std::time;

use serde::{Deserialize, Serialize};

use crate::model::ids;

/// A batch of PostgreSQL messages that the upstream answers with exactly one ReadyForQuery.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchRequest {
    /// Identifies the batch; the answer carries the same id.
    pub request: ids::RequestId,
    /// Encoded messages: one Query, or extended-protocol messages up to Sync.
    pub messages: bytes::Bytes,
    /// Fingerprint of the statements, by which the pool learns which statements run long.
    pub fingerprint: ids::FingerprintId,
    /// Whether the work runs long; `None` leaves the decision to what the pool has learned.
    pub long: Option<bool>,
    /// Time within which the batch has to be sent to the upstream. It is refused after that.
    pub start_within: time::Duration,
    /// Time without data from the upstream after which the pool cancels the batch. If the upstream
    /// stays silent, the connection then counts as broken.
    pub silence_limit: time::Duration,
    /// True if the pool is to send everything from the first CommandComplete on only with
    /// [`super::work_reply::BatchDone`], so that the entry can withhold it until a second upstream
    /// holds the commit.
    pub hold_completion: bool,
    /// Indexes (from 0) of the ParseComplete messages that are dropped from the answer, because the
    /// entry added their Parse messages.
    pub hidden_parses: Vec<u16>,
}
