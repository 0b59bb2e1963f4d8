//! Chooses the VMs that connect to the upstreams of a group (its hosts), as pure functions of the
//! members.

use std::collections;

use crate::decide::ownership;
use crate::model::ids;
use crate::node::{limits, member};

/// Returns how many hosts share the `connections` to each upstream of a group.
#[must_use]
pub fn count_hosts(connections: u32) -> usize {
    let wanted = connections / limits::HOST_CONNECTIONS;
    let min_hosts = limits::MIN_HOSTS.min(connections / limits::MIN_HOST_CONNECTIONS);
    usize::try_from(wanted.max(min_hosts).max(1)).unwrap_or(usize::MAX)
}

/// Returns at most `max_hosts` hosts of a group, spread over the data centres.
///
/// The choice is deterministic, so all VMs agree on it, and a change of the members moves few
/// groups (rendezvous hashing).
#[must_use]
pub fn choose_hosts(
    group: &str,
    members: &collections::BTreeMap<ids::VmId, member::MemberEntry>,
    max_hosts: usize,
) -> Vec<ids::VmId> {
    let candidates = members
        .iter()
        .map(|(vm, entry)| (false, vm.as_str(), (vm, entry)));
    let mut counts: collections::BTreeMap<&str, usize> = collections::BTreeMap::new();
    let mut ranked: Vec<_> = ownership::rank_candidates(group, candidates)
        .into_iter()
        .map(|(vm, entry)| {
            let count = counts.entry(&entry.data_centre).or_default();
            *count += 1;
            (*count, vm)
        })
        .collect();
    // A stable sort keeps VMs of the same rank within their data centres in rendezvous order.
    ranked.sort_by_key(|(count, _)| *count);
    ranked
        .into_iter()
        .take(max_hosts)
        .map(|(_, vm)| vm.clone())
        .collect()
}

/// Orders the hosts of a group for one VM: those in its own data centre first, and otherwise in an
/// order that differs between VMs, so that they do not all use the same host.
#[must_use]
pub fn order_hosts(
    hosts: &[ids::VmId],
    members: &collections::BTreeMap<ids::VmId, member::MemberEntry>,
    node: &str,
    data_centre: &str,
) -> Vec<ids::VmId> {
    let candidates = hosts
        .iter()
        .filter(|host| *host != node)
        .filter_map(|host| {
            let remote = members.get(host)?.data_centre != data_centre;
            Some((remote, host.as_str(), host.clone()))
        });
    ownership::rank_candidates(node, candidates)
}
