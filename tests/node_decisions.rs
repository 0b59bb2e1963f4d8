//! Decisions on the primary by VMs that have outdated or incomplete information, and decisions that
//! follow or overlap one another.

mod node_support;

use std::time::Duration;

use node_support as support;
use node_support::acknowledged_writes::AcknowledgedWrites;
use node_support::decision_steps::{EFFECT_DELAY, claim, cut, fence, is_fenced, start};
use persimmontack::node::answers::ErrorCode;
use persimmontack::node::edge::{ClaimPurpose, ControlChange, NodeEdge, PromoteError};
use standins::cluster::cluster_edge::ClusterEdge;
use standins::cluster::cluster_state;
use standins::cluster::cut_table::CutTarget;
use standins::cluster::platform_state::PlatformMode;
use tokio::time::Instant;

/// Time after which a started VM has the complete list and a reserved decision number.
const SETTLED_AFTER: Duration = Duration::from_secs(5);
/// Time for which a test watches for an event that must not occur.
const LOOK_TIME: Duration = Duration::from_secs(5);
const TICK: Duration = Duration::from_millis(5);

/// Returns the purposes of all claims in the store, oldest first.
fn purposes(edge: &ClusterEdge) -> Vec<ClaimPurpose> {
    let state = edge.state.borrow();
    let claims = state.events.iter().filter_map(|(_, change)| match change {
        ControlChange::Decision(_, claim) => Some(claim.purpose.clone()),
        _ => None,
    });
    claims.collect()
}

/// Returns the purposes of the claims from the first decision on.
fn decision_purposes(edge: &ClusterEdge) -> Vec<ClaimPurpose> {
    let all = purposes(edge);
    let first = all
        .iter()
        .position(|purpose| matches!(purpose, ClaimPurpose::Now(_)));
    first.map_or_else(Vec::new, |first| all[first..].to_vec())
}

/// Guards against a VM that mistakes its own running decision for an abandoned one and closes it,
/// because the watch reports the claim before the claim call is answered.
#[test]
fn a_vm_does_not_close_its_own_running_decision() {
    support::block_on(async {
        let edge = support::cluster(22);
        let node = start(&edge, 1, "dc-b", 1).await;
        let writes = AcknowledgedWrites::default();
        writes.keep_writing(&node);
        node.sleep(SETTLED_AFTER).await;
        assert!(writes.count() > 10, "the primary serves");
        edge.change(|state| {
            state.claim_delay = Duration::from_millis(200);
            state.platform.promotion_delay = EFFECT_DELAY;
            state.instance("a").up = false;
        });
        let limit = Instant::now() + LOOK_TIME;
        while node.promotions().is_empty() {
            assert!(Instant::now() < limit, "no promotion");
            let purposes = decision_purposes(&edge);
            assert!(
                !purposes.contains(&ClaimPurpose::Ended),
                "ended before the promotion took effect: {purposes:?}"
            );
            node.sleep(TICK).await;
        }
        node.sleep(LOOK_TIME).await;
        let purposes = decision_purposes(&edge);
        assert!(
            matches!(
                purposes.as_slice(),
                [ClaimPurpose::Now(_), ClaimPurpose::Ended, ..]
            ),
            "the decision is ended after the promotion: {purposes:?}"
        );
        assert_eq!(node.promotions().len(), 1);
        writes.check(&edge);
    });
}

/// Starts a VM that reads a partial list right before the store becomes unavailable for `outage`,
/// and returns the promotions that result although the primary serves at another VM.
async fn promotions_after_outage(outage: Duration) -> Vec<String> {
    let edge = support::cluster(22);
    let first = start(&edge, 1, "dc-a", 1).await;
    let writes = AcknowledgedWrites::default();
    writes.keep_writing(&first);
    first.sleep(SETTLED_AFTER).await;
    for name in ["a", "c"] {
        edge.change(|state| state.unlist(name));
    }
    let second = support::start(&edge, 2, "dc-b");
    second
        .wait_until("a part of the list is known", |second| {
            second.tables.pool("b").is_some()
        })
        .await;
    assert!(second.tables.pool("a").is_none());
    for vm in ["vm-1", "vm-2"] {
        cut(&edge, vm, &[CutTarget::Store]);
    }
    second.sleep(outage).await;
    for vm in ["vm-1", "vm-2"] {
        edge.network.cuts.heal(vm, &CutTarget::Store);
    }
    second.sleep(Duration::from_secs(1)).await;
    for name in ["a", "c"] {
        edge.change(|state| state.list(name));
    }
    let before = writes.count();
    second.sleep(LOOK_TIME).await;
    assert!(writes.count() > before + 10, "the primary serves");
    writes.check(&edge);
    second.promotions()
}

/// Guards against a VM that counts an outage of the store as time in which it followed the list,
/// treats a partial list as complete, and promotes a replica although the primary serves.
#[test]
fn a_partial_list_read_before_an_outage_is_not_complete_after_it() {
    const OUTAGE: Duration = Duration::from_secs(5);
    const STEP: Duration = Duration::from_millis(100);
    const OUTAGES: u32 = 15;
    let mut wrong = Vec::new();
    for step in 0..OUTAGES {
        let outage = OUTAGE + STEP * step;
        support::block_on(async {
            let promotions = promotions_after_outage(outage).await;
            if !promotions.is_empty() {
                wrong.push((outage, promotions));
            }
        });
    }
    assert!(wrong.is_empty(), "promotions after outages: {wrong:?}");
}

/// Guards against a promotion that a VM called before it died, and that takes effect after another
/// VM has confirmed the current primary and lifted the fences.
#[test]
fn an_earlier_promotion_call_is_refused_once_the_primary_is_confirmed() {
    const LATE_AFTER: Duration = Duration::from_secs(8);
    support::block_on(async {
        let edge = support::cluster(22);
        let node = start(&edge, 1, "dc-a", 1).await;
        node.sleep(SETTLED_AFTER).await;
        edge.change(|state| {
            state.lost_promotion_answers = 1;
            state.platform.lost_call_delay = LATE_AFTER;
        });
        let begun = Instant::now();
        let decision = claim(&edge, "vm-2", None).await;
        fence(&edge, &["b", "c"]);
        let call = edge.promote(cluster_state::GROUP, "b", "vm-2", decision);
        let lost = call.await;
        assert!(matches!(lost, Err(PromoteError::NoAnswer(_))), "{lost:?}");
        node.wait_until("the fences are lifted", |node| {
            !is_fenced(&node.edge, "b") && !is_fenced(&node.edge, "c")
        })
        .await;
        assert!(node.promotions().is_empty());
        let writes = AcknowledgedWrites::default();
        writes.keep_writing(&node);
        node.sleep(Duration::from_secs(1)).await;
        assert!(writes.count() > 10, "writes succeed again");
        assert!(begun.elapsed() < LATE_AFTER, "{:?}", begun.elapsed());
        node.sleep(LATE_AFTER).await;
        let refused = edge.state.borrow().platform.refused.clone();
        assert_eq!(refused, [("b".to_owned(), decision)]);
        assert!(node.promotions().is_empty(), "{:?}", node.promotions());
        assert_eq!(node.primary(), "a");
        writes.check(&edge);
    });
}

/// Suspends a VM for `length` right before it calls the platform.
async fn suspend_before_call(length: Duration) {
    let edge = support::cluster(22);
    let node = start(&edge, 1, "dc-b", 1).await;
    let writes = AcknowledgedWrites::default();
    writes.keep_writing(&node);
    node.sleep(SETTLED_AFTER).await;
    let calls = || edge.state.borrow().platform.callers.len();
    edge.change(|state| {
        state.platform.mode = PlatformMode::Refuses;
        state.instance("a").up = false;
    });
    node.wait_until("the upstreams are compared", |_node| calls() > 0)
        .await;
    node.tables.edge.suspend(length);
    cut(&edge, "vm-1", &[CutTarget::Store]);
    edge.change(|state| state.platform.mode = PlatformMode::Serves);
    let before = calls();
    node.sleep(LOOK_TIME).await;
    assert_eq!(calls(), before, "called after {length:?} of suspension");
    assert!(node.promotions().is_empty());
    edge.network.cuts.heal("vm-1", &CutTarget::Store);
    node.wait_until("another upstream is the primary", |node| {
        !node.promotions().is_empty()
    })
    .await;
    node.sleep(LOOK_TIME).await;
    writes.check(&edge);
}

/// Guards against a VM that compares the upstreams, is suspended, and then promotes based on that
/// comparison: another VM may have decided in the meantime.
#[test]
fn a_vm_that_was_suspended_calls_no_promotion() {
    for length in [Duration::from_secs(1), Duration::from_secs(5)] {
        support::block_on(suspend_before_call(length));
    }
}

/// Guards against commits that wait for the store although only the store is unavailable.
#[test]
fn commits_are_acknowledged_while_the_store_is_unavailable() {
    const PROMPT: Duration = Duration::from_millis(100);
    support::block_on(async {
        let edge = support::cluster(22);
        let node = start(&edge, 1, "dc-a", 1).await;
        let second = start(&edge, 2, "dc-b", 2).await;
        node.sleep(SETTLED_AFTER).await;
        edge.change(|state| state.store_up = false);
        let writes = AcknowledgedWrites::default();
        for vm in [&node, &second] {
            vm.wait_until("the VM notices the outage", |vm| {
                !vm.tables.store_available.get()
            })
            .await;
            let mut caller = vm.caller(support::LATEST).await;
            for number in 0..100 {
                let sent = Instant::now();
                let data = format!("{}-{number}", vm.tables.vm);
                support::rows(&writes.write(&mut caller, &data).await);
                assert!(sent.elapsed() < PROMPT, "{:?}", sent.elapsed());
                vm.sleep(TICK * 10).await;
            }
        }
        assert!(node.promotions().is_empty());
        writes.check(&edge);
    });
}

/// Guards against a VM that cannot learn of a decision from the store, and acknowledges a commit
/// that no replica of its list has received.
#[test]
fn without_the_store_a_commit_held_only_by_an_unlisted_replica_is_not_acknowledged() {
    support::block_on(async {
        let edge = support::cluster(22);
        let node = start(&edge, 1, "dc-a", 1).await;
        node.sleep(SETTLED_AFTER).await;
        edge.change(|state| state.store_up = false);
        node.wait_until("the VM notices the outage", |node| {
            !node.tables.store_available.get()
        })
        .await;
        let mut caller = node.caller(support::LATEST).await;
        let writes = AcknowledgedWrites::default();
        support::rows(&writes.write(&mut caller, "before").await);
        fence(&edge, &["b"]);
        edge.change(|state| {
            state.instance("c").receives = false;
            state.add_replica("d");
        });
        let answer = writes.write(&mut caller, "only d has it").await;
        assert_eq!(edge.state.borrow().acknowledged.len(), 2);
        assert_eq!(support::code(&answer), ErrorCode::Unknown);
    });
}

/// Guards against a failure seen on bbx-austin, seed 13 of deploy/days/release-within-a-cut.toml:
/// several VMs whose decisions became due at the same moment claimed numbers one after another,
/// each fenced the successor that the previous one had chosen, and the leaving primary was not
/// replaced in time.
#[test]
fn vms_that_are_due_at_the_same_time_make_one_decision() {
    support::block_on(async {
        let edge = support::cluster(22);
        let mut nodes = Vec::new();
        for number in 1..=5 {
            nodes.push(support::start(&edge, number, "dc-b"));
        }
        nodes[0].sleep(SETTLED_AFTER).await;
        edge.change(|state| {
            state.instance("c").up = false;
            state.change_entry("a", |entry| entry.leaving = true);
        });
        nodes[0].sleep(LOOK_TIME * 4).await;
        let mut open = false;
        for purpose in decision_purposes(&edge) {
            match purpose {
                ClaimPurpose::Now(_) => {
                    assert!(!open, "a decision was begun while another one was open");
                    open = true;
                }
                ClaimPurpose::Ended | ClaimPurpose::Kept(_) | ClaimPurpose::Promoted(_) => {
                    open = false;
                }
                ClaimPurpose::Reserve => {}
            }
        }
        edge.change(|state| state.instance("c").up = true);
        nodes[0]
            .wait_until("another upstream is the primary", |node| {
                !matches!(node.primary().as_str(), "" | "a")
            })
            .await;
    });
}
