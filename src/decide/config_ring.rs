//! Chooses the VMs that a VM tells of a new configuration, as a pure function of the members.
//!
//! The VMs stand on a ring. Each tells the next one, and others at distances that grow by a factor, so that every
//! VM is told by its neighbour, and a version reaches all in a number of steps that grows with the logarithm of
//! the members.

use crate::decide::ownership;
use crate::model::ids;

/// Rendezvous key of the places on the ring. It mixes the data centres.
const RING_KEY: &str = "config-ring";
/// Factor between two distances.
const DISTANCE_FACTOR: usize = 4;
/// VMs at and after a distance that are tried until one of them answers, but for the next one on the ring: there
/// all are, so that each VM is told as long as it and its neighbours reach each other.
const MAX_TRIED: usize = 8;

/// Returns the VMs to tell, for each distance those to try in turn until one answers. `members` may hold
/// `own`.
#[must_use]
pub fn choose_told<'a>(own: &str, members: impl Iterator<Item = &'a str>) -> Vec<Vec<ids::VmId>> {
    let place = |vm: &str| ownership::score(RING_KEY, vm);
    let own_place = (place(own), own);
    let mut others: Vec<_> = members
        .filter(|vm| *vm != own)
        .map(|vm| (place(vm), vm))
        .collect();
    others.sort_unstable();
    others.dedup();
    let start = others.partition_point(|other| *other < own_place);
    others.rotate_left(start);
    let distances = std::iter::successors(Some(0), |index| Some((index + 1) * DISTANCE_FACTOR - 1));
    distances
        .map(|index| {
            let most = if index == 0 { others.len() } else { MAX_TRIED };
            others.iter().skip(index).take(most)
        })
        .map(|tried| tried.map(|(_, vm)| (*vm).to_owned()).collect::<Vec<_>>())
        .take_while(|tried| !tried.is_empty())
        .collect()
}
