//! How soon a configuration is in force, whatever is lost on the way from the store.

mod node_support;

use std::time::Duration;

use node_support as support;
use persimmontack::node::edge::ControlChange;
use persimmontack::node::limits;
use persimmontack::node::watch_schedule::WatchSchedule;

/// Time within which an acknowledged configuration has to be in force.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

fn publish(node: &support::TestNode, version: u64) {
    let config = support::node_config(version);
    node.edge
        .change(|state| state.record(ControlChange::Config(config)));
}

fn version(node: &support::TestNode) -> u64 {
    node.tables.config().map_or(0, |config| config.version)
}

/// Guards against a configuration that comes into force late because the watch that had to bring
/// it was sent while the store was silent, or waited there when that began.
#[test]
fn a_configuration_after_a_silent_outage_is_in_force_in_time() {
    for outage_ms in [50, 800, 1_900, 3_000, 4_500] {
        for begins_ms in (0..5_000).step_by(400) {
            support::run(|node| async move {
                node.sleep(Duration::from_millis(begins_ms)).await;
                node.edge.change(|state| state.set_store_silent(true));
                node.sleep(Duration::from_millis(outage_ms)).await;
                node.edge.change(|state| state.set_store_silent(false));
                publish(&node, 9);
                node.sleep(APPLY_LIMIT).await;
                assert_eq!(version(&node), 9, "{outage_ms} ms from {begins_ms} ms");
            });
        }
    }
}

/// Guards against a configuration that comes into force late because one watch is lost while the
/// store answers all other calls.
#[test]
fn a_configuration_beside_a_lost_watch_is_in_force_in_time() {
    for lost_ms in (0..6_000).step_by(300) {
        support::run(|node| async move {
            node.sleep(Duration::from_millis(lost_ms)).await;
            node.edge.change(|state| state.lose_waiting_calls());
            publish(&node, 9);
            node.sleep(APPLY_LIMIT).await;
            assert_eq!(version(&node), 9, "lost after {lost_ms} ms");
        });
    }
}

/// Guards against waits that fit one deployment only: a lost watch has to be noticed within the
/// bound that the settings give, also after the pause between two watches.
#[test]
fn a_lost_watch_is_noticed_within_any_bound() {
    for apply_ms in [1_000, 2_000, 3_000, 5_000, 6_000, 60_000] {
        for pause in [Duration::ZERO, limits::WATCH_PAUSE * 8, APPLY_LIMIT / 10] {
            let apply_limit = Duration::from_millis(apply_ms);
            let schedule = WatchSchedule::new(apply_limit);
            let times = schedule.waiting(limits::MAX_WATCH_WAIT, pause);
            let reserve = apply_limit - (pause + times.limit);
            assert!(times.wait < times.limit, "{apply_limit:?} {times:?}");
            assert!(
                reserve >= apply_limit / 5 || reserve >= limits::LOST_WATCH_RESERVE,
                "{apply_limit:?} {times:?}"
            );
            let question = schedule.question();
            assert!(question.wait.is_zero() && question.limit < apply_limit);
        }
    }
}
