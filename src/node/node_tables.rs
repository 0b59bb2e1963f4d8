//! [`NodeTables`]: the state that all tasks of a node share.

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time;

use tokio::sync::Notify;

use crate::decide::{ownership, retry_budget, table_followers};
use crate::model::ids;
use crate::node::admission::admission_control;
use crate::node::connections::workspace_hosts;
use crate::node::tables::{store_image, table_origin, table_source};
use crate::node::{
    config, edge, former_members, group, hosts, isolation, limits, member, monitor, node_log,
    peers, pool, rate_limits, removal_reason, removed_upstreams, upstream_entry, watch_schedule,
};

thread_local! {
    static START: tokio::time::Instant = tokio::time::Instant::now();
}

/// Returns the time since the start of the process, by the monotonic clock.
#[must_use]
pub fn monotonic_now() -> time::Duration {
    START.with(tokio::time::Instant::elapsed)
}

/// The state that all tasks of a node share: the configuration, the upstream pools, the groups and
/// the member VMs.
#[derive(Debug)]
pub struct NodeTables<E: edge::NodeEdge> {
    /// Adapters to callers, upstreams, the store and other VMs.
    pub edge: E,
    /// The budget for callers.
    pub admission: rc::Rc<admission_control::AdmissionControl>,
    /// Name of this VM.
    pub vm: ids::VmId,
    /// Entry of this VM in the member list.
    pub own_entry: member::MemberEntry,
    config: cell::RefCell<Option<rc::Rc<config::NodeConfig>>>,
    pools: cell::RefCell<collections::BTreeMap<ids::UpstreamId, rc::Rc<pool::UpstreamPool<E>>>>,
    removed: cell::RefCell<removed_upstreams::RemovedUpstreams>,
    groups: cell::RefCell<collections::BTreeMap<ids::GroupId, rc::Rc<group::GroupState>>>,
    members: cell::RefCell<collections::BTreeMap<ids::VmId, member::MemberEntry>>,
    /// Cached hosts of each group; cleared when the members or the configuration change.
    hosts: cell::RefCell<collections::BTreeMap<ids::GroupId, rc::Rc<Vec<ids::VmId>>>>,
    /// Cached hosts of each workspace; cleared when the members or the configuration change.
    pub workspace_hosts: workspace_hosts::WorkspaceHosts,
    /// Links to other VMs.
    pub peers: peers::PeerTable,
    /// Rate limits of workspaces.
    pub rate_limits: rate_limits::limit_table::LimitTable,
    /// When the last successful renewal of this VM's entry in the store was sent, as a time of
    /// [`edge::NodeEdge::boot_time`].
    pub entry_renewed_at: cell::Cell<Option<time::Duration>>,
    /// Requests an immediate renewal of this VM's entry.
    pub renew: Notify,
    /// Members whose entries have vanished from the store, and that are kept for a while.
    pub vanished_members: cell::RefCell<collections::BTreeSet<ids::VmId>>,
    /// VMs that were members until their entries vanished, which may be because the store does not serve
    /// them or this VM.
    former_members: cell::RefCell<former_members::FormerMembers>,
    /// Number of times that a VM was added to or removed from the members.
    pub member_changes: cell::Cell<u64>,
    /// Whether this VM is cut off from other data centres.
    pub isolation: isolation::IsolationState,
    /// Limits the rate of second attempts.
    pub budget: cell::RefCell<retry_budget::RetryBudget>,
    /// Notified on every change of the tables.
    pub changed: Notify,
    /// Notified when a new configuration is in force. Unlike [`Self::changed`], it does not wake
    /// every session on each answer of the store.
    pub config_changed: Notify,
    /// Whether the last call to the store succeeded.
    pub store_available: cell::Cell<bool>,
    /// When the store was last found to be unavailable, as a time of [`edge::NodeEdge::boot_time`].
    pub store_lost_at: cell::Cell<Option<time::Duration>>,
    /// Whether a call to the store has failed since its last answer, so that the changes in the next one
    /// may be old.
    pub missed_changes: cell::Cell<bool>,
    /// When the store last answered any call of this VM, by the monotonic clock.
    pub store_contact: cell::Cell<Option<time::Duration>>,
    /// Time from the acknowledgement of a configuration until it has to be in force.
    pub config_apply_limit: cell::Cell<time::Duration>,
    /// Time from the report of an upstream that it leaves until it may get no more statements.
    pub drain_limit: cell::Cell<time::Duration>,
    /// Requests an immediate refresh of the tables from the store.
    pub refresh: Notify,
    /// What the store had when it was last heard of, for other VMs.
    pub store_image: store_image::SharedImage,
    /// From whom this VM has its tables.
    pub table_origin: cell::RefCell<table_origin::TableOrigin>,
    /// From whom this VM has the configuration in force.
    pub config_origin: cell::RefCell<table_origin::TableOrigin>,
    /// Notified when the store was restored from a copy.
    pub restored: Notify,
    /// Revision of the store that the tables reflect.
    pub revision: cell::Cell<edge::RevisionNumber>,
    /// Since when the list of upstreams has been followed, by the monotonic clock.
    pub listed_since: cell::Cell<Option<time::Duration>>,
    /// Whether the list has been followed for long enough to contain every upstream.
    pub list_complete: cell::Cell<bool>,
    /// Number of open sessions.
    pub sessions: cell::Cell<u32>,
}

impl<E: edge::NodeEdge> NodeTables<E> {
    /// Creates empty tables.
    #[must_use]
    pub fn new(edge: E, vm: ids::VmId, own_entry: member::MemberEntry) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            admission: edge.admission(),
            edge,
            vm,
            own_entry,
            config: cell::RefCell::default(),
            pools: cell::RefCell::default(),
            removed: cell::RefCell::default(),
            groups: cell::RefCell::default(),
            members: cell::RefCell::default(),
            hosts: cell::RefCell::default(),
            workspace_hosts: workspace_hosts::WorkspaceHosts::default(),
            peers: peers::PeerTable::default(),
            rate_limits: rate_limits::limit_table::LimitTable::default(),
            entry_renewed_at: cell::Cell::default(),
            renew: Notify::new(),
            vanished_members: cell::RefCell::default(),
            former_members: cell::RefCell::default(),
            member_changes: cell::Cell::default(),
            isolation: isolation::IsolationState::default(),
            budget: cell::RefCell::default(),
            changed: Notify::new(),
            config_changed: Notify::new(),
            store_available: cell::Cell::default(),
            store_lost_at: cell::Cell::default(),
            missed_changes: cell::Cell::default(),
            store_contact: cell::Cell::default(),
            config_apply_limit: cell::Cell::new(limits::CONFIG_APPLY_LIMIT),
            drain_limit: cell::Cell::new(limits::DRAIN_LIMIT),
            refresh: Notify::new(),
            store_image: store_image::SharedImage::default(),
            table_origin: cell::RefCell::default(),
            config_origin: cell::RefCell::default(),
            restored: Notify::new(),
            revision: cell::Cell::default(),
            listed_since: cell::Cell::default(),
            list_complete: cell::Cell::default(),
            sessions: cell::Cell::default(),
        })
    }

    /// Applies the bounds of the deployment.
    pub fn set_bounds(&self, config_apply_limit: time::Duration, drain_limit: time::Duration) {
        self.config_apply_limit.set(config_apply_limit);
        self.drain_limit.set(drain_limit);
    }

    /// Returns the schedule of watches for the bounds of the deployment.
    #[must_use]
    pub const fn watch_schedule(&self) -> watch_schedule::WatchSchedule {
        watch_schedule::WatchSchedule::new(self.config_apply_limit.get())
    }

    /// Records that the store has answered a call of this VM.
    pub fn record_store_contact(&self) {
        self.store_contact.set(Some(monotonic_now()));
    }

    /// Returns the configuration in force, if any.
    #[must_use]
    pub fn config(&self) -> Option<rc::Rc<config::NodeConfig>> {
        self.config.borrow().clone()
    }

    /// Returns the time since the call to the store began, of this VM or another one, that last showed
    /// that no newer configuration is acknowledged.
    #[must_use]
    pub fn config_age(&self) -> time::Duration {
        self.isolation.store_answer_age(self.edge.boot_time())
    }

    /// Applies a configuration that came with the tables if it is newer than the one in force. Returns
    /// whether it was applied.
    pub fn apply_config(&self, config: config::NodeConfig) -> bool {
        let origin = self.table_origin.borrow().clone();
        self.apply_config_from(config, origin)
    }

    /// Applies a configuration if it is newer than the one in force, whoever passed it on. Returns
    /// whether it was applied.
    pub fn apply_config_from(
        &self,
        config: config::NodeConfig,
        origin: table_origin::TableOrigin,
    ) -> bool {
        let current = self.config().map_or(0, |current| current.version);
        if self.config.borrow().is_some() && config.version <= current {
            return false;
        }
        node_log::info(
            "config_in_force",
            &[
                ("version", &config.version),
                ("before", &current),
                ("routes", &config.routes.len()),
                ("from", &origin),
                ("hops", &origin.hops),
                ("age_before_ms", &self.config_age().as_millis()),
            ],
        );
        metrics::gauge!("persimmontack_config_version").set(u64_gauge(config.version));
        *self.config.borrow_mut() = Some(rc::Rc::new(config));
        *self.config_origin.borrow_mut() = origin;
        self.hosts.borrow_mut().clear();
        self.workspace_hosts.clear();
        for pool in self.pools() {
            pool.close_unlisted();
        }
        self.changed.notify_waiters();
        self.config_changed.notify_waiters();
        self.store_image.changed.notify_waiters();
        true
    }

    /// Applies the list entry of an upstream.
    pub fn apply_upstream(self: &rc::Rc<Self>, entry: upstream_entry::UpstreamEntry) {
        if self.is_outdated(&entry) {
            node_log::info(
                "upstream_entry_outdated",
                &[
                    ("upstream", &entry.upstream),
                    ("sequence", &entry.sequence),
                    ("leaving", &entry.leaving),
                    ("primary", &entry.primary),
                ],
            );
            return;
        }
        let group = self.group(&entry.group);
        let old = self.pool(&entry.upstream).map(|pool| pool.entry());
        let restarted = old.as_ref().is_some_and(|old| {
            old.incarnation != entry.incarnation
                || old.address != entry.address
                || old.group != entry.group
        });
        if restarted {
            self.remove_upstream(&entry.upstream, removal_reason::RemovalReason::Restarted);
        }
        let known = old.filter(|_| !restarted);
        let same = |known: &upstream_entry::UpstreamEntry| {
            let sequence = known.sequence;
            *known
                == (upstream_entry::UpstreamEntry {
                    sequence,
                    ..entry.clone()
                })
        };
        if known.as_ref().is_some_and(same) {
            if let Some(pool) = self.pool(&entry.upstream) {
                pool.set_entry(entry);
            }
            return;
        }
        node_log::info(
            "upstream_listed",
            &[
                ("upstream", &entry.upstream),
                ("group", &entry.group),
                ("primary", &entry.primary),
                ("leaving", &entry.leaving),
            ],
        );
        let was_primary = known.as_ref().is_some_and(|old| old.primary);
        let became_primary = entry.primary && !was_primary;
        let stepped_down = was_primary && !entry.primary;
        let upstream = entry.upstream.clone();
        match self.pool(&upstream) {
            Some(pool) => {
                pool.set_entry(entry);
                pool.limit_statements(!self.missed_changes.get());
            }
            None => {
                if self.has_complete_list() {
                    group.counted.add_listed(&upstream);
                } else {
                    group.counted.add_early(&upstream);
                }
                let pool = pool::UpstreamPool::new(rc::Rc::downgrade(self), entry);
                pool.limit_statements(self.has_complete_list() && !self.missed_changes.get());
                self.pools.borrow_mut().insert(upstream.clone(), pool);
            }
        }
        if became_primary && self.has_primary(&group) && self.is_host(&group.group) {
            // A primary that was replaced while cut off still has an entry that claims the role.
            monitor::verify_primary(self, &group, &upstream);
        } else if became_primary {
            self.set_primary(&group, Some(&upstream), "listed");
        } else if stepped_down && group.is_primary(&upstream) {
            self.set_primary(&group, None, "resigned");
        }
        self.changed.notify_waiters();
    }

    /// Returns whether an entry is from before the one that is known, as a restored store may have it.
    fn is_outdated(&self, entry: &upstream_entry::UpstreamEntry) -> bool {
        if let Some(pool) = self.pool(&entry.upstream) {
            return entry.age().is_before(pool.entry().age());
        }
        self.removed.borrow().has_later(entry)
    }

    /// Takes an upstream whose entry names none out of use, as one that leaves. While it answers it may
    /// confirm commits, so decisions go on to compare it; one that does not answer is removed. Returns
    /// whether it is still listed.
    pub fn withdraw_upstream(&self, upstream: &str) -> bool {
        let Some(pool) = self.pool(upstream) else {
            return false;
        };
        if pool.is_suspect() || pool.health.get().last_answer().is_none() {
            self.remove_upstream(upstream, removal_reason::RemovalReason::Vanished);
            return false;
        }
        if !pool.read_entry(|entry| entry.leaving) {
            node_log::warn("upstream_withdrawn", &[("upstream", &upstream)]);
            let entry = upstream_entry::UpstreamEntry {
                leaving: true,
                ..pool.entry()
            };
            pool.set_entry(entry);
            pool.limit_statements(true);
            self.changed.notify_waiters();
        }
        true
    }

    /// Removes an upstream and closes its connections.
    pub fn remove_upstream(&self, upstream: &str, reason: removal_reason::RemovalReason) {
        let pool = self.pools.borrow_mut().remove(upstream);
        let Some(pool) = pool else {
            return;
        };
        node_log::info(
            "upstream_removed",
            &[("upstream", &upstream), ("reason", &reason)],
        );
        pool.retire();
        self.removed
            .borrow_mut()
            .record(&pool.entry(), monotonic_now());
        let group = self.group(&pool.read_entry(|entry| entry.group.clone()));
        group.counted.remove_early(upstream);
        if reason == removal_reason::RemovalReason::Vanished {
            group.counted.record_vanished();
        }
        if group.is_primary(upstream) {
            self.set_primary(&group, None, "removed");
        }
        self.changed.notify_waiters();
    }

    /// Sets or clears the primary of a group.
    pub fn set_primary(&self, group: &group::GroupState, primary: Option<&str>, reason: &str) {
        let before = group.primary();
        if !group.set_primary(primary) {
            return;
        }
        node_log::info(
            "primary_changed",
            &[
                ("group", &group.group),
                ("before", &before.as_deref().unwrap_or("-")),
                ("primary", &primary.unwrap_or("-")),
                ("reason", &reason),
            ],
        );
        metrics::counter!("persimmontack_primary_changes_total").increment(1);
        for pool in self.pools_of(&group.group) {
            pool.fence.clear();
            if primary.is_some() {
                group.counted.add_early(pool.upstream());
            }
        }
        if let Some(primary) = primary {
            // The proof that it leads rests on the others.
            group.counted.remove_early(primary);
        }
        // Writes that are queued for the old primary are rerouted to the new one.
        if let Some(pool) = before.and_then(|before| self.pool(&before)) {
            pool.redirect_waiting();
        }
        self.changed.notify_waiters();
    }

    /// Returns the pool of an upstream.
    #[must_use]
    pub fn pool(&self, upstream: &str) -> Option<rc::Rc<pool::UpstreamPool<E>>> {
        self.pools.borrow().get(upstream).cloned()
    }

    /// Returns the pools of all upstreams.
    #[must_use]
    pub fn pools(&self) -> Vec<rc::Rc<pool::UpstreamPool<E>>> {
        self.pools.borrow().values().cloned().collect()
    }

    /// Returns the pools of a group's upstreams.
    #[must_use]
    pub fn pools_of(&self, group: &str) -> Vec<rc::Rc<pool::UpstreamPool<E>>> {
        self.pools
            .borrow()
            .values()
            .filter(|pool| pool.read_entry(|entry| entry.group == group))
            .cloned()
            .collect()
    }

    /// Waits until the tables reflect a call to the store that began at or after `moment`, a time of
    /// [`edge::NodeEdge::boot_time`]. Returns `false` on timeout.
    pub async fn await_list_since(&self, moment: time::Duration) -> bool {
        let shown = async {
            while !self.isolation.has_answer_since(moment) {
                self.refresh.notify_one();
                tokio::select! {
                    () = self.changed.notified() => {}
                    () = tokio::time::sleep(limits::LIST_CHECK_PAUSE) => {}
                }
            }
        };
        tokio::time::timeout(limits::LIST_TIMEOUT, shown)
            .await
            .is_ok()
    }

    /// Returns since when the store has not answered this VM, as a time of
    /// [`edge::NodeEdge::boot_time`], or `None` if it answers.
    #[must_use]
    pub fn store_outage_start(&self) -> Option<time::Duration> {
        let lost_at = self.store_lost_at.get();
        lost_at.filter(|_| !self.store_available.get())
    }

    /// Returns the time from the loss of the store by which every VM that it does not answer has
    /// noticed: a renewal of its entry fails, and after it a question.
    #[must_use]
    pub fn outage_notice_time(&self) -> time::Duration {
        let question = self.config_apply_limit.get() / limits::QUESTION_PARTS;
        limits::MEMBER_RENEWAL + limits::STORE_CALL_TIMEOUT + question
    }

    /// Returns whether the configuration lists a group. An entry of another writer may name one that
    /// does not exist.
    #[must_use]
    pub fn is_configured(&self, group: &str) -> bool {
        self.config()
            .is_some_and(|config| config.groups.contains_key(group))
    }

    /// Returns whether an upstream is listed, or was removed a while ago.
    #[must_use]
    pub fn knows_upstream(&self, upstream: &str) -> bool {
        self.pools.borrow().contains_key(upstream) || self.removed.borrow().contains(upstream)
    }

    /// Records that the store was restored from a copy, and has lost what was written last. Decisions
    /// among it are known only to the VMs that made them or were told.
    pub fn record_restore(&self) {
        metrics::counter!("persimmontack_store_restores_total").increment(1);
        self.isolation.record_restore(self.edge.boot_time());
        for group in self.groups() {
            group.decisions.drop_reserved();
        }
        self.restored.notify_one();
    }

    /// Returns whether the list has been followed for long enough to contain every upstream.
    /// Entries that expire during an outage of the store reappear some time after it.
    #[must_use]
    pub const fn has_complete_list(&self) -> bool {
        self.list_complete.get()
    }

    /// Records an answer of the store; `outage` means that the store may have been unavailable
    /// before it. Only answers prove that the list was followed, since time also passes during an
    /// outage.
    pub fn record_store_answer(&self, outage: bool) {
        if self.has_complete_list() {
            return;
        }
        match self.list_age() {
            Some(age) if !outage => self.list_complete.set(age >= limits::STORE_RETURN_GRACE),
            _ => self.listed_since.set(Some(monotonic_now())),
        }
    }

    /// Returns for how long the list of upstreams has been followed.
    #[must_use]
    pub fn list_age(&self) -> Option<time::Duration> {
        let since = self.listed_since.get()?;
        Some(monotonic_now().saturating_sub(since))
    }

    /// Returns the pool of a group's primary.
    #[must_use]
    pub fn primary_pool(&self, group: &group::GroupState) -> Option<rc::Rc<pool::UpstreamPool<E>>> {
        self.pool(&group.primary()?)
    }

    /// Returns whether a group has a primary that answers.
    #[must_use]
    pub fn has_primary(&self, group: &group::GroupState) -> bool {
        self.primary_pool(group)
            .is_some_and(|pool| !pool.is_suspect())
    }

    /// Returns the state of a group, and creates it if needed.
    pub fn group(&self, group: &str) -> rc::Rc<group::GroupState> {
        if let Some(state) = self.groups.borrow().get(group) {
            return rc::Rc::clone(state);
        }
        let state = rc::Rc::new(group::GroupState::new(group.to_owned()));
        self.groups
            .borrow_mut()
            .insert(group.to_owned(), rc::Rc::clone(&state));
        state
    }

    /// Returns the states of all groups.
    #[must_use]
    pub fn groups(&self) -> Vec<rc::Rc<group::GroupState>> {
        self.groups.borrow().values().cloned().collect()
    }

    /// Returns whether callers can be served: there is a configuration, an upstream answers, and
    /// the VM is not cut off.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let answers = |pool: &rc::Rc<pool::UpstreamPool<E>>| {
            pool.health.get().last_answer().is_some() && !pool.is_suspect()
        };
        if self.config().is_none() || self.isolation.is_isolated() {
            return false;
        }
        // A VM that hosts no group forwards every session to another VM.
        let hosts = self.groups().iter().any(|group| self.is_host(&group.group));
        !hosts || self.pools.borrow().values().any(answers)
    }

    /// Adds or updates a member VM.
    pub fn add_member(&self, member: &str, entry: member::MemberEntry) {
        self.vanished_members.borrow_mut().remove(member);
        self.former_members.borrow_mut().forget(member);
        let before = self.members.borrow_mut().insert(member.to_owned(), entry);
        self.hosts.borrow_mut().clear();
        self.workspace_hosts.clear();
        if before.is_none() {
            self.member_changes.set(self.member_changes.get() + 1);
            node_log::info(
                "member_joined",
                &[("vm", &member), ("members", &self.member_count())],
            );
        }
    }

    /// Removes a member VM.
    pub fn remove_member(&self, member: &str) {
        self.vanished_members.borrow_mut().remove(member);
        let removed = self.members.borrow_mut().remove(member);
        if let Some(entry) = removed {
            let now = monotonic_now();
            let mut former = self.former_members.borrow_mut();
            former.record(member.to_owned(), entry, now);
            self.member_changes.set(self.member_changes.get() + 1);
            self.hosts.borrow_mut().clear();
            self.workspace_hosts.clear();
            node_log::info(
                "member_left",
                &[("vm", &member), ("members", &self.member_count())],
            );
        }
    }

    /// Returns the VMs that this VM may ask for tables, in the order in which it asks them.
    #[must_use]
    pub fn table_followers(&self) -> Vec<ids::VmId> {
        if !self.uses_followers() {
            return Vec::new();
        }
        let members = self.members_with_self();
        let mut order =
            table_source::order_all_followers(&self.vm, &self.own_entry.data_centre, &members);
        if !self.store_available.get() {
            order.extend(self.rank_others(&order));
        }
        order
    }

    /// Returns VMs that may be asked for tables beside `followers` while the store does not serve this VM. It may
    /// turn all followers away too. A VM that the store serves asks the store instead, since VMs that asked
    /// each other would learn nothing new.
    fn rank_others(&self, followers: &[ids::VmId]) -> Vec<ids::VmId> {
        let members = self.members();
        // The entries of former members may be back, and this VM would not know.
        let former = self.former_members.borrow().names(monotonic_now());
        let ranked = [members.into_keys().collect(), former].map(|vms: Vec<_>| {
            let others = vms
                .iter()
                .filter(|vm| **vm != self.vm && !followers.contains(vm));
            let mut ranked = table_followers::rank_followers(&self.vm, others.map(String::as_str));
            ranked.truncate(limits::MAX_ASKED_MEMBERS);
            ranked
        });
        ranked.concat()
    }

    /// Returns whether there are enough VMs for some to watch the store for the others.
    #[must_use]
    pub fn uses_followers(&self) -> bool {
        self.member_count() >= limits::MIN_FOLLOWED_MEMBERS
    }

    /// Returns whether this VM watches the store itself.
    #[must_use]
    pub fn is_table_follower(&self) -> bool {
        if !self.uses_followers() {
            return true;
        }
        let members = self.members_with_self();
        let local = members
            .iter()
            .filter(|(_, entry)| entry.data_centre == self.own_entry.data_centre)
            .map(|(vm, _)| vm.as_str());
        table_followers::choose_followers(local).contains(&self.vm)
    }

    fn members_with_self(&self) -> collections::BTreeMap<ids::VmId, member::MemberEntry> {
        let mut members = self.members();
        members
            .entry(self.vm.clone())
            .or_insert_with(|| self.own_entry.clone());
        members
    }

    /// Returns the number of VMs that watch the store.
    #[must_use]
    pub fn table_follower_count(&self) -> u32 {
        if !self.uses_followers() {
            return self.member_count();
        }
        let members = self.members_with_self();
        let mut counts: collections::BTreeMap<&str, usize> = collections::BTreeMap::new();
        for entry in members.values() {
            *counts.entry(&entry.data_centre).or_default() += 1;
        }
        let count: usize = counts
            .into_values()
            .map(|count| count.min(table_followers::FOLLOWERS_PER_DATA_CENTRE))
            .sum();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the member VMs by name.
    #[must_use]
    pub fn members(&self) -> collections::BTreeMap<ids::VmId, member::MemberEntry> {
        self.members.borrow().clone()
    }

    /// Returns whether the member list has a VM.
    #[must_use]
    pub fn is_member(&self, vm: &str) -> bool {
        self.members.borrow().contains_key(vm)
    }

    /// Returns the address at which other VMs connect to a member, or to one until a while ago.
    #[must_use]
    pub fn member_address(&self, member: &str) -> Option<net::SocketAddr> {
        let address = self.members.borrow().get(member).map(|entry| entry.address);
        address.or_else(|| self.former_members.borrow().address(member))
    }

    /// Returns the number of VMs, this one included.
    #[must_use]
    pub fn member_count(&self) -> u32 {
        let members = self.members.borrow();
        let own = u32::from(!members.contains_key(&self.vm));
        u32::try_from(members.len())
            .unwrap_or(u32::MAX)
            .saturating_add(own)
    }

    /// Returns the VM that holds the token bucket of a workspace.
    #[must_use]
    pub fn limit_holder(&self, workspace: &str) -> ids::VmId {
        let members = self.members.borrow();
        members
            .keys()
            .chain(std::iter::once(&self.vm))
            .max_by_key(|vm| (ownership::score(workspace, vm), *vm))
            .cloned()
            .unwrap_or_else(|| self.vm.clone())
    }

    fn usable_connections(&self, group: &str) -> u32 {
        let max_connections = self
            .config()
            .and_then(|config| config.groups.get(group).copied())
            .map_or(1, |limits| limits.max_connections);
        max_connections.saturating_sub(limits::RESERVED_CONNECTIONS)
    }

    /// Returns the VMs that connect to the upstreams of a group.
    #[must_use]
    pub fn hosts(&self, group: &str) -> rc::Rc<Vec<ids::VmId>> {
        if let Some(hosts) = self.hosts.borrow().get(group) {
            return rc::Rc::clone(hosts);
        }
        let members = self.members_with_self();
        let max_hosts = hosts::count_hosts(self.usable_connections(group));
        let hosts = rc::Rc::new(hosts::choose_hosts(group, &members, max_hosts));
        self.hosts
            .borrow_mut()
            .insert(group.to_owned(), rc::Rc::clone(&hosts));
        hosts
    }

    /// Returns the other hosts of a group in the order in which this VM prefers them.
    #[must_use]
    pub fn ordered_hosts(&self, group: &str) -> Vec<ids::VmId> {
        let hosts = self.hosts(group);
        hosts::order_hosts(
            &hosts,
            &self.members.borrow(),
            &self.vm,
            &self.own_entry.data_centre,
        )
    }

    /// Returns whether this VM connects to the upstreams of a group.
    #[must_use]
    pub fn is_host(&self, group: &str) -> bool {
        self.hosts(group).contains(&self.vm)
    }

    /// Returns how many connections this VM may have to each upstream of a group.
    #[must_use]
    pub fn connection_share(&self, group: &str) -> u32 {
        let hosts = u32::try_from(self.hosts(group).len()).unwrap_or(u32::MAX);
        (self.usable_connections(group) / hosts.max(1)).max(1)
    }

    /// Returns this VM's rank among the hosts of a group; lower ranks start a failover earlier.
    /// Hosts in the data centre of the primary rank last, since a failure of the primary may affect
    /// its whole data centre.
    #[must_use]
    pub fn decision_rank(&self, group: &group::GroupState) -> u32 {
        let primary = self
            .primary_pool(group)
            .map(|pool| pool.read_entry(|entry| entry.data_centre.clone()));
        let order = |member: &str, data_centre: &str| {
            let far = primary.as_deref() != Some(data_centre);
            (far, ownership::score(&group.group, member))
        };
        let own = order(&self.vm, &self.own_entry.data_centre);
        let members = self.members.borrow();
        let before = self
            .hosts(&group.group)
            .iter()
            .filter(|host| **host != self.vm)
            .filter_map(|host| Some(order(host, &members.get(host)?.data_centre)))
            .filter(|other| *other > own)
            .count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }
}

/// Converts a count to a gauge value, saturated at `u32::MAX`.
#[must_use]
pub fn u64_gauge(value: u64) -> f64 {
    // Versions and counts stay far below the 53 bits that a gauge holds exactly.
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
