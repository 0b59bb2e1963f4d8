//! VMs that are cut off from the upstreams of other data centres.

mod node_support;

use std::time::Duration;

use node_support as support;
use persimmontack::node::limits;
use standins::cluster::cluster_state;

/// Starts a VM in the data centre of `a`, the primary.
fn run<F: Future<Output = ()>>(test: impl FnOnce(support::TestNode) -> F) {
    support::block_on(async {
        let node = support::start(&support::cluster(22), 1, "dc-a");
        node.wait_until("the VM is ready", |node| {
            node.primary() == "a" && node.tables.is_ready()
        })
        .await;
        test(node).await;
    });
}

fn set_up(node: &support::TestNode, names: &[&str], up: bool) {
    for name in names {
        node.instance(name, |instance| instance.up = up);
    }
}

/// Guards against callers that stay connected to a VM that can't serve fresh data, although VMs in
/// other data centres can.
#[test]
fn a_vm_that_is_cut_off_is_not_ready_and_closes_its_sessions() {
    run(|node| async move {
        let mut caller = node.caller(support::AGED).await;
        support::rows(&caller.ask(support::read(), "READ 1").await);
        set_up(&node, &["b", "c"], false);
        node.wait_until("the VM is not ready", |node| !node.tables.is_ready())
            .await;
        let closed = tokio::time::timeout(Duration::from_secs(10), caller.reply()).await;
        assert_eq!(closed, Ok(None));
        for _tick in 0..200 {
            node.sleep(Duration::from_millis(25)).await;
            assert!(!node.tables.is_ready(), "ready in the middle of the cut");
        }
        // If callers still arrive, the load balancer has no other VM for them, so they are served.
        let mut late = node.caller(support::AGED).await;
        node.sleep(limits::ISOLATED_CLOSE * 2).await;
        late.send(support::read(), "READ 2");
        assert!(late.reply().await.is_some());
        set_up(&node, &["b", "c"], true);
        node.wait_until("the VM is ready again", |node| node.tables.is_ready())
            .await;
    });
}

/// Guards against an open transaction that is aborted because its VM is cut off.
#[test]
fn an_open_transaction_continues_on_a_vm_that_is_cut_off() {
    run(|node| async move {
        let mut caller = node.caller(support::AGED).await;
        caller.ask(support::begin(true), "BEGIN READ").await;
        support::rows(&caller.ask(support::read(), "READ 1").await);
        set_up(&node, &["b", "c"], false);
        node.wait_until("the VM is not ready", |node| !node.tables.is_ready())
            .await;
        let step = Duration::from_millis(500);
        let mut passed = Duration::ZERO;
        while passed < limits::ISOLATED_CLOSE * 2 {
            node.sleep(step).await;
            passed += step;
            support::rows(&caller.ask(support::read(), "READ 1").await);
        }
    });
}

/// Guards against VMs that all report that they are not ready because one upstream is down.
#[test]
fn a_vm_stays_ready_while_one_upstream_is_down() {
    run(|node| async move {
        for down in ["b", "c"] {
            set_up(&node, &[down], false);
            for _tick in 0..60 {
                node.sleep(Duration::from_millis(50)).await;
                assert!(node.tables.is_ready(), "without {down}");
            }
            set_up(&node, &[down], true);
            node.wait_until("the upstream answers again", |node| {
                node.tables
                    .pool(down)
                    .is_some_and(|pool| !pool.is_suspect())
            })
            .await;
        }
    });
}

/// Guards against a VM without upstream connections that keeps its callers although the hosts it
/// relays to are cut off or unreachable.
#[test]
fn a_vm_without_upstream_connections_follows_the_state_of_its_hosts() {
    support::block_on(async {
        let edge = support::cluster(0);
        let mut nodes = vec![
            support::start(&edge, 1, "dc-a"),
            support::start(&edge, 2, "dc-a"),
        ];
        for node in &nodes {
            node.wait_until("both VMs are ready", |node| {
                node.tables.members().len() == 2 && node.tables.is_ready()
            })
            .await;
        }
        nodes.sort_by_key(|node| !node.tables.is_host(cluster_state::GROUP));
        let [host, guest] = &nodes[..] else {
            panic!("expected two VMs");
        };
        guest.sleep(Duration::from_secs(3)).await;
        assert!(guest.tables.is_ready());
        set_up(guest, &["b", "c"], false);
        guest
            .wait_until("the host is cut off", |node| !node.tables.is_ready())
            .await;
        set_up(guest, &["b", "c"], true);
        guest
            .wait_until("the host is connected again", |node| node.tables.is_ready())
            .await;
        guest.edge.network.cut(host.tables.own_entry.address);
        guest
            .wait_until("the host cannot be reached", |node| !node.tables.is_ready())
            .await;
    });
}
