//! Keeps the tables in step with the store, and this VM's entry there alive.

use std::collections;
use std::rc;
use std::time;

use tokio::time::Instant;

use crate::model::ids;
use crate::node::{board, claims, edge, group, journal, limits, monitor, stop};

/// Follows the store as long as the node runs.
pub async fn follow<E: edge::NodeEdge>(board: rc::Rc<board::NodeBoard<E>>) {
    let mut tables = TableKeeper {
        board,
        watched: collections::BTreeSet::new(),
        vanished: collections::BTreeMap::new(),
        answered: None,
    };
    loop {
        let asked = tables.board.edge.boot_time();
        match tables.board.edge.read_all().await {
            Ok(all) => {
                tables.note_store(None);
                tables.replace(&all);
                journal::info("list_read", &[("upstreams", &tables.board.pools().len())]);
                tables.note_revision(all.revision, asked);
                tables.watch_from(all.revision).await;
            }
            Err(error) => {
                tables.note_store(Some(&error));
                tables.pause().await;
            }
        }
    }
}

struct TableKeeper<E: edge::NodeEdge> {
    board: rc::Rc<board::NodeBoard<E>>,
    watched: collections::BTreeSet<ids::GroupId>,
    /// Upstreams and VMs whose entries are gone, and when they are to be dropped. Entries may
    /// vanish in an outage of the store and come back after it.
    vanished: collections::BTreeMap<Vanished, Instant>,
    /// When the store last answered.
    answered: Option<Instant>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Vanished {
    Upstream(ids::UpstreamId),
    Member(ids::VmId),
}

impl<E: edge::NodeEdge> TableKeeper<E> {
    /// Applies changes until the history is lost.
    async fn watch_from(&mut self, mut revision: edge::RevisionNumber) {
        let board = rc::Rc::clone(&self.board);
        let mut wait = self.watch_wait();
        loop {
            let started = Instant::now();
            let asked = board.edge.boot_time();
            let watch = board.edge.watch(revision, wait);
            // A watch that waits may do so on a connection that has gone silent.
            let result = tokio::select! {
                result = watch => result,
                () = board.refresh.notified(), if !wait.is_zero() => {
                    wait = time::Duration::ZERO;
                    continue;
                }
            };
            match result {
                Ok(changes) => {
                    self.note_store(None);
                    revision = changes.revision.max(revision);
                    for change in changes.changes {
                        self.apply(change);
                    }
                    self.note_revision(revision, asked);
                    let interval = limits::WATCH_INTERVAL * self.board.member_count();
                    let interval = interval.min(limits::MAX_WATCH_INTERVAL);
                    tokio::select! {
                        () = tokio::time::sleep_until(started + interval) => {
                            wait = self.watch_wait();
                        }
                        () = board.refresh.notified() => wait = time::Duration::ZERO,
                    }
                }
                Err(edge::StoreError::HistoryGone) => {
                    journal::warn("store_history_gone", &[("revision", &revision)]);
                    return;
                }
                Err(error) => {
                    self.note_store(Some(&error));
                    self.pause().await;
                    wait = self.watch_wait();
                }
            }
            self.drop_vanished();
        }
    }

    /// Notes that the tables show a revision, by a call that began at `asked`.
    fn note_revision(&mut self, revision: edge::RevisionNumber, asked: time::Duration) {
        self.board.revision.set(revision);
        let answered = self.answered.replace(Instant::now());
        let was_away = answered.is_none_or(|answered| answered.elapsed() > limits::CONTACT_GAP);
        self.board.note_list(was_away);
        if self.board.isolation.note_answer(asked) {
            let now = board::steady_now();
            for pool in self.board.pools() {
                pool.update_health(|health| health.forget_silence(now));
            }
        }
        self.board.changed.notify_waiters();
    }

    fn watch_wait(&self) -> time::Duration {
        let now = Instant::now();
        let longest = if self.board.knows_all() {
            limits::WATCH_WAIT
        } else {
            let age = self.board.list_age().unwrap_or_default();
            limits::FIRST_WATCH_WAIT.min(limits::STORE_RETURN.saturating_sub(age))
        };
        self.vanished
            .values()
            .map(|due| due.saturating_duration_since(now))
            .min()
            .map_or(longest, |due| due.min(longest))
    }

    async fn pause(&mut self) {
        tokio::time::sleep(limits::STORE_PAUSE).await;
        self.drop_vanished();
    }

    fn note_store(&self, error: Option<&edge::StoreError>) {
        let up = error.is_none();
        metrics::gauge!("persimmontack_store_up").set(if up { 1.0 } else { 0.0 });
        if self.board.store_up.replace(up) == up {
            return;
        }
        match error {
            None => journal::info("store_regained", &[]),
            Some(error) => journal::warn("store_lost", &[("reason", error)]),
        }
    }

    /// Takes over everything that the store holds; what it does not hold any more has vanished.
    fn replace(&mut self, all: &edge::ControlChanges) {
        let mut upstreams = collections::BTreeSet::new();
        let mut members = collections::BTreeSet::new();
        for change in &all.changes {
            match change {
                edge::ControlChange::Upstream(entry) => {
                    upstreams.insert(entry.upstream.clone());
                }
                edge::ControlChange::Member(vm, _entry) => {
                    members.insert(vm.clone());
                }
                edge::ControlChange::Config(_)
                | edge::ControlChange::UpstreamGone(_)
                | edge::ControlChange::MemberGone(_)
                | edge::ControlChange::Decision(..) => {}
            }
            self.apply(change.clone());
        }
        for pool in self.board.pools() {
            if !upstreams.contains(pool.upstream()) {
                self.apply(edge::ControlChange::UpstreamGone(pool.upstream().clone()));
            }
        }
        for member in self.board.members().into_keys() {
            if !members.contains(&member) {
                self.apply(edge::ControlChange::MemberGone(member));
            }
        }
    }

    fn apply(&mut self, change: edge::ControlChange) {
        match change {
            edge::ControlChange::Config(config) => {
                self.board.apply_config(config);
            }
            edge::ControlChange::Upstream(entry) => {
                self.vanished
                    .remove(&Vanished::Upstream(entry.upstream.clone()));
                let group = entry.group.clone();
                self.board.apply_upstream(entry);
                self.watch_group(group);
            }
            edge::ControlChange::UpstreamGone(upstream) => {
                let leaving = self
                    .board
                    .pool(&upstream)
                    .is_some_and(|pool| pool.read_entry(|entry| entry.leaving));
                if leaving {
                    self.board.remove_upstream(&upstream, "left");
                } else {
                    self.vanish(Vanished::Upstream(upstream));
                }
            }
            edge::ControlChange::Member(vm, entry) => {
                self.vanished.remove(&Vanished::Member(vm.clone()));
                self.board.add_member(&vm, entry);
            }
            edge::ControlChange::MemberGone(vm) => self.vanish(Vanished::Member(vm)),
            edge::ControlChange::Decision(group, claim) => {
                let group = self.board.group(&group);
                if claim.number > group.decision() {
                    journal::info(
                        "decision_seen",
                        &[
                            ("group", &group.group),
                            ("decision", &claim.number),
                            ("vm", &claim.vm),
                            ("purpose", &claim.purpose),
                        ],
                    );
                }
                let is_own = claim.vm == self.board.node && claim.number > group.decision();
                group.record_claim(claim.number, &claim.purpose, board::steady_now());
                if is_own && matches!(claim.purpose, edge::ClaimPurpose::Now(_)) {
                    self.end_abandoned(&group, claim.number);
                }
                self.board.changed.notify_waiters();
            }
        }
    }

    /// Ends a decision that this VM does not work on: its number came after it was given up, or it
    /// is from before a restart. A promotion that this VM has called may still be on its way.
    fn end_abandoned(&self, group: &rc::Rc<group::GroupState>, number: edge::RevisionNumber) {
        let board = rc::Rc::clone(&self.board);
        let group = rc::Rc::clone(group);
        let may_have_called = group.is_deciding() || !board.knows_all();
        tokio::task::spawn_local(async move {
            while group.is_deciding() {
                tokio::time::sleep(limits::MONITOR_TICK).await;
            }
            if may_have_called {
                tokio::time::sleep(limits::LEAD_LIMIT).await;
            }
            if group.worked() != number {
                claims::keep_ending(&board, &group, number);
            }
        });
    }

    fn vanish(&mut self, what: Vanished) {
        journal::info("entry_vanished", &[("entry", &format!("{what:?}"))]);
        self.vanished
            .entry(what)
            .or_insert_with(|| Instant::now() + limits::STORE_RETURN);
    }

    fn drop_vanished(&mut self) {
        let now = Instant::now();
        // While the store is away, nothing is known to be gone.
        if !self.board.store_up.get() {
            for due in self.vanished.values_mut() {
                *due = now + limits::STORE_RETURN;
            }
            return;
        }
        let board = &self.board;
        self.vanished.retain(|what, due| {
            if now < *due {
                return true;
            }
            match what {
                Vanished::Upstream(upstream) => board.remove_upstream(upstream, "vanished"),
                Vanished::Member(member) => board.remove_member(member),
            }
            false
        });
    }

    fn watch_group(&mut self, group: ids::GroupId) {
        if self.watched.contains(&group) {
            return;
        }
        let state = self.board.group(&group);
        tokio::task::spawn_local(monitor::run(rc::Rc::clone(&self.board), state));
        self.watched.insert(group);
    }
}

async fn join<E: edge::NodeEdge>(
    board: &board::NodeBoard<E>,
) -> Result<E::Lease, edge::StoreError> {
    let ttl = limits::MEMBER_TTL;
    board.edge.join(&board.node, &board.own, ttl).await
}

/// Keeps this VM's entry in the store alive until the node stops. The others may use its share of
/// connections from then on.
pub async fn stay_member<E: edge::NodeEdge>(
    board: rc::Rc<board::NodeBoard<E>>,
    stop: rc::Rc<stop::StopState>,
) {
    let mut lease: Option<E::Lease> = None;
    loop {
        let result = match &lease {
            Some(lease) => board.edge.renew(lease).await,
            None => match join(&board).await {
                Ok(joined) => {
                    journal::info("membership_joined", &[("vm", &board.node)]);
                    lease = Some(joined);
                    Ok(())
                }
                Err(error) => Err(error),
            },
        };
        if let Err(error) = result {
            journal::warn("membership_failed", &[("reason", &error)]);
            if error == edge::StoreError::LeaseEnded {
                lease = None;
                tokio::time::sleep(limits::STORE_PAUSE).await;
                continue;
            }
        }
        tokio::select! {
            () = tokio::time::sleep(limits::MEMBER_RENEWAL) => {}
            _started = stop.wait_for_stop() => break,
        }
    }
    if let Some(lease) = lease
        && let Err(error) = board.edge.leave(&lease).await
    {
        journal::warn("membership_not_ended", &[("reason", &error)]);
    }
}
