//! [`BatchArrival`] and [`ScheduleAction`]: input and output of the slot scheduler.

use std::time;

use crate::decide::customer_queue;
use crate::model::{ids, refusal_reason};

/// A batch that asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchArrival {
    /// Identifies the batch; unique among the batches that wait or run.
    pub ticket: customer_queue::QueueTicket,
    /// Customer of the caller.
    pub customer: ids::CustomerId,
    /// Fingerprint of the statement.
    pub fingerprint: ids::FingerprintId,
    /// Whether the entry marked the batch as long or short, if it did.
    pub long: Option<bool>,
    /// Whether the batch continues an open transaction.
    pub in_transaction: bool,
    /// Time within which the batch has to be granted a slot.
    pub start_within: time::Duration,
}

/// Decision on a batch that arrived or waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScheduleAction {
    /// The batch has a slot until it finishes.
    Grant(customer_queue::QueueTicket),
    /// The batch is refused and has left the queue.
    Refuse(customer_queue::QueueTicket, refusal_reason::RefusalReason),
}
