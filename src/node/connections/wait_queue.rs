//! [`WaitQueue`]: the queue of statements that wait for a connection to one upstream.

use std::collections;
use std::time;

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::decide::fair_queue;
use crate::node::workspaces::workspace_binding;

/// Priority and deadlines of a statement that waits for a connection.
#[derive(Clone, Copy, Debug)]
pub struct WaitOptions {
    /// Priority among waiting statements; 0 is the highest.
    pub priority: u8,
    /// Latency goal. A statement that would be answered later is served after those that can still
    /// meet theirs.
    pub soft_deadline: Instant,
    /// When the statement stops waiting.
    pub deadline: Instant,
}

/// Statements that wait for a `T`, in the order of [`fair_queue::FairQueue`].
#[derive(Debug)]
pub struct WaitQueue<T> {
    order: fair_queue::FairQueue<workspace_binding::WorkspaceBinding>,
    senders: collections::HashMap<fair_queue::QueuePlace, oneshot::Sender<T>>,
    /// Moment from which the times in `order` are measured.
    start: Instant,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            order: fair_queue::FairQueue::default(),
            senders: collections::HashMap::new(),
            start: Instant::now(),
        }
    }
}

impl<T> WaitQueue<T> {
    /// Adds a statement of a workspace. Returns its place and the receiver for the `T`.
    pub fn push(
        &mut self,
        workspace: workspace_binding::WorkspaceBinding,
        options: WaitOptions,
    ) -> (fair_queue::QueuePlace, oneshot::Receiver<T>) {
        let (sender, receiver) = oneshot::channel();
        let times = fair_queue::StatementTimes {
            priority: options.priority,
            arrived: self.moment(Instant::now()),
            soft_deadline: self.moment(options.soft_deadline),
        };
        let place = self.order.push(workspace, times);
        self.senders.insert(place, sender);
        (place, receiver)
    }

    /// Returns a moment in the form of the order's times.
    pub fn moment(&self, instant: Instant) -> time::Duration {
        instant.saturating_duration_since(self.start)
    }

    /// Removes a statement that has stopped waiting.
    pub fn remove(&mut self, place: fair_queue::QueuePlace) {
        self.order.remove(place);
        self.senders.remove(&place);
    }

    /// Returns the statement that is served next if its work takes `work`, among those of the
    /// workspaces for which `is_ready` holds.
    pub fn choose(
        &self,
        work: time::Duration,
        bound_waits: bool,
        is_ready: impl Fn(&workspace_binding::WorkspaceBinding) -> bool,
    ) -> Option<fair_queue::QueueChoice<workspace_binding::WorkspaceBinding>> {
        let now = self.moment(Instant::now());
        self.order.choose(now, now + work, bound_waits, is_ready)
    }

    /// Removes a chosen statement, whose work is expected to take `work`.
    pub fn take(
        &mut self,
        choice: &fair_queue::QueueChoice<workspace_binding::WorkspaceBinding>,
        work: time::Duration,
    ) -> Option<oneshot::Sender<T>> {
        self.order.take(choice, work);
        self.senders.remove(&choice.place)
    }

    /// Removes the statements of the workspaces for which `remove` holds and returns their senders.
    #[must_use]
    pub fn extract(
        &mut self,
        remove: impl Fn(&workspace_binding::WorkspaceBinding) -> bool,
    ) -> Vec<oneshot::Sender<T>> {
        let removed = self.order.extract(remove);
        removed
            .iter()
            .filter_map(|place| self.senders.remove(place))
            .collect()
    }

    /// Returns the order of the statements.
    #[must_use]
    pub const fn order(&self) -> &fair_queue::FairQueue<workspace_binding::WorkspaceBinding> {
        &self.order
    }

    /// Returns the order of the statements, to charge work.
    pub const fn order_mut(
        &mut self,
    ) -> &mut fair_queue::FairQueue<workspace_binding::WorkspaceBinding> {
        &mut self.order
    }

    /// Returns the number of waiting statements.
    #[must_use]
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether no statement waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
