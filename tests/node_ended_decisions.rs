//! Commits that a VM holds while a decision on the primary is open, and the ways in which it may
//! learn that the decision has ended before it hears of the successor.

mod node_support;

use std::time::Duration;

use bytes::Bytes;
use node_support as support;
use node_support::acknowledged_writes::AcknowledgedWrites;
use node_support::decision_steps::{claim, cut, fence, instances, promote, start};
use persimmontack::model::log_position::LogPosition;
use persimmontack::model::term_start::TermStart;
use persimmontack::node::answers::{CallerAnswer, ErrorCode};
use persimmontack::node::edge::{ClaimPurpose, NodeEdge, RevisionNumber};
use persimmontack::node::limits;
use persimmontack::node::primary_change::PrimaryChange;
use standins::cluster::cluster_edge::ClusterEdge;
use standins::cluster::cluster_state;
use standins::cluster::cut_table::CutTarget;

/// Time after which a started VM has the complete list.
const SETTLED_AFTER: Duration = Duration::from_secs(5);
/// Time from the promotion call until a replica joins that no decision has compared.
const JOINS_AFTER: Duration = Duration::from_millis(300);
/// Time in which a VM sees a change of the store, and a decision on the other side of a cut ends.
const SEEN_AFTER: Duration = Duration::from_millis(100);
const LOOK_TIME: Duration = Duration::from_secs(3);

/// Writes claims to the store in the name of the VM that decided, each after the one before.
async fn write_claims(edge: &ClusterEdge, decision: RevisionNumber, purposes: &[ClaimPurpose]) {
    let mut previous = decision;
    for purpose in purposes {
        previous = edge
            .claim_decision(cluster_state::GROUP, "vm-2", previous, purpose)
            .await
            .expect("a number");
    }
}

/// Has VM 2, which does not run, replace the primary `a` by `b`. VM 1 reaches `a`, which goes on,
/// but neither `b` nor a report of its role. A replica that joins after the comparison confirms a
/// commit. Returns what its caller is told once the promotion has taken effect and `end` has run.
async fn answer_after(
    edge: &ClusterEdge,
    writes: &AcknowledgedWrites,
    end: impl AsyncFnOnce(&support::TestNode, RevisionNumber),
) -> CallerAnswer {
    edge.change(|state| state.old_primary_continues = true);
    let node = start(edge, 1, "dc-a", 1).await;
    node.sleep(SETTLED_AFTER).await;
    let mut caller = node.caller(support::LATEST).await;
    support::rows(&writes.write(&mut caller, "before").await);
    let decision = claim(edge, "vm-2", None).await;
    fence(edge, &["b", "c"]);
    node.sleep(SEEN_AFTER).await;
    cut(edge, "vm-1", &instances(&["b"]));
    // The replica that is left hears neither from the successor nor, once fenced, from `a`.
    edge.change(|state| state.instance("c").receives = false);
    promote(edge, "vm-2", "b", decision).await;
    let steps = async {
        node.sleep(JOINS_AFTER).await;
        edge.change(|state| state.add_replica("d"));
        assert_eq!(edge.state.borrow().acknowledged.len(), 2);
        node.wait_until("b was promoted", |node| node.promotions() == ["b"])
            .await;
        end(&node, decision).await;
        node.sleep(SEEN_AFTER).await;
    };
    let (answer, ()) = tokio::join!(writes.write(&mut caller, "late"), steps);
    node.sleep(LOOK_TIME).await;
    writes.check(edge);
    answer
}

/// Has the decision end by claims in the store, and checks that no commit is told that is lost.
fn check_claims(purposes: &[ClaimPurpose]) {
    support::block_on(async {
        let edge = support::cluster(22);
        let writes = AcknowledgedWrites::default();
        let end = async |_node: &support::TestNode, decision| {
            write_claims(&edge, decision, purposes).await;
        };
        let answer = answer_after(&edge, &writes, end).await;
        assert_eq!(support::code(&answer), ErrorCode::Unknown);
    });
}

/// Guards against the loss of review case 11: a VM sees the end of a decision in the store before it
/// learns of the new primary, and tells the commits that it held.
#[test]
fn held_commits_are_not_told_when_a_decision_has_ended() {
    check_claims(&[ClaimPurpose::Ended]);
}

/// Guards against the same loss where the end comes with the start of the new term, which shows that
/// the commits are beyond it.
#[test]
fn held_commits_are_not_told_when_a_later_term_began_without_them() {
    let position = LogPosition::new(1, 1);
    check_claims(&[ClaimPurpose::Promoted(TermStart { term: 2, position })]);
}

/// Guards against the same loss where the number that another VM takes in reserve is seen in place
/// of the end, as in a listing.
#[test]
fn held_commits_are_not_told_when_a_number_is_reserved() {
    check_claims(&[ClaimPurpose::Reserve]);
}

/// Guards against the same loss where the end is followed by a decision of a VM that knows an older
/// term only, which does not end the term of the commits.
#[test]
fn held_commits_are_not_told_when_a_decision_of_an_older_term_begins() {
    let older = PrimaryChange::default();
    check_claims(&[ClaimPurpose::Ended, ClaimPurpose::Now(older)]);
}

/// Guards against the same loss where a decision of an older term is seen before the end of the one
/// that replaced the primary.
#[test]
fn held_commits_are_not_told_when_a_decision_is_overtaken() {
    let older = PrimaryChange::default();
    check_claims(&[ClaimPurpose::Now(older)]);
}

/// Guards against the same loss where the VM hears of the end from another VM, since the store does
/// not answer it.
#[test]
fn held_commits_are_not_told_when_another_vm_reports_the_end() {
    support::block_on(async {
        let edge = support::cluster(22);
        let writes = AcknowledgedWrites::default();
        let end = async |node: &support::TestNode, decision: RevisionNumber| {
            let group = node.tables.group(cluster_state::GROUP);
            let now = persimmontack::node::node_tables::monotonic_now();
            group
                .decisions
                .record_claim_of_peer(decision + 1, &ClaimPurpose::Ended, 0, now);
            node.tables.changed.notify_waiters();
        };
        let answer = answer_after(&edge, &writes, end).await;
        assert_eq!(support::code(&answer), ErrorCode::Unknown);
    });
}

/// Guards against the same loss where the VM neither sees the decision nor its end: a commit is told
/// because nothing is known that speaks against it.
#[test]
fn a_commit_is_not_told_by_a_vm_that_has_not_heard_of_the_decision() {
    support::block_on(async {
        let edge = support::cluster(22);
        edge.change(|state| state.old_primary_continues = true);
        let node = start(&edge, 1, "dc-a", 1).await;
        node.sleep(SETTLED_AFTER).await;
        let mut caller = node.caller(support::LATEST).await;
        let writes = AcknowledgedWrites::default();
        support::rows(&writes.write(&mut caller, "before").await);
        cut(&edge, "vm-1", &[CutTarget::Store]);
        let decision = claim(&edge, "vm-2", None).await;
        fence(&edge, &["b", "c"]);
        edge.change(|state| state.instance("c").receives = false);
        promote(&edge, "vm-2", "b", decision).await;
        let join = async {
            node.sleep(JOINS_AFTER).await;
            edge.change(|state| state.add_replica("d"));
        };
        let (answer, ()) = tokio::join!(writes.write(&mut caller, "late"), join);
        node.sleep(LOOK_TIME).await;
        writes.check(&edge);
        assert_eq!(support::code(&answer), ErrorCode::Unknown);
    });
}

/// Guards against the same cause in reads: once the decision has ended, a replica whose fence was
/// lifted by a promotion that it has not heard of passes for proof that the old primary leads.
#[test]
fn an_ended_decision_makes_no_read_at_an_old_primary_current() {
    support::block_on(async {
        let edge = support::cluster(22);
        let writes = AcknowledgedWrites::default();
        let end = async |node: &support::TestNode, decision| {
            write_claims(&edge, decision, &[ClaimPurpose::Ended]).await;
            node.sleep(SEEN_AFTER).await;
            edge.change(|state| {
                let id = Bytes::from_static(b"new");
                state.commit("b", &id, vec![(Bytes::from_static(b"item"), id.clone())]);
            });
            let mut caller = node.caller(support::LATEST).await;
            let answer = caller.ask(support::read(), "READ item").await;
            assert_eq!(support::code(&answer), ErrorCode::Busy);
        };
        answer_after(&edge, &writes, end).await;
    });
}

/// Guards against commits that are never told: a decision that kept the primary has ended, and a
/// replica that does not answer leaves one that holds them.
#[test]
fn commits_are_told_after_a_decision_that_kept_the_primary() {
    support::block_on(async {
        let edge = support::cluster(22);
        let node = start(&edge, 1, "dc-a", 1).await;
        node.sleep(SETTLED_AFTER).await;
        let mut caller = node.caller(support::LATEST).await;
        let writes = AcknowledgedWrites::default();
        let decision = claim(&edge, "vm-2", None).await;
        edge.change(|state| state.instance("c").up = false);
        node.sleep(SEEN_AFTER).await;
        let end = async {
            node.sleep(SEEN_AFTER).await;
            write_claims(&edge, decision, &[ClaimPurpose::Kept(None)]).await;
        };
        let (answer, ()) = tokio::join!(writes.write(&mut caller, "one"), end);
        support::rows(&answer);
        writes.check(&edge);
    });
}

/// Guards against commits that are never told: the end does not say what came of the decision, and
/// all upstreams deny that they lead.
#[test]
fn commits_are_told_once_all_upstreams_deny_that_they_lead() {
    support::block_on(async {
        let edge = support::cluster(22);
        let node = start(&edge, 1, "dc-a", 1).await;
        node.sleep(SETTLED_AFTER).await;
        let mut caller = node.caller(support::LATEST).await;
        let writes = AcknowledgedWrites::default();
        let decision = claim(&edge, "vm-2", None).await;
        node.sleep(SEEN_AFTER).await;
        let end = async {
            node.sleep(SEEN_AFTER).await;
            write_claims(&edge, decision, &[ClaimPurpose::Ended]).await;
        };
        let (answer, ()) = tokio::join!(writes.write(&mut caller, "one"), end);
        support::rows(&answer);
        writes.check(&edge);
    });
}

/// Guards against a refusal of all statements by a VM that the store turns away, seen on psalmhand-kgn
/// trouble-1: it hears of the end of a decision from another VM, and takes it for a sign that the new
/// primary may have been replaced too, which a silent upstream cannot deny.
#[test]
fn a_vm_without_the_store_is_not_in_doubt_about_the_new_primary() {
    support::block_on(async {
        let edge = support::cluster(22);
        let first = start(&edge, 1, "dc-a", 1).await;
        let _second = start(&edge, 2, "dc-b", 2).await;
        first.sleep(SETTLED_AFTER).await;
        cut(&edge, "vm-1", &[CutTarget::Store]);
        first.sleep(LOOK_TIME).await;
        edge.change(|state| state.instance("a").up = false);
        first
            .wait_until("another upstream is the primary", |node| {
                !matches!(node.primary().as_str(), "" | "a")
            })
            .await;
        let writes = AcknowledgedWrites::default();
        let mut caller = first.caller(support::LATEST).await;
        for number in 0..30 {
            first.sleep(SEEN_AFTER).await;
            let answer = writes.write(&mut caller, &format!("write-{number}")).await;
            support::rows(&answer);
        }
        writes.check(&edge);
    });
}

/// Guards against a group that a VM never serves again: the end of a decision does not say what came of
/// it, and one replica, which the store lists, stays out of this VM's reach.
#[test]
fn a_doubt_ends_although_a_replica_stays_out_of_reach() {
    support::block_on(async {
        let edge = support::cluster(22);
        let node = start(&edge, 1, "dc-a", 1).await;
        node.sleep(SETTLED_AFTER).await;
        let decision = claim(&edge, "vm-2", None).await;
        cut(&edge, "vm-1", &instances(&["c"]));
        node.sleep(SEEN_AFTER).await;
        write_claims(&edge, decision, &[ClaimPurpose::Ended]).await;
        node.sleep(limits::DECISION_EXPIRY + LOOK_TIME).await;
        let mut caller = node.caller(support::LATEST).await;
        let writes = AcknowledgedWrites::default();
        support::rows(&writes.write(&mut caller, "one").await);
        writes.check(&edge);
    });
}
