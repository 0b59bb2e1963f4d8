//! [`AdmissionControl`]: the budget of one process for its callers.

use std::cell;
use std::collections;
use std::rc;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::decide::admission_budget;
use crate::node::admission::{admission_limits, caller_account, eviction_reason};
use crate::node::node_log;

/// The budget of one process for its callers, and what each of them uses. Without limits it only
/// counts.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    limits: cell::Cell<admission_budget::BudgetLimits>,
    /// Bytes held for callers, including answers that are being received.
    used: cell::Cell<usize>,
    callers: cell::RefCell<collections::BTreeMap<u64, rc::Rc<caller_account::AccountState>>>,
    next_id: cell::Cell<u64>,
    /// Callers with a descriptor of their own that are not being closed.
    connected: cell::Cell<usize>,
    /// Signals that the budget is no longer exceeded.
    freed: Notify,
    /// Whether an answer goes on being received although the budget is exceeded.
    pub(super) pass_taken: cell::Cell<bool>,
    /// Signals to one answer that the pass is free.
    pub(super) pass_freed: Notify,
    /// Use from which it is searched again for callers to close, while the budget is exceeded.
    search_from: cell::Cell<usize>,
    last_search: cell::Cell<Option<Instant>>,
    last_log: cell::Cell<Option<Instant>>,
    unlogged: cell::Cell<u64>,
}

impl AdmissionControl {
    /// Sets the limits. They apply to what is held from now on.
    pub fn set_limits(&self, limits: admission_budget::BudgetLimits) {
        self.limits.set(limits);
    }

    /// Returns the bytes held for callers.
    #[must_use]
    pub const fn used(&self) -> usize {
        self.used.get()
    }

    /// Returns whether the callers hold more than the budget.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        self.limits.get().is_exceeded(self.used.get())
    }

    /// Returns whether a message of this length can be held at all.
    #[must_use]
    pub fn fits(&self, bytes: usize) -> bool {
        !self.limits.get().is_exceeded(bytes)
    }

    /// Admits a new connection, and closes another one for it if the descriptors are used up.
    ///
    /// # Errors
    ///
    /// Fails with the resource that is used up and cannot be freed.
    pub fn admit(
        self: &rc::Rc<Self>,
    ) -> Result<caller_account::CallerAccount, eviction_reason::EvictionReason> {
        let full = |control: &Self| {
            let limit = control.limits.get().callers;
            limit.is_some_and(|limit| control.connected.get() >= limit)
        };
        if full(self) {
            self.free_descriptor();
        }
        let refusal = if full(self) {
            Some(eviction_reason::EvictionReason::Descriptors)
        } else if self.is_exceeded() && !self.relieve() {
            Some(eviction_reason::EvictionReason::Memory)
        } else {
            None
        };
        if let Some(reason) = refusal {
            metrics::counter!("persimmontack_callers_refused_total", "reason" => reason.label())
                .increment(1);
            self.log("callers_refused", reason, 0);
            return Err(reason);
        }
        Ok(self.register(false))
    }

    /// Counts a session that another VM forwards, which has no descriptor of its own.
    #[must_use]
    pub fn admit_relayed(self: &rc::Rc<Self>) -> caller_account::CallerAccount {
        self.register(true)
    }

    fn register(self: &rc::Rc<Self>, relayed: bool) -> caller_account::CallerAccount {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let state = rc::Rc::new(caller_account::AccountState::new(relayed));
        self.callers.borrow_mut().insert(id, rc::Rc::clone(&state));
        if !relayed {
            self.connected.set(self.connected.get() + 1);
        }
        self.adjust(0, state.bytes());
        caller_account::CallerAccount::new(rc::Rc::clone(self), id, state)
    }

    pub(super) fn remove(&self, id: u64) {
        let Some(state) = self.callers.borrow_mut().remove(&id) else {
            return;
        };
        if !state.relayed && state.evicted_for().is_none() {
            self.connected.set(self.connected.get().saturating_sub(1));
        }
        self.adjust(state.bytes(), 0);
    }

    /// Replaces a charge of `before` bytes by one of `after`, and closes callers if the budget is
    /// exceeded then.
    pub(super) fn adjust(&self, before: usize, after: usize) {
        if before == after {
            return;
        }
        let used = self.used.get().saturating_add(after).saturating_sub(before);
        self.used.set(used);
        if after < before {
            let next = used.saturating_add(admission_limits::SEARCH_STEP_BYTES);
            self.search_from.set(self.search_from.get().min(next));
            // While the budget is exceeded, all who wait would only wait again.
            if !self.is_exceeded() {
                self.freed.notify_waiters();
            }
        } else if self.is_exceeded() {
            self.search();
        }
    }

    /// Closes callers if the budget is exceeded by more than at the last search, or if that was a
    /// while ago.
    fn search(&self) {
        let now = Instant::now();
        let last = self.last_search.get();
        let due = last.is_none_or(|last| now >= last + admission_limits::SEARCH_INTERVAL);
        let used = self.used.get();
        if due || used >= self.search_from.get() {
            self.last_search.set(Some(now));
            let next = used.saturating_add(admission_limits::SEARCH_STEP_BYTES);
            self.search_from.set(next);
            self.relieve();
        }
    }

    /// Waits until the budget may no longer be exceeded. Callers whose requests end meanwhile can be closed,
    /// so they are looked at again.
    pub(super) async fn freed(&self) {
        let freed = self.freed.notified();
        if tokio::time::timeout(admission_limits::SEARCH_INTERVAL, freed)
            .await
            .is_err()
            && self.is_exceeded()
        {
            self.search();
        }
    }

    /// Closes callers until the budget holds without them. Returns whether it then does.
    fn relieve(&self) -> bool {
        let now = Instant::now();
        let mut leaving = 0;
        let mut states = Vec::new();
        for state in self.callers.borrow().values() {
            if state.evicted_for().is_some() {
                leaving += state.bytes();
            } else {
                states.push(rc::Rc::clone(state));
            }
        }
        let used = self.used.get().saturating_sub(leaving);
        let excess = self.limits.get().excess(used);
        if excess == 0 {
            return true;
        }
        let loads: Vec<_> = states.iter().map(|state| state.load(now)).collect();
        let mut freed = 0;
        for index in admission_budget::choose_for_memory(&loads, used, excess) {
            if let Some(state) = states.get(index) {
                freed += state.bytes();
                self.evict(state, eviction_reason::EvictionReason::Memory);
            }
        }
        freed >= excess
    }

    /// Closes the caller that can best be spared if the process is out of descriptors.
    pub fn free_descriptor(&self) {
        let now = Instant::now();
        let states: Vec<_> = self
            .callers
            .borrow()
            .values()
            .filter(|state| !state.relayed && state.evicted_for().is_none())
            .cloned()
            .collect();
        let loads: Vec<_> = states.iter().map(|state| state.load(now)).collect();
        let chosen = admission_budget::choose_for_descriptor(&loads);
        if let Some(state) = chosen.and_then(|index| states.get(index)) {
            self.evict(state, eviction_reason::EvictionReason::Descriptors);
        }
    }

    pub(super) fn evict(
        &self,
        state: &caller_account::AccountState,
        reason: eviction_reason::EvictionReason,
    ) {
        if !state.mark_evicted(reason) {
            return;
        }
        if !state.relayed {
            self.connected.set(self.connected.get().saturating_sub(1));
        }
        metrics::counter!("persimmontack_callers_evicted_total", "reason" => reason.label())
            .increment(1);
        self.log("callers_evicted", reason, state.bytes());
    }

    /// Logs an event, at most once per [`admission_limits::LOG_INTERVAL`].
    fn log(&self, event: &'static str, reason: eviction_reason::EvictionReason, bytes: usize) {
        let recent = self
            .last_log
            .get()
            .is_some_and(|last| last.elapsed() < admission_limits::LOG_INTERVAL);
        if recent {
            self.unlogged.set(self.unlogged.get() + 1);
            return;
        }
        self.last_log.set(Some(Instant::now()));
        node_log::warn(
            event,
            &[
                ("reason", &reason),
                ("bytes", &bytes),
                ("used", &self.used.get()),
                ("callers", &self.connected.get()),
                ("not_logged", &self.unlogged.take()),
            ],
        );
    }
}
