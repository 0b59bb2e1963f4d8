//! Planned moves of the lead from a primary that is leaving, while other upstreams do not answer, and
//! what the primary still gets when none can be made.

mod node_support;

use std::time::Duration;

use node_support as support;
use node_support::acknowledged_writes::AcknowledgedWrites;
use persimmontack::node::answers::ErrorCode;
use standins::cluster::platform_state::PlatformMode;
use tokio::time::Instant;

/// Time from the report that an upstream leaves until it may get no more statements.
const DRAIN_LIMIT: Duration = Duration::from_secs(7);
/// Time within which a leaving primary has to be replaced.
const MOVED_WITHIN: Duration = Duration::from_secs(5);
/// Time for which a test watches for an event that must not occur.
const LOOK_TIME: Duration = Duration::from_secs(5);
/// Time within which a refusal counts as immediate.
const AT_ONCE: Duration = Duration::from_millis(50);

fn leave(node: &support::TestNode, name: &str) {
    node.edge
        .change(|state| state.change_entry(name, |entry| entry.leaving = true));
}

/// Returns the number of callers' statements that an instance has run.
fn count_all(node: &support::TestNode, name: &str) -> usize {
    node.edge.state.borrow_mut().instance(name).ran.len()
}

/// Guards against the failure of `review/9`: a planned move waits for the fence of a replica that is dark,
/// and the leaving primary goes on to get statements.
#[test]
fn a_dark_replica_does_not_delay_a_planned_move() {
    support::run(|node| async move {
        node.edge.change(|state| {
            state.add_replica("d");
            state.list("d");
        });
        let writes = AcknowledgedWrites::default();
        writes.keep_writing(&node);
        node.sleep(Duration::from_secs(1)).await;
        node.instance("c", |instance| instance.up = false);
        leave(&node, "a");
        node.sleep(MOVED_WITHIN).await;
        assert_eq!(node.promotions().len(), 1);
        let before = writes.count();
        node.sleep(LOOK_TIME).await;
        assert!(writes.count() > before + 10, "the new primary serves");
        writes.check(&node.edge);
    });
}

/// Guards against a primary that is told to step down without need: while all replicas can be fenced, it
/// serves until the promotion takes effect.
#[test]
fn a_primary_does_not_step_down_while_the_replicas_can_be_fenced() {
    support::run(|node| async move {
        node.edge.change(|state| {
            state.old_primary_continues = true;
            state.platform.mode = PlatformMode::Refuses;
        });
        leave(&node, "a");
        for _tick in 0..200 {
            node.sleep(Duration::from_millis(20)).await;
            let mut state = node.edge.state.borrow_mut();
            assert!(state.instance("a").primary, "a has stepped down");
        }
    });
}

/// Guards against a group without a primary after the answer to the order to step down was lost.
#[test]
fn a_lost_answer_to_the_order_to_step_down_does_not_end_the_move() {
    support::run(|node| async move {
        let writes = AcknowledgedWrites::default();
        writes.keep_writing(&node);
        node.sleep(Duration::from_secs(1)).await;
        node.instance("c", |instance| instance.up = false);
        node.instance("a", |instance| instance.lost_step_downs = 1);
        leave(&node, "a");
        node.sleep(MOVED_WITHIN).await;
        assert_eq!(node.promotions(), ["b"]);
        writes.check(&node.edge);
    });
}

/// Guards against a group without a primary, and against a lost commit, when the target of a move falls
/// dark after the primary has stepped down: the primary alone is known to hold its log.
#[test]
fn a_primary_that_stepped_down_leads_again_if_no_replica_holds_its_log() {
    support::run(|node| async move {
        let writes = AcknowledgedWrites::default();
        writes.keep_writing(&node);
        node.sleep(Duration::from_secs(1)).await;
        node.instance("c", |instance| instance.up = false);
        // The order is carried out at once and answered only when it is repeated.
        node.instance("a", |instance| instance.lost_step_downs = 1);
        leave(&node, "a");
        node.wait_until("a has stepped down", |node| {
            !node.edge.state.borrow_mut().instance("a").primary
        })
        .await;
        node.instance("b", |instance| instance.up = false);
        node.wait_until("a leads again", |node| {
            node.edge.state.borrow_mut().instance("a").primary
        })
        .await;
        assert_eq!(node.promotions(), ["a"]);
        node.edge.change(|state| {
            state.restart("b");
            state.restart("c");
        });
        node.wait_until("a replica leads", |node| {
            matches!(node.primary().as_str(), "b" | "c")
        })
        .await;
        node.sleep(LOOK_TIME).await;
        writes.check(&node.edge);
    });
}

/// Guards against statements for a leaving primary without end: when it cannot be replaced, it gets none
/// after its time, and callers are refused at once.
#[test]
fn a_leaving_primary_gets_no_statement_after_its_time() {
    support::run(|node| async move {
        let mut reader = node.caller(support::LATEST).await;
        let mut writer = node.caller(support::LATEST).await;
        let mut beginner = node.caller(support::LATEST).await;
        // No replica stays that could take over.
        for name in ["a", "b", "c"] {
            leave(&node, name);
        }
        node.sleep(DRAIN_LIMIT / 2).await;
        support::rows(&reader.ask(support::read(), "READ item").await);
        node.sleep(DRAIN_LIMIT / 2).await;
        let before = count_all(&node, "a");
        let sent = Instant::now();
        let read = reader.ask(support::read(), "READ item").await;
        let write = writer.ask(support::write(), "WRITE item one").await;
        let begun = beginner.ask(support::begin(false), "BEGIN").await;
        let first = beginner.ask(support::write(), "WRITE item two").await;
        assert!(sent.elapsed() < AT_ONCE, "{:?}", sent.elapsed());
        assert_eq!(support::code(&read), ErrorCode::Busy);
        assert_eq!(support::code(&write), ErrorCode::Busy);
        assert!(begun.result.is_ok(), "{begun:?}");
        assert_eq!(support::code(&first), ErrorCode::Aborted);
        assert_eq!(count_all(&node, "a"), before);
    });
}

/// Guards against reads that are refused although a replica can serve them, when the primary takes no
/// more statements and the platform promotes nobody.
#[test]
fn reads_of_replicas_go_on_when_a_leaving_primary_is_closed() {
    support::run(|node| async move {
        node.edge
            .change(|state| state.platform.mode = PlatformMode::Refuses);
        leave(&node, "a");
        node.sleep(DRAIN_LIMIT).await;
        let before = count_all(&node, "a");
        let mut caller = node.caller(support::AGED).await;
        for _read in 0..50 {
            support::rows(&caller.ask(support::read(), "READ item").await);
            node.sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(count_all(&node, "a"), before);
    });
}

/// Guards against a group without a primary when the primary steps down at the end of a decision's time:
/// the promotion needs some of it.
#[test]
fn a_primary_that_steps_down_late_in_a_decision_is_replaced() {
    const FIRST: Duration = Duration::from_millis(5_950);
    const STEP: Duration = Duration::from_millis(25);
    for step in 0..24 {
        support::run(|node| async move {
            node.tables.drain_limit.set(FIRST + STEP * step);
            node.instance("c", |instance| instance.up = false);
            leave(&node, "a");
            node.sleep(MOVED_WITHIN).await;
            assert_eq!(node.promotions(), ["b"], "step {step}");
        });
    }
}
