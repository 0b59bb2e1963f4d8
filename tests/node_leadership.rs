//! A primary that goes on serving after it was replaced: its word alone must not make data fresh.

mod node_support;

use std::time::Duration;

use bytes::Bytes;
use node_support as support;
use node_support::decision_steps::{claim, cut, instances, start};
use persimmontack::node::answers::ErrorCode;
use persimmontack::node::limits;
use persimmontack::node::node_tables::monotonic_now;
use standins::cluster::cluster_edge::ClusterEdge;
use standins::cluster::cluster_state;
use standins::cluster::cut_table::CutTarget;

/// Starts two VMs and has the second one replace the primary `a` while the first one reaches only
/// `a`, which goes on as a primary. Returns both VMs and the name of the successor.
async fn replace_behind_a_cut(
    edge: &ClusterEdge,
) -> (support::TestNode, support::TestNode, String) {
    edge.change(|state| state.old_primary_continues = true);
    let first = start(edge, 1, "dc-a", 1).await;
    let second = start(edge, 2, "dc-b", 2).await;
    let mut writer = second.caller(support::LATEST).await;
    support::rows(&writer.ask(support::write(), "WRITE item old").await);
    let others = [CutTarget::Store, CutTarget::Vm("vm-2".to_owned())];
    cut(
        edge,
        "vm-1",
        &[instances(&["b", "c"]).as_slice(), &others].concat(),
    );
    cut(edge, "vm-2", &instances(&["a"]));
    second
        .wait_until("another upstream is the primary", |node| {
            !matches!(node.primary().as_str(), "" | "a")
        })
        .await;
    let successor = second.primary();
    let mut writer = second.caller(support::LATEST).await;
    support::rows(&writer.ask(support::write(), "WRITE item new").await);
    (first, second, successor)
}

/// Guards against the stale reads seen on poppenstoel-hq trouble-1: VMs that reached only the old
/// primary took its answers for the latest state of the group.
#[test]
fn an_old_primary_that_goes_on_serves_no_stale_read() {
    support::block_on(async {
        let edge = support::cluster(22);
        let (first, _second, _successor) = replace_behind_a_cut(&edge).await;
        assert!(edge.state.borrow_mut().instance("a").primary);
        let mut caller = first.caller(support::LATEST).await;
        let answer = caller.ask(support::read(), "READ item").await;
        assert_eq!(support::code(&answer), ErrorCode::Busy);
        first.sleep(Duration::from_secs(3)).await;
        for database in [support::AGED, support::SESSION] {
            let mut caller = first.caller(database).await;
            let answer = caller.ask(support::read(), "READ item").await;
            assert_eq!(support::code(&answer), ErrorCode::Busy, "{database}");
        }
    });
}

/// Guards against stale reads inside a transaction at an old primary that goes on.
#[test]
fn an_old_primary_that_goes_on_begins_no_transaction() {
    support::block_on(async {
        let edge = support::cluster(22);
        let (first, _second, _successor) = replace_behind_a_cut(&edge).await;
        let mut caller = first.caller(support::LATEST).await;
        caller.ask(support::begin(false), "BEGIN").await;
        let answer = caller.ask(support::read(), "READ item").await;
        assert_eq!(support::code(&answer), ErrorCode::Aborted);
    });
}

/// Guards against two primaries for longer than needed: a VM that reaches the old one tells it to
/// step down, and uses the successor.
#[test]
fn an_old_primary_that_goes_on_is_told_to_step_down() {
    support::block_on(async {
        let edge = support::cluster(22);
        let (first, second, successor) = replace_behind_a_cut(&edge).await;
        for target in instances(&["a"]) {
            edge.network.cuts.heal("vm-2", &target);
        }
        second
            .wait_until("a follows", |node| {
                !node.edge.state.borrow_mut().instance("a").primary
            })
            .await;
        for target in instances(&["b", "c"]) {
            edge.network.cuts.heal("vm-1", &target);
        }
        first
            .wait_until("the first VM uses the successor", |node| {
                node.primary() == successor
            })
            .await;
        let mut caller = first.caller(support::LATEST).await;
        let answer = caller.ask(support::read(), "READ item").await;
        assert_eq!(support::rows(&answer), [Bytes::from_static(b"new")]);
    });
}

/// Guards against refusing reads without need: one replica that is out of reach leaves enough
/// evidence, as long as the list of upstreams is recent.
#[test]
fn a_silent_replica_stops_no_reads_of_the_primary() {
    support::run(|node| async move {
        let mut caller = node.caller(support::LATEST).await;
        support::rows(&caller.ask(support::write(), "WRITE item one").await);
        node.instance("c", |instance| instance.up = false);
        for _ in 0..20 {
            node.sleep(Duration::from_millis(100)).await;
            let answer = caller.ask(support::read(), "READ item").await;
            assert_eq!(support::rows(&answer), [Bytes::from_static(b"one")]);
        }
        assert_eq!(node.primary(), "a");
        assert_eq!(
            node.tables
                .group(cluster_state::GROUP)
                .decisions
                .open_change(Duration::ZERO),
            None
        );
    });
}

/// Guards against a refusal of all reads seen on poppenstoel-hq trouble-1: the decision that made
/// the primary is still open, because its VM lost the store, while another upstream is silent.
#[test]
fn an_open_decision_of_an_earlier_term_stops_no_reads() {
    support::run(|node| async move {
        let mut caller = node.caller(support::LATEST).await;
        support::rows(&caller.ask(support::write(), "WRITE item one").await);
        let decision = claim(&node.edge, "vm-2", None).await;
        node.instance("a", |instance| instance.up = false);
        node.edge.change(|state| state.promote("b", decision));
        node.wait_until("b is the primary", |node| node.primary() == "b")
            .await;
        let group = node.tables.group(cluster_state::GROUP);
        assert!(group.decisions.open_change(monotonic_now()).is_some());
        let mut caller = node.caller(support::LATEST).await;
        let answer = caller.ask(support::read(), "READ item").await;
        assert_eq!(support::rows(&answer), [Bytes::from_static(b"one")]);
    });
}

/// Guards against a refusal of all reads by a VM that the store turns away, seen on poppenstoel-hq
/// trouble-1: another upstream is silent, and the own list is too old to prove that the primary
/// leads. The other VM's list is recent.
#[test]
fn a_vm_without_the_store_uses_the_list_of_another_vm() {
    support::block_on(async {
        let edge = support::cluster(22);
        let first = start(&edge, 1, "dc-a", 1).await;
        let _second = start(&edge, 2, "dc-b", 2).await;
        first.sleep(Duration::from_secs(5)).await;
        let mut caller = first.caller(support::LATEST).await;
        support::rows(&caller.ask(support::write(), "WRITE item one").await);
        cut(&edge, "vm-1", &[CutTarget::Store]);
        first.sleep(Duration::from_secs(6)).await;
        first.instance("c", |instance| instance.up = false);
        first.sleep(Duration::from_secs(2)).await;
        for _ in 0..20 {
            first.sleep(Duration::from_millis(100)).await;
            let answer = caller.ask(support::read(), "READ item").await;
            assert_eq!(support::rows(&answer), [Bytes::from_static(b"one")]);
        }
    });
}

/// Guards against writes that hang at an old primary until their timeout, so that the caller is not
/// told that they have not run.
#[test]
fn a_write_at_an_old_primary_that_goes_on_is_refused_at_once() {
    support::block_on(async {
        let edge = support::cluster(22);
        let (first, _second, _successor) = replace_behind_a_cut(&edge).await;
        let mut caller = first.caller(support::LATEST).await;
        let answer = caller.ask(support::write(), "WRITE item lost").await;
        assert_eq!(support::code(&answer), ErrorCode::Busy);
    });
}

/// Guards against stale reads that a search over all orders of events found: all other upstreams,
/// the successor among them, have lost the store, so only the old primary is listed.
#[test]
fn a_primary_that_is_listed_alone_proves_nothing() {
    support::run(|node| async move {
        for name in ["b", "c"] {
            node.edge.change(|state| state.unlist(name));
        }
        node.sleep(Duration::from_secs(4)).await;
        let mut caller = node.caller(support::LATEST).await;
        let answer = caller.ask(support::read(), "READ item").await;
        assert_eq!(support::code(&answer), ErrorCode::Busy);
    });
}

/// Guards against a group that no VM serves any more once all its replicas were replaced while the
/// primary could not be proved to lead.
#[test]
fn a_primary_whose_replicas_were_all_replaced_is_proved_again() {
    support::run(|node| async move {
        for name in ["b", "c"] {
            node.instance(name, |instance| instance.up = false);
            node.edge.change(|state| state.unlist(name));
        }
        node.sleep(Duration::from_secs(4)).await;
        node.edge.change(|state| {
            state.add_replica("d");
            state.list("d");
        });
        node.sleep(limits::DECISION_EXPIRY).await;
        let mut caller = node.caller(support::LATEST).await;
        support::rows(&caller.ask(support::write(), "WRITE item one").await);
        let answer = caller.ask(support::read(), "READ item").await;
        assert_eq!(support::rows(&answer), [Bytes::from_static(b"one")]);
    });
}

/// Guards against a group that no VM serves for 15 s, seen in a hunt on psalmhand-kgn: its replicas
/// were listed seconds after its primary.
#[test]
fn a_primary_whose_replicas_are_listed_late_is_proved() {
    support::block_on(async {
        let edge = support::cluster(22);
        for name in ["b", "c"] {
            edge.change(|state| state.unlist(name));
        }
        let node = support::start(&edge, 1, "dc-a");
        node.sleep(Duration::from_secs(6)).await;
        assert_eq!(node.primary(), "a");
        for name in ["b", "c"] {
            edge.change(|state| state.list(name));
            node.sleep(Duration::from_millis(300)).await;
        }
        let mut caller = node.caller(support::LATEST).await;
        let answer = caller.ask(support::read(), "READ item").await;
        assert_eq!(support::rows(&answer), [Bytes::from_static(b"none")]);
    });
}
