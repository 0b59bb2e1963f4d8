//! [`ClusterEdge`]: the edges of a node on a [`cluster_state::ClusterState`].

use std::cell;
use std::collections;
use std::io;
use std::net;
use std::rc;
use std::time;

use persimmontack::model::{ids, log_position};
use persimmontack::node::{answers, command, edge, member, upstream_entry};

use crate::cluster::cluster_state;
use crate::cluster::connection_state;
use crate::cluster::peer_network;

/// Time after which a promoted instance leads.
const PROMOTE_TIME: time::Duration = time::Duration::from_millis(50);

/// A shared group of instances with its store.
#[derive(Clone, Debug)]
pub struct ClusterEdge {
    /// The state, for tests to look at and to change.
    pub state: rc::Rc<cell::RefCell<cluster_state::ClusterState>>,
    /// Wakes watches after a change of the store.
    pub changed: rc::Rc<cluster_state::StoreSignal>,
    /// How VMs reach each other.
    pub network: rc::Rc<peer_network::PeerNetwork>,
    started: tokio::time::Instant,
}

impl ClusterEdge {
    /// Shares a group.
    #[must_use]
    pub fn new(state: cluster_state::ClusterState) -> Self {
        Self {
            state: rc::Rc::new(cell::RefCell::new(state)),
            changed: rc::Rc::default(),
            network: rc::Rc::default(),
            started: tokio::time::Instant::now(),
        }
    }

    /// Changes the state and wakes watches.
    pub fn change<T>(&self, change: impl FnOnce(&mut cluster_state::ClusterState) -> T) -> T {
        let result = change(&mut self.state.borrow_mut());
        self.changed.notify_waiters();
        result
    }

    fn check_store(&self) -> Result<(), edge::StoreError> {
        if self.state.borrow().store_up {
            Ok(())
        } else {
            Err(edge::StoreError::Refused(503))
        }
    }
}

/// A connection to an instance of the group.
#[derive(Debug)]
pub struct ClusterLink {
    edge: ClusterEdge,
    connection: connection_state::ConnectionState,
    queued: Vec<command::UpstreamCommand>,
    answers: collections::VecDeque<connection_state::CommandEnd>,
}

impl edge::UpstreamLink for ClusterLink {
    fn queue(&mut self, command: &command::UpstreamCommand) {
        self.queued.push(command.clone());
    }

    async fn flush(&mut self) -> io::Result<()> {
        for command in std::mem::take(&mut self.queued) {
            let end = self
                .edge
                .change(|state| self.connection.run(state, &command));
            self.answers.push_back(end);
        }
        Ok(())
    }

    async fn receive(&mut self) -> io::Result<answers::UpstreamAnswer> {
        tokio::task::yield_now().await;
        match self.answers.pop_front() {
            Some(connection_state::CommandEnd::Answer(answer)) => Ok(answer),
            Some(connection_state::CommandEnd::Silence) | None => std::future::pending().await,
        }
    }

    fn is_stale(&mut self, _owed: bool) -> bool {
        false
    }

    fn read_status(answer: &answers::UpstreamAnswer) -> Option<command::UpstreamStatus> {
        let row = std::str::from_utf8(answer.rows.first()?).ok()?;
        let mut fields = row.split(' ');
        let primary = fields.next()? == "primary";
        let term = fields.next()?.parse().ok()?;
        let (received_term, offset) = fields.next()?.split_once('.')?;
        Some(command::UpstreamStatus {
            primary,
            term,
            received: log_position::LogPosition::new(
                received_term.parse().ok()?,
                offset.parse().ok()?,
            ),
            fenced: fields.next()?.parse().ok()?,
        })
    }
}

impl edge::NodeEdge for ClusterEdge {
    type Upstream = ClusterLink;
    type Lease = ids::VmId;
    type PeerSocket = tokio::io::DuplexStream;

    fn boot_time(&self) -> time::Duration {
        self.started.elapsed()
    }

    async fn connect(
        &self,
        entry: &upstream_entry::UpstreamEntry,
    ) -> Result<Self::Upstream, edge::ConnectError> {
        let up = self
            .state
            .borrow()
            .instances
            .get(&entry.upstream)
            .is_some_and(|instance| instance.up);
        if !up {
            return std::future::pending().await;
        }
        Ok(ClusterLink {
            edge: self.clone(),
            connection: connection_state::ConnectionState::new(entry.upstream.clone()),
            queued: Vec::new(),
            answers: collections::VecDeque::new(),
        })
    }

    async fn connect_peer(&self, address: net::SocketAddr) -> io::Result<Self::PeerSocket> {
        self.network.connect(address)
    }

    async fn read_all(&self) -> Result<edge::ControlChanges, edge::StoreError> {
        self.check_store()?;
        let state = self.state.borrow();
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
                .map(|instance| edge::ControlChange::Upstream(instance.entry.clone())),
        );
        Ok(edge::ControlChanges {
            changes,
            revision: state.revision,
        })
    }

    async fn watch(
        &self,
        revision: edge::RevisionNumber,
        wait: time::Duration,
    ) -> Result<edge::ControlChanges, edge::StoreError> {
        let limit = tokio::time::Instant::now() + wait;
        loop {
            self.check_store()?;
            let changed = self.changed.notified();
            let (changes, latest) = {
                let state = self.state.borrow();
                let changes: Vec<_> = state
                    .events
                    .iter()
                    .filter(|(at, _)| *at > revision)
                    .map(|(_, change)| change.clone())
                    .collect();
                (changes, state.revision)
            };
            let late = tokio::time::Instant::now() >= limit;
            if !changes.is_empty() || late {
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

    async fn join(
        &self,
        node: &str,
        entry: &member::MemberEntry,
        _ttl: time::Duration,
    ) -> Result<Self::Lease, edge::StoreError> {
        self.check_store()?;
        self.change(|state| state.join(node, entry));
        Ok(node.to_owned())
    }

    async fn renew(&self, _lease: &Self::Lease) -> Result<(), edge::StoreError> {
        self.check_store()
    }

    async fn leave(&self, lease: &Self::Lease) -> Result<(), edge::StoreError> {
        self.check_store()?;
        self.change(|state| state.leave(lease));
        Ok(())
    }

    async fn claim_decision(
        &self,
        group: &str,
        node: &str,
        previous: edge::RevisionNumber,
        purpose: edge::ClaimPurpose,
    ) -> Result<edge::RevisionNumber, edge::StoreError> {
        self.check_store()?;
        self.change(|state| {
            if state.decision != previous {
                return Err(edge::StoreError::Conflict);
            }
            let number = state.revision + 1;
            state.decision = number;
            let claim = edge::DecisionClaim {
                number,
                vm: node.to_owned(),
                purpose,
            };
            state.record(edge::ControlChange::Decision(group.to_owned(), claim));
            Ok(number)
        })
    }

    async fn promote(
        &self,
        _group: &str,
        upstream: &str,
        _node: &str,
        decision: edge::RevisionNumber,
    ) -> Result<(), edge::PromoteError> {
        tokio::time::sleep(PROMOTE_TIME).await;
        self.change(|state| {
            let newest = state.promotions.last().map_or(0, |(_, number)| *number);
            if decision < newest {
                return Err(edge::PromoteError::Refused("a newer decision".to_owned()));
            }
            state.promote(upstream, decision);
            if state.lose_promotions > 0 {
                state.lose_promotions -= 1;
                return Err(edge::PromoteError::NoAnswer("lost".to_owned()));
            }
            Ok(())
        })
    }
}
