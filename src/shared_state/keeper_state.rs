//! [`KeeperState`]: the state that the tasks of a keeper share.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use crate::decide::{membership, rule_log};
use crate::link::{control, program_report};
use crate::model::{control_tables, group_spec, ids};

/// State that the tasks of a keeper share. Locks are taken in the order of the fields and are never
/// held across an await.
#[derive(Debug)]
pub struct KeeperState {
    own: ids::VmId,
    started: time::Instant,
    members: sync::Mutex<membership::MemberTable>,
    rules: sync::Mutex<rule_log::RuleLog>,
    groups: sync::Mutex<Vec<group_spec::GroupSpec>>,
    programs: sync::Mutex<collections::BTreeMap<String, program_report::ProgramReport>>,
    statuses: sync::Mutex<collections::BTreeMap<ids::GroupId, control::GroupStatus>>,
    platform_reachable: atomic::AtomicBool,
    rules_known: atomic::AtomicBool,
    leaving: atomic::AtomicBool,
    own_shards: atomic::AtomicU64,
    tables: tokio::sync::watch::Sender<sync::Arc<control_tables::ControlTables>>,
}

/// Locks a table. Its content stays usable if a task panicked while it held the lock, since every
/// change is a single assignment or insertion.
fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl KeeperState {
    /// Creates the empty state of the keeper on VM `own`.
    #[must_use]
    pub fn new(own: &str) -> Self {
        Self {
            own: own.to_owned(),
            started: time::Instant::now(),
            members: sync::Mutex::new(membership::MemberTable::new(own.to_owned())),
            rules: sync::Mutex::default(),
            groups: sync::Mutex::default(),
            programs: sync::Mutex::default(),
            statuses: sync::Mutex::default(),
            platform_reachable: atomic::AtomicBool::new(false),
            rules_known: atomic::AtomicBool::new(false),
            leaving: atomic::AtomicBool::new(false),
            own_shards: atomic::AtomicU64::new(0),
            tables: tokio::sync::watch::Sender::default(),
        }
    }

    /// Returns the name of the VM on which this keeper runs.
    #[must_use]
    pub fn own(&self) -> &str {
        &self.own
    }

    /// Returns the time since the keeper started.
    #[must_use]
    pub fn now(&self) -> time::Duration {
        self.started.elapsed()
    }

    /// Locks the members. The gossip and the platform poll write them.
    pub fn members(&self) -> sync::MutexGuard<'_, membership::MemberTable> {
        lock(&self.members)
    }

    /// Locks the rules. The gossip and the watch of the store write them.
    pub fn rules(&self) -> sync::MutexGuard<'_, rule_log::RuleLog> {
        lock(&self.rules)
    }

    /// Locks the groups. The platform poll writes them; the gossip does so only while there are
    /// none.
    pub fn groups(&self) -> sync::MutexGuard<'_, Vec<group_spec::GroupSpec>> {
        lock(&self.groups)
    }

    /// Sets the shards whose lease this VM holds, as bits. The lease task calls it.
    pub fn set_own_shards(&self, shards: u64) {
        self.own_shards.store(shards, atomic::Ordering::Relaxed);
    }

    /// Returns the shards whose lease this VM holds, as bits.
    #[must_use]
    pub fn own_shards(&self) -> u64 {
        self.own_shards.load(atomic::Ordering::Relaxed)
    }

    /// Returns the VM that holds the lease of a shard, if it is known.
    #[must_use]
    pub fn holder(&self, shard: u64) -> Option<ids::VmId> {
        let now = self.now();
        self.members().holder(shard, now).cloned()
    }

    /// Locks the reports of the entry and the pool. Their `Tables` streams write them.
    pub fn programs(
        &self,
    ) -> sync::MutexGuard<'_, collections::BTreeMap<String, program_report::ProgramReport>> {
        lock(&self.programs)
    }

    /// Locks the states of the groups that this keeper probes. The group workers write them.
    pub fn statuses(
        &self,
    ) -> sync::MutexGuard<'_, collections::BTreeMap<ids::GroupId, control::GroupStatus>> {
        lock(&self.statuses)
    }

    /// Records whether the platform answered the last call.
    pub fn set_platform_reachable(&self, reachable: bool) {
        self.platform_reachable
            .store(reachable, atomic::Ordering::Relaxed);
    }

    /// Returns whether the platform answered the last call.
    #[must_use]
    pub fn platform_reachable(&self) -> bool {
        self.platform_reachable.load(atomic::Ordering::Relaxed)
    }

    /// Records that the rules in force come from the store or from a peer. Wakes the receivers of
    /// [`Self::follow`], since tables are not sent to programs before the rules are known.
    pub fn set_rules_known(&self) {
        if !self.rules_known.swap(true, atomic::Ordering::AcqRel) {
            self.tables.send_modify(|_tables| {});
        }
    }

    /// Returns whether the rules were received from the store or a peer since the start.
    #[must_use]
    pub fn rules_known(&self) -> bool {
        self.rules_known.load(atomic::Ordering::Acquire)
    }

    /// Records that this keeper is stopping.
    pub fn set_leaving(&self) {
        self.leaving.store(true, atomic::Ordering::Relaxed);
    }

    /// Returns whether this keeper is stopping.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(atomic::Ordering::Relaxed)
    }

    /// Returns the rule revisions in force on this VM.
    #[must_use]
    pub fn own_revisions(&self) -> membership::RevisionSet {
        let keeper = self.rules().current().revision;
        let programs = self.programs();
        let revision = |name: &str| programs.get(name).map(|report| report.rules_revision);
        membership::RevisionSet {
            keeper,
            entry: revision("persimmon-entry"),
            pool: revision("persimmon-pool"),
        }
    }

    /// Publishes the control tables if they have changed. Returns whether they have.
    pub fn publish(&self) -> bool {
        let vms = self.members().live_vms(self.now());
        let rules = self.rules().current().clone();
        let groups = self.groups().clone();
        let next = control_tables::ControlTables {
            vms,
            groups,
            rules_revision: rules.revision,
            rules_text: rules.text,
        };
        self.tables.send_if_modified(|current| {
            // Two tasks may publish at once; the higher revision wins.
            if **current == next || next.rules_revision < current.rules_revision {
                return false;
            }
            *current = sync::Arc::new(next);
            true
        })
    }

    /// Returns a receiver that sees each published version of the control tables.
    #[must_use]
    pub fn follow(&self) -> tokio::sync::watch::Receiver<sync::Arc<control_tables::ControlTables>> {
        self.tables.subscribe()
    }
}
