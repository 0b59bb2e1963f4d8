//! Decides which VMs are alive, from heartbeats that keepers pass on and the platform's list.

use std::cmp;
use std::collections;
use std::time;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::model::{ids, vm_record};

/// Time between two rounds of the gossip.
pub const GOSSIP_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Peers of the own data centre called in a round. With one of each kind, news reach all of 8 VMs
/// in two to three rounds; three local ones doubled the bytes and saved half a round.
pub const LOCAL_PEERS: usize = 1;
/// Peers of other data centres called in a round.
pub const REMOTE_PEERS: usize = 1;
/// Signs of life in one frame. It bounds a frame at about 600 bytes as the deployment grows.
pub const MAX_BEATS: usize = 48;
/// Time without progress of its heartbeat after which a VM owns nothing. It covers four ticks of
/// the gossip.
pub const DEAD_AFTER: time::Duration = time::Duration::from_millis(1_000);
/// Age up to which the platform's list vouches for a VM that was never heard.
pub const LIST_MAX_AGE: time::Duration = time::Duration::from_secs(10);
/// Time after which a silent VM that is not in the list is forgotten.
const FORGET_AFTER: time::Duration = time::Duration::from_secs(60);

/// Rule revisions in force on a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionSet {
    /// On its keeper.
    pub keeper: ids::RuleRevision,
    /// On its entry, once heard from.
    pub entry: Option<ids::RuleRevision>,
    /// On its pool, once heard from.
    pub pool: Option<ids::RuleRevision>,
}

/// Names what a pulse says besides its heartbeat: a hash of 48 bits. Two of 3,000 VMs share one
/// with a probability of 1 in 60 million.
pub type PulseKey = [u8; 6];

/// Progress of a heartbeat, 9 to 11 bytes on the wire. The receiver knows the rest of the pulse by
/// its key, or asks for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBeat {
    /// Key of the pulse.
    pub key: PulseKey,
    /// Its heartbeat now.
    pub heartbeat: u64,
}

/// Whole sign of life of a VM's keeper, about 35 bytes on the wire. It is sent only when it says
/// something new, or to a peer that asks for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberPulse {
    /// The VM.
    pub vm: ids::VmId,
    /// Start of its keeper, in milliseconds since the Unix epoch; a later start replaces an
    /// earlier one.
    pub start: u64,
    /// Grows with each tick of the gossip.
    pub heartbeat: u64,
    /// True once the VM's keeper is stopping.
    pub leaving: bool,
    /// Rules in force.
    pub revisions: RevisionSet,
    /// Shards whose lease the VM holds: bit n for shard n. All keepers have to agree on the holder
    /// soon, or two of them act first and split the fences of one term.
    pub shards: u64,
}

impl MemberPulse {
    /// Returns the key of all fields but the heartbeat.
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
            // Unknown and 0 differ, since revisions count far below the largest number.
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
    moved: time::Duration,
    unreachable: bool,
}

/// What one keeper knows about all VMs. `now` is the time since the start of the process.
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

    /// Takes the platform's list. A VM that is missing stays as long as it is heard, since the
    /// list lags.
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
        self.members
            .retain(|vm, member| member.listed || vm == own || now < member.moved + FORGET_AFTER);
        let members = &self.members;
        self.keys.retain(|_, vm| members.contains_key(vm));
    }

    /// Takes the records that a peer knows, for VMs without one.
    pub fn add_records(&mut self, records: Vec<vm_record::VmRecord>) {
        for record in records {
            let member = self.members.entry(record.vm.clone()).or_default();
            member.record.get_or_insert(record);
        }
    }

    /// Takes a pulse and tells whether it is news.
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
        member.moved = now;
        member.unreachable = false;
        true
    }

    /// Takes the progress of a heartbeat. Returns false if the key is not known; the whole pulse is
    /// needed then.
    pub fn apply_beat(&mut self, beat: MemberBeat, now: time::Duration) -> bool {
        let Some(vm) = self.keys.get(&beat.key) else {
            return false;
        };
        // Only the own keeper advances the own heartbeat.
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
            member.moved = now;
            member.unreachable = false;
        }
        true
    }

    /// Notes that an exchange with the VM failed, which matters only for one never heard.
    pub fn mark_unreachable(&mut self, vm: &str) {
        if let Some(member) = self.members.get_mut(vm) {
            member.unreachable = true;
        }
    }

    /// Tells whether a VM may own upstreams and probe groups.
    #[must_use]
    pub fn is_alive(&self, vm: &str, now: time::Duration) -> bool {
        if vm == self.own {
            return true;
        }
        let Some(member) = self.members.get(vm) else {
            return false;
        };
        if member.pulse.is_some() {
            return now < member.moved + DEAD_AFTER;
        }
        let fresh = self.listed_at.is_some_and(|at| now < at + LIST_MAX_AGE);
        member.listed && fresh && !member.unreachable
    }

    /// Returns the records of the live VMs, with those that leave marked, in the order of names.
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

    /// Returns every known record.
    #[must_use]
    pub fn records(&self) -> Vec<vm_record::VmRecord> {
        self.members
            .values()
            .filter_map(|member| member.record.clone())
            .collect()
    }

    /// Returns the pulses to pass on, at most `limit`, those that moved last first.
    #[must_use]
    pub fn pulses(&self, limit: usize) -> Vec<MemberPulse> {
        let mut known: Vec<_> = self
            .members
            .values()
            .filter_map(|member| Some((member.moved, member.pulse.as_ref()?)))
            .collect();
        known.sort_by(|left, right| right.0.cmp(&left.0).then(left.1.vm.cmp(&right.1.vm)));
        known
            .into_iter()
            .take(limit)
            .map(|(_, pulse)| pulse.clone())
            .collect()
    }

    /// Returns the heartbeats to pass on, at most `limit`, those that moved last first. Those of
    /// VMs that have been silent are left out.
    #[must_use]
    pub fn beats(&self, limit: usize, now: time::Duration) -> Vec<MemberBeat> {
        self.beats_newer_than(&[], limit, now)
    }

    /// Returns the heartbeats that are beyond those in `known`, as [`Self::beats`] does.
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
        let mut moved: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| now < member.moved + DEAD_AFTER)
            .filter_map(|(vm, member)| {
                let heartbeat = member.pulse.as_ref()?.heartbeat;
                let beat = MemberBeat {
                    key: member.key,
                    heartbeat,
                };
                Some((cmp::Reverse(member.moved), vm, beat))
            })
            .filter(|(_, _, beat)| known.get(&beat.key).is_none_or(|at| *at < beat.heartbeat))
            .collect();
        moved.sort_unstable_by_key(|(moved, vm, _)| (*moved, *vm));
        moved.truncate(limit);
        moved.into_iter().map(|(_, _, beat)| beat).collect()
    }

    /// Returns the whole pulses of these keys, as far as they are known.
    #[must_use]
    pub fn pulses_of(&self, keys: &[PulseKey]) -> Vec<MemberPulse> {
        keys.iter()
            .filter_map(|key| self.pulse(self.keys.get(key)?).cloned())
            .collect()
    }

    /// Returns the live VM that says it holds the lease of a shard. A VM that lost its lease
    /// without noticing may say so too; the order of names decides.
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

    /// Tells whether a VM is heard whose addresses are unknown.
    #[must_use]
    pub fn has_missing_records(&self) -> bool {
        self.members.values().any(|member| member.record.is_none())
    }
}
