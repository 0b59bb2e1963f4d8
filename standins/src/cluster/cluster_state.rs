//! [`ClusterState`]: the instances of one group, and the store.

use std::collections;
use std::time;

use bytes::Bytes;
use persimmontack::model::{ids, log_position};
use persimmontack::node::{answers, config, edge, member, upstream_entry};
use tokio::sync::Notify;

use crate::cluster::{hanging_commit, instance_state, platform_state};

/// The instances of one group, and the store.
#[derive(Debug)]
pub struct ClusterState {
    /// Instances by id.
    pub instances: collections::BTreeMap<ids::UpstreamId, instance_state::InstanceState>,
    /// VMs that have an entry.
    pub members: collections::BTreeMap<ids::VmId, member::MemberEntry>,
    /// Latest configuration.
    pub config: config::NodeConfig,
    /// Changes of the store, in order.
    pub events: Vec<(edge::RevisionNumber, edge::ControlChange)>,
    /// Revision of the store.
    pub revision: edge::RevisionNumber,
    /// Latest decision on the primary of the group.
    pub decision: edge::RevisionNumber,
    /// Whether the store answers.
    pub store_up: bool,
    /// Time by which watches of the store lag behind its changes.
    pub watch_delay: time::Duration,
    /// Time from the moment a decision takes its number until the VM is told of it.
    pub claim_delay: time::Duration,
    /// Instance whose entry is written right before the next decision takes its number.
    pub listed_by_claim: Option<ids::UpstreamId>,
    /// How the platform carries out promotions.
    pub platform: platform_state::PlatformState,
    /// Promotions that were carried out: the instance and the decision.
    pub promotions: Vec<(ids::UpstreamId, edge::RevisionNumber)>,
    /// Promotions whose answer is lost, one after the other.
    pub lose_promotions: u32,
    /// Acknowledged commits: the statement's id and the position.
    pub acknowledged: Vec<(Bytes, log_position::LogPosition)>,
    /// Commits of the present primary that no replica has received.
    pub hanging: Vec<hanging_commit::HangingCommit>,
}

/// Name of the group.
pub const GROUP: &str = "ledger";

/// Wakes watches of the store.
pub type StoreSignal = Notify;

impl ClusterState {
    /// Creates a group of three: `a` leads, `b` and `c` follow, each in a data centre of its own.
    #[must_use]
    pub fn new(config: config::NodeConfig) -> Self {
        let mut state = Self {
            instances: collections::BTreeMap::new(),
            members: collections::BTreeMap::new(),
            config: config.clone(),
            events: Vec::new(),
            revision: 1,
            decision: 0,
            store_up: true,
            watch_delay: time::Duration::ZERO,
            claim_delay: time::Duration::ZERO,
            listed_by_claim: None,
            platform: platform_state::PlatformState::default(),
            promotions: Vec::new(),
            lose_promotions: 0,
            acknowledged: Vec::new(),
            hanging: Vec::new(),
        };
        state.record(edge::ControlChange::Config(config));
        for (index, name) in ["a", "b", "c"].into_iter().enumerate() {
            state.add_instance(name, index, index == 0);
            state.list(name);
        }
        state
    }

    /// Writes a VM's entry.
    pub fn join(&mut self, vm: &str, entry: &member::MemberEntry) {
        self.members.insert(vm.to_owned(), entry.clone());
        self.record(edge::ControlChange::Member(vm.to_owned(), entry.clone()));
    }

    /// Removes a VM's entry.
    pub fn leave(&mut self, vm: &str) {
        self.members.remove(vm);
        self.record(edge::ControlChange::MemberGone(vm.to_owned()));
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
            lose_answers: 0,
            busy: 0,
            ran: Vec::new(),
            ran_with: Vec::new(),
        };
        self.instances.insert(name.to_owned(), instance);
    }

    /// Adds a replica that receives from the present primary at once and has no entry yet.
    ///
    /// # Panics
    ///
    /// Panics if there is such an instance.
    pub fn add_replica(&mut self, name: &str) {
        assert!(!self.instances.contains_key(name), "{name} exists");
        let terms = self.instances.values().map(|instance| instance.term);
        let term = terms.max().unwrap_or(1);
        self.add_instance(name, self.instances.len(), false);
        self.instance(name).term = term;
        self.replicate();
    }

    /// Writes the entry of an instance.
    pub fn list(&mut self, name: &str) {
        let instance = self.instance(name);
        instance.listed = true;
        let entry = instance.entry.clone();
        self.record(edge::ControlChange::Upstream(entry));
    }

    /// Removes the entry of an instance, which goes on running.
    pub fn unlist(&mut self, name: &str) {
        self.instance(name).listed = false;
        self.record(edge::ControlChange::UpstreamGone(name.to_owned()));
    }

    /// Restarts a replica, which lifts its fence; it receives from then on.
    pub fn restart(&mut self, name: &str) {
        let replica = self.instance(name);
        replica.up = true;
        replica.fenced = 0;
        replica.receives = true;
        self.replicate();
    }

    /// Records a change of the store.
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
        if instance.listed {
            let entry = instance.entry.clone();
            self.record(edge::ControlChange::Upstream(entry));
        }
    }

    /// Returns an instance, which has to exist.
    ///
    /// # Panics
    ///
    /// Panics if there is no such instance.
    pub fn instance(&mut self, name: &str) -> &mut instance_state::InstanceState {
        self.instances.get_mut(name).expect("a known instance")
    }

    /// Returns the leading instance.
    #[must_use]
    pub fn leader(&self) -> Option<&str> {
        self.instances
            .iter()
            .find(|(_, instance)| instance.primary)
            .map(|(name, _)| name.as_str())
    }

    /// Appends a commit at the primary and sends it to the replicas. It hangs until one of them has
    /// received it.
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
        self.hanging
            .push(hanging_commit::HangingCommit { id, position });
        self.replicate();
        position
    }

    /// Sends the log of the primary to every replica that can receive, which acknowledges the
    /// commits that hang.
    pub fn replicate(&mut self) {
        let leader = self.instances.values().find(|instance| instance.primary);
        let Some(leader) = leader.filter(|leader| leader.up) else {
            return;
        };
        let log = leader.log.clone();
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
            let hanging = self.hanging.drain(..);
            self.acknowledged
                .extend(hanging.map(|commit| (commit.id, commit.position)));
        }
    }

    /// Returns how a commit ended.
    #[must_use]
    pub fn commit_end(&self, position: log_position::LogPosition) -> hanging_commit::CommitEnd {
        if self
            .hanging
            .iter()
            .any(|commit| commit.position == position)
        {
            hanging_commit::CommitEnd::Hanging
        } else if self.acknowledged.iter().any(|(_, at)| *at == position) {
            hanging_commit::CommitEnd::Acknowledged
        } else {
            hanging_commit::CommitEnd::Lost
        }
    }

    /// Returns the latest claim of a decision, which the store keeps.
    #[must_use]
    pub fn latest_claim(&self) -> Option<&edge::ControlChange> {
        let mut latest = self.events.iter().rev().map(|(_, change)| change);
        latest.find(|change| matches!(change, edge::ControlChange::Decision(..)))
    }

    /// Takes a call for a promotion, whose number has to be as high as that of any earlier one.
    /// Returns whether it has yet to take effect.
    ///
    /// # Errors
    ///
    /// Fails if a later decision came first.
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
        // The commits that hang are lost, or at least never answered.
        self.hanging.clear();
        let log = self.instance(name).log.clone();
        for (other, instance) in &mut self.instances {
            instance.fenced = 0;
            instance.term = term;
            instance.primary = other == name;
            if instance.up {
                instance.log.clone_from(&log);
                instance.applied = instance.applied.min(log.len());
            }
            instance.entry.primary = instance.primary;
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

/// Returns an error as an instance words it.
///
/// # Errors
///
/// Always, since that is what it makes.
pub fn error(code: answers::ErrorCode) -> Result<Bytes, answers::StatementError> {
    Err(answers::StatementError::new(code, "stand-in"))
}
