//! Measures the member table of one keeper and the encoding of gossip frames.

use std::time;

use bincode::config;
use persimmontack::decide::membership;
use persimmontack::link::gossip;

use crate::slopes::{cost, deployment, report};

const NOW: time::Duration = time::Duration::from_secs(1);

/// Returns the full pulse of a VM with a heartbeat count.
pub fn pulse(vm: &str, heartbeat: u64) -> membership::MemberPulse {
    membership::MemberPulse {
        vm: vm.to_owned(),
        start: 1_790_000_000_000,
        heartbeat,
        leaving: false,
        revisions: membership::RevisionSet {
            keeper: 17_000,
            entry: Some(17_000),
            pool: Some(17_000),
        },
        shards: 0,
    }
}

fn full_table(count: usize) -> membership::MemberTable {
    let records = deployment::vms(count);
    let mut table = membership::MemberTable::new("vm-0000".to_owned());
    table.apply_list(records.clone(), NOW);
    for record in &records {
        table.apply_pulse(pulse(&record.vm, 100_000), NOW);
    }
    table
}

/// Measures the member table at all sizes.
pub fn measure(report: &mut report::ScalingReport) {
    for count in deployment::VM_COUNTS {
        let (mut table, held) = cost::held_bytes(|| full_table(count));
        let mut add = |measure: &str, value: f64, quantity: &str| {
            report.add(measure, count, "VMs", value, quantity);
        };
        add("member table", held as f64, "bytes held");
        let beats = table.beats(membership::MAX_BEATS, NOW);
        let mut heartbeat = 100_000;
        let merge = cost::microseconds(|| {
            heartbeat += 1;
            for beat in &beats {
                table.apply_beat(
                    membership::MemberBeat {
                        key: beat.key,
                        heartbeat,
                    },
                    NOW,
                );
            }
        });
        add("merge of a gossip frame", merge, "us");
        let live_vms = cost::microseconds(|| table.live_vms(NOW));
        add("list of the live VMs", live_vms, "us");
        let chosen = cost::microseconds(|| table.beats(membership::MAX_BEATS, NOW));
        add("choice of the beats of a frame", chosen, "us");
        let holder = cost::microseconds(|| table.holder(63, NOW).cloned());
        add("holder of a shard", holder, "us");
        let frame = gossip::GossipFrame {
            beats,
            rules_revision: 17_000,
            ..gossip::GossipFrame::default()
        };
        measure_frame(&frame, "gossip frame of beats", &mut add);
        let full = gossip::GossipFrame {
            pulses: table.pulses(membership::MAX_BEATS),
            ..gossip::GossipFrame::default()
        };
        measure_frame(&full, "gossip frame of full pulses", &mut add);
    }
}

fn measure_frame(frame: &gossip::GossipFrame, name: &str, add: &mut impl FnMut(&str, f64, &str)) {
    let encode = || bincode::serde::encode_to_vec(frame, config::standard()).unwrap_or_default();
    let bytes = encode();
    add(name, bytes.len() as f64, "bytes");
    add(&format!("{name}, encode"), cost::microseconds(encode), "us");
    let decode = || {
        bincode::serde::decode_from_slice::<gossip::GossipFrame, _>(&bytes, config::standard())
            .is_ok()
    };
    add(&format!("{name}, decode"), cost::microseconds(decode), "us");
}
