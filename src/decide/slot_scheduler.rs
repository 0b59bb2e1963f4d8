//! [`SlotScheduler`]: decides which waiting batch gets a slot of an upstream.
//!
//! See `docs/design.md`, "Queue of an upstream".

use std::collections;
use std::time;

use crate::decide::{
    customer_queue, customer_shares, running_batches, schedule_event, schedule_limits, slot_times,
    wait_estimate,
};
use crate::model::{ids, refusal_reason};
use crate::rules::rule_set;

/// Slot time that is guaranteed to a waiting customer for each second that customers with high
/// priority use, as a part of its fair share. The target is a fifth of the fair share of *all* slot
/// time. Since the guaranteed time adds to all slot time, that takes up to a quarter; the rest
/// covers rounding.
const MINIMUM_SHARE: f64 = 0.27;
/// Largest slot time in seconds by which a customer may count as behind or ahead of its guaranteed
/// minimum.
const MINIMUM_DEBT_LIMIT: f64 = 0.05;
/// Largest overuse of slot time in seconds that is deducted from a customer's later rounds.
const DEFICIT_LIMIT: f64 = 1.0;
/// Slot time in seconds that a customer of weight 1 gets in one round.
const ROUND_QUANTUM: f64 = 0.005;
/// Part of a share that is less than any measured slot time and more than the rounding error of a
/// sum.
const ROUNDING_SHARE: f64 = 1e-6;

/// Queue of the batches that wait for the slots of one upstream. Times are durations since any
/// fixed start.
#[derive(Debug)]
pub struct SlotScheduler {
    limits: schedule_limits::ScheduleLimits,
    shares: customer_shares::CustomerShares,
    times: slot_times::SlotTimes,
    transactions: customer_queue::CustomerQueue,
    queues: collections::BTreeMap<ids::CustomerId, customer_queue::CustomerQueue>,
    /// Customer of each waiting batch; `None` if the batch waits in `transactions`.
    waiting: collections::HashMap<customer_queue::QueueTicket, Option<ids::CustomerId>>,
    running: running_batches::RunningBatches,
    units: u32,
    sequence: u64,
    /// Customer whose turn it is in the round robin.
    cursor: ids::CustomerId,
}

impl SlotScheduler {
    /// Creates an empty queue without rules.
    #[must_use]
    pub fn new(limits: schedule_limits::ScheduleLimits) -> Self {
        Self {
            limits,
            shares: customer_shares::CustomerShares::default(),
            times: slot_times::SlotTimes::default(),
            transactions: customer_queue::CustomerQueue::new(true, 1),
            queues: collections::BTreeMap::new(),
            waiting: collections::HashMap::new(),
            running: running_batches::RunningBatches::default(),
            units: 0,
            sequence: 0,
            cursor: ids::CustomerId::new(),
        }
    }

    /// Applies rules to all arrivals and grants from now on.
    pub fn set_rules(&mut self, rules: &rule_set::RuleSet) {
        self.shares = customer_shares::CustomerShares::new(rules);
        for (customer, queue) in &mut self.queues {
            (queue.high, queue.weight) = self.shares.of(customer);
        }
    }

    /// Applies new limits. Batches that already run above a lower limit are not interrupted.
    pub fn set_limits(&mut self, limits: schedule_limits::ScheduleLimits) {
        self.limits = limits;
    }

    /// Queues a batch, or refuses it if its wait would exceed its limit.
    pub fn arrive(
        &mut self,
        arrival: schedule_event::BatchArrival,
        now: time::Duration,
    ) -> Vec<schedule_event::ScheduleAction> {
        let mut actions = Vec::new();
        let expected = self.times.expected(arrival.fingerprint);
        if self.is_fair()
            && !self.has_free_slot()
            && self.estimate().wait_for(&arrival, expected) > arrival.start_within
        {
            let reason = refusal_reason::RefusalReason::Deadline;
            actions.push(schedule_event::ScheduleAction::Refuse(
                arrival.ticket,
                reason,
            ));
            return actions;
        }
        self.sequence += 1;
        let batch = customer_queue::WaitingBatch {
            ticket: arrival.ticket,
            customer: arrival.customer.clone(),
            sequence: self.sequence,
            fingerprint: arrival.fingerprint,
            long: arrival.long,
            class: self.class(arrival.fingerprint, arrival.long),
            expected,
            deadline: now.saturating_add(arrival.start_within),
            in_transaction: arrival.in_transaction,
        };
        if arrival.in_transaction && self.is_fair() {
            self.waiting.insert(arrival.ticket, None);
            self.transactions.push(batch);
        } else {
            let (high, weight) = self.shares.of(&arrival.customer);
            self.waiting
                .insert(arrival.ticket, Some(arrival.customer.clone()));
            self.queues
                .entry(arrival.customer)
                .or_insert_with(|| customer_queue::CustomerQueue::new(high, weight))
                .push(batch);
        }
        self.grant(now, &mut actions);
        if self.waiting.len() > self.limits.max_waiting {
            self.shed_newest(arrival.ticket, &mut actions);
        }
        actions
    }

    /// Frees the slot of a granted batch. `keeps_unit` is true if its transaction stays open.
    pub fn finish(
        &mut self,
        ticket: customer_queue::QueueTicket,
        keeps_unit: bool,
        now: time::Duration,
    ) -> Vec<schedule_event::ScheduleAction> {
        let mut actions = Vec::new();
        let Some(batch) = self.running.remove(ticket) else {
            return actions;
        };
        let slot_time = now.saturating_sub(batch.started);
        if !keeps_unit {
            self.units = self.units.saturating_sub(1);
        }
        let class = self.class(batch.fingerprint, None);
        self.times.record(batch.fingerprint, slot_time);
        if class != self.class(batch.fingerprint, None) {
            self.reclassify_waiting();
        }
        self.charge(&batch, slot_time);
        self.grant(now, &mut actions);
        actions
    }

    /// Records that a transaction ended between two batches.
    pub fn release_unit(&mut self, now: time::Duration) -> Vec<schedule_event::ScheduleAction> {
        let mut actions = Vec::new();
        self.units = self.units.saturating_sub(1);
        self.grant(now, &mut actions);
        actions
    }

    /// Removes a waiting batch, or finishes it if it has been granted a slot meanwhile.
    pub fn cancel(
        &mut self,
        ticket: customer_queue::QueueTicket,
        keeps_unit: bool,
        now: time::Duration,
    ) -> Vec<schedule_event::ScheduleAction> {
        if self.remove_waiting(ticket).is_none() {
            return self.finish(ticket, keeps_unit, now);
        }
        let mut actions = Vec::new();
        self.grant(now, &mut actions);
        actions
    }

    /// Handles the passing of time: refuses batches whose deadline has passed, and marks batches
    /// that run for too long as long.
    pub fn advance(&mut self, now: time::Duration) -> Vec<schedule_event::ScheduleAction> {
        let mut actions = Vec::new();
        let late: Vec<_> = self
            .queues
            .values()
            .chain([&self.transactions])
            .flat_map(customer_queue::CustomerQueue::iter)
            .filter(|batch| batch.deadline <= now)
            .map(|batch| batch.ticket)
            .collect();
        for ticket in late {
            self.remove_waiting(ticket);
            let reason = refusal_reason::RefusalReason::Deadline;
            actions.push(schedule_event::ScheduleAction::Refuse(ticket, reason));
        }
        let changed = self.running.reclassify(self.limits.long_after, now);
        for (fingerprint, elapsed) in &changed {
            self.times.record_unfinished(*fingerprint, *elapsed);
        }
        if !changed.is_empty() {
            self.reclassify_waiting();
        }
        self.grant(now, &mut actions);
        actions
    }

    /// Returns the estimated wait of a short batch of a customer that has no batches in the queue.
    #[must_use]
    pub fn estimate_wait(&self) -> time::Duration {
        if self.has_free_slot() {
            return time::Duration::ZERO;
        }
        self.estimate().total()
    }

    /// Returns the mean slot time of a fingerprint, once measured.
    #[must_use]
    pub fn learned(&self, fingerprint: ids::FingerprintId) -> Option<time::Duration> {
        self.times.mean(fingerprint)
    }

    /// Returns the number of waiting batches.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of running batches.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of running batches that count as long.
    #[must_use]
    pub const fn running_long(&self) -> u32 {
        self.running.long()
    }

    fn is_fair(&self) -> bool {
        self.limits.policy == schedule_limits::QueuePolicy::Fair
    }

    fn estimate(&self) -> wait_estimate::WaitEstimate<'_> {
        wait_estimate::WaitEstimate {
            transactions: &self.transactions,
            queues: &self.queues,
            shares: &self.shares,
            slots: self.limits.slots.max(1),
        }
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < self.limits.slots as usize
    }

    fn class(
        &self,
        fingerprint: ids::FingerprintId,
        long: Option<bool>,
    ) -> customer_queue::WorkClass {
        self.times.class(fingerprint, long, self.limits.long_after)
    }

    fn reclassify_waiting(&mut self) {
        for queue in self.queues.values_mut().chain([&mut self.transactions]) {
            queue.reclassify(|batch| {
                self.times
                    .class(batch.fingerprint, batch.long, self.limits.long_after)
            });
        }
    }

    /// Returns whether a batch may run beside the batches that run now.
    fn is_eligible(&self, batch: &customer_queue::WaitingBatch, high: bool) -> bool {
        if !batch.in_transaction && self.units >= self.limits.units {
            return false;
        }
        let slots = self.limits.slots;
        let max_maybe_long = slots.saturating_sub(1).max(1);
        let maybe_long = self.running.maybe_long();
        let unreserved = slots.saturating_sub(self.shares.reserve).max(1);
        let may_borrow =
            high || batch.in_transaction || self.running.maybe_long_normal() < unreserved;
        match batch.class {
            customer_queue::WorkClass::Short => true,
            // An unmeasured statement runs once at a time, until it has been measured. One
            // unmeasured batch may use the last slot; otherwise a new short statement would wait
            // for exports to end.
            customer_queue::WorkClass::Unmeasured => {
                let has_slot = maybe_long < max_maybe_long || self.running.unmeasured() == 0;
                has_slot && may_borrow && !self.running.has_unmeasured(batch.fingerprint)
            }
            customer_queue::WorkClass::Long => {
                maybe_long < max_maybe_long
                    && self.running.long() < self.shares.long_slots.clamp(1, max_maybe_long)
                    && may_borrow
            }
        }
    }

    fn grant(&mut self, now: time::Duration, actions: &mut Vec<schedule_event::ScheduleAction>) {
        while !self.waiting.is_empty() && self.has_free_slot() {
            let Some(ticket) = self.choose_next() else {
                return;
            };
            self.start(ticket, now);
            actions.push(schedule_event::ScheduleAction::Grant(ticket));
        }
    }

    fn choose_next(&mut self) -> Option<customer_queue::QueueTicket> {
        if !self.is_fair() {
            return self
                .queues
                .values()
                .filter_map(|queue| queue.first(|_| true))
                .min_by_key(|batch| batch.sequence)
                .filter(|batch| batch.in_transaction || self.units < self.limits.units)
                .map(|batch| batch.ticket)
                .or_else(|| self.first_with_connection());
        }
        let first = self
            .transactions
            .first(|batch| self.is_eligible(batch, true));
        if let Some(batch) = first {
            return Some(batch.ticket);
        }
        let below_minimum = self
            .queues
            .values()
            .filter(|queue| !queue.high && queue.minimum_debt > 0.0)
            .filter_map(|queue| {
                let batch = queue.first(|batch| self.is_eligible(batch, false))?;
                Some((queue.minimum_debt, batch.ticket))
            })
            .max_by(|left, right| left.0.total_cmp(&right.0));
        if let Some((_, ticket)) = below_minimum {
            return Some(ticket);
        }
        let priority = self
            .queues
            .values()
            .filter(|queue| queue.high)
            .filter_map(|queue| queue.first(|batch| self.is_eligible(batch, true)))
            .min_by_key(|batch| batch.sequence);
        if let Some(batch) = priority {
            return Some(batch.ticket);
        }
        self.choose_by_share()
    }

    /// Returns the first batch whose unit already holds a connection. It must not wait behind a
    /// batch that needs a connection: connections may be free only once its own unit ends.
    fn first_with_connection(&self) -> Option<customer_queue::QueueTicket> {
        self.queues
            .values()
            .flat_map(customer_queue::CustomerQueue::iter)
            .filter(|batch| batch.in_transaction)
            .min_by_key(|batch| batch.sequence)
            .map(|batch| batch.ticket)
    }

    /// Returns the next batch by deficit round robin: the customer at the cursor is served until
    /// its share of the round is used. If all shares are used, as many rounds are added as the
    /// first customer needs to have a share again.
    fn choose_by_share(&mut self) -> Option<customer_queue::QueueTicket> {
        let candidates: Vec<_> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.high)
            .filter_map(|(customer, queue)| {
                let batch = queue.first(|batch| self.is_eligible(batch, false))?;
                Some((customer.clone(), batch.ticket, queue.deficit, queue.weight))
            })
            .collect();
        if candidates.iter().all(|candidate| candidate.2 <= 0.0) {
            let rounds = candidates
                .iter()
                .map(|(_, _, deficit, weight)| {
                    (-deficit / (ROUND_QUANTUM * f64::from(*weight))).floor() + 1.0
                })
                .min_by(f64::total_cmp)?;
            for (customer, _, _, weight) in &candidates {
                if let Some(queue) = self.queues.get_mut(customer) {
                    let share = ROUND_QUANTUM * f64::from(*weight);
                    queue.deficit += rounds * share;
                    // Rounding may make a sum that should be just above zero come out at zero or
                    // below.
                    if queue.deficit.abs() < share * ROUNDING_SHARE {
                        queue.deficit = share * ROUNDING_SHARE;
                    }
                }
            }
        }
        let in_turn = |customer: &ids::CustomerId| {
            self.queues
                .get(customer)
                .is_some_and(|queue| queue.deficit > 0.0)
        };
        let after = candidates
            .iter()
            .filter(|candidate| candidate.0 >= self.cursor)
            .chain(candidates.iter())
            .find(|candidate| in_turn(&candidate.0))?;
        self.cursor.clone_from(&after.0);
        Some(after.1)
    }

    fn start(&mut self, ticket: customer_queue::QueueTicket, now: time::Duration) {
        let Some(batch) = self.remove_waiting(ticket) else {
            return;
        };
        if !batch.in_transaction {
            self.units += 1;
        }
        if let Some(queue) = self.queues.get_mut(&batch.customer) {
            queue.deficit -= batch.expected.as_secs_f64();
            queue.minimum_debt -= batch.expected.as_secs_f64();
        }
        let running = running_batches::RunningBatch {
            class: batch.class,
            high: self.shares.of(&batch.customer).0,
            customer: batch.customer,
            fingerprint: batch.fingerprint,
            expected: batch.expected,
            started: now,
        };
        self.running.insert(ticket, running);
    }

    /// Charges measured slot time to a customer, and credits the guaranteed minimum of the
    /// customers that wait.
    fn charge(&mut self, batch: &running_batches::RunningBatch, slot_time: time::Duration) {
        let seconds = slot_time.as_secs_f64();
        let weights: u32 = self
            .queues
            .iter()
            .filter(|(customer, queue)| !queue.is_empty() || **customer == batch.customer)
            .map(|(_, queue)| queue.weight)
            .sum();
        for (customer, queue) in &mut self.queues {
            if *customer == batch.customer {
                let correction = batch.expected.as_secs_f64() - seconds;
                queue.deficit = (queue.deficit + correction).max(-DEFICIT_LIMIT);
                queue.minimum_debt += correction;
            }
            // Only customers with high priority can hold others below their share. No minimum is
            // credited while they are idle, so that their first request after a pause goes first.
            if batch.high && !queue.is_empty() {
                let share = f64::from(queue.weight) / f64::from(weights.max(1));
                queue.minimum_debt += seconds * share * MINIMUM_SHARE;
            }
            queue.minimum_debt = queue
                .minimum_debt
                .clamp(-MINIMUM_DEBT_LIMIT, MINIMUM_DEBT_LIMIT);
        }
        // A queue without waiting batches and without overuse to deduct needs no state.
        self.queues
            .retain(|_, queue| !queue.is_empty() || queue.deficit < 0.0);
    }

    fn remove_waiting(
        &mut self,
        ticket: customer_queue::QueueTicket,
    ) -> Option<customer_queue::WaitingBatch> {
        let customer = self.waiting.remove(&ticket)?;
        let queue = match &customer {
            None => &mut self.transactions,
            Some(customer) => self.queues.get_mut(customer)?,
        };
        queue.remove(ticket)
    }

    /// Refuses the newest batch of the customer with the most waiting batches, customers without
    /// high priority first, so that one customer cannot fill the queue for the others.
    fn shed_newest(
        &mut self,
        arrived: customer_queue::QueueTicket,
        actions: &mut Vec<schedule_event::ScheduleAction>,
    ) {
        let longest = self
            .queues
            .values()
            .filter(|queue| !queue.is_empty() && self.is_fair())
            .max_by_key(|queue| (!queue.high, queue.len()))
            .and_then(customer_queue::CustomerQueue::newest)
            .map_or(arrived, |batch| batch.ticket);
        self.remove_waiting(longest);
        let reason = refusal_reason::RefusalReason::QueueFull;
        actions.push(schedule_event::ScheduleAction::Refuse(longest, reason));
    }
}
