//! Decisions on the primary by VMs that may have missed something, and by one after another.

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

/// Time after which a started VM knows the whole list and has a number in reserve.
const SETTLED_AFTER: Duration = Duration::from_secs(5);
/// Time within which a test looks for what must not happen.
const LOOK_TIME: Duration = Duration::from_secs(5);
const TICK: Duration = Duration::from_millis(5);

/// Returns what the claims that the store has taken were for, oldest first.
fn purposes(edge: &ClusterEdge) -> Vec<ClaimPurpose> {
    let state = edge.state.borrow();
    let claims = state.events.iter().filter_map(|(_, change)| match change {
        ControlChange::Decision(_, claim) => Some(claim.purpose.clone()),
        _ => None,
    });
    claims.collect()
}

/// Returns the purposes from the first decision on.
fn decision_purposes(edge: &ClusterEdge) -> Vec<ClaimPurpose> {
    let all = purposes(edge);
    let first = all
        .iter()
        .position(|purpose| matches!(purpose, ClaimPurpose::Now(_)));
    first.map_or_else(Vec::new, |first| all[first..].to_vec())
}

/// Guards against a VM that takes its own decision for an abandoned one and ends it, since the
/// watch shows the claim before its answer comes.
#[test]
fn a_vm_does_not_end_its_own_decision_while_it_works_on_it() {
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

/// Has a VM start on a part of the list, right before the store is away for `outage`, and returns
/// the promotions that come of it while the primary serves at another VM.
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

/// Guards against a VM that counts an outage of the store as time in which it has followed the
/// list, takes a part of the list for the whole, and promotes a replica while the primary serves.
#[test]
fn a_list_that_was_read_before_an_outage_is_not_complete_after_it() {
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

/// Guards against a promotion that a VM called before it died, and that is carried out after
/// another VM has kept the primary and lifted the fences.
#[test]
fn an_earlier_call_is_refused_once_the_primary_is_kept() {
    const LATE_AFTER: Duration = Duration::from_secs(8);
    support::block_on(async {
        let edge = support::cluster(22);
        let node = start(&edge, 1, "dc-a", 1).await;
        node.sleep(SETTLED_AFTER).await;
        edge.change(|state| {
            state.lose_promotions = 1;
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

/// Has the VM that is about to call the platform suspended for `length`.
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
    node.wait_until("another leads", |node| !node.promotions().is_empty())
        .await;
    node.sleep(LOOK_TIME).await;
    writes.check(&edge);
}

/// Guards against a VM that compares the upstreams, is suspended, and promotes by what it saw
/// before: another VM may have decided meanwhile.
#[test]
fn a_vm_that_was_suspended_calls_no_promotion() {
    for length in [Duration::from_secs(1), Duration::from_secs(5)] {
        support::block_on(suspend_before_call(length));
    }
}

/// Guards against callers that wait for the store although nothing else is wrong.
#[test]
fn commits_are_told_while_the_store_is_away() {
    const PROMPT: Duration = Duration::from_millis(100);
    support::block_on(async {
        let edge = support::cluster(22);
        let node = start(&edge, 1, "dc-a", 1).await;
        let second = start(&edge, 2, "dc-b", 2).await;
        node.sleep(SETTLED_AFTER).await;
        edge.change(|state| state.store_up = false);
        let writes = AcknowledgedWrites::default();
        for vm in [&node, &second] {
            vm.wait_until("the store is missed", |vm| !vm.tables.store_up.get())
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

/// Guards against a VM that cannot hear of a decision from the store, and tells a commit which no
/// replica of its list has received.
#[test]
fn a_commit_that_an_unlisted_replica_alone_holds_is_not_told_without_the_store() {
    support::block_on(async {
        let edge = support::cluster(22);
        let node = start(&edge, 1, "dc-a", 1).await;
        node.sleep(SETTLED_AFTER).await;
        edge.change(|state| state.store_up = false);
        node.wait_until("the store is missed", |node| !node.tables.store_up.get())
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

/// Guards against the storm seen on bbx-austin, seed 13 of deploy/days/release-within-a-cut.toml:
/// several VMs that became due at the same moment took numbers one after the other, each fenced the
/// successor of the one before, and the primary that left was not replaced in time.
#[test]
fn vms_that_are_due_at_once_make_one_decision() {
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
                ClaimPurpose::Ended => open = false,
                ClaimPurpose::Reserve => {}
            }
        }
        edge.change(|state| state.instance("c").up = true);
        nodes[0]
            .wait_until("another leads", |node| {
                !matches!(node.primary().as_str(), "" | "a")
            })
            .await;
    });
}
