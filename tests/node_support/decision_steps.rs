//! Single steps of a decision on the primary, made in the name of a VM that does not run, and
//! network cuts.

use std::time::Duration;

use persimmontack::node::edge::{ClaimPurpose, NodeEdge, RevisionNumber};
use persimmontack::node::primary_change::PrimaryChange;
use standins::cluster::cluster_edge::ClusterEdge;
use standins::cluster::cluster_state;
use standins::cluster::cut_table::CutTarget;

use crate::node_support as support;

/// Time from the answer to a promotion call until the promotion takes effect.
pub const EFFECT_DELAY: Duration = Duration::from_millis(600);

/// Claims a number in the store for a decision of `vm` that ends the first term.
pub async fn claim(edge: &ClusterEdge, vm: &str, successor: Option<&str>) -> RevisionNumber {
    let previous = edge.state.borrow().decision;
    let purpose = ClaimPurpose::Now(PrimaryChange {
        ends: 1,
        successor: successor.map(str::to_owned),
    });
    edge.claim_decision(cluster_state::GROUP, vm, previous, &purpose)
        .await
        .expect("a number")
}

/// Calls the platform in the name of `vm` to promote an instance.
pub async fn promote(edge: &ClusterEdge, vm: &str, upstream: &str, decision: RevisionNumber) {
    edge.change(|state| state.platform.promotion_delay = EFFECT_DELAY);
    edge.promote(cluster_state::GROUP, upstream, vm, decision)
        .await
        .expect("an accepted call");
}

pub fn fence(edge: &ClusterEdge, names: &[&str]) {
    edge.change(|state| {
        for name in names {
            let replica = state.instance(name);
            replica.fenced = replica.term + 1;
        }
    });
}

pub fn is_fenced(edge: &ClusterEdge, name: &str) -> bool {
    edge.state.borrow_mut().instance(name).fenced > 0
}

pub fn cut(edge: &ClusterEdge, vm: &str, targets: &[CutTarget]) {
    for target in targets {
        edge.network.cuts.cut(vm, target);
    }
}

pub fn instances(names: &[&str]) -> Vec<CutTarget> {
    names
        .iter()
        .map(|name| CutTarget::Instance((*name).to_owned()))
        .collect()
}

/// Starts VM `number` and waits until it knows the primary and `members` VMs.
pub async fn start(
    edge: &ClusterEdge,
    number: u16,
    data_centre: &str,
    members: usize,
) -> support::TestNode {
    let node = support::start(edge, number, data_centre);
    node.wait_until("the VM knows the primary and the others", |node| {
        let group = node.tables.group(cluster_state::GROUP);
        node.primary() == "a"
            && group.newest_position_time().is_some()
            && node.tables.members().len() == members
    })
    .await;
    node
}
