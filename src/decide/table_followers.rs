//! Chooses the VMs that watch the store, as a pure function of the members.
//!
//! The load it answers: every change in the store wakes every watch, so that with a watch on each VM
//! the calls grow with the square of the members while all of them start.

use crate::decide::ownership;
use crate::model::ids;

/// Followers in each data centre. With two, the loss of one costs its readers one timeout.
pub const FOLLOWERS_PER_DATA_CENTRE: usize = 2;
/// Rendezvous key of the choice.
const FOLLOWER_KEY: &str = "table-follower";

/// Returns the followers of one data centre, given its members, best first.
///
/// All VMs with the same members choose alike, and a change of the members moves at most one place.
#[must_use]
pub fn choose_followers<'a>(members: impl Iterator<Item = &'a str>) -> Vec<ids::VmId> {
    let candidates = members.map(|vm| (false, vm, vm));
    ownership::rank_candidates(FOLLOWER_KEY, candidates)
        .into_iter()
        .take(FOLLOWERS_PER_DATA_CENTRE)
        .map(ToOwned::to_owned)
        .collect()
}

/// Orders the followers that `vm` may ask. The order differs between VMs, so that the followers get
/// equal shares.
#[must_use]
pub fn rank_followers<'a>(vm: &str, followers: impl Iterator<Item = &'a str>) -> Vec<ids::VmId> {
    let candidates = followers.map(|follower| (false, follower, follower));
    ownership::rank_candidates(vm, candidates)
        .into_iter()
        .map(ToOwned::to_owned)
        .collect()
}
