//! [`BatchArrival`] and [`ScheduleAction`]: what goes into and comes out of a queue.

use std::time;

use crate::decide::customer_queue;
use crate::model::{ids, refusal_reason};

/// A batch that asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchArrival {
    /// Names the batch; unique among those that wait or run.
    pub ticket: customer_queue::QueueTicket,
    /// Customer of the caller.
    pub customer: ids::CustomerId,
    /// Statement.
    pub fingerprint: ids::FingerprintId,
    /// What the entry says about its length.
    pub long: Option<bool>,
    /// Whether the batch continues an open transaction.
    pub in_transaction: bool,
    /// Time within which the batch has to be granted.
    pub start_within: time::Duration,
}

/// What happens to a batch that waited or arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScheduleAction {
    /// The batch has a slot until it finishes.
    Grant(customer_queue::QueueTicket),
    /// The batch is out of the queue.
    Refuse(customer_queue::QueueTicket, refusal_reason::RefusalReason),
}
