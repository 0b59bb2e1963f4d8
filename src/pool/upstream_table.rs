//! [`UpstreamTable`]: the upstreams, rules and shutdown state that all streams of a pool share.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use crate::decide::ownership;
use crate::event;
use crate::link::program_report;
use crate::model::{control_tables, ids};
use crate::pool::{pool_settings, upstream, upstream_edge};
use crate::rules::{file_parser, rule_set};
use crate::{counters, health};

type UpstreamMap = collections::HashMap<ids::UpstreamId, sync::Arc<upstream::Upstream>>;

/// The upstreams, rules and shutdown state that all streams of a pool share.
pub struct UpstreamTable {
    settings: sync::Arc<pool_settings::PoolSettings>,
    edge: sync::Arc<dyn upstream_edge::UpstreamEdge>,
    upstreams: arc_swap::ArcSwap<UpstreamMap>,
    revision: atomic::AtomicU64,
    rules: arc_swap::ArcSwap<rule_set::RuleSet>,
    changes: tokio::sync::watch::Sender<u64>,
    leaving: atomic::AtomicBool,
    stopping: atomic::AtomicBool,
    units: tokio::sync::watch::Sender<u64>,
    arrivals: atomic::AtomicU64,
    ready: health::ReadyFlag,
}

impl std::fmt::Debug for UpstreamTable {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("UpstreamTable")
            .finish_non_exhaustive()
    }
}

/// Counts a unit of work as open until it is dropped.
#[derive(Debug)]
pub struct OpenUnit {
    table: sync::Arc<UpstreamTable>,
}

impl UpstreamTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(
        settings: sync::Arc<pool_settings::PoolSettings>,
        edge: sync::Arc<dyn upstream_edge::UpstreamEdge>,
        ready: health::ReadyFlag,
    ) -> Self {
        Self {
            settings,
            edge,
            upstreams: arc_swap::ArcSwap::default(),
            revision: atomic::AtomicU64::new(0),
            rules: arc_swap::ArcSwap::default(),
            changes: tokio::sync::watch::Sender::new(0),
            leaving: atomic::AtomicBool::new(false),
            stopping: atomic::AtomicBool::new(false),
            units: tokio::sync::watch::Sender::new(0),
            arrivals: atomic::AtomicU64::new(0),
            ready,
        }
    }

    /// Applies control tables. If their rules are older or invalid, the current rules stay in
    /// force.
    pub fn apply(&self, tables: &control_tables::ControlTables) {
        if tables.rules_revision >= self.revision.load(atomic::Ordering::Acquire) {
            match file_parser::parse(&tables.rules_text) {
                Ok(rules) => {
                    self.rules.store(sync::Arc::new(rules));
                    self.revision
                        .store(tables.rules_revision, atomic::Ordering::Release);
                }
                Err(errors) => {
                    for error in errors {
                        let revision = &tables.rules_revision;
                        event::error(
                            "rules_invalid",
                            &[("revision", revision), ("cause", &error)],
                        );
                    }
                }
            }
        }
        let rules = self.rules.load_full();
        let mut vms = tables.vms.clone();
        for vm in &mut vms {
            vm.leaving |= rules.drains_vm(&vm.vm);
        }
        let current = self.upstreams.load_full();
        let mut next = UpstreamMap::new();
        for group in &tables.groups {
            let database = group.databases.first().cloned().unwrap_or_default();
            for spec in &group.upstreams {
                let known = current
                    .get(&spec.upstream)
                    .filter(|known| known.spec == *spec && known.database == database);
                let upstream = known.cloned().unwrap_or_else(|| {
                    sync::Arc::new(upstream::Upstream::new(
                        spec.clone(),
                        database.clone(),
                        sync::Arc::clone(&self.edge),
                        sync::Arc::clone(&self.settings),
                        self.changes.clone(),
                    ))
                });
                let owner = ownership::rank_owners(spec, &vms);
                let owned = owner.first().is_some_and(|vm| vm.vm == self.settings.vm);
                upstream.configure(owned, &rules);
                next.insert(spec.upstream.clone(), upstream);
            }
        }
        for (name, upstream) in current.iter() {
            if next
                .get(name)
                .is_none_or(|kept| !sync::Arc::ptr_eq(kept, upstream))
            {
                upstream.stop();
            }
        }
        self.upstreams.store(sync::Arc::new(next));
        let leaves = vms.iter().any(|vm| vm.vm == self.settings.vm && vm.leaving);
        self.leaving.store(leaves, atomic::Ordering::Release);
        self.changes.send_modify(|version| *version += 1);
        self.ready.set(!self.is_leaving());
    }

    /// Returns an upstream.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<sync::Arc<upstream::Upstream>> {
        self.upstreams.load().get(name).cloned()
    }

    /// Returns the upstreams whose background tasks are running.
    #[must_use]
    pub fn active(&self) -> Vec<sync::Arc<upstream::Upstream>> {
        let upstreams = self.upstreams.load();
        let active = upstreams.values().filter(|upstream| upstream.is_active());
        active.cloned().collect()
    }

    /// Returns whether control tables with at least one upstream have been applied.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        !self.upstreams.load().is_empty()
    }

    /// Returns whether the pool refuses new units, because its VM is drained or it is shutting
    /// down.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(atomic::Ordering::Acquire)
            || self.stopping.load(atomic::Ordering::Acquire)
    }

    /// Begins the shutdown: new units are refused, and the feeds report that the pool is leaving.
    pub fn stop(&self) {
        self.stopping.store(true, atomic::Ordering::Release);
        self.ready.set(false);
        self.changes.send_modify(|version| *version += 1);
    }

    /// Returns a receiver that is notified when a feed may have a change to send.
    #[must_use]
    pub fn subscribe(&self) -> tokio::sync::watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Counts a unit as open.
    #[must_use]
    pub fn open_unit(self: &sync::Arc<Self>) -> OpenUnit {
        self.units.send_modify(|units| *units += 1);
        self.arrivals.fetch_add(1, atomic::Ordering::Relaxed);
        OpenUnit {
            table: sync::Arc::clone(self),
        }
    }

    /// Completes once no unit is open and none has arrived for `quiet`. Within that time, entries
    /// that have not yet received the pool's leaving get their refusals, and answers that are still
    /// being written are sent.
    pub async fn wait_idle(&self, quiet: time::Duration) {
        let mut units = self.units.subscribe();
        loop {
            // Cannot fail: this table owns the sender.
            drop(units.wait_for(|units| *units == 0).await);
            let arrivals = self.arrivals.load(atomic::Ordering::Relaxed);
            tokio::time::sleep(quiet).await;
            if self.arrivals.load(atomic::Ordering::Relaxed) == arrivals {
                return;
            }
        }
    }

    /// Returns the report to the keeper.
    #[must_use]
    pub fn report(&self) -> program_report::ProgramReport {
        program_report::ProgramReport {
            rules_revision: self.revision.load(atomic::Ordering::Acquire),
            sessions: 0,
            queues: self
                .active()
                .iter()
                .map(|upstream| upstream.queue_report())
                .collect(),
            refusals: counters::refusals(),
            retries: counters::retries(),
        }
    }
}

impl Drop for OpenUnit {
    fn drop(&mut self) {
        self.table
            .units
            .send_modify(|units| *units = units.saturating_sub(1));
    }
}
