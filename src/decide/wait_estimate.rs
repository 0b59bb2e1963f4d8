//! [`WaitEstimate`]: estimates how long a batch would wait for a slot.

use std::collections;
use std::time;

use crate::decide::{customer_queue, customer_shares, schedule_event};
use crate::model::ids;

/// Estimates the wait for a slot from the expected slot times of all waiting batches.
#[derive(Clone, Copy, Debug)]
pub struct WaitEstimate<'a> {
    /// Waiting batches of open transactions.
    pub transactions: &'a customer_queue::CustomerQueue,
    /// Other waiting batches, by customer.
    pub queues: &'a collections::BTreeMap<ids::CustomerId, customer_queue::CustomerQueue>,
    /// Priorities and weights of the customers.
    pub shares: &'a customer_shares::CustomerShares,
    /// Slots of the upstream.
    pub slots: u32,
}

impl WaitEstimate<'_> {
    /// Returns the estimated time until every waiting batch has got a slot.
    #[must_use]
    pub fn total(&self) -> time::Duration {
        self.backlog(|_| true) / self.slots
    }

    /// Returns the estimated wait of a batch that would arrive now.
    #[must_use]
    pub fn wait_for(
        &self,
        arrival: &schedule_event::BatchArrival,
        expected: time::Duration,
    ) -> time::Duration {
        if arrival.in_transaction {
            return self.transactions.backlog / self.slots;
        }
        let (high, weight) = self.shares.of(&arrival.customer);
        let first = self.backlog(|queue| queue.high);
        if high {
            return first / self.slots;
        }
        let own = self
            .queues
            .get(&arrival.customer)
            .map_or(time::Duration::ZERO, |queue| queue.backlog);
        let weights: u32 = self
            .queues
            .iter()
            .filter(|(customer, queue)| {
                !queue.high && (!queue.is_empty() || **customer == arrival.customer)
            })
            .map(|(_, queue)| queue.weight)
            .sum();
        // The batch runs after the customer's own backlog, which runs at the customer's share, and
        // at the latest after all batches that wait now.
        let share = f64::from(weights.max(weight)) / f64::from(weight.max(1));
        let fair = own.mul_f64(share) + first;
        fair.min(self.backlog(|_| true) + expected) / self.slots
    }

    fn backlog(&self, counts: impl Fn(&customer_queue::CustomerQueue) -> bool) -> time::Duration {
        self.queues
            .values()
            .filter(|queue| counts(queue))
            .fold(self.transactions.backlog, |sum, queue| sum + queue.backlog)
    }
}
