//! Entries of upstreams that another writer has replaced, so that they name no upstream any more.

mod node_support;

use std::time::Duration;

use node_support as support;
use persimmontack::node::{edge::ControlChange, limits};

/// Time after which an entry that names no upstream has taken effect.
const TAKEN_AFTER: Duration = Duration::from_secs(5);

/// Replaces the entry of an instance by one that names none.
fn spoil(node: &support::TestNode, name: &str) {
    let change = ControlChange::UpstreamInvalid(name.to_owned());
    node.edge.change(|state| state.record(change));
}

fn is_leaving(node: &support::TestNode, name: &str) -> bool {
    let pool = node.tables.pool(name);
    pool.is_some_and(|pool| pool.read_entry(|entry| entry.leaving))
}

/// Guards against a leaving primary that is never replaced, since a decision waits for an upstream that
/// does not answer and whose entry names none any more.
#[test]
fn a_silent_upstream_without_a_valid_entry_is_not_waited_for() {
    support::run(|node| async move {
        node.instance("c", |instance| instance.up = false);
        spoil(&node, "c");
        node.sleep(TAKEN_AFTER).await;
        assert!(node.tables.pool("c").is_none(), "c is still listed");
        node.edge
            .change(|state| state.change_entry("a", |entry| entry.leaving = true));
        node.wait_until("b is the primary", |node| node.primary() == "b")
            .await;
    });
}

/// Guards against the loss of a commit that only one replica holds whose entry names none any more: as
/// long as it answers it may confirm commits, so a decision has to compare it.
#[test]
fn an_upstream_without_a_valid_entry_is_compared_as_long_as_it_answers() {
    support::run(|node| async move {
        let mut caller = node.caller(support::LATEST).await;
        node.instance("b", |instance| instance.receives = false);
        support::rows(&caller.ask(support::write(), "WRITE item one").await);
        spoil(&node, "c");
        node.sleep(TAKEN_AFTER).await;
        assert!(is_leaving(&node, "c"), "c is not taken out of use");
        node.instance("a", |instance| instance.up = false);
        node.wait_until("c is the primary", |node| node.primary() == "c")
            .await;
        assert_eq!(node.promotions(), ["c"]);
    });
}

/// Guards against an upstream that is taken out of use for good although its own entry is back, as
/// after its next heartbeat.
#[test]
fn an_upstream_whose_entry_is_valid_again_stays_in_use() {
    support::run(|node| async move {
        spoil(&node, "c");
        node.sleep(limits::STORE_RETURN_GRACE / 2).await;
        node.edge.change(|state| state.list("c"));
        node.sleep(TAKEN_AFTER).await;
        assert!(node.tables.pool("c").is_some() && !is_leaving(&node, "c"));
        spoil(&node, "c");
        node.sleep(TAKEN_AFTER).await;
        assert!(is_leaving(&node, "c"));
        node.edge.change(|state| state.list("c"));
        node.wait_until("c is in use", |node| !is_leaving(node, "c"))
            .await;
    });
}

/// Guards against a VM that makes decisions on a group which only an entry of another writer names.
#[test]
fn a_group_that_is_not_configured_is_not_monitored() {
    support::run(|node| async move {
        node.edge.change(|state| {
            state.add_replica("x");
            state.change_entry("x", |entry| entry.group = "other".to_owned());
            state.list("x");
        });
        node.sleep(TAKEN_AFTER).await;
        assert!(!node.tables.group("other").decisions.is_deciding());
        assert!(node.promotions().is_empty());
    });
}
