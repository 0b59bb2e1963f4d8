//! Calls that a VM makes in the last moments of a silent outage of the store.

mod node_support;

use std::time::Duration;

use node_support as support;
use node_support::acknowledged_writes::AcknowledgedWrites;
use node_support::decision_steps::{is_fenced, start};
use persimmontack::node::node_tables;
use standins::cluster::cluster_state;

/// Time after which a started VM has the complete list.
const SETTLED_AFTER: Duration = Duration::from_secs(5);
/// Length of the outage.
const OUTAGE: Duration = Duration::from_millis(3_300);
/// Time before the end of the outage from which calls are made.
const LAST_MOMENTS: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(100);
const STEPS: u32 = 15;
/// Time from the acknowledgement of a leaving upstream until it has to be replaced.
const DRAIN_LIMIT: Duration = Duration::from_secs(7);

/// Guards against a VM that waits for a claim, a renewal or a watch which the store received in the
/// last moments of an outage and never answers: the group would stay without a primary, and a
/// decision would stay open.
#[test]
fn a_primary_that_fails_at_the_end_of_a_silent_outage_is_replaced() {
    for step in 0..STEPS {
        let moment = OUTAGE - LAST_MOMENTS + STEP * step;
        support::block_on(async {
            let edge = support::cluster(22);
            let node = start(&edge, 1, "dc-b", 1).await;
            node.sleep(SETTLED_AFTER).await;
            let writes = AcknowledgedWrites::default();
            writes.keep_writing(&node);
            let group = node.tables.group(cluster_state::GROUP);
            // Without a reserved number, the decision needs the store.
            group.decisions.drop_reserved();
            edge.change(|state| state.set_store_silent(true));
            let end = async {
                tokio::time::sleep(OUTAGE).await;
                edge.change(|state| state.set_store_silent(false));
            };
            let fail = async {
                tokio::time::sleep(moment).await;
                edge.change(|state| state.instance("a").up = false);
            };
            tokio::join!(end, fail);
            node.wait_until("another upstream is the primary", |node| {
                !node.promotions().is_empty()
            })
            .await;
            node.wait_until("the decision is closed", |_node| {
                group
                    .decisions
                    .open_change(node_tables::monotonic_now())
                    .is_none()
            })
            .await;
            assert_eq!(node.promotions().len(), 1, "{moment:?}");
            writes.check(&edge);
        });
    }
}

/// Guards against a leaving primary that is replaced too late, and against a VM that joins too late,
/// because their calls were lost in the last moments of an outage.
#[test]
fn changes_at_the_end_of_a_silent_outage_are_made_in_time() {
    for step in 0..STEPS {
        let moment = OUTAGE - LAST_MOMENTS + STEP * step;
        support::block_on(async {
            let edge = support::cluster(22);
            let node = start(&edge, 1, "dc-b", 1).await;
            node.sleep(SETTLED_AFTER).await;
            let writes = AcknowledgedWrites::default();
            writes.keep_writing(&node);
            edge.change(|state| state.set_store_silent(true));
            let end = async {
                tokio::time::sleep(OUTAGE).await;
                edge.change(|state| state.set_store_silent(false));
            };
            let join = async {
                tokio::time::sleep(moment).await;
                edge.change(|state| state.change_entry("a", |entry| entry.leaving = true));
                support::start(&edge, 2, "dc-c")
            };
            let ((), second) = tokio::join!(end, join);
            node.sleep(DRAIN_LIMIT).await;
            assert_eq!(node.promotions().len(), 1, "{moment:?}");
            assert_eq!(node.tables.members().len(), 2, "{moment:?}");
            second
                .wait_until("the new VM knows the primary", |second| {
                    second.primary() == node.primary()
                })
                .await;
            for name in ["b", "c"] {
                assert!(!is_fenced(&edge, name), "{name} is fenced");
            }
            writes.check(&edge);
        });
    }
}
