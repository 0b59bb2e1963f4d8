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

/// Slot time that a waiting customer is owed for each second that the priority customer uses, as
/// a part of its fair share. A fifth of the fair share of *all* slot time is the target; since what
/// is owed adds to all slot time, up to a quarter is needed, and the rest covers rounding.
const FLOOR_SHARE: f64 = 0.27;
/// Largest debt in seconds of slot time to a customer that is behind its floor, and the largest
/// lead before the floor counts again.
const FLOOR_DEBT_LIMIT: f64 = 0.05;
/// Largest overuse in seconds that a customer's later work has to make up for.
const DEFICIT_LIMIT: f64 = 1.0;
/// Share in seconds of slot time that a customer of weight 1 gets in one round.
const ROUND_QUANTUM: f64 = 0.005;
/// Part of a share that is less than any measured time and more than the error of a sum.
const ROUNDING_SHARE: f64 = 1e-6;

/// The queue of one upstream. Times are durations since any fixed start.
#[derive(Debug)]
pub struct SlotScheduler {
    limits: schedule_limits::ScheduleLimits,
    terms: customer_shares::CustomerShares,
    times: slot_times::SlotTimes,
    transactions: customer_queue::CustomerQueue,
    lanes: collections::BTreeMap<ids::CustomerId, customer_queue::CustomerQueue>,
    /// Customer of each waiting batch; `None` while it waits among the transactions.
    waiting: collections::HashMap<customer_queue::QueueTicket, Option<ids::CustomerId>>,
    running: running_batches::RunningBatches,
    units: u32,
    sequence: u64,
    /// Customer whose turn it is.
    cursor: ids::CustomerId,
}

impl SlotScheduler {
    /// Creates an empty queue without rules.
    #[must_use]
    pub fn new(limits: schedule_limits::ScheduleLimits) -> Self {
        Self {
            limits,
            terms: customer_shares::CustomerShares::default(),
            times: slot_times::SlotTimes::default(),
            transactions: customer_queue::CustomerQueue::new(true, 1),
            lanes: collections::BTreeMap::new(),
            waiting: collections::HashMap::new(),
            running: running_batches::RunningBatches::default(),
            units: 0,
            sequence: 0,
            cursor: ids::CustomerId::new(),
        }
    }

    /// Puts rules in force for what arrives and is granted from now on.
    pub fn set_rules(&mut self, rules: &rule_set::RuleSet) {
        self.terms = customer_shares::CustomerShares::new(rules);
        for (customer, lane) in &mut self.lanes {
            (lane.high, lane.weight) = self.terms.of(customer);
        }
    }

    /// Puts other limits in force. Work above a lower limit is not interrupted.
    pub fn set_limits(&mut self, limits: schedule_limits::ScheduleLimits) {
        self.limits = limits;
    }

    /// Takes a batch in.
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
            let (high, weight) = self.terms.of(&arrival.customer);
            self.waiting
                .insert(arrival.ticket, Some(arrival.customer.clone()));
            self.lanes
                .entry(arrival.customer)
                .or_insert_with(|| customer_queue::CustomerQueue::new(high, weight))
                .push(batch);
        }
        self.grant(now, &mut actions);
        if self.waiting.len() > self.limits.max_waiting {
            self.push_out(arrival.ticket, &mut actions);
        }
        actions
    }

    /// Frees the slot of a granted batch. `keeps_unit` is true while its transaction stays open.
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
            self.sort_lanes();
        }
        self.charge(&batch, slot_time);
        self.grant(now, &mut actions);
        actions
    }

    /// Notes that a transaction ended between two batches.
    pub fn release_unit(&mut self, now: time::Duration) -> Vec<schedule_event::ScheduleAction> {
        let mut actions = Vec::new();
        self.units = self.units.saturating_sub(1);
        self.grant(now, &mut actions);
        actions
    }

    /// Takes a waiting batch out, or finishes it if it has been granted meanwhile.
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

    /// Lets time pass: refuses what waited too long, and counts what runs too long as long.
    pub fn advance(&mut self, now: time::Duration) -> Vec<schedule_event::ScheduleAction> {
        let mut actions = Vec::new();
        let late: Vec<_> = self
            .lanes
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
            self.times.raise(*fingerprint, *elapsed);
        }
        if !changed.is_empty() {
            self.sort_lanes();
        }
        self.grant(now, &mut actions);
        actions
    }

    /// Returns the estimated wait of a short batch of a customer without work in the queue.
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

    /// Returns the number of batches that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of batches that run.
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
            lanes: &self.lanes,
            terms: &self.terms,
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

    fn sort_lanes(&mut self) {
        for lane in self.lanes.values_mut().chain([&mut self.transactions]) {
            lane.sort(|batch| {
                self.times
                    .class(batch.fingerprint, batch.long, self.limits.long_after)
            });
        }
    }

    /// Tells whether a batch may run beside what runs now.
    fn is_eligible(&self, batch: &customer_queue::WaitingBatch, high: bool) -> bool {
        if !batch.in_transaction && self.units >= self.limits.units {
            return false;
        }
        let slots = self.limits.slots;
        let most = slots.saturating_sub(1).max(1);
        let heavy = self.running.heavy();
        let borrowed = slots.saturating_sub(self.terms.reserve).max(1);
        let may_borrow = high || batch.in_transaction || self.running.borrowing() < borrowed;
        match batch.class {
            customer_queue::WorkClass::Short => true,
            // The first run of a statement is its trial: there is one at a time, and one trial
            // may use the last slot. Without that exception, a short statement that is new would
            // wait for exports to end.
            customer_queue::WorkClass::Unproven => {
                let has_room = heavy < most || self.running.unproven() == 0;
                has_room && may_borrow && !self.running.has_trial(batch.fingerprint)
            }
            customer_queue::WorkClass::Long => {
                heavy < most
                    && self.running.long() < self.terms.long_slots.clamp(1, most)
                    && may_borrow
            }
        }
    }

    fn grant(&mut self, now: time::Duration, actions: &mut Vec<schedule_event::ScheduleAction>) {
        while !self.waiting.is_empty() && self.has_free_slot() {
            let Some(ticket) = self.choose() else {
                return;
            };
            self.start(ticket, now);
            actions.push(schedule_event::ScheduleAction::Grant(ticket));
        }
    }

    fn choose(&mut self) -> Option<customer_queue::QueueTicket> {
        if !self.is_fair() {
            return self
                .lanes
                .values()
                .filter_map(|lane| lane.first(|_| true))
                .min_by_key(|batch| batch.sequence)
                .filter(|batch| batch.in_transaction || self.units < self.limits.units)
                .map(|batch| batch.ticket)
                .or_else(|| self.first_of_transactions());
        }
        let first = self
            .transactions
            .first(|batch| self.is_eligible(batch, true));
        if let Some(batch) = first {
            return Some(batch.ticket);
        }
        let behind = self
            .lanes
            .values()
            .filter(|lane| !lane.high && lane.floor_debt > 0.0)
            .filter_map(|lane| {
                let batch = lane.first(|batch| self.is_eligible(batch, false))?;
                Some((lane.floor_debt, batch.ticket))
            })
            .max_by(|left, right| left.0.total_cmp(&right.0));
        if let Some((_, ticket)) = behind {
            return Some(ticket);
        }
        let priority = self
            .lanes
            .values()
            .filter(|lane| lane.high)
            .filter_map(|lane| lane.first(|batch| self.is_eligible(batch, true)))
            .min_by_key(|batch| batch.sequence);
        if let Some(batch) = priority {
            return Some(batch.ticket);
        }
        self.choose_by_share()
    }

    /// A unit that holds a connection may not wait behind one that waits for a connection.
    fn first_of_transactions(&self) -> Option<customer_queue::QueueTicket> {
        self.lanes
            .values()
            .flat_map(customer_queue::CustomerQueue::iter)
            .filter(|batch| batch.in_transaction)
            .min_by_key(|batch| batch.sequence)
            .map(|batch| batch.ticket)
    }

    /// Deficit round robin: the customer at the cursor goes on until its share of the round is
    /// used. If all shares are used, as many rounds pass as the first of them needs.
    fn choose_by_share(&mut self) -> Option<customer_queue::QueueTicket> {
        let candidates: Vec<_> = self
            .lanes
            .iter()
            .filter(|(_, lane)| !lane.high)
            .filter_map(|(customer, lane)| {
                let batch = lane.first(|batch| self.is_eligible(batch, false))?;
                Some((customer.clone(), batch.ticket, lane.deficit, lane.weight))
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
                if let Some(lane) = self.lanes.get_mut(customer) {
                    let share = ROUND_QUANTUM * f64::from(*weight);
                    lane.deficit += rounds * share;
                    // The sum may round to zero or just below where it should be just above.
                    if lane.deficit.abs() < share * ROUNDING_SHARE {
                        lane.deficit = share * ROUNDING_SHARE;
                    }
                }
            }
        }
        let in_turn = |customer: &ids::CustomerId| {
            self.lanes
                .get(customer)
                .is_some_and(|lane| lane.deficit > 0.0)
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
        if let Some(lane) = self.lanes.get_mut(&batch.customer) {
            lane.deficit -= batch.expected.as_secs_f64();
            lane.floor_debt -= batch.expected.as_secs_f64();
        }
        let running = running_batches::RunningBatch {
            class: batch.class,
            high: self.terms.of(&batch.customer).0,
            customer: batch.customer,
            fingerprint: batch.fingerprint,
            expected: batch.expected,
            started: now,
        };
        self.running.insert(ticket, running);
    }

    /// Charges measured slot time to a customer, and credits the floor of those that wait.
    fn charge(&mut self, batch: &running_batches::RunningBatch, slot_time: time::Duration) {
        let seconds = slot_time.as_secs_f64();
        let weights: u32 = self
            .lanes
            .iter()
            .filter(|(customer, lane)| !lane.is_empty() || **customer == batch.customer)
            .map(|(_, lane)| lane.weight)
            .sum();
        for (customer, lane) in &mut self.lanes {
            if *customer == batch.customer {
                let correction = batch.expected.as_secs_f64() - seconds;
                lane.deficit = (lane.deficit + correction).max(-DEFICIT_LIMIT);
                lane.floor_debt += correction;
            }
            // Only the priority customer can hold others below their share, so its first request
            // after a pause finds nobody with a claim to go before it.
            if batch.high && !lane.is_empty() {
                let share = f64::from(lane.weight) / f64::from(weights.max(1));
                lane.floor_debt += seconds * share * FLOOR_SHARE;
            }
            lane.floor_debt = lane.floor_debt.clamp(-FLOOR_DEBT_LIMIT, FLOOR_DEBT_LIMIT);
        }
        // A lane with nothing waiting and nothing to make up for has no state worth keeping.
        self.lanes
            .retain(|_, lane| !lane.is_empty() || lane.deficit < 0.0);
    }

    fn remove_waiting(
        &mut self,
        ticket: customer_queue::QueueTicket,
    ) -> Option<customer_queue::WaitingBatch> {
        let customer = self.waiting.remove(&ticket)?;
        let lane = match &customer {
            None => &mut self.transactions,
            Some(customer) => self.lanes.get_mut(customer)?,
        };
        lane.remove(ticket)
    }

    /// Refuses the newest batch of the longest lane, so that one customer cannot fill the queue
    /// for the others.
    fn push_out(
        &mut self,
        arrived: customer_queue::QueueTicket,
        actions: &mut Vec<schedule_event::ScheduleAction>,
    ) {
        let longest = self
            .lanes
            .values()
            .filter(|lane| !lane.is_empty() && self.is_fair())
            .max_by_key(|lane| (!lane.high, lane.len()))
            .and_then(customer_queue::CustomerQueue::newest)
            .map_or(arrived, |batch| batch.ticket);
        self.remove_waiting(longest);
        let reason = refusal_reason::RefusalReason::QueueFull;
        actions.push(schedule_event::ScheduleAction::Refuse(longest, reason));
    }
}
