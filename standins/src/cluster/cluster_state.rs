//! [`ClusterState`]: state of the simulated instances of one group, the store and the platform.

use std::collections;
use std::time;

use bytes::Bytes;
use persimmontack::model::{ids, log_position, term_start};
use persimmontack::node::workspaces::workspace_binding;
use persimmontack::node::{answers, config, edge, era_revision, member, upstream_entry};
use tokio::sync::Notify;

use crate::cluster::{instance_state, pending_commit, platform_state};

/// State of the instances of one group, the store and the platform.
#[derive(Debug)]
pub struct ClusterState {
    /// Instances by id.
    pub instances: collections::BTreeMap<ids::UpstreamId, instance_state::InstanceState>,
    /// Membership entries in the store, by VM.
    pub members: collections::BTreeMap<ids::VmId, member::MemberEntry>,
    /// Latest configuration.
    pub config: config::NodeConfig,
    /// Changes to the store with their revisions, in order.
    pub events: Vec<(u64, edge::ControlChange)>,
    /// How often the store has been restored from a copy.
    pub era: era_revision::EraNumber,
    /// Latest revision of the store within its era.
    pub revision: u64,
    /// Number of the latest decision on the primary of the group.
    pub decision: edge::RevisionNumber,
    /// Start of the latest term for which the store has it.
    pub term_start: Option<term_start::TermStart>,
    /// Whether the store answers.
    pub store_up: bool,
    /// Whether the store receives calls and answers none. Calls that it received then, or that
    /// waited when it began, are never answered.
    pub store_silent: bool,
    /// How often calls that wait at the store have been lost.
    pub lost_calls: u64,
    /// Number of upcoming watches of a VM that the store refuses, as beyond its rate limit.
    pub refused_watches: collections::BTreeMap<ids::VmId, u32>,
    /// VMs whose history the store no longer has, and whose listings it refuses.
    pub refused_listings: collections::BTreeSet<ids::VmId>,
    /// Delay until a watch reports a change to the store.
    pub watch_delay: time::Duration,
    /// Delay between the claim of a decision number and the answer to the VM.
    pub claim_delay: time::Duration,
    /// Instance whose entry is written right before the next decision number is claimed.
    pub listed_by_claim: Option<ids::UpstreamId>,
    /// State of the platform.
    pub platform: platform_state::PlatformState,
    /// Whether a primary goes on after a promotion of another instance, until it is told to step
    /// down.
    pub old_primary_continues: bool,
    /// Completed promotions: the instance and the decision number.
    pub promotions: Vec<(ids::UpstreamId, edge::RevisionNumber)>,
    /// Number of upcoming promotion calls whose answers are lost.
    pub lost_promotion_answers: u32,
    /// Acknowledged commits: the statement's id and the position.
    pub acknowledged: Vec<(Bytes, log_position::LogPosition)>,
    /// Commits of the current primary that no replica has received.
    pub pending: Vec<pending_commit::PendingCommit>,
    /// Connections that were opened, oldest first.
    pub opened: Vec<(ids::UpstreamId, workspace_binding::WorkspaceBinding)>,
    /// Connections that are open.
    pub open: Vec<(ids::UpstreamId, workspace_binding::WorkspaceBinding)>,
    /// Callers' statements that were sent, with the workspace of the connection.
    pub sent: Vec<(workspace_binding::WorkspaceBinding, String)>,
    /// Connections that each instance allows.
    pub max_connections: usize,
    /// Attempts that an instance refused because it had all of them.
    pub refused_connections: usize,
    /// Connections that are being opened to each instance, and the largest such number so far.
    pub being_opened: collections::BTreeMap<ids::UpstreamId, (usize, usize)>,
    /// Time that an instance takes to open a connection.
    pub connect_time: time::Duration,
}

/// Name of the group.
pub const GROUP: &str = "ledger";

/// What a copy of the store holds.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    revision: u64,
    events: Vec<(u64, edge::ControlChange)>,
    members: collections::BTreeMap<ids::VmId, member::MemberEntry>,
    decision: edge::RevisionNumber,
    term_start: Option<term_start::TermStart>,
}

/// Wakes watches of the store.
pub type StoreSignal = Notify;

impl ClusterState {
    /// Creates a group with the primary `a` and the replicas `b` and `c`, each in a data centre of
    /// its own.
    #[must_use]
    pub fn new(config: config::NodeConfig) -> Self {
        let mut state = Self {
            instances: collections::BTreeMap::new(),
            members: collections::BTreeMap::new(),
            config: config.clone(),
            events: Vec::new(),
            era: 0,
            revision: 1,
            decision: 0,
            term_start: None,
            store_up: true,
            store_silent: false,
            lost_calls: 0,
            refused_watches: collections::BTreeMap::new(),
            refused_listings: collections::BTreeSet::new(),
            watch_delay: time::Duration::ZERO,
            claim_delay: time::Duration::ZERO,
            listed_by_claim: None,
            platform: platform_state::PlatformState::default(),
            old_primary_continues: false,
            promotions: Vec::new(),
            lost_promotion_answers: 0,
            acknowledged: Vec::new(),
            pending: Vec::new(),
            opened: Vec::new(),
            open: Vec::new(),
            sent: Vec::new(),
            max_connections: usize::MAX,
            refused_connections: 0,
            being_opened: collections::BTreeMap::new(),
            connect_time: time::Duration::ZERO,
        };
        state.record(edge::ControlChange::Config(config));
        for (index, name) in ["a", "b", "c"].into_iter().enumerate() {
            state.add_instance(name, index, index == 0);
            state.list(name);
        }
        state
    }

    /// Writes the membership entry of a VM to the store.
    pub fn join(&mut self, vm: &str, entry: &member::MemberEntry) {
        self.members.insert(vm.to_owned(), entry.clone());
        self.record(edge::ControlChange::Member(vm.to_owned(), entry.clone()));
    }

    /// Removes the membership entry of a VM from the store.
    pub fn leave(&mut self, vm: &str) {
        self.members.remove(vm);
        self.record(edge::ControlChange::MemberGone(vm.to_owned()));
    }

    /// Returns the number of a revision in the current era.
    #[must_use]
    pub const fn number(&self, revision: u64) -> edge::RevisionNumber {
        let era = self.era;
        era_revision::EraRevision { era, revision }.number()
    }

    /// Copies the store.
    #[must_use]
    pub fn copy_store(&self) -> StoreCopy {
        StoreCopy {
            revision: self.revision,
            events: self.events.clone(),
            members: self.members.clone(),
            decision: self.decision,
            term_start: self.term_start,
        }
    }

    /// Restores the store from a copy, in a new era. Leases are lost. The configuration and the entries
    /// of the instances are written again.
    pub fn restore_store(&mut self, copy: StoreCopy) {
        self.era += 1;
        self.revision = copy.revision;
        self.events = copy.events;
        self.members = copy.members;
        self.decision = copy.decision;
        self.term_start = copy.term_start;
        self.record(edge::ControlChange::Config(self.config.clone()));
        let listed = self.instances.values().filter(|instance| instance.listed);
        let entries: Vec<_> = listed.map(|instance| instance.entry.clone()).collect();
        for entry in entries {
            self.record(edge::ControlChange::Upstream(entry));
        }
    }

    /// Makes the store lose all calls that wait there, as when their connections die silently.
    pub const fn lose_waiting_calls(&mut self) {
        self.lost_calls += 1;
    }

    /// Begins or ends a time in which the store answers no call.
    pub const fn set_store_silent(&mut self, silent: bool) {
        self.store_silent = silent;
        self.lose_waiting_calls();
    }

    fn add_instance(&mut self, name: &str, index: usize, primary: bool) {
        let port = 9_000 + u16::try_from(index).unwrap_or_default();
        let entry = upstream_entry::UpstreamEntry {
            upstream: name.to_owned(),
            group: GROUP.to_owned(),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], port)),
            data_centre: format!("dc-{name}"),
            slots: 3,
            leaving: false,
            primary,
            incarnation: 1,
            sequence: 1,
        };
        let instance = instance_state::InstanceState {
            entry,
            primary,
            term: 1,
            log: Vec::new(),
            applied: 0,
            fenced: 0,
            up: true,
            receives: true,
            listed: false,
            applies: true,
            lost_statement_answers: 0,
            lost_step_downs: 0,
            busy: 0,
            ran: Vec::new(),
            ran_value_names: Vec::new(),
            ran_workspaces: Vec::new(),
        };
        self.instances.insert(name.to_owned(), instance);
    }

    /// Adds a replica that receives the current primary's log at once and is not listed yet.
    ///
    /// # Panics
    ///
    /// Panics if an instance has this name.
    pub fn add_replica(&mut self, name: &str) {
        assert!(!self.instances.contains_key(name), "{name} exists");
        let terms = self.instances.values().map(|instance| instance.term);
        let term = terms.max().unwrap_or(1);
        self.add_instance(name, self.instances.len(), false);
        self.instance(name).term = term;
        self.replicate();
    }

    /// Writes the entry of an instance to the store.
    pub fn list(&mut self, name: &str) {
        let instance = self.instance(name);
        instance.listed = true;
        let entry = instance.entry.clone();
        self.record(edge::ControlChange::Upstream(entry));
    }

    /// Removes the entry of an instance from the store. The instance keeps running.
    pub fn unlist(&mut self, name: &str) {
        self.instance(name).listed = false;
        self.record(edge::ControlChange::UpstreamGone(name.to_owned()));
    }

    /// Restarts a replica, which lifts its fence and resumes replication.
    pub fn restart(&mut self, name: &str) {
        let replica = self.instance(name);
        replica.up = true;
        replica.fenced = 0;
        replica.receives = true;
        self.replicate();
    }

    /// Records a change to the store under a new revision.
    pub fn record(&mut self, change: edge::ControlChange) {
        self.revision += 1;
        self.events.push((self.revision, change));
    }

    /// Changes the entry of an instance.
    pub fn change_entry(
        &mut self,
        name: &str,
        change: impl FnOnce(&mut upstream_entry::UpstreamEntry),
    ) {
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        change(&mut instance.entry);
        instance.entry.sequence += 1;
        if instance.listed {
            let entry = instance.entry.clone();
            self.record(edge::ControlChange::Upstream(entry));
        }
    }

    /// Returns the instance with this name.
    ///
    /// # Panics
    ///
    /// Panics if no instance has this name.
    pub fn instance(&mut self, name: &str) -> &mut instance_state::InstanceState {
        self.instances.get_mut(name).expect("a known instance")
    }

    /// Returns the name of the primary of the latest term.
    #[must_use]
    pub fn primary(&self) -> Option<&str> {
        self.instances
            .iter()
            .filter(|(_, instance)| instance.primary)
            .max_by_key(|(_, instance)| instance.term)
            .map(|(name, _)| name.as_str())
    }

    /// Appends a commit to the primary's log and sends it to the replicas. It stays pending until a
    /// replica has received it.
    pub fn commit(
        &mut self,
        name: &str,
        id: &Bytes,
        changes: Vec<(Bytes, Bytes)>,
    ) -> log_position::LogPosition {
        let primary = self.instance(name);
        let offset = primary.log.last().map_or(0, |entry| entry.position.offset) + 1;
        let position = log_position::LogPosition::new(primary.term, offset);
        primary.log.push(instance_state::LogEntry {
            position,
            id: id.clone(),
            changes,
        });
        primary.applied = primary.log.len();
        let id = id.clone();
        self.pending
            .push(pending_commit::PendingCommit { id, position });
        self.replicate();
        position
    }

    /// Sends the log of the primary to every replica that can receive. Pending commits are
    /// acknowledged once a replica has received them.
    pub fn replicate(&mut self) {
        let primaries = self.instances.values().filter(|instance| instance.primary);
        let primary = primaries.max_by_key(|instance| instance.term);
        let Some(primary) = primary.filter(|primary| primary.up) else {
            return;
        };
        let log = primary.log.clone();
        let term = primary.term;
        let mut received = false;
        for instance in self.instances.values_mut() {
            if instance.can_receive() {
                instance.receive_log(&log);
                received = true;
            }
            if instance.applies {
                instance.applied = instance.log.len();
            }
        }
        if received {
            let pending = self
                .pending
                .extract_if(.., |commit| commit.position.term == term);
            self.acknowledged
                .extend(pending.map(|commit| (commit.id, commit.position)));
        }
    }

    /// Counts a new connection. Returns whether the instance allows it.
    pub fn open_connection(
        &mut self,
        upstream: &str,
        workspace: &workspace_binding::WorkspaceBinding,
    ) -> bool {
        let open = self.open.iter().filter(|(other, _)| other == upstream);
        if open.count() >= self.max_connections {
            self.refused_connections += 1;
            return false;
        }
        let connection = (upstream.to_owned(), workspace.clone());
        self.opened.push(connection.clone());
        self.open.push(connection);
        true
    }

    /// Counts the end of a connection.
    pub fn close_connection(
        &mut self,
        upstream: &str,
        workspace: &workspace_binding::WorkspaceBinding,
    ) {
        let ended = self
            .open
            .iter()
            .position(|(other, bound)| other == upstream && bound == workspace);
        if let Some(ended) = ended {
            self.open.remove(ended);
        }
    }

    /// Returns the outcome of a commit.
    #[must_use]
    pub fn commit_outcome(
        &self,
        position: log_position::LogPosition,
    ) -> pending_commit::CommitOutcome {
        if self
            .pending
            .iter()
            .any(|commit| commit.position == position)
        {
            pending_commit::CommitOutcome::Pending
        } else if self.acknowledged.iter().any(|(_, at)| *at == position) {
            pending_commit::CommitOutcome::Acknowledged
        } else {
            pending_commit::CommitOutcome::Lost
        }
    }

    /// Returns the latest decision claim in the store.
    #[must_use]
    pub fn latest_claim(&self) -> Option<&edge::ControlChange> {
        let mut latest = self.events.iter().rev().map(|(_, change)| change);
        latest.find(|change| matches!(change, edge::ControlChange::Decision(..)))
    }

    /// Accepts a promotion call whose decision number is not below that of an earlier one. Returns
    /// whether the promotion has yet to take effect, which is false for a repeated call.
    ///
    /// # Errors
    ///
    /// Fails if a call of a later decision arrived before.
    pub fn accept_promotion(
        &mut self,
        name: &str,
        decision: edge::RevisionNumber,
    ) -> Result<bool, edge::PromoteError> {
        let calls = self.platform.accepted.iter().chain(&self.promotions);
        let newest = calls.map(|(_, number)| *number).max().unwrap_or(0);
        if decision < newest {
            self.platform.refused.push((name.to_owned(), decision));
            return Err(edge::PromoteError::Refused("a newer decision".to_owned()));
        }
        let call = (name.to_owned(), decision);
        let repeated = self.platform.accepted.contains(&call);
        if !repeated {
            self.platform.accepted.push(call);
        }
        Ok(!repeated)
    }

    /// Makes an instance the primary of the next term, as the platform does.
    pub fn promote(&mut self, name: &str, decision: edge::RevisionNumber) {
        if self.instance(name).primary {
            return;
        }
        let term = self
            .instances
            .values()
            .map(|instance| instance.term)
            .max()
            .unwrap_or(0)
            + 1;
        // Pending commits are lost, or at least never answered.
        self.pending.clear();
        let log = self.instance(name).log.clone();
        for (other, instance) in &mut self.instances {
            if self.old_primary_continues && instance.primary {
                continue;
            }
            instance.fenced = 0;
            instance.primary = other == name;
            // A deaf replica receives neither the new primary's log nor its term.
            if instance.receives || instance.primary {
                instance.term = term;
            }
            if instance.up && instance.receives {
                instance.log.clone_from(&log);
                instance.applied = instance.applied.min(log.len());
            }
            instance.entry.primary = instance.primary;
            instance.entry.sequence += 1;
        }
        self.promotions.push((name.to_owned(), decision));
        let entries: Vec<_> = self
            .instances
            .values()
            .filter(|instance| instance.up && instance.listed)
            .map(|instance| instance.entry.clone())
            .collect();
        for entry in entries {
            self.record(edge::ControlChange::Upstream(entry));
        }
    }
}

/// Returns an error with an instance's message.
///
/// # Errors
///
/// Always.
pub fn error(code: answers::ErrorCode) -> Result<Bytes, answers::StatementError> {
    Err(answers::StatementError::new(code, "stand-in"))
}
