//! [`EntryContext`]: the state that all sessions of an entry share: settings, control tables, pool
//! links, retry budgets and counters.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use crate::decide::{ownership, retry_budget};
use crate::dial;
use crate::entry::{cancel_registry, group_tracker, pool_link, settings};
use crate::event;
use crate::health;
use crate::link::{feed_update, hello, program_report};
use crate::model::{control_tables, ids, upstream_spec, vm_record};
use crate::rules::{file_parser, rule_set};
use crate::sql::class_cache;

/// Number of shards of the retry budget. Each has its own lock, to reduce contention between
/// sessions.
const BUDGET_SHARDS: usize = 4;
/// Number of candidate pools kept per upstream. A failed VM leaves the tables within about 1 s, so
/// few of them can be unavailable at once.
const RANKED_POOLS: usize = 8;
/// Number of pools that an entry opens even without clients, so that it can become ready.
const MIN_OPEN_POOLS: usize = 2;
/// Idle time after which a group's pools are closed.
const POOL_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Interval between two checks of which pools are needed.
const POOL_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Longest wait for a pool to open before the next candidate is checked.
const OPEN_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);

type RankedPools = sync::Arc<[sync::Arc<pool_link::PoolLink>]>;

/// The control tables in force, and the lookup tables derived from them.
#[derive(Debug, Default)]
pub struct ActiveTables {
    pub vms: Vec<vm_record::VmRecord>,
    pub rules: rule_set::RuleSet,
    pub revision: ids::RuleRevision,
    pub databases: collections::HashMap<ids::DatabaseName, sync::Arc<group_tracker::GroupTracker>>,
    upstreams: collections::HashMap<ids::UpstreamId, sync::Arc<group_tracker::GroupTracker>>,
    groups: collections::HashMap<ids::GroupId, sync::Arc<group_tracker::GroupTracker>>,
    pools: collections::HashMap<ids::VmId, sync::Arc<pool_link::PoolLink>>,
    /// Candidate pools per upstream, computed on first use. Ranking 3,000 VMs for every statement
    /// would cost more than the statement itself.
    ranks: sync::RwLock<collections::HashMap<ids::UpstreamId, RankedPools>>,
}

impl ActiveTables {
    fn ranked_pools(&self, spec: &upstream_spec::UpstreamSpec) -> RankedPools {
        let known = self
            .ranks
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .get(&spec.upstream)
            .cloned();
        known.unwrap_or_else(|| {
            let ranked: RankedPools = ownership::rank_owners(spec, &self.vms)
                .into_iter()
                .filter_map(|vm| self.pools.get(&vm.vm))
                .take(RANKED_POOLS)
                .cloned()
                .collect();
            self.ranks
                .write()
                .unwrap_or_else(sync::PoisonError::into_inner)
                .insert(spec.upstream.clone(), sync::Arc::clone(&ranked));
            ranked
        })
    }
}

/// The state that all sessions of an entry share.
#[derive(Debug)]
pub struct EntryContext {
    pub settings: settings::EntrySettings,
    pub dialer: dial::TcpDialer,
    pub hello: hello::Hello,
    pub ready: health::ReadyFlag,
    pub classes: class_cache::ClassCache,
    pub cancels: cancel_registry::CancelRegistry,
    /// Number of open sessions.
    pub sessions: atomic::AtomicU64,
    /// Set when shutdown begins; the entry then reports that it is not ready.
    pub stopping: atomic::AtomicBool,
    /// Set after the drain time; idle sessions then end.
    pub end_sessions: tokio::sync::watch::Sender<bool>,
    /// Notified whenever a connection to a pool has opened.
    pub pool_opened: tokio::sync::Notify,
    tables: arc_swap::ArcSwap<ActiveTables>,
    /// Whether control tables have arrived.
    loaded: atomic::AtomicBool,
    /// Whether any pool has sent a feed update.
    feed_received: atomic::AtomicBool,
    started: time::Instant,
    requests: atomic::AtomicU64,
    budgets: [sync::Mutex<retry_budget::RetryBudget>; BUDGET_SHARDS],
}

impl EntryContext {
    pub fn new(settings: settings::EntrySettings, ready: health::ReadyFlag) -> Self {
        Self {
            dialer: dial::TcpDialer {
                source: settings.source,
                timeout: settings.limits.connect,
            },
            hello: hello::Hello::new(&settings.vm, "persimmon-entry"),
            settings,
            ready,
            classes: class_cache::ClassCache::default(),
            cancels: cancel_registry::CancelRegistry::default(),
            sessions: atomic::AtomicU64::new(0),
            stopping: atomic::AtomicBool::new(false),
            end_sessions: tokio::sync::watch::Sender::new(false),
            pool_opened: tokio::sync::Notify::new(),
            tables: arc_swap::ArcSwap::default(),
            loaded: atomic::AtomicBool::new(false),
            feed_received: atomic::AtomicBool::new(false),
            started: time::Instant::now(),
            requests: atomic::AtomicU64::new(1),
            budgets: Default::default(),
        }
    }

    pub fn now(&self) -> time::Duration {
        self.started.elapsed()
    }

    pub fn tables(&self) -> sync::Arc<ActiveTables> {
        self.tables.load_full()
    }

    /// Returns whether control tables have arrived.
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(atomic::Ordering::Acquire)
    }

    pub fn next_request(&self) -> ids::RequestId {
        self.requests.fetch_add(1, atomic::Ordering::Relaxed)
    }

    pub fn budget(&self, session: u64) -> sync::MutexGuard<'_, retry_budget::RetryBudget> {
        let part = usize::try_from(session % BUDGET_SHARDS as u64).unwrap_or(0);
        self.budgets[part % BUDGET_SHARDS]
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Puts new control tables in force.
    pub fn replace_tables(self: &sync::Arc<Self>, control: control_tables::ControlTables) {
        let old = self.tables();
        let (rules, revision) = if control.rules_revision < old.revision {
            // A keeper that has just started may not have received the current rules yet.
            event::info(
                "older_rules_ignored",
                &[
                    ("revision", &control.rules_revision),
                    ("in_force", &old.revision),
                ],
            );
            (old.rules.clone(), old.revision)
        } else {
            match file_parser::parse(&control.rules_text) {
                Ok(rules) => (rules, control.rules_revision),
                Err(errors) => {
                    // A keeper only publishes rules that it has checked, so keeper and entry are
                    // of different versions.
                    let cause = errors.first().map(ToString::to_string).unwrap_or_default();
                    let revision = control.rules_revision;
                    event::error(
                        "rules_refused",
                        &[("revision", &revision), ("cause", &cause)],
                    );
                    if self.is_loaded() {
                        return;
                    }
                    (rule_set::RuleSet::default(), revision)
                }
            }
        };
        let mut tables = ActiveTables {
            revision,
            ..ActiveTables::default()
        };
        for spec in &control.groups {
            let tracker = old.groups.get(&spec.group).cloned();
            let tracker = tracker
                .unwrap_or_else(|| sync::Arc::new(group_tracker::GroupTracker::new(spec, &rules)));
            tracker.set_spec(spec, &rules);
            for database in &spec.databases {
                tables
                    .databases
                    .insert(database.clone(), sync::Arc::clone(&tracker));
            }
            for upstream in &spec.upstreams {
                tables
                    .upstreams
                    .insert(upstream.upstream.clone(), sync::Arc::clone(&tracker));
            }
            tables.groups.insert(spec.group.clone(), tracker);
        }
        for vm in &control.vms {
            let known = old
                .pools
                .get(&vm.vm)
                .filter(|pool| pool.address == vm.pool)
                .cloned();
            let pool = known.unwrap_or_else(|| {
                let connections = self.settings.limits.pool_connections;
                pool_link::PoolLink::new(connections, &vm.vm, vm.pool)
            });
            tables.pools.insert(vm.vm.clone(), pool);
        }
        tables.vms = control.vms;
        for vm in &mut tables.vms {
            vm.leaving |= rules.drains_vm(&vm.vm);
        }
        tables.rules = rules;
        let tables = sync::Arc::new(tables);
        self.tables.store(sync::Arc::clone(&tables));
        for (vm, pool) in &old.pools {
            if !tables
                .pools
                .get(vm)
                .is_some_and(|kept| sync::Arc::ptr_eq(kept, pool))
            {
                pool.close(self);
            }
        }
        // A pool may have reported on an upstream before the tables named it.
        for pool in tables.pools.values() {
            for report in pool.last_reports() {
                self.apply_report(&pool.vm, &report);
            }
        }
        self.loaded.store(true, atomic::Ordering::Release);
        self.update_pools();
        self.update_ready();
    }

    /// Opens the needed pools and closes idle ones, in an endless loop.
    pub async fn maintain_pools(self: sync::Arc<Self>) {
        loop {
            tokio::time::sleep(POOL_CHECK_INTERVAL).await;
            self.update_pools();
        }
    }

    fn update_pools(self: &sync::Arc<Self>) {
        let tables = self.tables();
        let now = self.now();
        let mut open = 0;
        for pool in self.ready_pools(&tables) {
            pool.ensure_open(self);
            open += usize::from(pool.is_usable() || pool.is_opening(now));
            if open >= MIN_OPEN_POOLS {
                break;
            }
        }
        // After a change of membership, connects to the new owners before a statement needs them.
        for tracker in tables.groups.values() {
            if tracker.is_used(now, POOL_IDLE_TIMEOUT) {
                self.open_pools(tracker);
            }
        }
        for pool in tables.pools.values() {
            pool.close_idle(self, POOL_IDLE_TIMEOUT);
        }
    }

    /// Returns the pools in the order in which they are opened without clients: the pool on this
    /// VM, then the pools in this data centre, then the others; those that are leaving come last.
    fn ready_pools<'a>(
        &self,
        tables: &'a ActiveTables,
    ) -> impl Iterator<Item = &'a sync::Arc<pool_link::PoolLink>> {
        let mut vms: Vec<_> = tables.vms.iter().collect();
        vms.sort_by_cached_key(|vm| {
            let remote = vm.data_centre != self.settings.data_centre;
            let score = ownership::score(&self.settings.vm, &vm.vm);
            (vm.vm != self.settings.vm, vm.leaving, remote, score)
        });
        vms.into_iter().filter_map(|vm| tables.pools.get(&vm.vm))
    }

    /// Records that a group is in use and opens the pools that own its upstreams.
    pub fn use_group(self: &sync::Arc<Self>, tracker: &group_tracker::GroupTracker) {
        tracker.record_use(self.now());
        self.open_pools(tracker);
    }

    fn open_pools(self: &sync::Arc<Self>, tracker: &group_tracker::GroupTracker) {
        for view in tracker.views().iter() {
            self.owners(&view.spec);
        }
    }

    pub fn apply_report(&self, vm: &str, report: &feed_update::UpstreamReport) {
        if let Some(tracker) = self.tables().upstreams.get(&report.state.upstream) {
            tracker.apply_report(vm, report);
        }
    }

    pub fn forget_pool(&self, vm: &str) {
        for tracker in self.tables().groups.values() {
            tracker.forget_pool(vm);
        }
    }

    pub fn record_feed(&self) {
        if !self.feed_received.swap(true, atomic::Ordering::AcqRel) {
            self.update_ready();
        }
    }

    pub fn update_ready(&self) {
        let stopping = self.stopping.load(atomic::Ordering::Acquire);
        let feed_received = self.feed_received.load(atomic::Ordering::Acquire);
        self.ready
            .set(self.is_loaded() && feed_received && !stopping);
    }

    /// Returns the pools that can serve the upstream now, in order of preference. Opens pools in
    /// that order until one can serve the upstream; lower-ranked pools are included if they are
    /// open.
    pub fn owners(
        self: &sync::Arc<Self>,
        spec: &upstream_spec::UpstreamSpec,
    ) -> Vec<sync::Arc<pool_link::PoolLink>> {
        let tables = self.tables.load();
        let now = self.now();
        let mut found = false;
        let mut usable = Vec::new();
        for pool in tables.ranked_pools(spec).iter() {
            if !found {
                pool.ensure_open(self);
                found = pool.can_serve(&spec.upstream) || pool.is_opening(now);
            }
            if pool.is_usable() {
                usable.push(sync::Arc::clone(pool));
            }
        }
        usable
    }

    /// Like [`Self::owners`], but if no pool is usable, waits for one that is being opened.
    pub async fn open_owners(
        self: &sync::Arc<Self>,
        spec: &upstream_spec::UpstreamSpec,
    ) -> Vec<sync::Arc<pool_link::PoolLink>> {
        loop {
            let opened = self.pool_opened.notified();
            tokio::pin!(opened);
            opened.as_mut().enable();
            let owners = self.owners(spec);
            let opening = {
                let ranked = self.tables.load().ranked_pools(spec);
                ranked.iter().any(|pool| pool.is_opening(self.now()))
            };
            if !owners.is_empty() || !opening {
                return owners;
            }
            // A timeout is expected here: the next candidate may have to be opened.
            drop(tokio::time::timeout(OPEN_CHECK_INTERVAL, opened).await);
        }
    }

    pub fn report(&self) -> program_report::ProgramReport {
        program_report::ProgramReport {
            rules_revision: self.tables.load().revision,
            sessions: self.sessions.load(atomic::Ordering::Relaxed),
            queues: Vec::new(),
            refusals: crate::counters::refusals(),
            retries: crate::counters::retries(),
        }
    }
}
