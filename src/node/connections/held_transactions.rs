//! [`HeldTransactions`]: the transactions that hold connections to one upstream.
//!
//! A transaction whose caller is idle holds a connection without using it. The number of
//! transactions is bounded, for each workspace and in all, so that such callers cannot take every
//! connection, and a transaction that cannot begin in time is refused at once.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::decide::share_limits;
use crate::node::workspaces::workspace_binding;

/// Time that a transaction is expected to take before one has ended.
const FIRST_DURATION: time::Duration = time::Duration::from_millis(50);
/// Weight of the latest transaction in the mean duration.
const DURATION_WEIGHT: f64 = 0.1;
/// Time without a statement after which a transaction is expected to end only by its timeout.
const LONG_REST: time::Duration = time::Duration::from_millis(100);

#[derive(Debug)]
struct HeldTransaction {
    workspace: workspace_binding::WorkspaceBinding,
    began: Instant,
    /// Since when the caller has been idle, unless a statement is running.
    resting_since: Option<Instant>,
}

/// The transactions that hold connections to one upstream, or are about to.
#[derive(Debug, Default)]
pub struct HeldTransactions {
    held: cell::RefCell<collections::BTreeMap<u64, HeldTransaction>>,
    sequence: cell::Cell<u64>,
    waiting: cell::RefCell<collections::BTreeMap<workspace_binding::WorkspaceBinding, u32>>,
    mean_duration: cell::Cell<Option<time::Duration>>,
    ended: Notify,
}

impl HeldTransactions {
    /// Begins a transaction, as soon as the limits allow it. Returns `None` if that is not expected
    /// before the deadline, or has not happened by then.
    pub async fn begin(
        self: &rc::Rc<Self>,
        workspace: &workspace_binding::WorkspaceBinding,
        limits: share_limits::ShareLimits,
        rest_limit: Option<time::Duration>,
        deadline: Instant,
    ) -> Option<TransactionTicket> {
        loop {
            if self.allows(workspace, limits) {
                return Some(self.add(workspace));
            }
            if !self.may_begin(workspace, limits, rest_limit, deadline) {
                return None;
            }
            let ended = self.ended.notified();
            let _waiting = WaitingTransaction::new(self, workspace);
            // Looks again now and then: callers that seemed active may have come to rest.
            let review = deadline.min(Instant::now() + LONG_REST);
            let ended = tokio::time::timeout_at(review, ended).await.is_ok();
            if !ended && Instant::now() >= deadline {
                return None;
            }
        }
    }

    /// Returns whether a new transaction is expected to begin before the deadline.
    #[must_use]
    pub fn may_begin(
        &self,
        workspace: &workspace_binding::WorkspaceBinding,
        limits: share_limits::ShareLimits,
        rest_limit: Option<time::Duration>,
        deadline: Instant,
    ) -> bool {
        if self.allows(workspace, limits) {
            return true;
        }
        let now = Instant::now();
        let held = self.held.borrow();
        let own_bound = self.count_of(workspace) >= limits.transactions_per_workspace;
        let relevant: Vec<_> = held
            .values()
            .filter(|other| !own_bound || other.workspace == *workspace)
            .collect();
        let active = relevant
            .iter()
            .filter(|other| !other.rests_long(now))
            .count();
        let before: u32 = self
            .waiting
            .borrow()
            .iter()
            .filter(|(other, _)| !own_bound || *other == workspace)
            .map(|(_, count)| *count)
            .sum();
        let wait = if active > 0 {
            let mean = self.mean_duration.get().unwrap_or(FIRST_DURATION);
            let active = u32::try_from(active).unwrap_or(u32::MAX);
            Some(mean.saturating_mul(before + 1) / active)
        } else {
            // Each of the transactions that wait already takes the place of one that is ended.
            let mut rests: Vec<_> = relevant
                .iter()
                .filter_map(|other| other.resting_since)
                .collect();
            rests.sort_unstable();
            let ended = usize::try_from(before)
                .ok()
                .and_then(|index| rests.get(index));
            rest_limit
                .zip(ended)
                .map(|(limit, since)| limit.saturating_sub(now.duration_since(*since)))
        };
        wait.is_some_and(|wait| now + wait < deadline)
    }

    fn allows(
        &self,
        workspace: &workspace_binding::WorkspaceBinding,
        limits: share_limits::ShareLimits,
    ) -> bool {
        let all = u32::try_from(self.held.borrow().len()).unwrap_or(u32::MAX);
        all < limits.transactions && self.count_of(workspace) < limits.transactions_per_workspace
    }

    fn count_of(&self, workspace: &workspace_binding::WorkspaceBinding) -> u32 {
        let held = self.held.borrow();
        let own = held.values().filter(|other| other.workspace == *workspace);
        u32::try_from(own.count()).unwrap_or(u32::MAX)
    }

    fn add(
        self: &rc::Rc<Self>,
        workspace: &workspace_binding::WorkspaceBinding,
    ) -> TransactionTicket {
        let number = self.sequence.get();
        self.sequence.set(number + 1);
        let transaction = HeldTransaction {
            workspace: workspace.clone(),
            began: Instant::now(),
            resting_since: None,
        };
        self.held.borrow_mut().insert(number, transaction);
        TransactionTicket {
            held: rc::Rc::clone(self),
            number,
        }
    }

    fn end(&self, number: u64) {
        let Some(ended) = self.held.borrow_mut().remove(&number) else {
            return;
        };
        let mean = self.mean_duration.get().unwrap_or(FIRST_DURATION);
        let mean =
            mean.mul_f64(1.0 - DURATION_WEIGHT) + ended.began.elapsed().mul_f64(DURATION_WEIGHT);
        self.mean_duration.set(Some(mean));
        self.ended.notify_waiters();
    }
}

impl HeldTransaction {
    fn rests_long(&self, now: Instant) -> bool {
        self.resting_since
            .is_some_and(|since| now.duration_since(since) >= LONG_REST)
    }
}

/// The right of a transaction to hold a connection; given back when it is dropped.
#[derive(Debug)]
pub struct TransactionTicket {
    held: rc::Rc<HeldTransactions>,
    number: u64,
}

impl TransactionTicket {
    /// Records whether the transaction waits for its caller.
    pub fn set_resting(&self, resting: bool) {
        if let Some(transaction) = self.held.held.borrow_mut().get_mut(&self.number) {
            transaction.resting_since = resting.then(Instant::now);
        }
    }
}

impl Drop for TransactionTicket {
    fn drop(&mut self) {
        self.held.end(self.number);
    }
}

/// Counts a transaction that waits to begin.
struct WaitingTransaction<'a> {
    held: &'a HeldTransactions,
    workspace: &'a workspace_binding::WorkspaceBinding,
}

impl<'a> WaitingTransaction<'a> {
    fn new(held: &'a HeldTransactions, workspace: &'a workspace_binding::WorkspaceBinding) -> Self {
        let mut waiting = held.waiting.borrow_mut();
        *waiting.entry(workspace.clone()).or_default() += 1;
        Self { held, workspace }
    }
}

impl Drop for WaitingTransaction<'_> {
    fn drop(&mut self) {
        let mut waiting = self.held.waiting.borrow_mut();
        if let Some(count) = waiting.get_mut(self.workspace) {
            *count -= 1;
            if *count == 0 {
                waiting.remove(self.workspace);
            }
        }
    }
}
