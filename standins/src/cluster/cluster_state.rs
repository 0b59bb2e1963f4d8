//! [`ClusterState`]: the instances of one group, and the store.

use std::collections;

use bytes::Bytes;
use persimmontack::model::{ids, log_position};
use persimmontack::node::{answers, config, edge, member, upstream_entry};
use tokio::sync::Notify;

/// One committed write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Its position.
    pub position: log_position::LogPosition,
    /// Id of the statement that committed it.
    pub id: Bytes,
    /// Items and their new data.
    pub changes: Vec<(Bytes, Bytes)>,
}

/// One instance.
#[derive(Clone, Debug)]
pub struct InstanceState {
    /// What the list says of it.
    pub entry: upstream_entry::UpstreamEntry,
    /// Whether it leads.
    pub primary: bool,
    /// Term that it knows.
    pub term: ids::TermNumber,
    /// What it has received.
    pub log: Vec<LogEntry>,
    /// How many entries reads see.
    pub applied: usize,
    /// Term up to which it is fenced.
    pub fenced: ids::TermNumber,
    /// Whether it takes new connections and answers.
    pub up: bool,
    /// Whether it receives what the primary commits.
    pub receives: bool,
    /// Whether it applies what it has received.
    pub applies: bool,
    /// Answers to the next statements that are lost after they ran.
    pub lose_answers: u32,
    /// Statements that it has no slot for, one after the other.
    pub busy: u32,
    /// Callers' statements that it ran, with their ids and texts.
    pub ran: Vec<(Bytes, String)>,
    /// Names of the values that were set on the connection of each of them.
    pub ran_with: Vec<Vec<Bytes>>,
}

/// The instances of one group, and the store.
#[derive(Debug)]
pub struct ClusterState {
    /// Instances by id.
    pub instances: collections::BTreeMap<ids::UpstreamId, InstanceState>,
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
    /// Promotions that were carried out: the instance and the decision.
    pub promotions: Vec<(ids::UpstreamId, edge::RevisionNumber)>,
    /// Promotions whose answer is lost, one after the other.
    pub lose_promotions: u32,
    /// Acknowledged commits: the statement's id and the position.
    pub acknowledged: Vec<(Bytes, log_position::LogPosition)>,
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
            promotions: Vec::new(),
            lose_promotions: 0,
            acknowledged: Vec::new(),
        };
        state.record(edge::ControlChange::Config(config));
        for (index, name) in ["a", "b", "c"].into_iter().enumerate() {
            state.add_instance(name, index, index == 0);
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
        let instance = InstanceState {
            entry: entry.clone(),
            primary,
            term: 1,
            log: Vec::new(),
            applied: 0,
            fenced: 0,
            up: true,
            receives: true,
            applies: true,
            lose_answers: 0,
            busy: 0,
            ran: Vec::new(),
            ran_with: Vec::new(),
        };
        self.instances.insert(name.to_owned(), instance);
        self.record(edge::ControlChange::Upstream(entry));
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
        let entry = instance.entry.clone();
        self.record(edge::ControlChange::Upstream(entry));
    }

    /// Returns an instance, which has to exist.
    ///
    /// # Panics
    ///
    /// Panics if there is no such instance.
    pub fn instance(&mut self, name: &str) -> &mut InstanceState {
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

    /// Appends a commit at the primary and sends it to the replicas. Returns whether a replica has
    /// received it, which acknowledges it.
    pub fn commit(
        &mut self,
        name: &str,
        id: &Bytes,
        changes: Vec<(Bytes, Bytes)>,
    ) -> Option<log_position::LogPosition> {
        let primary = self.instance(name);
        let offset = primary.log.last().map_or(0, |entry| entry.position.offset) + 1;
        let position = log_position::LogPosition::new(primary.term, offset);
        primary.log.push(LogEntry {
            position,
            id: id.clone(),
            changes,
        });
        primary.applied = primary.log.len();
        let log = primary.log.clone();
        let mut received = false;
        for (other, replica) in &mut self.instances {
            if other != name && replica.up && replica.receives && replica.fenced == 0 {
                replica.log.clone_from(&log);
                received = true;
            }
            if replica.applies {
                replica.applied = replica.log.len();
            }
        }
        if received {
            self.acknowledged.push((id.clone(), position));
        }
        received.then_some(position)
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
            .filter(|instance| instance.up)
            .map(|instance| instance.entry.clone())
            .collect();
        for entry in entries {
            self.record(edge::ControlChange::Upstream(entry));
        }
    }
}

impl InstanceState {
    /// Returns the last position that reads see.
    #[must_use]
    pub fn applied_position(&self) -> log_position::LogPosition {
        self.applied
            .checked_sub(1)
            .and_then(|last| self.log.get(last))
            .map_or(log_position::LogPosition::new(1, 0), |entry| entry.position)
    }

    /// Returns the last position that it has received.
    #[must_use]
    pub fn received_position(&self) -> log_position::LogPosition {
        self.log
            .last()
            .map_or(log_position::LogPosition::new(1, 0), |entry| entry.position)
    }

    /// Returns the data of an item that reads see.
    #[must_use]
    pub fn read(&self, item: &[u8]) -> Bytes {
        self.log
            .iter()
            .take(self.applied)
            .rev()
            .flat_map(|entry| entry.changes.iter().rev())
            .find(|(name, _)| name.as_ref() == item)
            .map_or_else(|| Bytes::from_static(b"none"), |(_, data)| data.clone())
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
