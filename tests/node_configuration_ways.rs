//! A configuration reaches a VM in more than one way, so that no single wait, call or VM decides when it is in
//! force.

mod node_support;

use std::time::Duration;

use node_support as support;
use persimmontack::link::stream_kind::StreamKind;
use persimmontack::node::answers::ErrorCode;
use persimmontack::node::edge::ControlChange;
use persimmontack::node::limits;
use standins::cluster::cluster_edge::ClusterEdge;
use standins::cluster::cluster_state;
use standins::cluster::cut_table::CutTarget;

/// Time within which an acknowledged configuration has to be in force.
const APPLY_LIMIT: Duration = Duration::from_secs(5);
/// VMs of a deployment in which some watch the store for the others.
const VMS: u16 = 24;
/// VMs of one in which each watches the store.
const FEW_VMS: u16 = 4;
const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];
/// Interval of the check whether a configuration is in force.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

fn publish(edge: &ClusterEdge, version: u64) {
    edge.change(|state| state.record(ControlChange::Config(support::node_config(version))));
}

/// Connections to each upstream of a group that has one host.
const ONE_HOST: u32 = limits::RESERVED_CONNECTIONS + limits::MIN_HOST_CONNECTIONS;

/// Publishes a version for a group that has one host, with or without a database.
fn publish_route(edge: &ClusterEdge, version: u64, database: &str, is_listed: bool) {
    let mut config = support::node_config(version);
    if !is_listed {
        config.routes.remove(database);
    }
    for limits in config.groups.values_mut() {
        limits.max_connections = ONE_HOST;
    }
    edge.change(|state| state.record(ControlChange::Config(config)));
}

fn version(node: &support::TestNode) -> u64 {
    node.tables.config().map_or(0, |config| config.version)
}

fn has_noticed(node: &support::TestNode) -> bool {
    let pool = node.tables.pool("b");
    pool.is_some_and(|pool| pool.entry().leaving)
}

/// Returns whether a condition holds within the bound for configurations.
async fn holds_in_time(condition: impl Fn() -> bool) -> bool {
    let began = tokio::time::Instant::now();
    while !condition() {
        if began.elapsed() > APPLY_LIMIT {
            return false;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    true
}

/// Guards against a VM that asks one which hangs again and again, since each question to it is ended when the
/// store is due.
#[test]
fn a_vm_that_the_store_does_not_answer_gets_past_vms_that_hang() {
    support::block_on(async {
        let edge = support::cluster(22);
        let nodes = support::start_all(&edge, VMS, &DATA_CENTRES, APPLY_LIMIT).await;
        let reader = support::first_reader(&nodes);
        edge.network.cuts.cut(&reader.tables.vm, &CutTarget::Store);
        reader
            .wait_until("the VM notices it", |node| {
                !node.tables.store_available.get()
            })
            .await;
        let asked = reader.tables.table_followers();
        for node in &nodes {
            if asked[..3].contains(&node.tables.vm) {
                edge.network.hang(node.tables.own_entry.address);
            }
        }
        edge.change(|state| state.change_entry("b", |entry| entry.leaving = true));
        let noticed = holds_in_time(|| has_noticed(reader)).await;
        assert!(noticed, "tables are {:?} old", reader.tables.config_age());
    });
}

/// Guards against a VM in touch that has a configuration late, since the one call to the store for which there
/// was time failed.
#[test]
fn a_refused_call_to_the_store_leaves_time_for_another_one() {
    for offset_ms in (0..2_000).step_by(250) {
        support::block_on(async {
            let edge = support::cluster(22);
            let nodes = support::start_all(&edge, VMS, &DATA_CENTRES, APPLY_LIMIT).await;
            let reader = support::first_reader(&nodes);
            reader.sleep(Duration::from_millis(offset_ms)).await;
            for node in &nodes {
                if node.tables.vm != reader.tables.vm {
                    edge.network.hang(node.tables.own_entry.address);
                    edge.network.cuts.cut(&node.tables.vm, &CutTarget::Store);
                }
            }
            edge.change(|state| {
                state.refused_watches.insert(reader.tables.vm.clone(), 1);
            });
            publish(&edge, 5);
            let in_force = holds_in_time(|| version(reader) >= 5).await;
            assert!(in_force, "alone after {offset_ms} ms");
        });
    }
}

/// Guards against a configuration that comes in time only if one of the followers answers, although others have
/// it.
#[test]
fn a_configuration_is_passed_on_to_a_vm_whose_questions_hang() {
    support::block_on(async {
        let edge = support::cluster(22);
        let nodes = support::start_all(&edge, VMS, &DATA_CENTRES, APPLY_LIMIT).await;
        let reader = support::first_reader(&nodes);
        edge.network.cuts.cut(&reader.tables.vm, &CutTarget::Store);
        for node in &nodes {
            if node.tables.is_table_follower() {
                edge.network.hang(node.tables.own_entry.address);
            }
        }
        publish(&edge, 5);
        let in_force = holds_in_time(|| version(reader) >= 5).await;
        assert!(in_force, "version {}", version(reader));
    });
}

/// Guards against a deployment of few VMs in which one that the store turns away asks nobody else.
#[test]
fn one_of_few_vms_that_the_store_turns_away_gets_tables_from_the_others() {
    support::block_on(async {
        let edge = support::cluster(22);
        let nodes = support::start_all(&edge, FEW_VMS, &DATA_CENTRES, APPLY_LIMIT).await;
        edge.network
            .cuts
            .cut(&nodes[0].tables.vm, &CutTarget::Store);
        publish(&edge, 5);
        edge.change(|state| state.change_entry("b", |entry| entry.leaving = true));
        let in_force = holds_in_time(|| version(&nodes[0]) >= 5).await;
        assert!(in_force, "version {}", version(&nodes[0]));
        let noticed = holds_in_time(|| has_noticed(&nodes[0])).await;
        assert!(noticed, "tables are {:?} old", nodes[0].tables.config_age());
    });
}

/// Guards against a VM that asks nobody else while the store does not answer its listing.
#[test]
fn a_vm_whose_listing_fails_gets_tables_from_others() {
    support::block_on(async {
        let edge = support::cluster(22);
        let nodes = support::start_all(&edge, VMS, &DATA_CENTRES, APPLY_LIMIT).await;
        let follower = nodes
            .iter()
            .find(|node| node.tables.is_table_follower())
            .expect("a follower");
        edge.change(|state| state.refused_listings.insert(follower.tables.vm.clone()));
        follower
            .wait_until("the listing fails", |node| {
                !node.tables.store_available.get()
            })
            .await;
        edge.change(|state| state.change_entry("b", |entry| entry.leaving = true));
        let noticed = holds_in_time(|| has_noticed(follower)).await;
        assert!(noticed, "tables are {:?} old", follower.tables.config_age());
    });
}

/// Guards against a host that refuses a database which is back, for a VM that knows so.
#[test]
fn a_host_that_is_behind_does_not_refuse_a_database_that_is_back() {
    support::block_on(async {
        let edge = support::cluster(ONE_HOST);
        let nodes = support::start_all(&edge, FEW_VMS, &DATA_CENTRES, APPLY_LIMIT).await;
        let is_host = |node: &&support::TestNode| node.tables.is_host(cluster_state::GROUP);
        let host = nodes.iter().find(is_host).expect("a host");
        let entry = nodes.iter().find(|node| !is_host(node)).expect("no host");
        let mut caller = entry.caller(support::LATEST).await;
        support::rows(&caller.ask(support::read(), "READ 1").await);
        publish_route(&edge, 5, support::LATEST, false);
        entry.sleep(APPLY_LIMIT).await;
        assert!(nodes.iter().all(|node| version(node) == 5));
        edge.network.cuts.cut(&host.tables.vm, &CutTarget::Store);
        for node in &nodes {
            if node.tables.vm != entry.tables.vm && node.tables.vm != host.tables.vm {
                let target = CutTarget::Vm(node.tables.vm.clone());
                edge.network.cuts.cut(&host.tables.vm, &target);
            }
        }
        edge.network.refuse(StreamKind::Follow);
        publish_route(&edge, 6, support::LATEST, true);
        entry.sleep(APPLY_LIMIT).await;
        assert_eq!((version(entry), version(host)), (6, 5));
        let answer = caller.ask(support::read(), "READ 1").await;
        let refused = answer.result.as_ref().err().map(|error| error.code);
        assert_ne!(refused, Some(ErrorCode::NoDatabase), "{answer:?}");
    });
}
