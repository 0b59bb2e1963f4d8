//! Measures the rank of pools and keepers, and the failover decisions of groups.

use std::time;

use persimmontack::decide::{failover, failover_event, lease, ownership};
use persimmontack::keeper::settings;
use persimmontack::model::{log_position, upstream_state};

use crate::slopes::{cost, deployment, report};

/// Numbers of groups that one keeper probes.
const PROBED_GROUPS: [usize; 4] = [1, 10, 17, 100];

/// Measures the ranks at all numbers of VMs and failover at all numbers of groups.
pub fn measure(report: &mut report::ScalingReport) {
    for count in deployment::VM_COUNTS {
        let vms = deployment::vms(count);
        let groups = deployment::groups(1);
        let Some((group, upstream)) = groups
            .first()
            .and_then(|group| Some((group, group.upstreams.first()?)))
        else {
            return;
        };
        let pool_rank = cost::microseconds(|| ownership::rank_owners(upstream, &vms).len());
        report.add(
            "rank of the pools of an upstream",
            count,
            "VMs",
            pool_rank,
            "us",
        );
        let keeper_rank = cost::microseconds(|| lease::acting_order(&group.group, &vms, None));
        report.add(
            "rank of the keepers of a group",
            count,
            "VMs",
            keeper_rank,
            "us",
        );
        let shard_ranks = cost::microseconds(|| {
            (0..lease::SHARD_COUNT)
                .map(|shard| lease::rank_keepers(&lease::shard_key(shard), &vms).len())
                .sum::<usize>()
        });
        report.add("ranks of all shards", count, "VMs", shard_ranks, "us");
    }
    for count in PROBED_GROUPS {
        measure_failover(report, count);
    }
}

fn state(upstream: &str, version: u64, primary: bool) -> upstream_state::UpstreamState {
    let position = log_position::LogPosition::new(3, version);
    upstream_state::UpstreamState {
        upstream: upstream.to_owned(),
        incarnation: 1,
        version,
        promised: 3,
        primary_term: primary.then_some(3),
        held: position,
        applied: position,
        starts: vec![log_position::LogPosition::new(3, 1)],
    }
}

fn measure_failover(report: &mut report::ScalingReport, count: usize) {
    let times = settings::FailoverSettings::default().times();
    let now = time::Duration::from_secs(1);
    let specs = deployment::groups(count);
    let (mut groups, held) = cost::held_bytes(|| -> Vec<failover::GroupFailover> {
        specs
            .iter()
            .map(|spec| {
                let mut group = failover::GroupFailover::new(times);
                let members = spec
                    .upstreams
                    .iter()
                    .map(|upstream| failover_event::MemberSpec {
                        upstream: upstream.upstream.clone(),
                        address: upstream.address,
                        leaving: false,
                        data_centre: upstream.data_centre.clone(),
                        local_vms: 176,
                    });
                group.set_members(members.collect(), 1);
                for (number, upstream) in spec.upstreams.iter().enumerate() {
                    let state = state(&upstream.upstream, 1, number == 0);
                    let result = failover_event::ProbeResult::Answered(state);
                    let event =
                        failover_event::FailoverEvent::Probed(upstream.upstream.clone(), result);
                    group.handle(event, now, time::Duration::ZERO);
                }
                group
            })
            .collect()
    });
    let name = "failover decisions";
    report.add(name, count, "groups", held as f64, "bytes held");
    let tick = cost::microseconds(|| {
        for group in &mut groups {
            group.tick(now, time::Duration::ZERO);
        }
    });
    report.add(name, count, "groups", tick, "us for a tick of all");
    let mut version = 1;
    let probe = cost::microseconds(|| {
        version += 1;
        for (group, spec) in groups.iter_mut().zip(&specs) {
            for (number, upstream) in spec.upstreams.iter().enumerate() {
                let state = state(&upstream.upstream, version, number == 0);
                let result = failover_event::ProbeResult::Answered(state);
                let event =
                    failover_event::FailoverEvent::Probed(upstream.upstream.clone(), result);
                group.handle(event, now, time::Duration::ZERO);
            }
        }
    });
    report.add(
        name,
        count,
        "groups",
        probe,
        "us for a probe of each upstream",
    );
}
