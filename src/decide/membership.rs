//! [`MemberTable`]: decides which VMs are alive, from heartbeats that keepers exchange by gossip
//! and from the platform's list of VMs.

use std::cmp;
use std::collections;
use std::time;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::model::{ids, vm_record};

/// Time between two gossip rounds.
pub const GOSSIP_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Peers in the own data centre that are called in each round. With one local and one remote peer,
/// a change reaches all of 8 VMs in two to three rounds. With three local peers, gossip sends twice
/// the bytes and a change arrives only half a round earlier.
pub const LOCAL_PEERS: usize = 1;
/// Peers in other data centres that are called in each round.
pub const REMOTE_PEERS: usize = 1;
/// Heartbeats in one frame. This limits a frame to about 600 bytes in a deployment of any size.
pub const MAX_BEATS: usize = 48;
/// Time without progress of its heartbeat after which a VM counts as dead and owns nothing. It
/// covers four gossip rounds.
pub const DEAD_AFTER: time::Duration = time::Duration::from_millis(1_000);
/// Age of the platform's list up to which a listed VM counts as alive before its first heartbeat.
pub const LIST_MAX_AGE: time::Duration = time::Duration::from_secs(10);
/// Time without progress of its heartbeat after which a VM that is not in the list is removed.
const FORGET_AFTER: time::Duration = time::Duration::from_secs(60);

/// Revisions of the rules in force on a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionSet {
    /// Revision on the keeper.
    pub keeper: ids::RuleRevision,
    /// Revision on the entry, once the entry has reported it.
    pub entry: Option<ids::RuleRevision>,
    /// Revision on the pool, once the pool has reported it.
    pub pool: Option<ids::RuleRevision>,
}

/// Hash of 48 bits over all fields of a pulse except the heartbeat. Two of 3,000 VMs have the same
/// hash with a probability of 1 in 60 million.
pub type PulseKey = [u8; 6];

/// Short form of a pulse: its key and its heartbeat, 9 to 11 bytes on the wire. A receiver that
/// does not know the key asks for the whole pulse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBeat {
    /// Key of the pulse.
    pub key: PulseKey,
    /// Current heartbeat.
    pub heartbeat: u64,
}

/// Heartbeat and state of a VM's keeper, about 35 bytes on the wire. It is sent only when the state
/// has changed or a peer asks for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberPulse {
    /// The VM.
    pub vm: ids::VmId,
    /// Start time of the keeper in milliseconds since the Unix epoch. Pulses of a later start
    /// replace those of an earlier one.
    pub start: u64,
    /// Increases with each gossip round.
    pub heartbeat: u64,
    /// True once the keeper is stopping.
    pub leaving: bool,
    /// Revisions of the rules in force.
    pub revisions: RevisionSet,
    /// Shards whose lease the VM holds: bit n for shard n. All keepers have to learn of a new
    /// holder soon. Otherwise two of them act as the first, each fences a part of the upstreams,
    /// and neither gets a majority.
    pub shards: u64,
}

impl MemberPulse {
    /// Returns the key, a hash of all fields except the heartbeat.
    #[must_use]
    pub fn key(&self) -> PulseKey {
        let mut hash = xxh3::Xxh3Default::new();
        hash.update(self.vm.as_bytes());
        let revisions = [
            Some(self.revisions.keeper),
            self.revisions.entry,
            self.revisions.pool,
        ];
        for number in [self.start, u64::from(self.leaving), self.shards] {
            hash.update(&number.to_le_bytes());
        }
        for revision in revisions {
            // An unknown revision must not hash like revision 0. No revision reaches the largest
            // number.
            hash.update(&revision.unwrap_or(u64::MAX).to_le_bytes());
        }
        let [a, b, c, d, e, f, ..] = hash.digest().to_le_bytes();
        [a, b, c, d, e, f]
    }
}

#[derive(Clone, Debug, Default)]
struct Member {
    record: Option<vm_record::VmRecord>,
    listed: bool,
    pulse: Option<MemberPulse>,
    key: PulseKey,
    updated_at: time::Duration,
    unreachable: bool,
}

/// State of all VMs as one keeper knows it. `now` is the time since the process started.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own: ids::VmId,
    members: collections::BTreeMap<ids::VmId, Member>,
    keys: collections::HashMap<PulseKey, ids::VmId>,
    listed_at: Option<time::Duration>,
}

impl MemberTable {
    /// Creates the table of the keeper on VM `own`.
    #[must_use]
    pub fn new(own: ids::VmId) -> Self {
        Self {
            own,
            members: collections::BTreeMap::new(),
            keys: collections::HashMap::new(),
            listed_at: None,
        }
    }

    /// Applies the platform's list. A VM that is not in the list stays as long as its heartbeat
    /// progresses, since the list lags.
    pub fn apply_list(&mut self, records: Vec<vm_record::VmRecord>, now: time::Duration) {
        self.listed_at = Some(now);
        for member in self.members.values_mut() {
            member.listed = false;
        }
        for record in records {
            let member = self.members.entry(record.vm.clone()).or_default();
            member.listed = true;
            member.record = Some(record);
        }
        let own = &self.own;
        self.members.retain(|vm, member| {
            member.listed || vm == own || now < member.updated_at + FORGET_AFTER
        });
        let members = &self.members;
        self.keys.retain(|_, vm| members.contains_key(vm));
    }

    /// Adds the records that a peer knows, for VMs without one.
    pub fn add_records(&mut self, records: Vec<vm_record::VmRecord>) {
        for record in records {
            let member = self.members.entry(record.vm.clone()).or_default();
            member.record.get_or_insert(record);
        }
    }

    /// Applies a pulse. Returns whether it is newer than the known one.
    pub fn apply_pulse(&mut self, pulse: MemberPulse, now: time::Duration) -> bool {
        let member = self.members.entry(pulse.vm.clone()).or_default();
        let known = member
            .pulse
            .as_ref()
            .map(|known| (known.start, known.heartbeat));
        if known.is_some_and(|known| known >= (pulse.start, pulse.heartbeat)) {
            return false;
        }
        let key = pulse.key();
        if member.pulse.is_none() || member.key != key {
            self.keys.remove(&member.key);
            self.keys.insert(key, pulse.vm.clone());
            member.key = key;
        }
        member.pulse = Some(pulse);
        member.updated_at = now;
        member.unreachable = false;
        true
    }

    /// Applies a heartbeat. Returns false if its key is unknown and the whole pulse is needed.
    pub fn apply_beat(&mut self, beat: MemberBeat, now: time::Duration) -> bool {
        let Some(vm) = self.keys.get(&beat.key) else {
            return false;
        };
        // Only this keeper advances its own heartbeat.
        if *vm == self.own {
            return true;
        }
        let Some(member) = self.members.get_mut(vm) else {
            return false;
        };
        if let Some(pulse) = &mut member.pulse
            && pulse.heartbeat < beat.heartbeat
        {
            pulse.heartbeat = beat.heartbeat;
            member.updated_at = now;
            member.unreachable = false;
        }
        true
    }

    /// Records that an exchange with a VM failed. This matters only for a VM that has sent no
    /// heartbeat yet.
    pub fn mark_unreachable(&mut self, vm: &str) {
        if let Some(member) = self.members.get_mut(vm) {
            member.unreachable = true;
        }
    }

    /// Returns whether a VM may own upstreams and probe groups.
    #[must_use]
    pub fn is_alive(&self, vm: &str, now: time::Duration) -> bool {
        if vm == self.own {
            return true;
        }
        let Some(member) = self.members.get(vm) else {
            return false;
        };
        if member.pulse.is_some() {
            return now < member.updated_at + DEAD_AFTER;
        }
        let fresh = self.listed_at.is_some_and(|at| now < at + LIST_MAX_AGE);
        member.listed && fresh && !member.unreachable
    }

    /// Returns the records of the live VMs in the order of their names. Those that are leaving are
    /// marked.
    #[must_use]
    pub fn live_vms(&self, now: time::Duration) -> Vec<vm_record::VmRecord> {
        self.members
            .iter()
            .filter(|(vm, _)| self.is_alive(vm, now))
            .filter_map(|(_, member)| {
                let mut record = member.record.clone()?;
                record.leaving |= member.pulse.as_ref().is_some_and(|pulse| pulse.leaving);
                Some(record)
            })
            .collect()
    }

    /// Returns all known records.
    #[must_use]
    pub fn records(&self) -> Vec<vm_record::VmRecord> {
        self.members
            .values()
            .filter_map(|member| member.record.clone())
            .collect()
    }

    /// Returns at most `limit` pulses to pass on, the most recently updated first.
    #[must_use]
    pub fn pulses(&self, limit: usize) -> Vec<MemberPulse> {
        let mut known: Vec<_> = self
            .members
            .values()
            .filter_map(|member| Some((member.updated_at, member.pulse.as_ref()?)))
            .collect();
        known.sort_by(|left, right| right.0.cmp(&left.0).then(left.1.vm.cmp(&right.1.vm)));
        known
            .into_iter()
            .take(limit)
            .map(|(_, pulse)| pulse.clone())
            .collect()
    }

    /// Returns at most `limit` heartbeats to pass on, the most recently updated first. Heartbeats
    /// that have not progressed for [`DEAD_AFTER`] are left out.
    #[must_use]
    pub fn beats(&self, limit: usize, now: time::Duration) -> Vec<MemberBeat> {
        self.beats_newer_than(&[], limit, now)
    }

    /// Returns heartbeats as [`Self::beats`] does, but only those newer than the ones in `known`.
    #[must_use]
    pub fn beats_newer_than(
        &self,
        known: &[MemberBeat],
        limit: usize,
        now: time::Duration,
    ) -> Vec<MemberBeat> {
        let known: collections::HashMap<_, _> = known
            .iter()
            .map(|beat| (beat.key, beat.heartbeat))
            .collect();
        let mut recent: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| now < member.updated_at + DEAD_AFTER)
            .filter_map(|(vm, member)| {
                let heartbeat = member.pulse.as_ref()?.heartbeat;
                let beat = MemberBeat {
                    key: member.key,
                    heartbeat,
                };
                Some((cmp::Reverse(member.updated_at), vm, beat))
            })
            .filter(|(_, _, beat)| known.get(&beat.key).is_none_or(|at| *at < beat.heartbeat))
            .collect();
        recent.sort_unstable_by_key(|(updated_at, vm, _)| (*updated_at, *vm));
        recent.truncate(limit);
        recent.into_iter().map(|(_, _, beat)| beat).collect()
    }

    /// Returns the whole pulses with these keys, as far as they are known.
    #[must_use]
    pub fn pulses_of(&self, keys: &[PulseKey]) -> Vec<MemberPulse> {
        keys.iter()
            .filter_map(|key| self.pulse(self.keys.get(key)?).cloned())
            .collect()
    }

    /// Returns the live VM that claims to hold the lease of a shard. A VM that has not noticed the
    /// loss of its lease may claim it too; then the first in the order of names counts.
    #[must_use]
    pub fn holder(&self, shard: u64, now: time::Duration) -> Option<&ids::VmId> {
        let bit = 1_u64.checked_shl(u32::try_from(shard).ok()?)?;
        self.members
            .iter()
            .filter(|(_, member)| {
                member
                    .pulse
                    .as_ref()
                    .is_some_and(|pulse| pulse.shards & bit != 0 && !pulse.leaving)
            })
            .map(|(vm, _)| vm)
            .find(|vm| self.is_alive(vm, now))
    }

    /// Returns the last pulse of a VM.
    #[must_use]
    pub fn pulse(&self, vm: &str) -> Option<&MemberPulse> {
        self.members.get(vm)?.pulse.as_ref()
    }

    /// Returns whether a VM is known by its heartbeat whose addresses are unknown.
    #[must_use]
    pub fn has_missing_records(&self) -> bool {
        self.members.values().any(|member| member.record.is_none())
    }
}
