//! Upstreams and VMs that join while a decision on the primary is being claimed and announced.

mod node_support;

use std::time::Duration;

use node_support as support;
use node_support::acknowledged_writes::AcknowledgedWrites;
use node_support::decision_steps::{cut, instances, start};
use persimmontack::link::stream_kind::StreamKind;
use persimmontack::node::answers::ErrorCode;
use persimmontack::node::edge::{ClaimPurpose, ControlChange};
use standins::cluster::cluster_edge::ClusterEdge;
use standins::cluster::cluster_state;
use standins::cluster::cut_table::CutTarget;

/// Time that an answer of the slow store takes.
const SLOW: Duration = Duration::from_millis(300);
/// Time after which a started VM has the complete list and a reserved decision number.
const SETTLED_AFTER: Duration = Duration::from_secs(5);
/// Time for which a test watches for an event that must not occur.
const LOOK_TIME: Duration = Duration::from_secs(5);

fn is_claimed(edge: &ClusterEdge) -> bool {
    let state = edge.state.borrow();
    state.events.iter().any(|(_, change)| {
        matches!(change, ControlChange::Decision(_, claim)
            if matches!(claim.purpose, ClaimPurpose::Now(_)))
    })
}

/// Writes at another VM than the one whose commit rests on the replica that joins. That VM has not seen
/// its position yet, so what it has told for certain does not include its own commit.
async fn write_unseen(writes: &AcknowledgedWrites, node: &support::TestNode) {
    let mut caller = node.caller(support::LATEST).await;
    support::rows(&writes.write(&mut caller, "unseen").await);
}

/// Stops `b` and `c` from receiving, and cuts `decider` off from the primary.
fn part_primary(edge: &ClusterEdge, decider: &str) {
    edge.change(|state| {
        state.instance("b").receives = false;
        state.instance("c").receives = false;
    });
    cut(edge, decider, &instances(&["a"]));
}

/// Guards against the loss of `review/6`: a replica that joins after a decision was claimed, and before
/// the other hosts know of it, confirms a commit, and the decision compares the others only.
#[test]
fn a_replica_that_joins_during_a_claim_is_compared_as_well() {
    support::block_on(async {
        let edge = support::cluster(22);
        let first = start(&edge, 1, "dc-b", 1).await;
        let second = start(&edge, 2, "dc-a", 2).await;
        first.sleep(SETTLED_AFTER).await;
        let writes = AcknowledgedWrites::default();
        let mut caller = second.caller(support::LATEST).await;
        support::rows(&writes.write(&mut caller, "before").await);
        edge.change(|state| {
            state.watch_delay = SLOW;
            state.claim_delay = SLOW;
        });
        write_unseen(&writes, &first).await;
        part_primary(&edge, "vm-1");
        let join = async {
            first
                .wait_until("a decision is claimed", |node| is_claimed(&node.edge))
                .await;
            first.sleep(SLOW / 2).await;
            edge.change(|state| {
                state.add_replica("d");
                state.list("d");
            });
        };
        tokio::join!(writes.write_untold(&mut caller, "only d has it"), join);
        first
            .wait_until("another upstream is the primary", |node| {
                !node.promotions().is_empty()
            })
            .await;
        first.sleep(LOOK_TIME).await;
        writes.check(&edge);
        assert_eq!(first.promotions(), ["d"]);
    });
}

/// Guards against a VM that joins while a decision begins, is not told of it, and reports a commit that
/// only a replica which joined later has received.
#[test]
fn a_vm_that_joins_during_a_claim_is_told_of_the_decision() {
    support::block_on(async {
        let edge = support::cluster(22);
        let first = start(&edge, 1, "dc-b", 1).await;
        first.sleep(SETTLED_AFTER).await;
        edge.change(|state| {
            state.watch_delay = SLOW;
            state.claim_delay = SLOW;
        });
        part_primary(&edge, "vm-1");
        first
            .wait_until("a decision is claimed", |node| is_claimed(&node.edge))
            .await;
        first.sleep(SLOW / 2).await;
        let member = support::member(2, "dc-a");
        let mut streams = edge.network.listen(member.address, "vm-2");
        edge.change(|state| state.join("vm-2", &member));
        let told = async {
            while let Some(stream) = streams.recv().await {
                if stream.kind == StreamKind::Lead {
                    return true;
                }
            }
            false
        };
        let told = tokio::time::timeout(LOOK_TIME, told).await;
        assert_eq!(told, Ok(true), "the VM is not told of the decision");
    });
}

/// Guards against a decision without the store whose list lacks a replica that another VM lists: that
/// replica may be the only one that holds a commit.
#[test]
fn without_the_store_a_replica_in_the_list_of_another_vm_is_not_left_out() {
    support::block_on(async {
        let edge = support::cluster(22);
        let first = start(&edge, 1, "dc-b", 1).await;
        let second = start(&edge, 2, "dc-a", 2).await;
        first.sleep(SETTLED_AFTER).await;
        let group = first.tables.group(cluster_state::GROUP);
        let (reserve, lister) = if group.decisions.has_reserved() {
            (&first, &second)
        } else {
            (&second, &first)
        };
        let writes = AcknowledgedWrites::default();
        let mut caller = lister.caller(support::LATEST).await;
        support::rows(&writes.write(&mut caller, "before").await);
        cut(&edge, &reserve.tables.vm, &[CutTarget::Store]);
        edge.change(|state| {
            state.add_replica("d");
            state.list("d");
        });
        lister
            .wait_until("d is listed", |node| node.tables.pool("d").is_some())
            .await;
        write_unseen(&writes, reserve).await;
        edge.change(|state| {
            state.instance("b").receives = false;
            state.instance("c").receives = false;
        });
        support::rows(&writes.write(&mut caller, "only d has it").await);
        cut(&edge, &lister.tables.vm, &[CutTarget::Store]);
        edge.change(|state| state.instance("a").up = false);
        reserve.sleep(LOOK_TIME * 4).await;
        for promoted in reserve.promotions() {
            assert_eq!(promoted, "d", "a replica without the commit is promoted");
        }
        for vm in [reserve, lister] {
            edge.network.cuts.heal(&vm.tables.vm, &CutTarget::Store);
        }
        reserve
            .wait_until("d is the primary", |node| node.promotions() == ["d"])
            .await;
        writes.check(&edge);
    });
}

/// Guards against a group that stays without a primary while the store is away: no list can be had then,
/// and a replica that holds whatever the hosts have told may be promoted.
#[test]
fn without_the_store_a_replica_that_holds_all_told_commits_is_promoted_at_once() {
    const PROMPT: Duration = Duration::from_secs(2);
    support::block_on(async {
        let edge = support::cluster(22);
        let first = start(&edge, 1, "dc-b", 1).await;
        let second = start(&edge, 2, "dc-a", 2).await;
        first.sleep(SETTLED_AFTER).await;
        let writes = AcknowledgedWrites::default();
        let mut caller = second.caller(support::LATEST).await;
        support::rows(&writes.write(&mut caller, "before").await);
        edge.change(|state| {
            state.store_up = false;
            state.instance("a").up = false;
        });
        first.sleep(PROMPT).await;
        assert_eq!(first.promotions().len(), 1, "{:?}", first.promotions());
        writes.check(&edge);
    });
}

/// Guards against a group that stays without a primary while the store is away and a VM does not reply:
/// once every VM has noticed the outage, none reports a commit that only an unlisted replica holds.
#[test]
fn without_the_store_and_a_host_a_decision_waits_for_a_bounded_time() {
    support::block_on(async {
        let edge = support::cluster(22);
        let first = start(&edge, 1, "dc-b", 1).await;
        let second = start(&edge, 2, "dc-a", 2).await;
        first.sleep(SETTLED_AFTER).await;
        let writes = AcknowledgedWrites::default();
        let mut caller = second.caller(support::LATEST).await;
        support::rows(&writes.write(&mut caller, "before").await);
        cut(&edge, "vm-1", &[CutTarget::Vm("vm-2".to_owned())]);
        edge.change(|state| {
            state.store_up = false;
            state.instance("a").up = false;
        });
        first.sleep(LOOK_TIME * 2).await;
        assert_eq!(first.promotions().len(), 1, "{:?}", first.promotions());
        let answer = writes.write(&mut caller, "after").await;
        if answer.result.is_err() {
            assert_ne!(support::code(&answer), ErrorCode::Failed);
        }
        writes.check(&edge);
    });
}

/// Guards against the replacement of a primary that answers again while a decision waits for a list.
#[test]
fn a_primary_that_answers_again_during_the_wait_for_a_list_is_kept() {
    support::block_on(async {
        let edge = support::cluster(22);
        let first = start(&edge, 1, "dc-b", 1).await;
        let _second = start(&edge, 2, "dc-a", 2).await;
        first.sleep(SETTLED_AFTER).await;
        cut(&edge, "vm-1", &[CutTarget::Vm("vm-2".to_owned())]);
        edge.change(|state| {
            state.store_up = false;
            state.instance("a").up = false;
        });
        first.sleep(Duration::from_millis(1_500)).await;
        edge.change(|state| state.instance("a").up = true);
        first.sleep(LOOK_TIME * 2).await;
        assert!(first.promotions().is_empty(), "{:?}", first.promotions());
    });
}
