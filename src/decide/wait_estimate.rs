//! [`WaitEstimate`]: how long a batch would wait for a slot.

use std::collections;
use std::time;

use crate::decide::{customer_queue, customer_shares, schedule_event};
use crate::model::ids;

/// Estimates waits from the expected slot times of all that waits.
#[derive(Clone, Copy, Debug)]
pub struct WaitEstimate<'a> {
    /// Batches of open transactions.
    pub transactions: &'a customer_queue::CustomerQueue,
    /// Batches of customers.
    pub lanes: &'a collections::BTreeMap<ids::CustomerId, customer_queue::CustomerQueue>,
    /// What the rules give to customers.
    pub terms: &'a customer_shares::CustomerShares,
    /// Slots of the upstream.
    pub slots: u32,
}

impl WaitEstimate<'_> {
    /// Returns the time in which everything that waits gets its slot.
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
        let (high, weight) = self.terms.of(&arrival.customer);
        let first = self.backlog(|lane| lane.high);
        if high {
            return first / self.slots;
        }
        let own = self
            .lanes
            .get(&arrival.customer)
            .map_or(time::Duration::ZERO, |lane| lane.backlog);
        let weights: u32 = self
            .lanes
            .iter()
            .filter(|(customer, lane)| {
                !lane.high && (!lane.is_empty() || **customer == arrival.customer)
            })
            .map(|(_, lane)| lane.weight)
            .sum();
        // The customer's turn comes after its own backlog at its share, and at the latest once
        // everything before it has run.
        let share = f64::from(weights.max(weight)) / f64::from(weight.max(1));
        let fair = own.mul_f64(share) + first;
        fair.min(self.backlog(|_| true) + expected) / self.slots
    }

    fn backlog(&self, counts: impl Fn(&customer_queue::CustomerQueue) -> bool) -> time::Duration {
        self.lanes
            .values()
            .filter(|lane| counts(lane))
            .fold(self.transactions.backlog, |sum, lane| sum + lane.backlog)
    }
}
