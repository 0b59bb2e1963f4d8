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

/// Guards against callers that stay with a VM which can serve nothing fresh, although VMs of other
/// data centres could.
#[test]
fn a_vm_that_is_cut_off_sends_its_callers_elsewhere() {
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
        // The balancer has nowhere else to go if callers still come.
        let mut late = node.caller(support::AGED).await;
        node.sleep(limits::ISOLATED_CLOSE * 2).await;
        late.send(support::read(), "READ 2");
        assert!(late.reply().await.is_some());
        set_up(&node, &["b", "c"], true);
        node.wait_until("the VM is ready again", |node| node.tables.is_ready())
            .await;
    });
}

/// Guards against a transaction that ends because its VM sends callers elsewhere.
#[test]
fn an_open_transaction_stays() {
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

/// Guards against a whole deployment that stops serving because one upstream is down.
#[test]
fn a_vm_that_misses_one_upstream_stays_ready() {
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

/// Guards against a VM without connections of its own that keeps its callers although its hosts
/// are cut off, or cannot be reached.
#[test]
fn a_vm_without_connections_goes_by_its_hosts() {
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
