//! How old the configuration of a VM may be that gets its tables from other VMs, whatever these miss.

mod node_support;

use std::time::Duration;

use node_support as support;
use persimmontack::decide::table_followers;
use persimmontack::node::edge::ControlChange;
use persimmontack::node::limits;
use persimmontack::node::watch_schedule::WatchSchedule;
use standins::cluster::cluster_edge::ClusterEdge;
use standins::cluster::cut_table::CutTarget;

/// Time within which an acknowledged configuration has to be in force.
const APPLY_LIMIT: Duration = Duration::from_secs(5);
/// VMs of a deployment, more than ask one another in one round.
const VMS: u16 = 24;
/// VMs that the store turns away beside the one that is looked at.
const TURNED_AWAY: usize = 8;
/// Interval of the check whether a configuration is in force.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

fn publish(edge: &ClusterEdge, version: u64) {
    edge.change(|state| state.record(ControlChange::Config(support::node_config(version))));
}

fn version(node: &support::TestNode) -> u64 {
    node.tables.config().map_or(0, |config| config.version)
}

/// Has the store turn away a VM and the first ones that it asks.
async fn turn_away(edge: &ClusterEdge, node: &support::TestNode) {
    edge.network.cuts.cut(&node.tables.vm, &CutTarget::Store);
    node.wait_until("the VM notices it", |node| {
        !node.tables.store_available.get()
    })
    .await;
    let asked = node.tables.table_followers();
    for vm in asked.iter().take(TURNED_AWAY) {
        edge.network.cuts.cut(vm, &CutTarget::Store);
    }
}

/// Returns how long it takes until a version is in force on all of `nodes`, or `None` if that takes
/// longer than the bound.
async fn time_until_in_force(
    nodes: &[&support::TestNode],
    version_awaited: u64,
) -> Option<Duration> {
    let began = tokio::time::Instant::now();
    while nodes.iter().any(|node| version(node) < version_awaited) {
        if began.elapsed() > APPLY_LIMIT {
            return None;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    Some(began.elapsed())
}

/// Guards against ages that add up on the way: a follower does not know yet that its watch is lost, and
/// the one that is asked after it is dark.
#[test]
fn a_configuration_behind_a_lost_watch_and_a_dark_follower_is_in_force_in_time() {
    for offset_ms in (0..2_000).step_by(250) {
        support::block_on(async {
            let edge = support::cluster(22);
            let nodes = support::start_all(&edge, VMS, &["dc-a"], APPLY_LIMIT).await;
            let reader = support::first_reader(&nodes);
            let asked = reader.tables.table_followers();
            reader.sleep(Duration::from_millis(offset_ms)).await;
            edge.network.cuts.cut(&asked[0], &CutTarget::Store);
            for node in &nodes {
                edge.network
                    .cuts
                    .cut(&node.tables.vm, &CutTarget::Vm(asked[1].clone()));
            }
            publish(&edge, 5);
            let living: Vec<_> = nodes
                .iter()
                .filter(|node| !asked[..2].contains(&node.tables.vm))
                .collect();
            let taken = time_until_in_force(&living, 5).await;
            assert!(taken.is_some(), "cut after {offset_ms} ms");
        });
    }
}

/// Guards against VMs that the store turns away and that ask only VMs which it turns away too, although
/// others in their reach have the configuration.
#[test]
fn a_vm_whose_followers_are_turned_away_too_gets_the_configuration_from_others() {
    support::block_on(async {
        let edge = support::cluster(22);
        let nodes = support::start_all(&edge, VMS, &["dc-a"], APPLY_LIMIT).await;
        let reader = support::first_reader(&nodes);
        turn_away(&edge, reader).await;
        publish(&edge, 6);
        let all: Vec<_> = nodes.iter().collect();
        let taken = time_until_in_force(&all, 6).await;
        assert!(
            taken.is_some(),
            "{} has version {}",
            reader.tables.vm,
            version(reader)
        );
    });
}

/// Guards against VMs that the store turns away and that go on to send statements to an upstream which
/// leaves, since all VMs that they ask are turned away too.
#[test]
fn a_vm_whose_followers_are_turned_away_too_learns_that_an_upstream_leaves() {
    support::block_on(async {
        let edge = support::cluster(22);
        let nodes = support::start_all(&edge, VMS, &["dc-a"], APPLY_LIMIT).await;
        let reader = support::first_reader(&nodes);
        turn_away(&edge, reader).await;
        edge.change(|state| state.change_entry("b", |entry| entry.leaving = true));
        reader.sleep(APPLY_LIMIT).await;
        let pool = reader.tables.pool("b").expect("a pool");
        assert!(pool.entry().leaving);
    });
}

/// Guards against VMs that the store turns away and that know only each other, since the entries of those
/// that it serves ended while it turned these away.
#[test]
fn a_vm_gets_the_configuration_from_vms_whose_entries_had_vanished() {
    support::block_on(async {
        let edge = support::cluster(22);
        let nodes = support::start_all(&edge, VMS, &["dc-a"], APPLY_LIMIT).await;
        let (first, second) = nodes.split_at(usize::from(VMS) / 3);
        for node in first {
            edge.network.cuts.cut(&node.tables.vm, &CutTarget::Store);
            edge.change(|state| state.leave(&node.tables.vm));
        }
        second[0]
            .wait_until("the entries are gone", |node| {
                node.tables.members().len() == second.len()
            })
            .await;
        for node in second {
            edge.network.cuts.cut(&node.tables.vm, &CutTarget::Store);
        }
        for node in first {
            edge.network.cuts.heal(&node.tables.vm, &CutTarget::Store);
            edge.change(|state| state.join(&node.tables.vm, &node.tables.own_entry));
        }
        publish(&edge, 8);
        let all: Vec<_> = nodes.iter().collect();
        let taken = time_until_in_force(&all, 8).await;
        let late = all.iter().filter(|node| version(node) < 8).count();
        assert!(taken.is_some(), "late: {late}");
    });
}

/// Guards against a configuration that is passed on by one hop only, from VMs that the store serves.
#[test]
fn a_configuration_reaches_all_vms_when_the_store_serves_one() {
    support::block_on(async {
        let edge = support::cluster(22);
        let nodes = support::start_all(&edge, VMS, &["dc-a"], APPLY_LIMIT).await;
        for node in &nodes[1..] {
            edge.network.cuts.cut(&node.tables.vm, &CutTarget::Store);
        }
        publish(&edge, 7);
        let all: Vec<_> = nodes.iter().collect();
        let taken = time_until_in_force(&all, 7).await;
        let late: Vec<_> = all
            .iter()
            .filter(|node| version(node) < 7)
            .map(|node| &node.tables.vm)
            .collect();
        assert!(taken.is_some(), "late: {late:?}");
    });
}

/// Guards against VMs that all ask the store on a calm day, since their tables reach the age for that while
/// watches and questions wait as long as they may.
#[test]
fn no_vm_asks_the_store_while_all_answers_come_as_late_as_they_may() {
    // Data centres, and bounds for configurations.
    let cases = [(3, 3_000), (3, 5_000), (17, 5_000), (17, 60_000)];
    for (data_centres, apply_ms) in cases {
        let schedule = WatchSchedule::new(Duration::from_millis(apply_ms));
        let followers = u32::try_from(table_followers::FOLLOWERS_PER_DATA_CENTRE).expect("a count");
        let pause = limits::WATCH_PAUSE * followers * data_centres;
        let watch = schedule.waiting(schedule.followed_wait(), pause);
        let follower_age = (watch.wait + pause) * 2;
        let age = follower_age + limits::FOLLOWER_INTERVAL + schedule.follower_wait();
        assert!(age < schedule.question_age(), "{apply_ms} ms: {age:?}");
    }
}
