//! [`TableUpdates`]: applies what the store reports to the tables, whoever passed it on.

use std::collections;
use std::rc;
use std::time;

use tokio::time::Instant;

use crate::model::ids;
use crate::node::{
    claims, decision_outcome, edge, group, limits, monitor, node_log, node_tables, removal_reason,
};

/// Whether claims may be missing between a claim and the latest known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClaimOrder {
    /// It is the next one.
    Next,
    /// It was listed, and others may have been claimed before it.
    AfterGap,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum VanishedEntry {
    Upstream(ids::UpstreamId),
    /// The entry of an upstream is there, but not one that an upstream writes.
    Invalid(ids::UpstreamId),
    Member(ids::VmId),
}

/// Applies what the store reports to the tables, and keeps entries that vanish for a while.
#[derive(Debug)]
pub struct TableUpdates<E: edge::NodeEdge> {
    tables: rc::Rc<node_tables::NodeTables<E>>,
    monitored: collections::BTreeSet<ids::GroupId>,
    /// Upstreams and VMs whose entries have vanished, and when they are to be removed. Entries may
    /// vanish in an outage of the store and reappear after it.
    vanished: collections::BTreeMap<VanishedEntry, Instant>,
}

impl<E: edge::NodeEdge> TableUpdates<E> {
    /// Creates an updater of empty tables.
    #[must_use]
    pub const fn new(tables: rc::Rc<node_tables::NodeTables<E>>) -> Self {
        Self {
            tables,
            monitored: collections::BTreeSet::new(),
            vanished: collections::BTreeMap::new(),
        }
    }

    /// Returns how long it takes until the next vanished entry is to be removed.
    #[must_use]
    pub fn next_removal(&self) -> Option<time::Duration> {
        let now = Instant::now();
        let dues = self.vanished.values();
        dues.map(|due| due.saturating_duration_since(now)).min()
    }

    /// Applies changes, and keeps them for other VMs.
    pub fn extend(&mut self, changes: edge::ControlChanges, began_at: time::Duration) {
        let shared = &self.tables.store_image;
        shared.image.borrow_mut().extend(&changes, began_at);
        for change in changes.changes {
            self.apply(change);
        }
    }

    /// Applies a full listing of the store. Known entries that are missing from it have vanished.
    pub fn replace(&mut self, all: &edge::ControlChanges, began_at: time::Duration) {
        let shared = &self.tables.store_image;
        shared.image.borrow_mut().replace(all, began_at);
        let mut upstreams = collections::BTreeSet::new();
        let mut members = collections::BTreeSet::new();
        for change in &all.changes {
            match change {
                edge::ControlChange::Decision(group, claim) => {
                    self.apply_decision(group, claim, ClaimOrder::AfterGap);
                    continue;
                }
                edge::ControlChange::Upstream(entry) => {
                    upstreams.insert(entry.upstream.clone());
                }
                edge::ControlChange::UpstreamInvalid(upstream) => {
                    upstreams.insert(upstream.clone());
                }
                edge::ControlChange::Member(vm, _entry) => {
                    members.insert(vm.clone());
                }
                edge::ControlChange::Config(_)
                | edge::ControlChange::UpstreamGone(_)
                | edge::ControlChange::MemberGone(_)
                | edge::ControlChange::TermStart(..) => {}
            }
            self.apply(change.clone());
        }
        for pool in self.tables.pools() {
            if !upstreams.contains(pool.upstream()) {
                self.apply(edge::ControlChange::UpstreamGone(pool.upstream().clone()));
            }
        }
        for member in self.tables.members().into_keys() {
            if !members.contains(&member) {
                self.apply(edge::ControlChange::MemberGone(member));
            }
        }
    }

    fn apply(&mut self, change: edge::ControlChange) {
        match change {
            edge::ControlChange::Config(config) => {
                self.tables.apply_config(config);
            }
            edge::ControlChange::Upstream(entry) => {
                self.forget_vanished(&entry.upstream);
                let group = entry.group.clone();
                self.tables.apply_upstream(entry);
                self.ensure_monitor(group);
            }
            edge::ControlChange::UpstreamInvalid(upstream) => {
                self.record_vanished(VanishedEntry::Invalid(upstream));
            }
            edge::ControlChange::UpstreamGone(upstream) => {
                self.vanished
                    .remove(&VanishedEntry::Invalid(upstream.clone()));
                let leaving = self
                    .tables
                    .pool(&upstream)
                    .is_some_and(|pool| pool.read_entry(|entry| entry.leaving));
                if leaving {
                    self.tables
                        .remove_upstream(&upstream, removal_reason::RemovalReason::Left);
                } else {
                    self.record_vanished(VanishedEntry::Upstream(upstream));
                }
            }
            edge::ControlChange::Member(vm, entry) => {
                self.vanished.remove(&VanishedEntry::Member(vm.clone()));
                self.tables.add_member(&vm, entry);
            }
            edge::ControlChange::MemberGone(vm) => {
                if self.tables.is_member(&vm) {
                    let mut vanished = self.tables.vanished_members.borrow_mut();
                    vanished.insert(vm.clone());
                }
                self.record_vanished(VanishedEntry::Member(vm));
            }
            edge::ControlChange::TermStart(group, start) => {
                self.tables.group(&group).record_term_start(start);
            }
            edge::ControlChange::Decision(group, claim) => {
                self.apply_decision(&group, &claim, ClaimOrder::Next);
            }
        }
    }

    /// Records a claim that was read from the store.
    fn apply_decision(&self, group: &str, claim: &edge::DecisionClaim, order: ClaimOrder) {
        let group = self.tables.group(group);
        let is_news = claim.number > group.decisions.latest();
        if is_news {
            node_log::info(
                "decision_seen",
                &[
                    ("group", &group.group),
                    ("decision", &claim.number),
                    ("vm", &claim.vm),
                    ("purpose", &claim.purpose),
                    ("primary", &group.primary().as_deref().unwrap_or("-")),
                    ("term", &group.term()),
                ],
            );
        }
        let now = node_tables::monotonic_now();
        match order {
            ClaimOrder::Next => {
                group
                    .decisions
                    .record_claim(claim.number, &claim.purpose, now);
            }
            ClaimOrder::AfterGap => group.decisions.record_claim_after_gap(
                claim.number,
                &claim.purpose,
                group.term(),
                now,
            ),
        }
        let is_own = is_news && claim.vm == self.tables.vm;
        if is_own && matches!(claim.purpose, edge::ClaimPurpose::Now(_)) {
            self.close_abandoned(&group, claim.number);
        }
        self.tables.changed.notify_waiters();
    }

    /// Closes a decision of this VM that it does not work on: its claim took effect after it was
    /// abandoned, or it is from before a restart. Waits first if a promotion that this VM called
    /// may still take effect.
    fn close_abandoned(&self, group: &rc::Rc<group::GroupState>, number: edge::RevisionNumber) {
        let tables = rc::Rc::clone(&self.tables);
        let group = rc::Rc::clone(group);
        let may_have_called = group.decisions.is_deciding() || !tables.has_complete_list();
        let outcome = if may_have_called {
            decision_outcome::DecisionOutcome::Unknown
        } else {
            decision_outcome::DecisionOutcome::Kept
        };
        tokio::task::spawn_local(async move {
            while group.decisions.is_deciding() {
                tokio::time::sleep(limits::MONITOR_TICK).await;
            }
            if may_have_called {
                tokio::time::sleep(limits::PROMOTION_EFFECT_TIMEOUT).await;
            }
            if group.decisions.own() != number {
                claims::spawn_close(&tables, &group, number, outcome);
            }
        });
    }

    /// Forgets that the entry of an upstream had vanished, since it is there again.
    fn forget_vanished(&mut self, upstream: &ids::UpstreamId) {
        self.vanished
            .remove(&VanishedEntry::Upstream(upstream.clone()));
        self.vanished
            .remove(&VanishedEntry::Invalid(upstream.clone()));
    }

    fn record_vanished(&mut self, what: VanishedEntry) {
        node_log::info("entry_vanished", &[("entry", &format!("{what:?}"))]);
        self.vanished
            .entry(what)
            .or_insert_with(|| Instant::now() + limits::STORE_RETURN_GRACE);
    }

    /// Removes the entries that have been gone for long enough.
    pub fn drop_vanished(&mut self) {
        let now = Instant::now();
        // During an outage of the store, no entry is known to be gone.
        if !self.tables.store_available.get() {
            for due in self.vanished.values_mut() {
                *due = now + limits::STORE_RETURN_GRACE;
            }
            return;
        }
        let tables = &self.tables;
        self.vanished.retain(|what, due| {
            if now < *due {
                return true;
            }
            match what {
                VanishedEntry::Upstream(upstream) => {
                    tables.remove_upstream(upstream, removal_reason::RemovalReason::Vanished);
                }
                VanishedEntry::Invalid(upstream) => {
                    if tables.withdraw_upstream(upstream) {
                        *due = now + limits::STORE_RETURN_GRACE;
                        return true;
                    }
                }
                VanishedEntry::Member(member) => tables.remove_member(member),
            }
            false
        });
    }

    fn ensure_monitor(&mut self, group: ids::GroupId) {
        if self.monitored.contains(&group) {
            return;
        }
        let state = self.tables.group(&group);
        tokio::task::spawn_local(monitor::run(rc::Rc::clone(&self.tables), state));
        self.monitored.insert(group);
    }
}
