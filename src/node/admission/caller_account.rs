//! [`CallerAccount`]: what a process holds for one caller.

use std::cell;
use std::rc;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::decide::admission_budget;
use crate::node::admission::{admission_control, admission_limits, eviction_reason};
use crate::node::answers;

/// The part of an account that the budget sees.
#[derive(Debug)]
pub(super) struct AccountState {
    /// Whether another VM forwards the session to this one.
    pub(super) relayed: bool,
    phase: cell::Cell<admission_budget::CallerPhase>,
    in_transaction: cell::Cell<bool>,
    since: cell::Cell<Instant>,
    /// Bytes moved since then that are not enough to count as progress.
    moved: cell::Cell<usize>,
    line: cell::Cell<usize>,
    request: cell::Cell<usize>,
    answer: cell::Cell<usize>,
    session: cell::Cell<usize>,
    evicted: cell::Cell<Option<eviction_reason::EvictionReason>>,
    closing: Notify,
}

impl AccountState {
    pub(super) fn new(relayed: bool) -> Self {
        Self {
            relayed,
            phase: cell::Cell::default(),
            in_transaction: cell::Cell::default(),
            since: cell::Cell::new(Instant::now()),
            moved: cell::Cell::default(),
            line: cell::Cell::default(),
            request: cell::Cell::default(),
            answer: cell::Cell::default(),
            session: cell::Cell::default(),
            evicted: cell::Cell::default(),
            closing: Notify::new(),
        }
    }

    pub(super) const fn bytes(&self) -> usize {
        admission_limits::CALLER_BYTES
            + self.line.get()
            + self.request.get()
            + self.answer.get()
            + self.session.get()
    }

    pub(super) fn load(&self, now: Instant) -> admission_budget::CallerLoad {
        admission_budget::CallerLoad {
            phase: self.phase.get(),
            in_transaction: self.in_transaction.get(),
            bytes: self.bytes(),
            idle: now.saturating_duration_since(self.since.get()),
        }
    }

    pub(super) const fn evicted_for(&self) -> Option<eviction_reason::EvictionReason> {
        self.evicted.get()
    }

    /// Returns whether the caller was not being closed before.
    pub(super) fn mark_evicted(&self, reason: eviction_reason::EvictionReason) -> bool {
        let first = self.evicted.get().is_none();
        if first {
            self.evicted.set(Some(reason));
            self.closing.notify_one();
        }
        first
    }
}

/// What a process holds for one caller. The connection's adapter keeps it up to date and closes the
/// connection when the account says so.
#[derive(Debug)]
pub struct CallerAccount {
    control: rc::Rc<admission_control::AdmissionControl>,
    id: u64,
    state: rc::Rc<AccountState>,
}

impl CallerAccount {
    pub(super) const fn new(
        control: rc::Rc<admission_control::AdmissionControl>,
        id: u64,
        state: rc::Rc<AccountState>,
    ) -> Self {
        Self { control, id, state }
    }

    /// Completes once the caller has to be closed.
    pub async fn closing(&self) {
        while self.state.evicted_for().is_none() {
            self.state.closing.notified().await;
        }
    }

    /// Completes once the budget is not exceeded. What is closed for it needs a moment to free its
    /// memory, and meanwhile no caller may send more of a long line. The wait does not count as time
    /// without progress of the caller.
    pub async fn room(&self) {
        if !self.control.is_exceeded() {
            return;
        }
        let started = Instant::now();
        let phase = self
            .state
            .phase
            .replace(admission_budget::CallerPhase::Held);
        while self.control.is_exceeded() {
            self.control.freed().await;
        }
        self.state.phase.set(phase);
        self.state
            .since
            .set(self.state.since.get() + started.elapsed());
    }

    /// Records what the connection is doing.
    pub fn set_phase(&self, phase: admission_budget::CallerPhase) {
        if self.state.phase.replace(phase) != phase {
            self.state.since.set(Instant::now());
            self.state.moved.set(0);
        }
    }

    /// Returns what the connection is doing.
    #[must_use]
    pub fn phase(&self) -> admission_budget::CallerPhase {
        self.state.phase.get()
    }

    /// Records the state of the session's transaction after an answer.
    pub fn set_transaction(&self, state: answers::TransactionState) {
        let open = state != answers::TransactionState::Idle;
        self.state.in_transaction.set(open);
    }

    /// Records bytes that the caller has sent or read.
    pub fn record_progress(&self, bytes: usize) {
        let moved = self.state.moved.get() + bytes;
        if moved < admission_limits::MIN_PROGRESS_BYTES {
            self.state.moved.set(moved);
            return;
        }
        self.state.moved.set(0);
        self.state.since.set(Instant::now());
    }

    /// Returns when the caller has to be closed for lack of progress in its phase, if ever.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let limit = match self.state.phase.get() {
            admission_budget::CallerPhase::Greeting => admission_limits::CONNECT_TIMEOUT,
            admission_budget::CallerPhase::MidLine | admission_budget::CallerPhase::Unread => {
                admission_limits::PROGRESS_TIMEOUT
            }
            admission_budget::CallerPhase::Held
            | admission_budget::CallerPhase::Idle
            | admission_budget::CallerPhase::Running => return None,
        };
        Some(self.state.since.get() + limit)
    }

    /// Completes at [`Self::deadline`], after which the caller counts as closed for lack of progress.
    pub async fn time_out(&self) {
        let Some(deadline) = self.deadline() else {
            return std::future::pending().await;
        };
        tokio::time::sleep_until(deadline).await;
        let reason = match self.state.phase.get() {
            admission_budget::CallerPhase::Greeting => {
                eviction_reason::EvictionReason::ConnectTimeout
            }
            admission_budget::CallerPhase::Unread => eviction_reason::EvictionReason::ReadTimeout,
            _ => eviction_reason::EvictionReason::LineTimeout,
        };
        self.control.evict(&self.state, reason);
    }

    /// Charges received bytes that are not a complete message yet.
    pub fn charge_line(&self, bytes: usize) {
        self.charge(&self.state.line, bytes);
    }

    /// Charges a request that is being served, and the copy of the session's state that may have to
    /// be sent with it.
    pub fn charge_request(&self, bytes: usize) {
        self.charge(&self.state.request, bytes + self.state.session.get());
    }

    /// Ends the charge of the last request.
    pub fn end_request(&self) {
        self.charge(&self.state.request, 0);
    }

    /// Charges the answer that is being sent.
    pub fn charge_answer(&self, bytes: usize) {
        self.charge(&self.state.answer, bytes);
    }

    /// Charges the session's values and prepared statements.
    pub fn charge_session(&self, bytes: usize) {
        self.charge(&self.state.session, bytes);
    }

    fn charge(&self, part: &cell::Cell<usize>, bytes: usize) {
        let before = part.replace(bytes);
        self.control.adjust(before, bytes);
    }
}

impl Drop for CallerAccount {
    fn drop(&mut self) {
        self.control.remove(self.id);
    }
}
