//! [`GossipTask`]: exchanges heartbeats, tables and rules with other keepers.

use std::collections;
use std::net;
use std::sync;
use std::time;

use rand::seq::IndexedRandom;

use crate::decide::{membership, rule_log};
use crate::dial;
use crate::event;
use crate::link::gossip;
use crate::link::{client, frame_reader, frame_writer, hello, link_error, server, stream_kind};
use crate::model::{ids, vm_record};
use crate::shared_state::keeper_state;

/// Number of peers in the own data centre, and also in the others, that are called at once when the
/// rules change or the keeper leaves. Each peer that learns of new rules calls as many in turn, so
/// a change reaches all of 3,000 keepers within four hops.
const PUSH_PEERS: usize = 8;
/// Timeout of an exchange. A longer one would overlap the next rounds.
const EXCHANGE_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Gossips on behalf of one keeper. Cheap to clone.
#[derive(Clone, Debug)]
pub struct GossipTask {
    state: sync::Arc<keeper_state::KeeperState>,
    dialer: dial::TcpDialer,
    hello: hello::Hello,
    start: u64,
    seeds: sync::Arc<[net::SocketAddr]>,
    links: sync::Arc<sync::Mutex<collections::BTreeMap<net::SocketAddr, client::PeerClient>>>,
    calls_in_progress: sync::Arc<sync::Mutex<collections::BTreeSet<net::SocketAddr>>>,
}

#[derive(Clone, Debug)]
struct Peer {
    vm: Option<ids::VmId>,
    address: net::SocketAddr,
}

impl From<&vm_record::VmRecord> for Peer {
    fn from(record: &vm_record::VmRecord) -> Self {
        Self {
            vm: Some(record.vm.clone()),
            address: record.keeper,
        }
    }
}

impl GossipTask {
    /// Creates the gossip task of a keeper. `seeds` are the peers to call while no other VM
    /// is known.
    #[must_use]
    pub fn new(
        state: sync::Arc<keeper_state::KeeperState>,
        dialer: dial::TcpDialer,
        hello: hello::Hello,
        seeds: &[net::SocketAddr],
    ) -> Self {
        let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let start = since_epoch.map_or(0, |since| since.as_millis());
        Self {
            state,
            dialer: dial::TcpDialer {
                timeout: EXCHANGE_TIMEOUT,
                ..dialer
            },
            hello,
            start: u64::try_from(start).unwrap_or(u64::MAX),
            seeds: seeds.into(),
            links: sync::Arc::default(),
            calls_in_progress: sync::Arc::default(),
        }
    }

    /// Gossips at each tick, and at once when the rules change. Never returns.
    pub async fn run(self) {
        let mut ticks = tokio::time::interval(membership::GOSSIP_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut tables = self.state.follow();
        let mut pushed_revision = 0;
        loop {
            let peers = tokio::select! {
                _ = ticks.tick() => {
                    self.advance_heartbeat();
                    self.state.publish();
                    self.choose_peers(membership::LOCAL_PEERS, membership::REMOTE_PEERS)
                }
                changed = tables.changed() => {
                    let revision = tables.borrow_and_update().rules_revision;
                    if changed.is_err() || revision == pushed_revision {
                        continue;
                    }
                    pushed_revision = revision;
                    self.advance_heartbeat();
                    self.choose_peers(PUSH_PEERS, PUSH_PEERS)
                }
            };
            for peer in peers {
                let task = self.clone();
                tokio::spawn(async move { task.call_peer(peer).await });
            }
        }
    }

    /// Marks this keeper as leaving and tells peers so.
    pub async fn announce_leaving(&self) {
        self.state.set_leaving();
        self.advance_heartbeat();
        let peers = self.choose_peers(PUSH_PEERS, PUSH_PEERS);
        futures::future::join_all(peers.into_iter().map(|peer| self.call_peer(peer))).await;
    }

    /// Advances this keeper's heartbeat and refreshes the rest of its pulse.
    fn advance_heartbeat(&self) {
        let revisions = self.state.own_revisions();
        let leaving = self.state.is_leaving();
        let mut members = self.state.members();
        let heartbeat = members
            .pulse(self.state.own())
            .map_or(0, |pulse| pulse.heartbeat);
        let pulse = membership::MemberPulse {
            vm: self.state.own().to_owned(),
            start: self.start,
            heartbeat: heartbeat + 1,
            leaving,
            revisions,
            shards: self.state.own_shards(),
        };
        members.apply_pulse(pulse, self.state.now());
    }

    fn choose_peers(&self, local: usize, remote: usize) -> Vec<Peer> {
        // Silent VMs are called too, so that a VM is found again once its partition has healed.
        let records = self.state.members().records();
        let own = self.state.own();
        let centre = records
            .iter()
            .find(|record| record.vm == own)
            .map(|record| record.data_centre.clone());
        let (near, far): (Vec<_>, Vec<_>) = records
            .iter()
            .filter(|record| record.vm != own)
            .partition(|record| Some(&record.data_centre) == centre.as_ref());
        let mut random = rand::rng();
        let mut peers: Vec<Peer> = near
            .sample(&mut random, local)
            .chain(far.sample(&mut random, remote))
            .map(|record| Peer::from(*record))
            .collect();
        if peers.is_empty() {
            let seeds = self.seeds.sample(&mut random, local + remote);
            peers.extend(seeds.map(|address| Peer {
                vm: None,
                address: *address,
            }));
        }
        peers
    }

    async fn call_peer(&self, peer: Peer) {
        if !lock(&self.calls_in_progress).insert(peer.address) {
            return;
        }
        let outcome = tokio::time::timeout(EXCHANGE_TIMEOUT, self.exchange(peer.address)).await;
        lock(&self.calls_in_progress).remove(&peer.address);
        let cause = match outcome {
            Ok(Ok(())) => return,
            Ok(Err(error)) => error.to_string(),
            Err(elapsed) => elapsed.to_string(),
        };
        event::debug(
            "gossip_failed",
            &[("peer", &peer.address), ("cause", &cause)],
        );
        lock(&self.links).remove(&peer.address);
        if let Some(vm) = peer.vm {
            self.state.members().mark_unreachable(&vm);
        }
    }

    async fn exchange(&self, address: net::SocketAddr) -> Result<(), link_error::LinkError> {
        let known = lock(&self.links).get(&address).cloned();
        let (link, first) = match known.filter(client::PeerClient::is_open) {
            Some(link) => (link, self.digest()),
            None => {
                let link = client::PeerClient::connect(&self.dialer, address, &self.hello).await?;
                lock(&self.links).insert(address, link.clone());
                (link, self.full_digest())
            }
        };
        let (mut writer, mut reader) = link.open(stream_kind::StreamKind::Gossip).await?;
        writer.send(&first).await?;
        let answer: gossip::GossipFrame = reader.expect().await?;
        let (revision, wants_tables) = (answer.rules_revision, answer.wants_tables);
        let wanted = answer.lacks.clone();
        let lacks = self.apply_frame(answer);
        let rules = self.state.rules().update_for(revision);
        if rules.is_some() || wants_tables || !lacks.is_empty() || !wanted.is_empty() {
            // Bound to a variable first: inside the expression the lock on the members would still
            // be held when `tables` takes it again, which would deadlock.
            let pulses = self.state.members().pulses_of(&wanted);
            let frame = gossip::GossipFrame {
                pulses,
                lacks,
                tables: wants_tables.then(|| self.tables()),
                rules,
                ..gossip::GossipFrame::default()
            };
            writer.send_last(&frame).await?;
        } else {
            writer.finish()?;
        }
        count_exchange("call", &writer);
        // The stream is read to its end, because dropping it earlier would reset it.
        while let Some(more) = reader.next().await? {
            self.apply_frame(more);
        }
        Ok(())
    }

    /// Answers an exchange that a peer has started.
    ///
    /// # Errors
    ///
    /// Fails if the link breaks.
    pub async fn serve(&self, stream: server::PeerStream) -> Result<(), link_error::LinkError> {
        let server::PeerStream {
            mut reader,
            mut writer,
            ..
        } = stream;
        let outcome = self.answer(&mut reader, &mut writer);
        tokio::time::timeout(EXCHANGE_TIMEOUT, outcome)
            .await
            .unwrap_or(Ok(()))
    }

    async fn answer(
        &self,
        reader: &mut frame_reader::FrameReader,
        writer: &mut frame_writer::FrameWriter,
    ) -> Result<(), link_error::LinkError> {
        let request: gossip::GossipFrame = reader.expect().await?;
        let (revision, wants_tables) = (request.rules_revision, request.wants_tables);
        let mut known = request.beats.clone();
        known.extend(request.pulses.iter().map(|pulse| membership::MemberBeat {
            key: pulse.key(),
            heartbeat: pulse.heartbeat,
        }));
        let lacks = self.apply_frame(request);
        // Bound to variables first: inside the expression below, the guard would be held until its
        // end, and the expression locks the rules again.
        let rules = self.state.rules().update_for(revision);
        let tables = wants_tables.then(|| self.tables());
        let frame = gossip::GossipFrame {
            lacks,
            rules,
            tables,
            ..self.digest_newer_than(&known)
        };
        writer.send(&frame).await?;
        if let Some(more) = reader.next::<gossip::GossipFrame>().await? {
            let wanted = more.lacks.clone();
            self.apply_frame(more);
            if !wanted.is_empty() {
                let frame = gossip::GossipFrame {
                    pulses: self.state.members().pulses_of(&wanted),
                    ..gossip::GossipFrame::default()
                };
                writer.send_last(&frame).await?;
                count_exchange("answer", writer);
                return Ok(());
            }
        }
        writer.finish()?;
        count_exchange("answer", writer);
        Ok(())
    }

    fn digest(&self) -> gossip::GossipFrame {
        self.digest_newer_than(&[])
    }

    fn digest_newer_than(&self, known: &[membership::MemberBeat]) -> gossip::GossipFrame {
        let rules_revision = self.state.rules().current().revision;
        let lacks_groups = self.state.groups().is_empty();
        let now = self.state.now();
        let members = self.state.members();
        gossip::GossipFrame {
            beats: members.beats_newer_than(known, membership::MAX_BEATS, now),
            rules_revision,
            wants_tables: lacks_groups || members.has_missing_records(),
            ..gossip::GossipFrame::default()
        }
    }

    /// Returns a digest with complete pulses, for a peer that may know none of them.
    fn full_digest(&self) -> gossip::GossipFrame {
        let pulses = self.state.members().pulses(membership::MAX_BEATS);
        gossip::GossipFrame {
            beats: Vec::new(),
            pulses,
            ..self.digest()
        }
    }

    fn tables(&self) -> gossip::GossipTables {
        gossip::GossipTables {
            vms: self.state.members().records(),
            groups: self.state.groups().clone(),
        }
    }

    /// Applies a frame, and returns the keys of the heartbeats whose pulse is not known here.
    fn apply_frame(&self, frame: gossip::GossipFrame) -> Vec<membership::PulseKey> {
        let now = self.state.now();
        // A heartbeat alone changes the tables only as time passes, and the next tick publishes
        // that. Comparing all tables at each frame would cost more than the rest of the exchange.
        let mut changed = frame.tables.is_some();
        if let Some(tables) = frame.tables {
            self.state.members().add_records(tables.vms);
            let mut groups = self.state.groups();
            if groups.is_empty() {
                *groups = tables.groups;
            }
        }
        let mut members = self.state.members();
        for pulse in frame.pulses {
            if pulse.vm != self.state.own() {
                changed |= members.apply_pulse(pulse, now);
            }
        }
        let lacks = frame
            .beats
            .into_iter()
            .filter(|beat| !members.apply_beat(*beat, now))
            .map(|beat| beat.key)
            .collect();
        drop(members);
        if let Some(update) = frame.rules {
            let (outcome, revision) = {
                let mut rules = self.state.rules();
                (rules.apply_update(update), rules.current().revision)
            };
            changed = true;
            match outcome {
                rule_log::UpdateOutcome::Applied => {
                    event::info(
                        "rules_in_force",
                        &[("revision", &revision), ("from", &"peer")],
                    );
                    self.state.publish();
                    self.state.set_rules_known();
                }
                rule_log::UpdateOutcome::Inapplicable(error) => {
                    event::error("rules_broken", &[("cause", &error)]);
                }
                rule_log::UpdateOutcome::NotNewer | rule_log::UpdateOutcome::Gap => {}
            }
        }
        if changed {
            self.state.publish();
        }
        lacks
    }
}

/// Counts an exchange and the bytes of the frames that this side sent in it.
fn count_exchange(side: &'static str, writer: &frame_writer::FrameWriter) {
    metrics::counter!("persimmontack_gossip_exchanges_total", "side" => side).increment(1);
    metrics::counter!("persimmontack_gossip_bytes_total", "side" => side)
        .increment(writer.sent_bytes());
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
