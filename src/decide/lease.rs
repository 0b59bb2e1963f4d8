//! Shards of groups: which leases a VM claims, and the order in which keepers act for a group.
//!
//! Safety never depends on a lease, since terms decide which upstream is the primary. A lease only
//! prevents several keepers from acting at once.

use std::cmp;
use std::collections;
use std::time;

use xxhash_rust::xxh3;

use crate::decide::ownership;
use crate::model::{ids, vm_record};

/// Number of shards into which the groups are divided. The store handles several hundred writes per
/// second, too few for one lease per group.
pub const SHARD_COUNT: u64 = 64;
/// Prefix of the store keys of the shard leases.
pub const LEASES_PREFIX: &str = "leases/";
/// Number of keepers that probe a group and may act for it.
pub const RANKED_KEEPERS: usize = 3;

/// Returns the shard of a group.
#[must_use]
pub fn shard_of(group: &str) -> u64 {
    xxh3::xxh3_64(group.as_bytes()) % SHARD_COUNT
}

/// Returns the store key of the lease of a shard.
#[must_use]
pub fn shard_key(shard: u64) -> String {
    format!("{LEASES_PREFIX}shard-{shard:02}")
}

/// Returns the VMs that act for `key`, best first. They are in distinct data centres if there are
/// enough.
#[must_use]
pub fn rank_keepers(key: &str, vms: &[vm_record::VmRecord]) -> Vec<ids::VmId> {
    let mut ranked: Vec<_> = vms
        .iter()
        .filter(|vm| !vm.leaving)
        .map(|vm| (cmp::Reverse(ownership::score(key, &vm.vm)), vm))
        .collect();
    ranked.sort_by(|left, right| (left.0, &left.1.vm).cmp(&(right.0, &right.1.vm)));
    let mut data_centres = collections::BTreeSet::new();
    let (mut first, mut rest) = (Vec::new(), Vec::new());
    for (_, vm) in ranked {
        if data_centres.insert(&vm.data_centre) {
            first.push(vm.vm.clone());
        } else {
            rest.push(vm.vm.clone());
        }
    }
    first.extend(rest);
    first.truncate(RANKED_KEEPERS);
    first
}

/// Returns the keepers of a group in the order in which they act. If the holder of the shard's
/// lease is among them, it is the first.
#[must_use]
pub fn acting_order(
    group: &str,
    vms: &[vm_record::VmRecord],
    holder: Option<&str>,
) -> Vec<ids::VmId> {
    let mut order = rank_keepers(group, vms);
    order.sort_by_key(|vm| Some(vm.as_str()) != holder);
    order
}

/// Decides when a VM claims the lease of a shard.
#[derive(Clone, Debug, Default)]
pub struct ShardClaimer {
    unheld_since: collections::BTreeMap<u64, time::Duration>,
}

impl ShardClaimer {
    /// Returns the shards to claim: those that have been without a holder for `rank_delay` times
    /// the rank of the VM, which is 0 for the first VM in the order of the shard.
    pub fn shards_to_claim(
        &mut self,
        own: &str,
        vms: &[vm_record::VmRecord],
        holders: &collections::BTreeMap<u64, ids::VmId>,
        now: time::Duration,
        rank_delay: time::Duration,
    ) -> Vec<u64> {
        let mut claims = Vec::new();
        for shard in 0..SHARD_COUNT {
            if holders.contains_key(&shard) {
                self.unheld_since.remove(&shard);
                continue;
            }
            let since = *self.unheld_since.entry(shard).or_insert(now);
            let order = rank_keepers(&shard_key(shard), vms);
            let Some(rank) = order.iter().position(|vm| vm == own) else {
                continue;
            };
            let rank = u32::try_from(rank).unwrap_or(u32::MAX);
            if now >= since + rank_delay.saturating_mul(rank) {
                claims.push(shard);
            }
        }
        claims
    }
}
