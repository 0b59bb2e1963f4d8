//! [`UpstreamPool`]: this VM's connections to one upstream and the queue of statements for them.

use std::cell;
use std::rc;
use std::time;

use tokio::time::Instant;

use crate::model::ids;
use crate::node::connections::{
    connection_counts, eviction_record, fence_mark, held_transactions, idle_connections, opening,
    request_window, scheduling, share, wait_queue,
};
use crate::node::workspaces::workspace_binding;
use crate::node::{edge, health, limits, node_tables, upstream_entry, upstream_session};

/// Why a statement got no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum AcquireError {
    /// The deadline passed.
    Late,
    /// The expected wait exceeds the deadline.
    Crowded,
    /// Too many transactions hold connections.
    TransactionLimit,
    /// The upstream was removed, is no longer the primary, or refuses connections.
    Moved,
    /// The upstream is leaving, and the time in which it takes statements is over.
    Leaving,
}

/// This VM's connections to one upstream, each of one workspace, and the statements that wait for
/// them.
pub struct UpstreamPool<E: edge::NodeEdge> {
    pub(super) tables: rc::Weak<node_tables::NodeTables<E>>,
    pub(super) upstream: ids::UpstreamId,
    entry: cell::RefCell<upstream_entry::UpstreamEntry>,
    /// Until when the upstream takes statements, if it is leaving, as a time of
    /// [`edge::NodeEdge::boot_time`].
    closes_at: cell::Cell<Option<time::Duration>>,
    pub(super) idle: cell::RefCell<idle_connections::IdleConnections<E>>,
    pub(super) waiting: cell::RefCell<wait_queue::WaitQueue<upstream_session::UpstreamSession<E>>>,
    window: cell::Cell<request_window::RequestWindow>,
    /// Connections held by statements outside a transaction.
    pub(super) in_use: cell::Cell<u32>,
    pub(super) counts: cell::RefCell<connection_counts::ConnectionCounts>,
    pub(super) transactions: rc::Rc<held_transactions::HeldTransactions>,
    pub(super) evictions: cell::Cell<eviction_record::EvictionRecord>,
    pub(super) opening: cell::RefCell<opening::OpeningState>,
    pub(super) removed: cell::Cell<bool>,
    /// Health of the upstream, as seen by its connections.
    pub health: cell::Cell<health::UpstreamHealth>,
    /// Wakes one of the waiting statements when a connection was closed.
    pub(super) closed: tokio::sync::Notify,
    last_lag: cell::Cell<Option<time::Duration>>,
    /// Whether the upstream is known to be fenced because it is leaving.
    pub fence: fence_mark::FenceMark,
}

impl<E: edge::NodeEdge> std::fmt::Debug for UpstreamPool<E> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("UpstreamPool")
            .field("upstream", &self.upstream)
            .field("counts", &self.counts)
            .finish_non_exhaustive()
    }
}

impl<E: edge::NodeEdge> UpstreamPool<E> {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new(
        tables: rc::Weak<node_tables::NodeTables<E>>,
        entry: upstream_entry::UpstreamEntry,
    ) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            tables,
            upstream: entry.upstream.clone(),
            entry: cell::RefCell::new(entry),
            closes_at: cell::Cell::default(),
            idle: cell::RefCell::default(),
            waiting: cell::RefCell::default(),
            window: cell::Cell::default(),
            in_use: cell::Cell::default(),
            counts: cell::RefCell::default(),
            transactions: rc::Rc::default(),
            evictions: cell::Cell::default(),
            opening: cell::RefCell::default(),
            removed: cell::Cell::default(),
            health: cell::Cell::default(),
            last_lag: cell::Cell::default(),
            closed: tokio::sync::Notify::new(),
            fence: fence_mark::FenceMark::default(),
        })
    }

    /// Returns [`edge::NodeEdge::boot_time`], or zero once the node has stopped.
    #[must_use]
    pub fn boot_time(&self) -> time::Duration {
        self.tables
            .upgrade()
            .map(|tables| tables.edge.boot_time())
            .unwrap_or_default()
    }

    /// Returns the id of the upstream.
    #[must_use]
    pub const fn upstream(&self) -> &ids::UpstreamId {
        &self.upstream
    }

    /// Returns the upstream's entry in the list of upstreams.
    #[must_use]
    pub fn entry(&self) -> upstream_entry::UpstreamEntry {
        self.entry.borrow().clone()
    }

    /// Returns what `read` takes from the upstream's entry, without a copy of the entry.
    pub fn read_entry<T>(&self, read: impl FnOnce(&upstream_entry::UpstreamEntry) -> T) -> T {
        read(&self.entry.borrow())
    }

    /// Replaces the upstream's entry.
    pub fn set_entry(&self, entry: upstream_entry::UpstreamEntry) {
        *self.entry.borrow_mut() = entry;
    }

    /// Sets until when the upstream takes statements after its entry has changed. `seen` tells whether
    /// this VM would have seen an earlier report that it leaves: otherwise, that may be long ago.
    pub fn limit_statements(&self, seen: bool) {
        if !self.read_entry(|entry| entry.leaving) {
            self.closes_at.set(None);
            return;
        }
        let Some(tables) = self.tables.upgrade() else {
            return;
        };
        let limit = tables.drain_limit.get();
        let left = if seen {
            limit - limit / limits::DRAIN_MARGIN_PARTS
        } else {
            limit / limits::DRAIN_START_PARTS
        };
        if self.closes_at.get().is_none() {
            self.closes_at.set(Some(tables.edge.boot_time() + left));
        }
    }

    /// Returns whether the upstream takes no more statements: it has been leaving for so long that the
    /// deployment allows none.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        let closes_at = self.closes_at.get();
        closes_at.is_some_and(|closes_at| self.boot_time() >= closes_at)
    }

    /// Returns whether the upstream, which is leaving, has to be replaced now as the primary.
    #[must_use]
    pub fn closes_soon(&self) -> bool {
        let (Some(closes_at), Some(tables)) = (self.closes_at.get(), self.tables.upgrade()) else {
            return false;
        };
        let left = closes_at.saturating_sub(tables.edge.boot_time());
        left <= tables.drain_limit.get().mul_f64(limits::STEP_DOWN_SHARE)
    }

    /// Returns the number of connections that are open or being opened.
    #[must_use]
    pub fn connections(&self) -> u32 {
        self.counts.borrow().open() + self.opening.borrow().count()
    }

    /// Returns the number of statements that wait for a connection.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.borrow().len()).unwrap_or(u32::MAX)
    }

    /// Returns whether the upstream was removed from the list.
    #[must_use]
    pub fn is_removed(&self) -> bool {
        self.removed.get()
    }

    /// Returns whether the upstream gets no new statements because it does not answer.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.health.get().is_suspect(node_tables::monotonic_now())
    }

    /// Updates the health of the upstream.
    pub fn update_health(&self, change: impl FnOnce(&mut health::UpstreamHealth)) {
        let mut health = self.health.get();
        change(&mut health);
        self.health.set(health);
    }

    /// Records that the upstream's log did not hold a required position.
    pub fn record_lag(&self, now: time::Duration) {
        self.last_lag.set(Some(now));
        self.update_health(|health| health.load.record_lag(now));
    }

    /// Returns whether the upstream's log lacked a required position within the last
    /// [`limits::LAG_PAUSE`].
    #[must_use]
    pub fn lagged_recently(&self, now: time::Duration) -> bool {
        self.last_lag
            .get()
            .is_some_and(|seen| now.saturating_sub(seen) < limits::LAG_PAUSE)
    }

    /// Returns whether a workspace has no connection and none may be opened yet.
    #[must_use]
    pub fn cannot_serve(&self, workspace: &workspace_binding::WorkspaceBinding) -> bool {
        let counts = self.counts.borrow();
        let open = if share::is_divided(self) {
            counts.of(workspace).open
        } else {
            counts.open()
        };
        open == 0 && self.opening.borrow().is_paused(Instant::now())
    }

    /// Returns whether there is no connection of any workspace and none may be opened yet.
    #[must_use]
    pub fn is_disconnected(&self) -> bool {
        self.counts.borrow().open() == 0 && self.opening.borrow().is_paused(Instant::now())
    }

    /// Returns whether a workspace has an idle connection.
    #[must_use]
    pub fn has_idle(&self, workspace: &workspace_binding::WorkspaceBinding) -> bool {
        self.idle.borrow().has(workspace)
    }

    /// Returns whether a statement of a workspace would probably have a connection opened. Where
    /// there are no workspaces the answer is always no: openings are not avoided there.
    #[must_use]
    pub fn would_open(&self, workspace: &workspace_binding::WorkspaceBinding) -> bool {
        if !share::is_divided(self) || self.has_idle(workspace) {
            return false;
        }
        let count = self.counts.borrow().of(workspace);
        count.open == count.held && self.opening.borrow().count_of(workspace) == 0
    }

    /// Closes the pool of a removed upstream: its idle connections are closed, and waiting
    /// statements have to find another upstream.
    pub fn retire(&self) {
        self.removed.set(true);
        self.redirect_waiting();
        self.close_idle();
    }

    /// Makes all waiting statements fail with [`AcquireError::Moved`], so that they find another
    /// upstream.
    pub fn redirect_waiting(&self) {
        let waiting = self.waiting.borrow_mut().extract(|_| true);
        drop(waiting);
    }

    /// Returns a connection of a workspace. Waits if none is free.
    ///
    /// # Errors
    ///
    /// Fails if the deadline passes or is expected to, or if the upstream was removed, is no longer
    /// the primary or refuses connections.
    pub async fn acquire(
        self: &rc::Rc<Self>,
        workspace: workspace_binding::WorkspaceBinding,
        options: wait_queue::WaitOptions,
    ) -> Result<upstream_session::UpstreamSession<E>, AcquireError> {
        scheduling::acquire(self, workspace, options).await
    }

    /// Assigns idle connections to waiting statements, and opens more if there are too few.
    pub fn assign_connections(self: &rc::Rc<Self>) {
        scheduling::assign(self);
    }

    /// Looks again at what waits, since a wait may have become too long for hysteresis.
    pub fn review_waiting(self: &rc::Rc<Self>) {
        if share::is_divided(self) && !self.waiting.borrow().is_empty() {
            scheduling::assign(self);
        }
    }

    pub(super) fn put_idle(&self, mut session: upstream_session::UpstreamSession<E>) {
        let last_use = session.take_last_use().unwrap_or_else(Instant::now);
        self.idle.borrow_mut().put(last_use, session);
    }

    /// Closes idle connections of workspaces that the configuration no longer lists, and makes their
    /// waiting statements fail.
    pub fn close_unlisted(&self) {
        let unlisted = self
            .idle
            .borrow_mut()
            .extract(|workspace, _| !share::is_listed(self, workspace));
        drop(unlisted);
        let waiting = self
            .waiting
            .borrow_mut()
            .extract(|workspace| !share::is_listed(self, workspace));
        drop(waiting);
    }

    /// Returns whether one more statement would be sent without waiting.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        self.waiting.borrow().is_empty() && self.in_use.get() + 1 < self.window.get().size()
    }

    /// Returns whether one more statement may be sent.
    pub(super) fn has_window(&self) -> bool {
        self.in_use.get() < self.window.get().size()
    }

    /// Returns how many statements may be sent concurrently.
    pub(super) fn window_size(&self) -> u32 {
        self.window.get().size()
    }

    /// Counts a connection that a statement outside a transaction has taken or returned.
    pub fn count_in_use(&self, in_use: bool) {
        let count = self.in_use.get();
        self.in_use.set(if in_use {
            count + 1
        } else {
            count.saturating_sub(1)
        });
    }

    /// Adjusts the window by an answer that took `elapsed`, or by a refusal without a free slot if
    /// that is `None`.
    pub fn record_load(&self, elapsed: Option<time::Duration>) {
        let mut window = self.window.get();
        window.limit_to(share::max_connections(self));
        match elapsed {
            Some(elapsed) => window.record_answer(elapsed),
            None => window.record_busy(),
        }
        self.window.set(window);
    }

    /// Returns a connection for a probe without queueing, even beyond this VM's share. With
    /// `fresh`, the connection is always a new one.
    pub async fn acquire_for_probe(
        self: &rc::Rc<Self>,
        fresh: bool,
    ) -> Option<upstream_session::UpstreamSession<E>> {
        let idle = if fresh {
            None
        } else {
            self.idle.borrow_mut().take_for_probe()
        };
        if idle.is_some() {
            return idle;
        }
        opening::connect_for_probe(self).await.ok()
    }

    /// Closes connections that were idle for [`limits::IDLE_CONNECTION`], except for one. The
    /// connections of a VM that loses power stay open at the upstream for seconds and count against
    /// its limit, so there should be few of them. Those of workspaces are kept for longer, since
    /// each of them serves few statements and the share bounds them.
    pub fn close_unused(&self) {
        let now = Instant::now();
        let kept = if share::is_divided(self) {
            limits::IDLE_WORKSPACE_CONNECTION
        } else {
            limits::IDLE_CONNECTION
        };
        let mut left = self.idle.borrow().len();
        let unused = self.idle.borrow_mut().extract(|_, last_use| {
            left -= 1;
            left > 0 && now.duration_since(last_use) >= kept
        });
        drop(unused);
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        let idle = std::mem::take(&mut *self.idle.borrow_mut());
        drop(idle);
    }

    /// Returns a connection that is outside a transaction to the pool.
    pub fn release(self: &rc::Rc<Self>, mut session: upstream_session::UpstreamSession<E>) {
        session.settle();
        session.drop_ticket();
        if !self.removed.get()
            && !session.is_stale()
            && share::is_listed(self, session.workspace())
            && self.connections() <= share::max_connections(self)
        {
            session.forget_large_state();
            self.put_idle(session);
        }
        self.assign_connections();
    }

    /// Opens a connection if this VM has none, so that the next statement does not wait for it.
    pub fn ensure_connection(self: &rc::Rc<Self>) {
        let paused = self.opening.borrow().is_paused(Instant::now());
        if !self.removed.get() && !paused && self.connections() == 0 {
            let workspace = workspace_binding::WorkspaceBinding::default();
            opening::open_one(self, workspace, opening::OpeningCause::Standby);
        }
    }

    /// Changes the count of a workspace's connections.
    pub fn change_count(
        &self,
        workspace: &workspace_binding::WorkspaceBinding,
        change: impl FnOnce(&mut connection_counts::WorkspaceCount),
    ) {
        self.counts.borrow_mut().change(workspace, change);
    }

    /// Has a waiting statement assign connections again, since one was closed. This is not done at
    /// once: connections are also closed while the node stops or the pool is being changed.
    pub fn record_closed(&self) {
        if !self.removed.get() && self.waiting() > 0 {
            self.closed.notify_one();
        }
    }

    /// Corrects the charge of a workspace for work that took `actual` instead of `expected`.
    pub fn settle_work(
        &self,
        priority: u8,
        workspace: &workspace_binding::WorkspaceBinding,
        expected: time::Duration,
        actual: time::Duration,
    ) {
        let mut waiting = self.waiting.borrow_mut();
        waiting
            .order_mut()
            .settle(priority, workspace, expected, actual);
    }

    /// Returns the number of idle connections.
    #[must_use]
    pub fn idle(&self) -> u32 {
        u32::try_from(self.idle.borrow().len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of connections that are being opened.
    #[must_use]
    pub fn opening(&self) -> u32 {
        self.opening.borrow().count()
    }

    /// Returns the number of connections that transactions hold.
    #[must_use]
    pub fn held_by_transactions(&self) -> u32 {
        self.counts.borrow().held()
    }
}
