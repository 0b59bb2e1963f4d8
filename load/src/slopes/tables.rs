//! Measures the size and encoding of control tables, and of feed updates from pools to entries.

use std::time;

use bincode::config;
use persimmontack::decide::rule_log;
use persimmontack::entry::group_tracker;
use persimmontack::link::feed_update;
use persimmontack::model::{control_tables, log_position, upstream_state};
use persimmontack::rules::rule_set;
use persimmontack::shared_state::keeper_state;

use crate::slopes::{cost, deployment, report};

/// Numbers of upstreams in a feed update.
const UPSTREAM_COUNTS: [usize; 4] = [1, 3, 17, 100];

/// Measures the control tables at all numbers of VMs and feed updates at all numbers of upstreams.
pub fn measure(report: &mut report::ScalingReport) {
    for count in deployment::VM_COUNTS {
        measure_tables(report, count);
    }
    for count in UPSTREAM_COUNTS {
        measure_feed(report, count);
    }
}

fn measure_tables(report: &mut report::ScalingReport, count: usize) {
    let (tables, held) = cost::held_bytes(|| deployment::tables(count));
    let mut add = |measure: &str, value: f64, quantity: &str| {
        report.add(measure, count, "VMs", value, quantity);
    };
    add("control tables", held as f64, "bytes held");
    let encoded_bytes = |bytes: Result<Vec<u8>, _>| bytes.map_or(0, |bytes| bytes.len()) as f64;
    add(
        "list of the groups from the platform",
        encoded_bytes(serde_json::to_vec(&tables.groups)),
        "bytes",
    );
    add(
        "list of the VMs from the platform",
        encoded_bytes(serde_json::to_vec(&tables.vms)),
        "bytes",
    );
    let encode = || bincode::serde::encode_to_vec(&tables, config::standard()).unwrap_or_default();
    let bytes = encode();
    add("control tables to a program", bytes.len() as f64, "bytes");
    add("control tables, encode", cost::microseconds(encode), "us");
    let decode = || {
        bincode::serde::decode_from_slice::<control_tables::ControlTables, _>(
            &bytes,
            config::standard(),
        )
        .is_ok()
    };
    add("control tables, decode", cost::microseconds(decode), "us");
    let keeper = keeper_state::KeeperState::new("vm-0000");
    keeper
        .members()
        .apply_list(tables.vms.clone(), keeper.now());
    *keeper.groups() = tables.groups.clone();
    keeper
        .rules()
        .apply_update(rule_log::RuleUpdate::Snapshot(rule_log::RuleSnapshot {
            revision: tables.rules_revision,
            text: tables.rules_text,
        }));
    keeper.publish();
    add(
        "comparison of unchanged tables",
        cost::microseconds(|| keeper.publish()),
        "us",
    );
}

fn upstream_report(number: usize, version: u64) -> feed_update::UpstreamReport {
    let position = log_position::LogPosition::new(3, 1_000_000 + version);
    feed_update::UpstreamReport {
        state: upstream_state::UpstreamState {
            upstream: format!("group-{:05}-{}", number / 3, number % 3),
            incarnation: 1,
            version,
            promised: 3,
            primary_term: number.is_multiple_of(3).then_some(3),
            held: position,
            applied: position,
            starts: vec![log_position::LogPosition::new(3, 1)],
        },
        reachable: true,
        wait: time::Duration::from_micros(300),
    }
}

fn measure_feed(report: &mut report::ScalingReport, count: usize) {
    let update = feed_update::FeedUpdate {
        reports: (0..count)
            .map(|number| upstream_report(number, 1))
            .collect(),
        leaving: false,
    };
    let mut add = |measure: &str, value: f64, quantity: &str| {
        report.add(measure, count, "upstreams", value, quantity);
    };
    let encode = || bincode::serde::encode_to_vec(&update, config::standard()).unwrap_or_default();
    let bytes = encode();
    add("feed update", bytes.len() as f64, "bytes");
    add("feed update, encode", cost::microseconds(encode), "us");
    let decode = || {
        bincode::serde::decode_from_slice::<feed_update::FeedUpdate, _>(&bytes, config::standard())
            .is_ok()
    };
    add("feed update, decode", cost::microseconds(decode), "us");
    let rules = rule_set::RuleSet::default();
    let (trackers, held) = cost::held_bytes(|| -> Vec<group_tracker::GroupTracker> {
        let groups = deployment::groups(count.div_ceil(3));
        groups
            .iter()
            .map(|spec| group_tracker::GroupTracker::new(spec, &rules))
            .collect()
    });
    add("boards of an entry", held as f64, "bytes held");
    let mut version = 1;
    let merge = cost::microseconds(|| {
        version += 1;
        for number in 0..count {
            if let Some(tracker) = trackers.get(number / 3) {
                tracker.apply_report("vm-0000", &upstream_report(number, version));
            }
        }
    });
    add("feed update, merge", merge, "us");
}
