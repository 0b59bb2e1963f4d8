//! [`BatchRequest`]: messages to run on the connection of a unit of work.

use std::time;

use serde::{Deserialize, Serialize};

use crate::model::ids;

/// A batch of PostgreSQL messages that the upstream answers with exactly one ReadyForQuery.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchRequest {
    /// Matches the answer to this batch.
    pub request: ids::RequestId,
    /// Encoded messages: one Query, or extended-protocol messages up to Sync.
    pub messages: bytes::Bytes,
    /// Fingerprint of the statements, by which the pool learns what is long.
    pub fingerprint: ids::FingerprintId,
    /// Says that the work is long or short; `None` leaves it to what the pool has learned.
    pub long: Option<bool>,
    /// Time within which the batch has to be sent to the upstream; otherwise it is refused.
    pub start_within: time::Duration,
    /// Longest silence of the upstream after which the connection counts as broken.
    pub silence_limit: time::Duration,
    /// Sends everything from the first CommandComplete on only with [`super::work_reply::BatchDone`],
    /// so that the entry can withhold it until a second upstream holds the commit.
    pub hold_completion: bool,
    /// Numbers (from 0) of the ParseComplete messages in the answer that are dropped, because the
    /// entry added their Parse.
    pub hidden_parses: Vec<u16>,
}
