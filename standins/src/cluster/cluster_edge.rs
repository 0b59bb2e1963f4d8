//! [`ClusterEdge`]: implements a node's external interfaces on a [`cluster_state::ClusterState`].

use std::cell;
use std::io;
use std::net;
use std::rc;
use std::time;

use persimmontack::model::ids;
use persimmontack::node::workspaces::workspace_binding;
use persimmontack::node::{edge, era_revision, member, upstream_entry, watch_schedule};

use crate::cluster::{cluster_link, cluster_state, cut_table, peer_network, platform_state};

/// Time that the platform takes to answer a call.
const PROMOTE_TIME: time::Duration = time::Duration::from_millis(50);
/// Timeout of calls to an unreachable store.
const STORE_TIMEOUT: time::Duration = time::Duration::from_millis(1_200);

/// Lease of a VM's entry.
#[derive(Clone, Debug)]
pub struct ClusterLease {
    vm: ids::VmId,
    era: era_revision::EraNumber,
}

/// Handle of one VM to the shared simulated cluster.
#[derive(Clone, Debug)]
pub struct ClusterEdge {
    /// State of the cluster, which tests inspect and change.
    pub state: rc::Rc<cell::RefCell<cluster_state::ClusterState>>,
    /// Wakes watches after a change to the store.
    pub changed: rc::Rc<cluster_state::StoreSignal>,
    /// Network between the VMs.
    pub network: rc::Rc<peer_network::PeerNetwork>,
    /// VM that uses this handle. The test's own handle has an empty name and is never cut off.
    vm: ids::VmId,
    started: tokio::time::Instant,
    /// Total time for which the VM was suspended; the clock of the runtime does not count it.
    suspended: rc::Rc<cell::Cell<time::Duration>>,
}

impl ClusterEdge {
    /// Creates the test's own handle to a cluster.
    #[must_use]
    pub fn new(state: cluster_state::ClusterState) -> Self {
        Self {
            state: rc::Rc::new(cell::RefCell::new(state)),
            changed: rc::Rc::default(),
            network: rc::Rc::default(),
            vm: ids::VmId::new(),
            started: tokio::time::Instant::now(),
            suspended: rc::Rc::default(),
        }
    }

    /// Returns a handle for a VM, which can be cut off.
    #[must_use]
    pub fn for_vm(&self, vm: &str) -> Self {
        Self {
            vm: vm.to_owned(),
            suspended: rc::Rc::default(),
            ..self.clone()
        }
    }

    /// Advances the VM's boot time by `length`, as a suspension of the VM does.
    pub fn suspend(&self, length: time::Duration) {
        self.suspended.set(self.suspended.get() + length);
    }

    /// Changes the state, replicates the primary's log, and wakes the watches and pending commits.
    pub fn change<T>(&self, change: impl FnOnce(&mut cluster_state::ClusterState) -> T) -> T {
        let mut state = self.state.borrow_mut();
        let result = change(&mut state);
        state.replicate();
        drop(state);
        self.changed.notify_waiters();
        result
    }

    /// Tells whether the VM can reach an instance.
    #[must_use]
    pub fn reaches(&self, upstream: &str) -> bool {
        !self.is_cut(&cut_table::CutTarget::Instance(upstream.to_owned()))
    }

    fn is_cut(&self, target: &cut_table::CutTarget) -> bool {
        self.network.cuts.is_cut(&self.vm, target)
    }

    async fn check_store(&self) -> Result<(), edge::StoreError> {
        if self.is_cut(&cut_table::CutTarget::Store) {
            tokio::time::sleep(STORE_TIMEOUT).await;
            return Err(edge::StoreError::NoAnswer("cut off".to_owned()));
        }
        if self.state.borrow().store_up {
            Ok(())
        } else {
            Err(edge::StoreError::Refused(503))
        }
    }

    /// Waits until the store loses the calls that wait there. Returns at once while it is silent.
    async fn lose_call(&self) {
        let lost_before = self.state.borrow().lost_calls;
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state.borrow();
                if state.store_silent || state.lost_calls != lost_before {
                    return;
                }
            }
            changed.await;
        }
    }

    /// Makes a call to the store, which may get lost.
    async fn call_store<T>(
        &self,
        limit: time::Duration,
        work: impl Future<Output = Result<T, edge::StoreError>>,
    ) -> Result<T, edge::StoreError> {
        let answered = async {
            tokio::select! {
                biased;
                () = self.lose_call() => std::future::pending().await,
                result = work => result,
            }
        };
        tokio::time::timeout(limit, answered)
            .await
            .unwrap_or_else(|_elapsed| Err(edge::StoreError::NoAnswer("timeout".to_owned())))
    }

    /// Returns whether the store refuses the next watch of this VM.
    fn refuses_watch(&self) -> bool {
        let mut state = self.state.borrow_mut();
        let Some(left) = state.refused_watches.get_mut(&self.vm) else {
            return false;
        };
        let refuses = *left > 0;
        *left = left.saturating_sub(1);
        refuses
    }

    /// Waits up to `wait` for changes of the store after `revision`.
    async fn await_changes(
        &self,
        revision: edge::RevisionNumber,
        wait: time::Duration,
    ) -> Result<edge::ControlChanges, edge::StoreError> {
        let revision = era_revision::EraRevision::from_number(revision);
        let limit = tokio::time::Instant::now() + wait;
        self.check_store().await?;
        if self.refuses_watch() {
            return Err(edge::StoreError::Refused(429));
        }
        if self.state.borrow().refused_listings.contains(&self.vm) {
            return Err(edge::StoreError::HistoryGone);
        }
        loop {
            let changed = self.changed.notified();
            if self.is_cut(&cut_table::CutTarget::Store) {
                // A cut is silent, so a watch that already waits notices it only by its timeout.
                tokio::time::sleep_until(limit + STORE_TIMEOUT).await;
            }
            self.check_store().await?;
            let (changes, latest, delay) = {
                let state = self.state.borrow();
                if state.era != revision.era {
                    return Err(edge::StoreError::Restored);
                }
                let changes: Vec<_> = state
                    .events
                    .iter()
                    .filter(|(at, _)| *at > revision.revision)
                    .map(|(_, change)| change.clone())
                    .collect();
                let latest = state.number(state.revision);
                (changes, latest, state.watch_delay)
            };
            let late = tokio::time::Instant::now() >= limit;
            if !changes.is_empty() || late {
                tokio::time::sleep(delay).await;
                return Ok(edge::ControlChanges {
                    changes,
                    revision: latest,
                });
            }
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep_until(limit) => {}
            }
        }
    }

    /// Accepts a promotion call, which takes effect after the configured delay.
    fn accept(
        &self,
        upstream: &str,
        decision: edge::RevisionNumber,
    ) -> Result<(), edge::PromoteError> {
        let pending = self.change(|state| state.accept_promotion(upstream, decision))?;
        if !pending {
            return Ok(());
        }
        let delay = self.state.borrow().platform.promotion_delay;
        if delay.is_zero() {
            self.change(|state| state.promote(upstream, decision));
            return Ok(());
        }
        let edge = self.clone();
        let upstream = upstream.to_owned();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(delay).await;
            edge.change(|state| state.promote(&upstream, decision));
        });
        Ok(())
    }

    /// Accepts a promotion call after a delay, when its caller no longer waits for the answer.
    fn accept_late(&self, upstream: &str, decision: edge::RevisionNumber, delay: time::Duration) {
        let edge = self.clone();
        let upstream = upstream.to_owned();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(delay).await;
            // The decision number is checked only now, and a refusal is not reported.
            drop(edge.accept(&upstream, decision));
        });
    }
}

impl edge::NodeEdge for ClusterEdge {
    type Upstream = cluster_link::ClusterLink;
    type Lease = ClusterLease;
    type PeerSocket = tokio::io::DuplexStream;

    fn boot_time(&self) -> time::Duration {
        self.started.elapsed() + self.suspended.get()
    }

    async fn connect(
        &self,
        entry: &upstream_entry::UpstreamEntry,
        workspace: &workspace_binding::WorkspaceBinding,
    ) -> Result<Self::Upstream, edge::ConnectError> {
        let up = self
            .state
            .borrow()
            .instances
            .get(&entry.upstream)
            .is_some_and(|instance| instance.up);
        if !up || !self.reaches(&entry.upstream) {
            return std::future::pending().await;
        }
        let connect_time = self.state.borrow().connect_time;
        if !connect_time.is_zero() {
            let count = |change: &dyn Fn(usize) -> usize| {
                let mut state = self.state.borrow_mut();
                let counts = state
                    .being_opened
                    .entry(entry.upstream.clone())
                    .or_default();
                counts.0 = change(counts.0);
                counts.1 = counts.1.max(counts.0);
            };
            count(&|opening| opening + 1);
            tokio::time::sleep(connect_time).await;
            count(&|opening| opening.saturating_sub(1));
        }
        let mut state = self.state.borrow_mut();
        if !state.open_connection(&entry.upstream, workspace) {
            return Err(edge::ConnectError::Full);
        }
        drop(state);
        Ok(cluster_link::ClusterLink::new(
            self.clone(),
            entry.upstream.clone(),
            workspace.clone(),
        ))
    }

    async fn connect_peer(&self, address: net::SocketAddr) -> io::Result<Self::PeerSocket> {
        self.network.connect_from(&self.vm, address).await
    }

    async fn read_all(&self) -> Result<edge::ControlChanges, edge::StoreError> {
        self.call_store(STORE_TIMEOUT, self.check_store()).await?;
        let state = self.state.borrow();
        if state.refused_listings.contains(&self.vm) {
            return Err(edge::StoreError::Refused(429));
        }
        let mut changes = vec![edge::ControlChange::Config(state.config.clone())];
        changes.extend(
            state
                .members
                .iter()
                .map(|(vm, entry)| edge::ControlChange::Member(vm.clone(), entry.clone())),
        );
        changes.extend(
            state
                .instances
                .values()
                .filter(|instance| instance.listed)
                .map(|instance| edge::ControlChange::Upstream(instance.entry.clone())),
        );
        changes.extend(state.latest_claim().cloned());
        let group = || cluster_state::GROUP.to_owned();
        changes.extend(
            state
                .term_start
                .map(|start| edge::ControlChange::TermStart(group(), start)),
        );
        Ok(edge::ControlChanges {
            changes,
            revision: state.number(state.revision),
        })
    }

    async fn watch(
        &self,
        revision: edge::RevisionNumber,
        times: watch_schedule::WatchTimes,
    ) -> Result<edge::ControlChanges, edge::StoreError> {
        let changes = self.await_changes(revision, times.wait);
        self.call_store(times.limit, changes).await
    }

    async fn join(
        &self,
        node: &str,
        entry: &member::MemberEntry,
        _ttl: time::Duration,
    ) -> Result<Self::Lease, edge::StoreError> {
        self.call_store(STORE_TIMEOUT, self.check_store()).await?;
        self.change(|state| state.join(node, entry));
        Ok(ClusterLease {
            vm: node.to_owned(),
            era: self.state.borrow().era,
        })
    }

    async fn renew(&self, lease: &Self::Lease) -> Result<(), edge::StoreError> {
        self.call_store(STORE_TIMEOUT, self.check_store()).await?;
        if self.state.borrow().era != lease.era {
            return Err(edge::StoreError::LeaseEnded);
        }
        Ok(())
    }

    async fn leave(&self, lease: &Self::Lease) -> Result<(), edge::StoreError> {
        self.call_store(STORE_TIMEOUT, self.check_store()).await?;
        self.change(|state| state.leave(&lease.vm));
        Ok(())
    }

    async fn claim_decision(
        &self,
        group: &str,
        node: &str,
        previous: edge::RevisionNumber,
        purpose: &edge::ClaimPurpose,
    ) -> Result<edge::RevisionNumber, edge::StoreError> {
        self.call_store(STORE_TIMEOUT, self.check_store()).await?;
        let number = self.change(|state| {
            // After a restore, the store has an earlier decision than the latest one.
            let lost = state.decision < previous && state.era > 0;
            if state.decision != previous && !lost {
                return Err(edge::StoreError::Conflict);
            }
            if matches!(purpose, edge::ClaimPurpose::Now(_))
                && let Some(name) = state.listed_by_claim.take()
            {
                state.list(&name);
            }
            let number = state.number(state.revision + 1);
            state.decision = number;
            let (stored, start) = match purpose {
                edge::ClaimPurpose::Promoted(start) => (edge::ClaimPurpose::Ended, Some(*start)),
                edge::ClaimPurpose::Kept(start) => (edge::ClaimPurpose::Kept(None), *start),
                purpose => (purpose.clone(), None),
            };
            if let Some(start) = start {
                state.term_start = Some(start);
                let change = edge::ControlChange::TermStart(group.to_owned(), start);
                state.events.push((state.revision + 1, change));
            }
            let claim = edge::DecisionClaim {
                number,
                vm: node.to_owned(),
                purpose: stored,
            };
            state.record(edge::ControlChange::Decision(group.to_owned(), claim));
            Ok(number)
        })?;
        let delay = self.state.borrow().claim_delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        Ok(number)
    }

    async fn promote(
        &self,
        _group: &str,
        upstream: &str,
        node: &str,
        decision: edge::RevisionNumber,
    ) -> Result<(), edge::PromoteError> {
        self.state
            .borrow_mut()
            .platform
            .callers
            .push(node.to_owned());
        if self.is_cut(&cut_table::CutTarget::Platform) {
            return std::future::pending().await;
        }
        let mode = self.state.borrow().platform.mode;
        if mode == platform_state::PlatformMode::Silent {
            return std::future::pending().await;
        }
        tokio::time::sleep(PROMOTE_TIME).await;
        if mode == platform_state::PlatformMode::Refuses {
            return Err(edge::PromoteError::Busy(503));
        }
        let (lost, delay) = {
            let state = self.state.borrow();
            (
                state.lost_promotion_answers > 0,
                state.platform.lost_call_delay,
            )
        };
        if lost && !delay.is_zero() {
            self.accept_late(upstream, decision, delay);
        } else {
            self.accept(upstream, decision)?;
        }
        if lost {
            self.change(|state| state.lost_promotion_answers -= 1);
            return Err(edge::PromoteError::NoAnswer("lost".to_owned()));
        }
        Ok(())
    }
}
