//! [`SlotQueue`]: the queue for the slots of one upstream, shared by the tasks of its units.

use std::collections;
use std::mem;
use std::sync;
use std::time;

use crate::decide::{customer_queue, schedule_event, schedule_limits, slot_scheduler};
use crate::model::{ids, refusal_reason};
use crate::rules::rule_set;

/// Interval at which deadlines and running times are checked while batches wait or run.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(10);

type GrantResult = Result<(), refusal_reason::RefusalReason>;

#[derive(Debug)]
struct QueueState {
    scheduler: slot_scheduler::SlotScheduler,
    waiters: collections::HashMap<
        customer_queue::QueueTicket,
        tokio::sync::oneshot::Sender<GrantResult>,
    >,
    next_ticket: customer_queue::QueueTicket,
}

/// The queue for the slots of one upstream. It wakes the tasks of waiting batches when the
/// scheduler grants or refuses them.
#[derive(Debug)]
pub struct SlotQueue {
    state: sync::Mutex<QueueState>,
    start: tokio::time::Instant,
    work: tokio::sync::Notify,
}

/// A slot held by a batch. Dropping it frees the slot and ends the unit.
#[derive(Debug)]
pub struct SlotGuard {
    queue: sync::Arc<SlotQueue>,
    armed: bool,
    ticket: customer_queue::QueueTicket,
}

/// Counts a unit against the limit of units, between two batches of its transaction. Dropping it
/// ends the unit.
#[derive(Debug)]
pub struct UnitGuard {
    queue: sync::Arc<SlotQueue>,
    armed: bool,
}

/// A batch that waits for a slot. Dropping it removes the batch from the queue.
struct WaitGuard<'a> {
    queue: &'a SlotQueue,
    ticket: customer_queue::QueueTicket,
    keeps_unit: bool,
}

impl SlotQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(limits: schedule_limits::ScheduleLimits) -> Self {
        Self {
            state: sync::Mutex::new(QueueState {
                scheduler: slot_scheduler::SlotScheduler::new(limits),
                waiters: collections::HashMap::new(),
                next_ticket: 0,
            }),
            start: tokio::time::Instant::now(),
            work: tokio::sync::Notify::new(),
        }
    }

    /// Waits for a slot. `unit` is given for a batch of an open transaction. Dropping the future
    /// removes the batch from the queue.
    ///
    /// # Errors
    ///
    /// Returns the reason if the batch is refused.
    pub async fn acquire(
        self: &sync::Arc<Self>,
        mut arrival: schedule_event::BatchArrival,
        unit: Option<UnitGuard>,
    ) -> Result<SlotGuard, refusal_reason::RefusalReason> {
        arrival.in_transaction = unit.is_some();
        let (ticket, receiver) = {
            let mut state = self.lock();
            state.next_ticket += 1;
            let ticket = state.next_ticket;
            arrival.ticket = ticket;
            let mut actions = state.scheduler.arrive(arrival, self.now());
            let own = actions.iter().position(|action| match action {
                schedule_event::ScheduleAction::Grant(granted) => *granted == ticket,
                schedule_event::ScheduleAction::Refuse(refused, _) => *refused == ticket,
            });
            let own = own.map(|place| actions.swap_remove(place));
            state.deliver(actions);
            let receiver = match own {
                Some(schedule_event::ScheduleAction::Refuse(_, reason)) => return Err(reason),
                Some(schedule_event::ScheduleAction::Grant(_)) => None,
                None => {
                    let (sender, receiver) = tokio::sync::oneshot::channel();
                    state.waiters.insert(ticket, sender);
                    Some(receiver)
                }
            };
            (ticket, receiver)
        };
        self.work.notify_one();
        if let Some(receiver) = receiver {
            let wait = WaitGuard {
                queue: self,
                ticket,
                keeps_unit: unit.is_some(),
            };
            let result = receiver.await;
            mem::forget(wait);
            result.unwrap_or(Err(refusal_reason::RefusalReason::Stopping))?;
        }
        if let Some(mut unit) = unit {
            // The slot guard takes over the unit until the batch has finished.
            unit.armed = false;
        }
        Ok(SlotGuard {
            queue: sync::Arc::clone(self),
            armed: true,
            ticket,
        })
    }

    /// Advances the scheduler's time in an endless loop: refuses batches past their deadline and
    /// notes which run long.
    pub async fn run_timer(&self) {
        loop {
            let idle = {
                let mut state = self.lock();
                let now = self.now();
                let actions = state.scheduler.advance(now);
                state.deliver(actions);
                state.scheduler.waiting() == 0 && state.scheduler.running() == 0
            };
            if idle {
                self.work.notified().await;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Replaces the rules.
    pub fn set_rules(&self, rules: &rule_set::RuleSet) {
        self.lock().scheduler.set_rules(rules);
    }

    /// Replaces the limits.
    pub fn set_limits(&self, limits: schedule_limits::ScheduleLimits) {
        self.lock().scheduler.set_limits(limits);
    }

    /// Returns the number of waiting batches, the number of running batches and the estimated wait.
    #[must_use]
    pub fn load(&self) -> (usize, usize, time::Duration) {
        let state = self.lock();
        (
            state.scheduler.waiting(),
            state.scheduler.running(),
            state.scheduler.estimate_wait(),
        )
    }

    /// Returns the mean slot time of a statement, if it has been measured.
    #[must_use]
    pub fn learned(&self, fingerprint: ids::FingerprintId) -> Option<time::Duration> {
        self.lock().scheduler.learned(fingerprint)
    }

    fn apply(
        &self,
        event: impl FnOnce(
            &mut slot_scheduler::SlotScheduler,
            time::Duration,
        ) -> Vec<schedule_event::ScheduleAction>,
    ) {
        let mut state = self.lock();
        let actions = event(&mut state.scheduler, self.now());
        state.deliver(actions);
    }

    fn now(&self) -> time::Duration {
        self.start.elapsed()
    }

    fn lock(&self) -> sync::MutexGuard<'_, QueueState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl QueueState {
    fn deliver(&mut self, actions: Vec<schedule_event::ScheduleAction>) {
        for action in actions {
            let (ticket, result) = match action {
                schedule_event::ScheduleAction::Grant(ticket) => (ticket, Ok(())),
                schedule_event::ScheduleAction::Refuse(ticket, reason) => (ticket, Err(reason)),
            };
            if let Some(sender) = self.waiters.remove(&ticket) {
                // A waiter that was dropped removes its batch by itself.
                let _undelivered = sender.send(result);
            }
        }
    }
}

impl SlotGuard {
    /// Frees the slot. With `keeps_unit`, the transaction is still open and the unit goes on; its
    /// guard is returned.
    #[must_use]
    pub fn finish(mut self, keeps_unit: bool) -> Option<UnitGuard> {
        self.armed = false;
        self.queue
            .apply(|scheduler, now| scheduler.finish(self.ticket, keeps_unit, now));
        keeps_unit.then(|| UnitGuard {
            queue: sync::Arc::clone(&self.queue),
            armed: true,
        })
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if self.armed {
            self.queue
                .apply(|scheduler, now| scheduler.finish(self.ticket, false, now));
        }
    }
}

impl Drop for UnitGuard {
    fn drop(&mut self) {
        if self.armed {
            self.queue
                .apply(slot_scheduler::SlotScheduler::release_unit);
        }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.queue.lock().waiters.remove(&self.ticket);
        self.queue
            .apply(|scheduler, now| scheduler.cancel(self.ticket, self.keeps_unit, now));
    }
}
