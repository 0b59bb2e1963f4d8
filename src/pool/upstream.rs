//! [`Upstream`]: everything the pool holds for one upstream.

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

/// Connections of an upstream that are left to control: two of this pool and three of keepers.
const CONTROL_CONNECTIONS: u32 = 5;
/// Time between two rounds of keeping connections warm and checked.
const UPKEEP_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Idle time after which a connection is checked before it can serve again.
const CHECK_AGE: time::Duration = time::Duration::from_millis(500);
/// Time within which a check has to be answered.
const CHECK_LIMIT: time::Duration = time::Duration::from_millis(600);
/// Time without work after which a pool drops the connections of an upstream that it does not own.
const RELEASE_AFTER: time::Duration = time::Duration::from_secs(30);

/// What is known about an upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamView {
    /// Newest state.
    pub state: Option<sync::Arc<upstream_state::UpstreamState>>,
    /// False while the control connection is down.
    pub reachable: bool,
}

/// What decides whether waiting batches may go on waiting for an upstream. It changes far less often
/// than the view, so that a long queue is not woken at each commit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct UpstreamStanding {
    known: bool,
    reachable: bool,
    primary_term: Option<ids::TermNumber>,
}

/// Everything the pool holds for one upstream.
pub struct Upstream {
    /// The instance.
    pub spec: upstream_spec::UpstreamSpec,
    /// Database of the control connections.
    pub database: ids::DatabaseName,
    /// How the instance is reached.
    pub edge: sync::Arc<dyn upstream_edge::UpstreamEdge>,
    /// Connections for work.
    pub connections: sync::Arc<connection_store::ConnectionStore>,
    /// Queue for slots.
    pub queue: sync::Arc<slot_queue::SlotQueue>,
    view: tokio::sync::watch::Sender<UpstreamView>,
    standing: tokio::sync::watch::Sender<UpstreamStanding>,
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
            standing: tokio::sync::watch::Sender::new(UpstreamStanding::default()),
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

    /// Puts ownership and rules in force.
    pub fn configure(self: &sync::Arc<Self>, owned: bool, rules: &rule_set::RuleSet) {
        let usable = self.spec.connections.saturating_sub(CONTROL_CONNECTIONS);
        // A pool that is not the owner leaves most connections to the owner.
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

    /// Tells whether the upstream takes no new units.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(atomic::Ordering::Relaxed)
    }

    /// Notes a use, and starts the control connections if they are not running.
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
        let upkeep = tokio::spawn(keep_up(sync::Arc::downgrade(self)));
        let queue = sync::Arc::clone(&self.queue);
        let clock = tokio::spawn(async move { queue.run_clock().await });
        tasks.extend([
            reader.abort_handle(),
            observer.abort_handle(),
            upkeep.abort_handle(),
            clock.abort_handle(),
        ]);
    }

    /// Tells whether the control connections are running.
    #[must_use]
    pub fn is_active(&self) -> bool {
        !self.lock_tasks().is_empty()
    }

    /// Stops the control connections and closes what is idle.
    pub fn stop(&self) {
        // Batches that wait here go to what takes this value's place.
        self.leaving.store(true, atomic::Ordering::Relaxed);
        for task in self.lock_tasks().drain(..) {
            task.abort();
        }
        self.connections.close_idle();
    }

    /// Takes in a state, unless a newer one is known.
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
        self.update_standing();
        if changed {
            self.changes.send_modify(|version| *version += 1);
        }
    }

    /// Notes that the control connection failed.
    pub fn publish_unreachable(&self) {
        let changed = self
            .view
            .send_if_modified(|view| std::mem::replace(&mut view.reachable, false));
        self.update_standing();
        if changed {
            self.changes.send_modify(|version| *version += 1);
        }
    }

    fn update_standing(&self) {
        let standing = {
            let view = self.view.borrow();
            UpstreamStanding {
                known: view.state.is_some(),
                reachable: view.reachable,
                primary_term: view.state.as_ref().and_then(|state| state.primary_term),
            }
        };
        self.standing
            .send_if_modified(|known| std::mem::replace(known, standing) != standing);
    }

    /// Completes once a batch that has not been sent cannot expect to run here any more, with the
    /// reason. `term` is given if the upstream has to be the primary of that term.
    ///
    /// Without it, batches that queued behind a frozen primary waited there for slots that were
    /// never freed, and were refused at their deadline though a new primary had long taken over.
    pub async fn wait_lost(&self, term: Option<ids::TermNumber>) -> refusal_reason::RefusalReason {
        let mut receiver = self.standing.subscribe();
        let is_lost = |standing: &UpstreamStanding| {
            let replaced = term.is_some() && standing.primary_term != term;
            standing.known && (!standing.reachable || replaced)
        };
        let reachable = receiver
            .wait_for(is_lost)
            .await
            .map(|standing| standing.reachable);
        match reachable {
            Ok(false) => refusal_reason::RefusalReason::Unreachable,
            Ok(true) => refusal_reason::RefusalReason::NotPrimary,
            // The upstream is being dropped, which ends the queue too.
            Err(_closed) => std::future::pending().await,
        }
    }

    /// Returns what is known.
    #[must_use]
    pub fn view(&self) -> UpstreamView {
        self.view.borrow().clone()
    }

    /// Waits until a state is known that `accepts` takes, and returns it.
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

    /// Reads the state by a request that begins after this call.
    pub async fn observe(&self) -> Option<upstream_state::UpstreamState> {
        self.observer.observe().await
    }

    /// Returns what feeds say about the upstream, once a state is known.
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

    /// Returns what the keeper is told about the queue.
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

    fn is_abandoned(&self) -> bool {
        let used = time::Duration::from_millis(self.last_use.load(atomic::Ordering::Relaxed));
        let unused = self.started.elapsed().saturating_sub(used);
        let (waiting, running, _) = self.queue.load();
        let owned = self.owned.load(atomic::Ordering::Relaxed);
        !owned && unused > RELEASE_AFTER && waiting + running == 0
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

/// Keeps idle connections ready and checked.
async fn keep_up(upstream: sync::Weak<Upstream>) {
    loop {
        let Some(upstream) = upstream.upgrade() else {
            return;
        };
        if upstream.is_abandoned() {
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
        tokio::time::sleep(UPKEEP_INTERVAL / 10).await;
        drop(tokio::time::timeout(UPKEEP_INTERVAL, connections.changed()).await);
    }
}
