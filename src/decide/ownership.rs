//! Decides which VM's pool owns an upstream, by rendezvous hashing.

use std::cmp;

use xxhash_rust::xxh3;

use crate::model::{upstream_spec, vm_record};

/// Returns the VMs that may own `upstream`, best first: those in the upstream's data centre in
/// rendezvous order, then all others in rendezvous order. VMs that are leaving are left out.
///
/// All processes compute the same order from the same VMs, so ownership needs no messages. When a
/// VM joins or leaves, only the upstreams of that VM move.
#[must_use]
pub fn rank_owners<'a>(
    upstream: &upstream_spec::UpstreamSpec,
    vms: &'a [vm_record::VmRecord],
) -> Vec<&'a vm_record::VmRecord> {
    let candidates = vms.iter().filter(|vm| !vm.leaving).map(|vm| {
        let remote = vm.data_centre != upstream.data_centre;
        (remote, vm.vm.as_str(), vm)
    });
    rank_candidates(&upstream.upstream, candidates)
}

/// Orders the candidates for `key`: local ones in rendezvous order, then remote ones in rendezvous
/// order. A candidate is a tuple of whether it is remote, its name, and the item to return for it.
#[must_use]
pub fn rank_candidates<'a, T>(
    key: &str,
    candidates: impl Iterator<Item = (bool, &'a str, T)>,
) -> Vec<T> {
    let mut ranked: Vec<_> = candidates.collect();
    ranked.sort_by_cached_key(|(remote, name, _)| (*remote, cmp::Reverse(score(key, name)), *name));
    ranked.into_iter().map(|(_, _, item)| item).collect()
}

/// Returns the rendezvous score of `candidate` for `key`; the highest score wins.
#[must_use]
pub fn score(key: &str, candidate: &str) -> u64 {
    xxh3::xxh3_64_with_seed(candidate.as_bytes(), xxh3::xxh3_64(key.as_bytes()))
}
