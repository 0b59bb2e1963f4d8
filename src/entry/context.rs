//! [`EntryContext`]: the tables that all sessions of an entry share.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use crate::decide::{ownership, retry_budget};
use crate::dial;
use crate::entry::{board, cancel_registry, pool_link, settings};
use crate::event;
use crate::health;
use crate::link::{feed_update, hello, program_report};
use crate::model::{control_tables, ids, upstream_spec, vm_record};
use crate::rules::rule_set;
use crate::sql::class_cache;

/// Parts of the retry budget, each with its own lock, so that sessions rarely meet.
const BUDGET_PARTS: usize = 4;

/// The control tables in force, with what is derived from them.
#[derive(Debug, Default)]
pub struct ActiveTables {
    pub vms: Vec<vm_record::VmRecord>,
    pub rules: rule_set::RuleSet,
    pub revision: ids::RuleRevision,
    pub databases: collections::HashMap<ids::DatabaseName, sync::Arc<board::GroupBoard>>,
    upstreams: collections::HashMap<ids::UpstreamId, sync::Arc<board::GroupBoard>>,
    groups: collections::HashMap<ids::GroupId, sync::Arc<board::GroupBoard>>,
    pools: collections::HashMap<ids::VmId, sync::Arc<pool_link::PoolLink>>,
}

/// What all sessions share.
#[derive(Debug)]
pub struct EntryContext {
    pub settings: settings::EntrySettings,
    pub dialer: dial::TcpDialer,
    pub hello: hello::Hello,
    pub ready: health::ReadyFlag,
    pub classes: class_cache::ClassCache,
    pub cancels: cancel_registry::CancelRegistry,
    pub sessions: atomic::AtomicU64,
    pub stopping: atomic::AtomicBool,
    pub ending: tokio::sync::watch::Sender<bool>,
    tables: arc_swap::ArcSwap<ActiveTables>,
    loaded: atomic::AtomicBool,
    fed: atomic::AtomicBool,
    started: time::Instant,
    requests: atomic::AtomicU64,
    budgets: [sync::Mutex<retry_budget::RetryBudget>; BUDGET_PARTS],
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
            ending: tokio::sync::watch::Sender::new(false),
            tables: arc_swap::ArcSwap::default(),
            loaded: atomic::AtomicBool::new(false),
            fed: atomic::AtomicBool::new(false),
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

    /// Tells whether control tables have arrived.
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(atomic::Ordering::Acquire)
    }

    pub fn next_request(&self) -> ids::RequestId {
        self.requests.fetch_add(1, atomic::Ordering::Relaxed)
    }

    pub fn budget(&self, session: u64) -> sync::MutexGuard<'_, retry_budget::RetryBudget> {
        let part = usize::try_from(session % BUDGET_PARTS as u64).unwrap_or(0);
        self.budgets[part % BUDGET_PARTS]
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Puts new control tables in force.
    pub fn replace_tables(self: &sync::Arc<Self>, control: control_tables::ControlTables) {
        let old = self.tables();
        let (rules, revision) = if control.rules_revision < old.revision {
            // A keeper that has just started may not have heard of the rules in force yet.
            event::info(
                "older_rules_ignored",
                &[
                    ("revision", &control.rules_revision),
                    ("in_force", &old.revision),
                ],
            );
            (old.rules.clone(), old.revision)
        } else {
            match rule_set::RuleSet::parse(&control.rules_text) {
                Ok(rules) => (rules, control.rules_revision),
                Err(errors) => {
                    // A keeper only hands out rules that it has checked, so this is a version
                    // mismatch.
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
            let board = old.groups.get(&spec.group).cloned();
            let board =
                board.unwrap_or_else(|| sync::Arc::new(board::GroupBoard::new(spec, &rules)));
            board.set_spec(spec, &rules);
            for database in &spec.databases {
                tables
                    .databases
                    .insert(database.clone(), sync::Arc::clone(&board));
            }
            for upstream in &spec.upstreams {
                tables
                    .upstreams
                    .insert(upstream.upstream.clone(), sync::Arc::clone(&board));
            }
            tables.groups.insert(spec.group.clone(), board);
        }
        for vm in &control.vms {
            let known = old
                .pools
                .get(&vm.vm)
                .filter(|pool| pool.address == vm.pool)
                .cloned();
            let pool = known.unwrap_or_else(|| pool_link::PoolLink::start(self, &vm.vm, vm.pool));
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
            for report in pool.reports() {
                self.apply_report(&pool.vm, &report);
            }
        }
        self.loaded.store(true, atomic::Ordering::Release);
        self.update_ready();
    }

    pub fn apply_report(&self, vm: &str, report: &feed_update::UpstreamReport) {
        if let Some(board) = self.tables().upstreams.get(&report.state.upstream) {
            board.apply(vm, report);
        }
    }

    pub fn forget_pool(&self, vm: &str) {
        for board in self.tables().groups.values() {
            board.forget_pool(vm);
        }
    }

    pub fn note_feed(&self) {
        if !self.fed.swap(true, atomic::Ordering::AcqRel) {
            self.update_ready();
        }
    }

    pub fn update_ready(&self) {
        let stopping = self.stopping.load(atomic::Ordering::Acquire);
        let fed = self.fed.load(atomic::Ordering::Acquire);
        self.ready.set(self.is_loaded() && fed && !stopping);
    }

    /// Returns the pools that may serve the upstream now, best first.
    pub fn owners(
        &self,
        spec: &upstream_spec::UpstreamSpec,
    ) -> Vec<sync::Arc<pool_link::PoolLink>> {
        let tables = self.tables.load();
        ownership::rank_owners(spec, &tables.vms)
            .into_iter()
            .filter_map(|vm| tables.pools.get(&vm.vm))
            .filter(|pool| pool.is_usable())
            .cloned()
            .collect()
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
