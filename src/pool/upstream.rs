//! [`Upstream`]: the pool's connections, queue and known state of one upstream.

use std::sync;
use std::sync::atomic;
use std::time;

use crate::decide::schedule_limits;
use crate::link::{feed_update, program_report};
use crate::model::{ids, refusal_reason, upstream_spec, upstream_state};
use crate::pool::{
    connection_store, observer, pool_settings, slot_queue, state_reader, upstream_edge,
};
use crate::rules::rule_set;

/// Connections of an upstream that are reserved for control: two for this pool and three for
/// keepers.
const CONTROL_CONNECTIONS: u32 = 5;
/// Longest interval between two rounds of checking and opening idle connections.
const MAINTENANCE_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Idle time after which a connection is checked.
const CHECK_AGE: time::Duration = time::Duration::from_millis(500);
/// Timeout of a check.
const CHECK_LIMIT: time::Duration = time::Duration::from_millis(600);
/// Time without work after which a pool closes its connections to an upstream that it does not own.
const UNUSED_LIMIT: time::Duration = time::Duration::from_secs(30);

/// The known state of an upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamView {
    /// Latest known state.
    pub state: Option<sync::Arc<upstream_state::UpstreamState>>,
    /// False while the control connection is down.
    pub reachable: bool,
}

/// The part of an upstream's state that decides whether queued batches may keep waiting for it. It
/// changes far less often than [`UpstreamView`], so that not every commit wakes the whole queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct UpstreamAvailability {
    known: bool,
    reachable: bool,
    primary_term: Option<ids::TermNumber>,
}

/// The pool's connections, queue and known state of one upstream.
pub struct Upstream {
    /// Name, address and limits of the upstream.
    pub spec: upstream_spec::UpstreamSpec,
    /// Database that the control connections log in to.
    pub database: ids::DatabaseName,
    /// Interface to the upstream.
    pub edge: sync::Arc<dyn upstream_edge::UpstreamEdge>,
    /// Connections on which units of work run.
    pub connections: sync::Arc<connection_store::ConnectionStore>,
    /// Queue for the upstream's slots.
    pub queue: sync::Arc<slot_queue::SlotQueue>,
    view: tokio::sync::watch::Sender<UpstreamView>,
    availability: tokio::sync::watch::Sender<UpstreamAvailability>,
    observer: observer::StateObserver,
    changes: tokio::sync::watch::Sender<u64>,
    owned: atomic::AtomicBool,
    leaving: atomic::AtomicBool,
    settings: sync::Arc<pool_settings::PoolSettings>,
    started: tokio::time::Instant,
    last_use: atomic::AtomicU64,
    tasks: sync::Mutex<Vec<tokio::task::AbortHandle>>,
}

impl std::fmt::Debug for Upstream {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Upstream")
            .field("spec", &self.spec)
            .finish_non_exhaustive()
    }
}

impl Upstream {
    /// Creates an upstream without connections.
    #[must_use]
    pub fn new(
        spec: upstream_spec::UpstreamSpec,
        database: ids::DatabaseName,
        edge: sync::Arc<dyn upstream_edge::UpstreamEdge>,
        settings: sync::Arc<pool_settings::PoolSettings>,
        changes: tokio::sync::watch::Sender<u64>,
    ) -> Self {
        let limits = schedule_limits::ScheduleLimits {
            policy: settings.queue.policy,
            slots: spec.slots.max(1),
            units: 1,
            max_waiting: settings.limits.max_waiting,
            long_after: time::Duration::from_millis(settings.queue.long_after_ms),
        };
        Self {
            connections: sync::Arc::new(connection_store::ConnectionStore::new(1)),
            queue: sync::Arc::new(slot_queue::SlotQueue::new(limits)),
            view: tokio::sync::watch::Sender::new(UpstreamView::default()),
            availability: tokio::sync::watch::Sender::new(UpstreamAvailability::default()),
            observer: observer::StateObserver::default(),
            changes,
            owned: atomic::AtomicBool::new(false),
            leaving: atomic::AtomicBool::new(false),
            settings,
            started: tokio::time::Instant::now(),
            last_use: atomic::AtomicU64::new(0),
            tasks: sync::Mutex::new(Vec::new()),
            spec,
            database,
            edge,
        }
    }

    /// Applies the ownership and the rules.
    pub fn configure(self: &sync::Arc<Self>, owned: bool, rules: &rule_set::RuleSet) {
        let usable = self.spec.connections.saturating_sub(CONTROL_CONNECTIONS);
        // A pool that does not own the upstream leaves most connections to the owner.
        let units = if owned {
            usable
        } else {
            usable.min(self.spec.connections / 4)
        }
        .max(1);
        self.connections.set_limit(units);
        self.queue.set_limits(schedule_limits::ScheduleLimits {
            policy: self.settings.queue.policy,
            slots: self.spec.slots.max(1),
            units,
            max_waiting: self.settings.limits.max_waiting,
            long_after: time::Duration::from_millis(self.settings.queue.long_after_ms),
        });
        self.queue.set_rules(rules);
        self.owned.store(owned, atomic::Ordering::Relaxed);
        let leaving = self.spec.leaving || rules.drains_upstream(&self.spec.upstream);
        self.leaving.store(leaving, atomic::Ordering::Relaxed);
        if owned {
            self.activate();
        }
    }

    /// Returns whether new units are refused, because the upstream is drained or replaced.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(atomic::Ordering::Relaxed)
    }

    /// Notes a use of the upstream, and starts its background tasks if they are not running.
    pub fn activate(self: &sync::Arc<Self>) {
        let now = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.last_use.store(now, atomic::Ordering::Relaxed);
        let mut tasks = self.lock_tasks();
        if !tasks.is_empty() {
            return;
        }
        let reader = tokio::spawn(state_reader::run(sync::Arc::downgrade(self)));
        let observer = tokio::spawn(observer::run(
            sync::Arc::downgrade(self),
            self.observer.clone(),
        ));
        let maintenance = tokio::spawn(maintain_connections(sync::Arc::downgrade(self)));
        let queue = sync::Arc::clone(&self.queue);
        let timer = tokio::spawn(async move { queue.run_timer().await });
        tasks.extend([
            reader.abort_handle(),
            observer.abort_handle(),
            maintenance.abort_handle(),
            timer.abort_handle(),
        ]);
    }

    /// Returns whether the background tasks are running.
    #[must_use]
    pub fn is_active(&self) -> bool {
        !self.lock_tasks().is_empty()
    }

    /// Stops the background tasks and closes the idle connections.
    pub fn stop(&self) {
        // Batches that wait here are refused as leaving, and the entries retry them on the
        // replacement.
        self.leaving.store(true, atomic::Ordering::Relaxed);
        for task in self.lock_tasks().drain(..) {
            task.abort();
        }
        self.connections.close_idle();
    }

    /// Stores a state unless a newer one is known, marks the upstream as reachable and notifies the
    /// feeds of a change.
    pub fn publish(&self, state: upstream_state::UpstreamState) {
        let changed = self.view.send_if_modified(|view| {
            let newer = view
                .state
                .as_ref()
                .is_none_or(|old| state.is_newer_than(old));
            let changed = newer || !view.reachable;
            if newer {
                view.state = Some(sync::Arc::new(state));
            }
            view.reachable = true;
            changed
        });
        self.update_availability();
        if changed {
            self.changes.send_modify(|version| *version += 1);
        }
    }

    /// Marks the upstream as unreachable after a failure of the control connection.
    pub fn publish_unreachable(&self) {
        let changed = self
            .view
            .send_if_modified(|view| std::mem::replace(&mut view.reachable, false));
        self.update_availability();
        if changed {
            self.changes.send_modify(|version| *version += 1);
        }
    }

    fn update_availability(&self) {
        let availability = {
            let view = self.view.borrow();
            UpstreamAvailability {
                known: view.state.is_some(),
                reachable: view.reachable,
                primary_term: view.state.as_ref().and_then(|state| state.primary_term),
            }
        };
        self.availability
            .send_if_modified(|old| std::mem::replace(old, availability) != availability);
    }

    /// Completes with a reason once the upstream cannot run a queued batch any more: it is
    /// unreachable, or `term` is given and it is not the primary of that term.
    ///
    /// Without this, batches queued at a frozen primary, whose slots are never freed, would wait
    /// until their deadline even after the promotion of a new primary.
    pub async fn wait_unavailable(
        &self,
        term: Option<ids::TermNumber>,
    ) -> refusal_reason::RefusalReason {
        let mut receiver = self.availability.subscribe();
        let is_unavailable = |availability: &UpstreamAvailability| {
            let replaced = term.is_some() && availability.primary_term != term;
            availability.known && (!availability.reachable || replaced)
        };
        let reachable = receiver
            .wait_for(is_unavailable)
            .await
            .map(|availability| availability.reachable);
        match reachable {
            Ok(false) => refusal_reason::RefusalReason::Unreachable,
            Ok(true) => refusal_reason::RefusalReason::NotPrimary,
            // The upstream is being dropped, and the queue with it.
            Err(_closed) => std::future::pending().await,
        }
    }

    /// Returns the known state.
    #[must_use]
    pub fn view(&self) -> UpstreamView {
        self.view.borrow().clone()
    }

    /// Waits up to `limit` for a view that satisfies `accepts` and returns it.
    pub async fn wait_view(
        &self,
        limit: time::Duration,
        mut accepts: impl FnMut(&UpstreamView) -> bool,
    ) -> Option<UpstreamView> {
        let mut receiver = self.view.subscribe();
        let wait = receiver.wait_for(|view| accepts(view));
        let view = tokio::time::timeout(limit, wait).await.ok()?.ok()?;
        Some(view.clone())
    }

    /// Returns a state from a read that begins after this call, or `None` without an answer in
    /// time.
    pub async fn observe(&self) -> Option<upstream_state::UpstreamState> {
        self.observer.observe().await
    }

    /// Returns the report for the feeds, once a state is known.
    #[must_use]
    pub fn report(&self) -> Option<feed_update::UpstreamReport> {
        let view = self.view();
        let state = view.state?;
        Some(feed_update::UpstreamReport {
            state: (*state).clone(),
            reachable: view.reachable,
            wait: self.queue.load().2,
        })
    }

    /// Returns the report of the queue for the keeper.
    #[must_use]
    pub fn queue_report(&self) -> program_report::QueueReport {
        let (waiting, running, wait) = self.queue.load();
        program_report::QueueReport {
            upstream: self.spec.upstream.clone(),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            running: u32::try_from(running).unwrap_or(u32::MAX),
            connections: self.connections.open_count(),
            wait,
        }
    }

    /// Returns whether the pool does not own the upstream and has not used it for a while.
    fn is_unused(&self) -> bool {
        let used = time::Duration::from_millis(self.last_use.load(atomic::Ordering::Relaxed));
        let unused = self.started.elapsed().saturating_sub(used);
        let (waiting, running, _) = self.queue.load();
        let owned = self.owned.load(atomic::Ordering::Relaxed);
        !owned && unused > UNUSED_LIMIT && waiting + running == 0
    }

    fn lock_tasks(&self) -> sync::MutexGuard<'_, Vec<tokio::task::AbortHandle>> {
        self.tasks
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Checks idle connections and opens connections in advance. Stops the upstream's tasks and ends
/// when it is unused.
async fn maintain_connections(upstream: sync::Weak<Upstream>) {
    loop {
        let Some(upstream) = upstream.upgrade() else {
            return;
        };
        if upstream.is_unused() {
            upstream.stop();
            return;
        }
        let store = &upstream.connections;
        store.check_idle(CHECK_AGE, CHECK_LIMIT).await;
        if upstream.owned.load(atomic::Ordering::Relaxed) && upstream.view().reachable {
            let wanted = upstream.settings.limits.warm_connections;
            let (edge, spec) = (upstream.edge.as_ref(), &upstream.spec);
            while store.warm(edge, spec, &upstream.database, wanted).await {}
        }
        let connections = sync::Arc::clone(store);
        drop(upstream);
        tokio::time::sleep(MAINTENANCE_INTERVAL / 10).await;
        drop(tokio::time::timeout(MAINTENANCE_INTERVAL, connections.changed()).await);
    }
}
