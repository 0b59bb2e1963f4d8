//! What VMs know and do when the store comes back from a copy that lacks the latest changes.

mod node_support;

use std::time::Duration;

use node_support as support;
use persimmontack::node::edge::{ControlChange, NodeEdge};
use persimmontack::node::era_revision::EraRevision;
use persimmontack::node::limits;
use standins::cluster::cluster_state;

/// Guards against VMs that drop each other as members, because the restored store lacks their entries
/// until the next renewal fails.
#[test]
fn members_stay_known_after_the_store_was_restored() {
    for after_ms in (0..2_000).step_by(200) {
        support::run(|node| async move {
            let copy = node.edge.state.borrow().copy_store();
            let _second = support::start(&node.edge, 2, "dc-c");
            let knows_second =
                |node: &support::TestNode| node.tables.members().contains_key("vm-2");
            node.wait_until("vm-2 is a member", knows_second).await;
            node.sleep(Duration::from_millis(3_000 + after_ms)).await;
            node.edge.change(|state| {
                state.restore_store(copy);
                // As on a large site, where VMs pause between two watches.
                state.watch_delay = limits::MAX_WATCH_PAUSE;
            });
            for _step in 0..60 {
                node.sleep(Duration::from_millis(100)).await;
                assert!(knows_second(&node), "restored {after_ms} ms later");
            }
        });
    }
}

/// Guards against tables that keep what the restored store lacks, and miss what was written there, when
/// the store has passed the revision that the VM knows.
#[test]
fn a_restored_store_is_read_anew() {
    support::run(|node| async move {
        let copy = node.edge.state.borrow().copy_store();
        node.edge.change(|state| {
            state.add_replica("d");
            state.list("d");
        });
        node.wait_until("d is listed", |node| node.tables.pool("d").is_some())
            .await;
        node.edge.change(|state| {
            state.instance("d").listed = false;
            state.restore_store(copy);
            state.add_replica("e");
            state.list("e");
            state.config = support::node_config(19);
            for version in 2..20 {
                state.record(ControlChange::Config(support::node_config(version)));
            }
        });
        node.wait_until("e is listed and d is not", |node| {
            node.tables.pool("e").is_some() && node.tables.pool("d").is_none()
        })
        .await;
        assert_eq!(node.tables.config().map(|config| config.version), Some(19));
    });
}

/// Guards against new work for an upstream that leaves, because the restored store has its entry from
/// before it said so.
#[test]
fn an_upstream_that_leaves_stays_so_after_the_store_was_restored() {
    support::run(|node| async move {
        let copy = node.edge.state.borrow().copy_store();
        let before = node.edge.state.borrow().instances["b"].entry.clone();
        node.edge
            .change(|state| state.change_entry("b", |entry| entry.leaving = true));
        let leaves = |node: &support::TestNode| {
            node.tables
                .pool("b")
                .is_some_and(|pool| pool.entry().leaving)
        };
        node.wait_until("b leaves", leaves).await;
        node.edge.change(|state| {
            state.instance("b").entry = before;
            state.restore_store(copy);
        });
        node.sleep(Duration::from_secs(1)).await;
        assert!(leaves(&node));
    });
}

/// Guards against an upstream that has left and gets work again, because the restored store has its
/// entry from before it said that it leaves.
#[test]
fn an_upstream_that_has_left_gets_no_new_work_after_a_restore() {
    support::run(|node| async move {
        let copy = node.edge.state.borrow().copy_store();
        let before = node.edge.state.borrow().instances["b"].entry.clone();
        node.edge
            .change(|state| state.change_entry("b", |entry| entry.leaving = true));
        node.edge.change(|state| state.unlist("b"));
        node.wait_until("b has left", |node| node.tables.pool("b").is_none())
            .await;
        node.edge.change(|state| {
            let instance = state.instance("b");
            instance.listed = true;
            instance.entry = before;
            state.restore_store(copy);
        });
        node.sleep(Duration::from_secs(4)).await;
        assert!(node.tables.pool("b").is_none());
    });
}

/// Guards against a group without a primary, or with the old one, because the restored store has
/// entries from before a promotion.
#[test]
fn the_primary_stays_known_after_the_store_was_restored() {
    support::run(|node| async move {
        let copy = node.edge.state.borrow().copy_store();
        let before: Vec<_> = node
            .edge
            .state
            .borrow()
            .instances
            .values()
            .map(|instance| instance.entry.clone())
            .collect();
        node.edge.change(|state| state.promote("b", 1));
        node.wait_until("b is the primary", |node| node.primary() == "b")
            .await;
        node.edge.change(|state| {
            for entry in before {
                let name = entry.upstream.clone();
                state.instance(&name).entry = entry;
            }
            state.restore_store(copy);
        });
        for _step in 0..100 {
            node.sleep(Duration::from_millis(20)).await;
            assert_eq!(node.primary(), "b");
        }
    });
}

/// Guards against a decision that a VM makes, or an acknowledgement that it passes on, without
/// knowing of a decision that the store has lost.
#[test]
fn a_vm_counts_as_uninformed_after_the_store_was_restored() {
    support::run(|node| async move {
        let uninformed = |node: &support::TestNode| {
            let now = node.tables.edge.boot_time();
            node.tables.isolation.may_have_missed_decisions(now)
        };
        assert!(!uninformed(&node));
        let copy = node.edge.state.borrow().copy_store();
        node.edge.change(|state| state.restore_store(copy));
        node.wait_until("the restore is seen", uninformed).await;
        node.instance("a", |primary| primary.up = false);
        node.sleep(Duration::from_secs(1)).await;
        assert!(node.promotions().is_empty());
        node.wait_until("the primary is replaced", |node| {
            !node.promotions().is_empty()
        })
        .await;
        assert!(!uninformed(&node));
        let number = node.tables.group(cluster_state::GROUP).decisions.latest();
        assert_eq!(EraRevision::from_number(number).era, 1);
    });
}
