//! Decides which hosts of a group serve a workspace.
//!
//! It answers the load of 76 workspaces of very different sizes on upstreams that allow few
//! connections, each of which belongs to one workspace: if every host served every workspace, each
//! would open and close connections all the time. A small workspace is served by one host, a large
//! one by as many as its part of the load needs. All VMs compute the same order, so nothing is
//! coordinated, and when a host leaves, only its workspaces move, to the next host in their order.

use std::cmp;

use crate::decide::ownership;
use crate::model::ids;

/// Returns the hosts of a group in the order in which they serve a workspace.
#[must_use]
pub fn rank_hosts(group: &str, workspace: &str, hosts: &[ids::VmId]) -> Vec<ids::VmId> {
    let key = format!("{group}/{workspace}");
    let mut ranked = hosts.to_vec();
    ranked.sort_by_cached_key(|host| (cmp::Reverse(ownership::score(&key, host)), host.clone()));
    ranked
}

/// Returns how many of the `hosts` serve a workspace with this rate, out of the rates of all
/// workspaces. A workspace without a rate counts as one of mean size.
#[must_use]
pub fn count_hosts(rate: Option<f64>, all: &[Option<f64>], hosts: usize) -> usize {
    let known: Vec<f64> = all.iter().copied().flatten().collect();
    let (Ok(known_count), Ok(count)) = (u32::try_from(known.len()), u32::try_from(all.len()))
    else {
        return hosts;
    };
    let mean = if known_count == 0 {
        1.0
    } else {
        known.iter().sum::<f64>() / f64::from(known_count)
    };
    let total = mean * f64::from(count);
    let part = rate.unwrap_or(mean) / total;
    // The smallest number of hosts whose part of the connections is at least the workspace's part of
    // the load. A total of zero gives no number, and so one host.
    let mut needed = 1;
    let part_of = |number: usize| u32::try_from(number).map_or(f64::MAX, f64::from);
    while needed < hosts && part_of(needed) < part * part_of(hosts) {
        needed += 1;
    }
    needed
}

/// Returns the hosts that serve a workspace now: the first `count` in its order that can be reached.
#[must_use]
pub fn choose_serving(
    ranked: &[ids::VmId],
    count: usize,
    is_reachable: impl Fn(&str) -> bool,
) -> Vec<&ids::VmId> {
    ranked
        .iter()
        .filter(|host| is_reachable(host))
        .take(count)
        .collect()
}
