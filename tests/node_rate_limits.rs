//! Rate limits of workspaces over several nodes.

mod node_support;

use std::rc::Rc;
use std::time::Duration;

use node_support as support;
use persimmontack::node::answers::{CallerAnswer, ErrorCode};
use persimmontack::node::workspaces::api_key::ApiKey;
use persimmontack::node::{config, edge, request, session_start};
use standins::cluster::cluster_edge::ClusterEdge;
use standins::cluster::cluster_state::ClusterState;
use standins::cluster::cut_table::CutTarget;
use standins::cluster::test_caller::{self, CallerReply, TestCaller};

const WORKSPACE: &str = "w";
const RATE: f64 = 40.0;

fn limited(version: u64, rate_per_second: f64) -> config::NodeConfig {
    let limits = config::WorkspaceLimits {
        rate_per_second,
        burst: 20.0,
    };
    config::NodeConfig {
        workspaces: [(WORKSPACE.to_owned(), Some(limits))].into(),
        ..support::node_config(version)
    }
}

/// Starts three VMs, the holder of the workspace's bucket first, and waits until it grants.
async fn start() -> Vec<support::TestNode> {
    let edge = ClusterEdge::new(ClusterState::new(limited(1, RATE)));
    let mut nodes: Vec<_> = ["dc-a", "dc-b", "dc-c"]
        .iter()
        .zip(1..)
        .map(|(data_centre, number)| support::start(&edge, number, data_centre))
        .collect();
    for node in &nodes {
        node.wait_until("all members are known", |node| {
            node.tables.members().len() == 3 && node.tables.is_ready()
        })
        .await;
    }
    nodes.sort_by_key(|node| node.tables.limit_holder(WORKSPACE) != node.tables.vm);
    let mut caller = open(&nodes[0]);
    wait_served(&mut caller).await;
    nodes[0].sleep(Duration::from_millis(500)).await;
    nodes
}

/// Opens a session of the workspace.
fn open(node: &support::TestNode) -> TestCaller {
    support::open_for_workspace(node, support::LATEST, WORKSPACE)
}

async fn read(caller: &mut TestCaller) -> CallerAnswer {
    caller.ask(support::read(), "READ 1").await
}

async fn wait_served(caller: &mut TestCaller) {
    let served = async {
        while read(caller).await.result.is_err() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(60), served).await;
    assert!(waited.is_ok(), "no operation is served");
}

/// Sends reads at intervals and returns how many were served, and the refusals.
async fn flood(
    node: &support::TestNode,
    interval: Duration,
    length: Duration,
) -> (u32, Vec<CallerAnswer>) {
    let mut caller = open(node);
    let end = tokio::time::Instant::now() + length;
    let mut served = 0;
    let mut refusals = Vec::new();
    while tokio::time::Instant::now() < end {
        let answer = read(&mut caller).await;
        if answer.result.is_ok() {
            served += 1;
        } else {
            refusals.push(answer);
        }
        tokio::time::sleep(interval).await;
    }
    (served, refusals)
}

fn text(answer: &CallerAnswer) -> String {
    let error = answer.result.as_ref().expect_err("a refusal");
    String::from_utf8_lossy(&error.text).into_owned()
}

/// Guards against VMs that each admit the whole rate: a flood on two VMs gets what one limit allows,
/// and the rest is refused as not run, with a time to come back.
#[test]
fn a_flood_on_several_vms_gets_one_limit() {
    support::block_on(async {
        let nodes = start().await;
        let length = Duration::from_secs(5);
        let interval = Duration::from_millis(4);
        let ((first, refused), (second, _)) = tokio::join!(
            flood(&nodes[1], interval, length),
            flood(&nodes[2], interval, length),
        );
        let served = f64::from(first + second);
        assert!(served <= (RATE * 5.0 + 20.0) * 1.1 + 20.0, "{served}");
        assert!(served >= RATE * 5.0 * 0.9, "{served}");
        assert!(
            first.abs_diff(second) < first.max(second) / 3,
            "{first} {second}"
        );
        assert!(
            refused
                .iter()
                .all(|answer| support::code(answer) == ErrorCode::Busy)
        );
        let told = text(&refused[0]);
        assert!(
            told.starts_with("the rate limit is reached; come back in "),
            "{told}"
        );
    });
}

/// Guards against refusals below the limit, and against transactions whose statements count one by
/// one: 10 transactions of 8 statements per second stay below 40 operations.
#[test]
fn a_transaction_is_one_operation() {
    support::block_on(async {
        let nodes = start().await;
        let mut caller = open(&nodes[1]);
        for _transaction in 0..20 {
            let begun = caller.ask(support::begin(true), "BEGIN").await;
            assert!(begun.result.is_ok(), "{begun:?}");
            for _statement in 0..8 {
                support::rows(&read(&mut caller).await);
            }
            let end = caller.ask(request::StatementKind::Commit, "COMMIT").await;
            assert!(end.result.is_ok(), "{end:?}");
            nodes[1].sleep(Duration::from_millis(90)).await;
        }
    });
}

/// Guards against a workspace that is refused after the loss of its holder: the VMs continue at
/// their recent rate, and another VM takes over.
#[test]
fn a_killed_holder_is_replaced() {
    support::block_on(async {
        let nodes = start().await;
        let interval = Duration::from_millis(60);
        let (_, refused) = flood(&nodes[1], interval, Duration::from_secs(6)).await;
        assert!(refused.is_empty(), "{refused:?}");
        let holder = &nodes[0].tables;
        nodes[0].edge.network.cut(holder.own_entry.address);
        let (served, refused) = flood(&nodes[1], interval, Duration::from_secs(5)).await;
        assert!(
            served > 5 * u32::try_from(refused.len()).expect("few"),
            "{served}"
        );
        nodes[0].edge.change(|state| state.leave(&holder.vm));
        for node in &nodes[1..] {
            node.wait_until("the holder has left", |node| {
                node.tables.limit_holder(WORKSPACE) != holder.vm
            })
            .await;
        }
        nodes[1].sleep(Duration::from_secs(3)).await;
        let (_, refused) = flood(&nodes[1], interval, Duration::from_secs(3)).await;
        assert!(refused.is_empty(), "{refused:?}");
    });
}

/// Guards against two sides of a cut that each admit the whole rate.
#[test]
fn both_sides_of_a_cut_share_the_limit() {
    support::block_on(async {
        let nodes = start().await;
        let interval = Duration::from_millis(4);
        let everywhere = async |length| {
            let (first, second) = tokio::join!(
                flood(&nodes[0], interval, length),
                flood(&nodes[1], interval, length),
            );
            f64::from(first.0 + second.0)
        };
        everywhere(Duration::from_secs(6)).await;
        let (holder, other) = (&nodes[0].tables, &nodes[1].tables);
        nodes[0]
            .edge
            .network
            .cuts
            .cut(&holder.vm, &CutTarget::Vm(other.vm.clone()));
        let served = everywhere(Duration::from_secs(5)).await;
        assert!(served <= (RATE * 5.0 + 20.0) * 1.1 + 20.0, "{served}");
        assert!(served >= RATE * 5.0 * 0.7, "{served}");
    });
}

/// Sends reads at all VMs, and returns how many were served.
async fn flood_all(nodes: &[support::TestNode], length: Duration) -> f64 {
    let interval = Duration::from_millis(4);
    let floods = nodes.iter().map(|node| flood(node, interval, length));
    let served = futures::future::join_all(floods).await;
    f64::from(served.iter().map(|(served, _)| served).sum::<u32>())
}

/// Guards against the failure of `review/8`: a holder that the store turns away grants on beside the VM that
/// has taken its place.
#[test]
fn a_holder_that_the_store_turns_away_does_not_grant_beside_the_next_one() {
    const BOUND: f64 = (RATE * 5.0 + 20.0) * 1.1 + 20.0;
    support::block_on(async {
        let nodes = start().await;
        flood_all(&nodes, Duration::from_secs(6)).await;
        let holder = &nodes[0].tables;
        nodes[0]
            .edge
            .network
            .cuts
            .cut(&holder.vm, &CutTarget::Store);
        let window = Duration::from_secs(5);
        let served = flood_all(&nodes, Duration::from_secs(6)).await;
        assert!(served <= BOUND * 6.0 / 5.0, "{served}");
        nodes[0].edge.change(|state| state.leave(&holder.vm));
        flood_all(&nodes, Duration::from_secs(2)).await;
        for _window in 0..2 {
            let served = flood_all(&nodes, window).await;
            assert!(served <= BOUND, "{served}");
            assert!(served >= RATE * 5.0 * 0.7, "{served}");
        }
    });
}

/// Guards against a workspace that is refused while the store is down for all VMs: nobody can take the
/// place of the holder then.
#[test]
fn a_holder_grants_on_while_the_store_is_down_for_all() {
    support::block_on(async {
        let nodes = start().await;
        flood_all(&nodes, Duration::from_secs(6)).await;
        nodes[0].edge.change(|state| state.store_up = false);
        nodes[0].sleep(Duration::from_secs(20)).await;
        let served = flood_all(&nodes, Duration::from_secs(5)).await;
        assert!(served >= RATE * 5.0 * 0.7, "{served}");
        assert!(served <= (RATE * 5.0 + 20.0) * 1.1 + 20.0, "{served}");
    });
}

/// Guards against limits that are not in force after they were lowered, raised or added.
#[test]
fn a_changed_limit_is_in_force() {
    support::block_on(async {
        let nodes = start().await;
        let interval = Duration::from_millis(10);
        for (version, rate) in [(2, 4.0), (3, 80.0)] {
            let config = limited(version, rate);
            nodes[0].edge.change(|state| {
                state.config = config.clone();
                state.record(edge::ControlChange::Config(config));
            });
            for node in &nodes {
                node.wait_until("the configuration is in force", |node| {
                    node.tables
                        .config()
                        .is_some_and(|config| config.version == version)
                })
                .await;
            }
            let (served, _) = flood(&nodes[2], interval, Duration::from_secs(5)).await;
            let served = f64::from(served);
            assert!(
                served <= (rate * 5.0 + 20.0) * 1.1 + 20.0,
                "{rate}: {served}"
            );
            assert!(served >= rate * 5.0 * 0.8, "{rate}: {served}");
        }
    });
}

/// Guards against a statement that waits for a token while its session is revoked, and then runs.
#[test]
fn a_statement_that_is_revoked_while_it_waits_for_a_token_does_not_run() {
    support::block_on(async {
        let nodes = start().await;
        let (holder, node) = (&nodes[0].tables, &nodes[1]);
        let mut config = limited(2, RATE);
        config.keys.insert(ApiKey::new("k"), WORKSPACE.to_owned());
        assert!(node.tables.apply_config(config));
        let (mut caller, link) = test_caller::connect_with_key(support::LATEST, "k");
        let serve = session_start::serve(Rc::clone(&node.tables), link, Rc::clone(&node.stop));
        tokio::task::spawn_local(serve);
        assert_eq!(caller.reply().await, Some(CallerReply::Welcome));
        wait_served(&mut caller).await;
        let cuts = &node.edge.network.cuts;
        let target = CutTarget::Vm(holder.vm.clone());
        cuts.cut(&node.tables.vm, &target);
        let count = || ["a", "b", "c"].map(|name| node.count_statements(name, "READ"));
        let mut before = count();
        caller.send(support::read(), "READ 1");
        let moment = Duration::from_millis(10);
        while let Ok(reply) = tokio::time::timeout(moment, caller.reply()).await {
            assert!(matches!(reply, Some(CallerReply::Answer(answer)) if answer.result.is_ok()));
            before = count();
            caller.send(support::read(), "READ 1");
        }
        assert!(node.tables.apply_config(limited(3, RATE)));
        cuts.heal(&node.tables.vm, &target);
        let Some(CallerReply::Answer(answer)) = caller.reply().await else {
            panic!("expected an answer");
        };
        assert_eq!(support::code(&answer), ErrorCode::NoKey);
        assert_eq!(count(), before);
        assert_eq!(caller.reply().await, None);
    });
}

/// Guards against operations of a workspace without limits that wait for tokens, or are refused.
#[test]
fn a_workspace_without_limits_is_not_counted() {
    support::block_on(async {
        let mut config = limited(1, RATE);
        config.workspaces.insert(WORKSPACE.to_owned(), None);
        let edge = ClusterEdge::new(ClusterState::new(config));
        let node = support::start(&edge, 1, "dc-a");
        node.wait_until("ready", |node| node.tables.is_ready())
            .await;
        let (served, refused) =
            flood(&node, Duration::from_millis(2), Duration::from_secs(2)).await;
        assert!(refused.is_empty(), "{refused:?}");
        assert!(f64::from(served) > 2.0 * (RATE * 2.0 + 20.0), "{served}");
    });
}
