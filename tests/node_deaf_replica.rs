//! A replica that receives nothing while the primary goes dark: it may lack commits that were
//! acknowledged before, and is promoted only if it is known to hold them.

mod node_support;

use std::time::Duration;

use node_support as support;
use node_support::acknowledged_writes::AcknowledgedWrites;
use node_support::decision_steps::{
    EFFECT_DELAY, claim, cut, fence, instances, is_fenced, promote, start,
};
use persimmontack::model::term_start::TermStart;
use persimmontack::node::answers::ErrorCode;
use persimmontack::node::node_tables;
use persimmontack::node::request::StatementKind;
use standins::cluster::cluster_edge::ClusterEdge;
use standins::cluster::cluster_state;
use standins::cluster::cut_table::CutTarget;

/// Time after which a started VM has the complete list.
const SETTLED_AFTER: Duration = Duration::from_secs(5);
/// Time for which a test watches for an event that must not occur.
const LOOK_TIME: Duration = Duration::from_secs(8);
/// Time after which the entry of an upstream that went dark lapses.
const LAPSES_AFTER: Duration = Duration::from_millis(3_600);
const TICK: Duration = Duration::from_millis(5);

/// Makes `c` deaf and then the primary `a` dark, so that `b` is promoted, which alone holds the
/// latest commits. The entry of `a` lapses.
async fn promote_b_over_deaf_c(node: &support::TestNode, writes: &AcknowledgedWrites) {
    node.instance("c", |instance| instance.receives = false);
    let before = writes.count();
    node.wait_until("b alone holds commits", |_node| writes.count() > before + 5)
        .await;
    node.instance("a", |instance| instance.up = false);
    node.wait_until("b is the primary", |node| node.primary() == "b")
        .await;
}

async fn lapse(edge: &ClusterEdge, name: &str) {
    tokio::time::sleep(LAPSES_AFTER).await;
    edge.change(|state| state.unlist(name));
}

/// Guards against the loss of review/2: `b` leads and answers, its commits hang because `c` is deaf,
/// and a VM promotes `c`, which lacks commits of the term before.
#[test]
fn a_deaf_replica_does_not_replace_a_primary_that_alone_holds_the_commits() {
    support::block_on(async {
        let edge = support::cluster(22);
        let first = start(&edge, 1, "dc-b", 1).await;
        let second = start(&edge, 2, "dc-a", 2).await;
        first.sleep(SETTLED_AFTER).await;
        let writes = AcknowledgedWrites::default();
        writes.keep_writing(&first);
        promote_b_over_deaf_c(&first, &writes).await;
        // This VM has told no caller of a commit.
        writes.keep_writing(&second);
        lapse(&edge, "a").await;
        first.sleep(LOOK_TIME).await;
        assert_eq!(first.promotions(), ["b"]);
        let before = writes.count();
        first.instance("c", |instance| instance.receives = true);
        first
            .wait_until("commits are acknowledged again", |_node| {
                writes.count() > before + 10
            })
            .await;
        assert_eq!(first.promotions(), ["b"]);
        writes.check(&edge);
    });
}

/// Guards against the same loss by a VM that knows nothing of earlier terms, because it has started
/// since, after the new primary went dark as well.
#[test]
fn a_vm_that_started_later_does_not_promote_a_deaf_replica() {
    support::block_on(async {
        let edge = support::cluster(22);
        let first = start(&edge, 1, "dc-b", 1).await;
        first.sleep(SETTLED_AFTER).await;
        let writes = AcknowledgedWrites::default();
        writes.keep_writing(&first);
        promote_b_over_deaf_c(&first, &writes).await;
        lapse(&edge, "a").await;
        first.instance("b", |instance| instance.up = false);
        cut(&edge, "vm-1", &[CutTarget::Store]);
        cut(&edge, "vm-1", &instances(&["a", "b", "c"]));
        edge.change(|state| state.leave("vm-1"));
        let later = support::start(&edge, 2, "dc-a");
        lapse(&edge, "b").await;
        later.sleep(LOOK_TIME * 2).await;
        assert_eq!(later.promotions(), ["b"]);
        later.instance("b", |instance| instance.up = true);
        edge.change(|state| state.list("b"));
        later
            .wait_until("b is the primary", |node| node.primary() == "b")
            .await;
        writes.check(&edge);
    });
}

/// Guards against the same loss within a term: the replica that confirmed the latest commits is
/// gone, the primary answers and holds them, and a VM that told no caller of them promotes a replica
/// that lacks them.
#[test]
fn a_deaf_replica_does_not_replace_a_primary_whose_other_replica_is_gone() {
    support::block_on(async {
        let edge = support::cluster(22);
        let first = start(&edge, 1, "dc-a", 1).await;
        let second = start(&edge, 2, "dc-c", 2).await;
        first.sleep(SETTLED_AFTER).await;
        let writes = AcknowledgedWrites::default();
        writes.keep_writing(&first);
        first.instance("c", |instance| instance.receives = false);
        let before = writes.count();
        first
            .wait_until("b alone holds commits", |_node| writes.count() > before + 5)
            .await;
        first.instance("b", |instance| instance.up = false);
        writes.keep_writing(&second);
        lapse(&edge, "b").await;
        first.sleep(LOOK_TIME).await;
        assert!(first.promotions().is_empty(), "{:?}", first.promotions());
        let before = writes.count();
        first.instance("c", |instance| instance.receives = true);
        first
            .wait_until("commits are acknowledged again", |_node| {
                writes.count() > before + 10
            })
            .await;
        writes.check(&edge);
    });
}

/// Guards against a decision that can't promote and still fences the replica that could end the
/// stall.
#[test]
fn a_replica_that_cannot_be_promoted_is_not_fenced() {
    support::block_on(async {
        let edge = support::cluster(22);
        let node = start(&edge, 1, "dc-b", 1).await;
        node.sleep(SETTLED_AFTER).await;
        let writes = AcknowledgedWrites::default();
        writes.keep_writing(&node);
        promote_b_over_deaf_c(&node, &writes).await;
        let limit = tokio::time::Instant::now() + LOOK_TIME;
        while tokio::time::Instant::now() < limit {
            assert!(!is_fenced(&edge, "c"), "c is fenced");
            node.sleep(TICK).await;
        }
        writes.check(&edge);
    });
}

/// Guards against a group that stays without commits although a replica holds everything that was
/// acknowledged: the primary is cut off from its replicas right after its promotion.
#[test]
fn a_replica_that_holds_the_start_of_the_term_replaces_a_primary_that_is_cut_off() {
    support::block_on(async {
        let edge = support::cluster(22);
        edge.change(|state| state.platform.promotion_delay = EFFECT_DELAY);
        let node = start(&edge, 1, "dc-b", 1).await;
        node.sleep(SETTLED_AFTER).await;
        let writes = AcknowledgedWrites::default();
        writes.keep_writing(&node);
        node.sleep(Duration::from_secs(1)).await;
        node.instance("a", |instance| instance.up = false);
        node.wait_until("the platform is called", |node| {
            !node.edge.state.borrow().platform.accepted.is_empty()
        })
        .await;
        for name in ["b", "c"] {
            node.instance(name, |instance| instance.receives = false);
        }
        lapse(&edge, "a").await;
        node.wait_until("c and then b are promoted", |node| {
            node.promotions() == ["c", "b"]
        })
        .await;
        node.sleep(LOOK_TIME).await;
        writes.check(&edge);
    });
}

/// Guards against writes that hang until their deadline although it is known that the primary cannot
/// commit, against reads that are refused with them, and against a refusal that is not true.
#[test]
fn writes_are_refused_at_once_while_no_replica_receives() {
    support::block_on(async {
        let edge = support::cluster(22);
        let node = start(&edge, 1, "dc-b", 1).await;
        node.sleep(SETTLED_AFTER).await;
        let writes = AcknowledgedWrites::default();
        writes.keep_writing(&node);
        promote_b_over_deaf_c(&node, &writes).await;
        lapse(&edge, "a").await;
        let group = node.tables.group(cluster_state::GROUP);
        node.wait_until("commits are refused", |_node| {
            group.refuses_commits(node_tables::monotonic_now())
        })
        .await;
        let mut caller = node.caller(support::LATEST).await;
        let limit = tokio::time::Instant::now() + LOOK_TIME;
        while tokio::time::Instant::now() < limit {
            let answer = caller.ask(support::write(), "WRITE item refused").await;
            assert_eq!(support::code(&answer), ErrorCode::Busy);
            let answer = caller.ask(support::read(), "READ item").await;
            support::rows(&answer);
            caller.ask(support::begin(false), "BEGIN").await;
            let answer = caller.ask(support::write(), "WRITE item refused").await;
            assert_eq!(support::code(&answer), ErrorCode::Aborted);
            caller.ask(StatementKind::Rollback, "ROLLBACK").await;
            node.sleep(TICK * 10).await;
        }
        assert_eq!(node.count_statements("b", "WRITE item refused"), 0);
        node.instance("c", |instance| instance.receives = true);
        node.wait_until("commits are accepted", |_node| {
            !group.refuses_commits(node_tables::monotonic_now())
        })
        .await;
        support::rows(&writes.write(&mut caller, "accepted").await);
        writes.check(&edge);
    });
}

/// Guards against a start of the term that stays unknown to VMs that start later, because the VM
/// that decided died before it closed its decision.
#[test]
fn a_decision_that_is_taken_over_ends_with_the_start_of_the_term() {
    support::block_on(async {
        let edge = support::cluster(22);
        let node = start(&edge, 1, "dc-b", 1).await;
        node.sleep(SETTLED_AFTER).await;
        let writes = AcknowledgedWrites::default();
        writes.keep_writing(&node);
        node.sleep(Duration::from_secs(1)).await;
        let decision = claim(&edge, "vm-9", None).await;
        fence(&edge, &["b", "c"]);
        let position = edge.state.borrow().instances["b"].received_position();
        promote(&edge, "vm-9", "b", decision).await;
        node.wait_until("the decision is closed", |node| {
            let state = node.edge.state.borrow();
            state.term_start == Some(TermStart { term: 2, position })
        })
        .await;
        writes.check(&edge);
    });
}

/// Guards against a VM that fences replicas although it cannot promote, while only its own
/// connection to the primary is cut: the other VMs could commit nothing.
#[test]
fn a_vm_that_alone_misses_the_primary_fences_no_replica_in_vain() {
    support::block_on(async {
        let edge = support::cluster(22);
        let first = start(&edge, 1, "dc-a", 1).await;
        let second = start(&edge, 2, "dc-b", 2).await;
        first.sleep(SETTLED_AFTER).await;
        let writes = AcknowledgedWrites::default();
        writes.keep_writing(&first);
        cut(&edge, "vm-2", &instances(&["a", "b"]));
        let limit = tokio::time::Instant::now() + LOOK_TIME;
        while tokio::time::Instant::now() < limit {
            assert!(!is_fenced(&edge, "c"), "c is fenced");
            second.sleep(TICK).await;
        }
        assert!(second.promotions().is_empty());
        assert!(writes.count() > 10, "the primary serves");
        writes.check(&edge);
    });
}
