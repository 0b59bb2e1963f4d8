//! Tests of the liveness of VMs, of the order of keepers, and of the ownership of upstreams.

use std::collections;
use std::time;

use persimmontack::decide::{lease, membership, ownership};
use persimmontack::model::{upstream_spec, vm_record};

fn record(number: usize) -> vm_record::VmRecord {
    let address = ([127, 0, 1, number as u8], 7_000).into();
    vm_record::VmRecord {
        vm: format!("vm-{number}"),
        data_centre: format!("dc-{}", number % 3),
        leaving: false,
        keeper: address,
        pool: address,
        entry: address,
    }
}

fn records(count: usize) -> Vec<vm_record::VmRecord> {
    (0..count).map(record).collect()
}

fn pulse(number: usize, start: u64, heartbeat: u64) -> membership::MemberPulse {
    membership::MemberPulse {
        vm: format!("vm-{number}"),
        start,
        heartbeat,
        leaving: false,
        revisions: membership::RevisionSet::default(),
        shards: 0,
    }
}

fn names(table: &membership::MemberTable, now: time::Duration) -> Vec<String> {
    table.live_vms(now).into_iter().map(|vm| vm.vm).collect()
}

const TICK: time::Duration = time::Duration::from_millis(1);

/// Guards against a dead VM that keeps its upstreams, and a VM that returns and gets none.
#[test]
fn a_vm_is_dead_until_its_heartbeat_progresses_again() {
    let mut table = membership::MemberTable::new("vm-0".to_owned());
    table.apply_list(records(2), time::Duration::ZERO);
    table.apply_pulse(pulse(1, 1, 1), time::Duration::ZERO);
    assert_eq!(
        names(&table, membership::DEAD_AFTER - TICK),
        ["vm-0", "vm-1"]
    );
    assert_eq!(names(&table, membership::DEAD_AFTER), ["vm-0"]);
    // A repeated heartbeat does not count.
    assert!(!table.apply_pulse(pulse(1, 1, 1), membership::DEAD_AFTER));
    assert_eq!(names(&table, membership::DEAD_AFTER), ["vm-0"]);
    // A restarted keeper starts again at heartbeat 1, with a later start time.
    assert!(table.apply_pulse(pulse(1, 2, 1), membership::DEAD_AFTER));
    assert_eq!(names(&table, membership::DEAD_AFTER), ["vm-0", "vm-1"]);
}

/// Guards against a platform list that lags: it must not remove a VM that sends heartbeats. A VM
/// that never sent one must not count as alive once the list is old or the VM was found
/// unreachable.
#[test]
fn a_lagging_list_neither_removes_nor_revives() {
    let mut table = membership::MemberTable::new("vm-0".to_owned());
    table.apply_list(records(3), time::Duration::ZERO);
    table.apply_pulse(pulse(1, 1, 1), time::Duration::ZERO);
    table.apply_list(vec![record(0), record(2)], TICK);
    assert_eq!(names(&table, TICK), ["vm-0", "vm-1", "vm-2"]);
    table.mark_unreachable("vm-2");
    assert_eq!(names(&table, TICK), ["vm-0", "vm-1"]);
    table.apply_list(records(4), TICK);
    assert_eq!(names(&table, TICK), ["vm-0", "vm-1", "vm-3"]);
    assert_eq!(names(&table, TICK + membership::LIST_MAX_AGE), ["vm-0"]);
}

/// Guards against a keeper that finds no peers while the platform is down, although one peer has
/// sent it the records of the others.
#[test]
fn records_of_a_peer_serve_when_there_is_no_list() {
    let mut table = membership::MemberTable::new("vm-0".to_owned());
    table.apply_pulse(pulse(1, 1, 1), TICK);
    assert!(table.has_missing_records());
    table.add_records(records(2));
    assert!(!table.has_missing_records());
    assert_eq!(names(&table, TICK), ["vm-0", "vm-1"]);
}

/// Guards against keepers that disagree on the live VMs for good after messages were lost, and
/// against a stopped VM that stays alive because gossip passes on its last heartbeat.
#[test]
fn keepers_agree_on_the_live_vms_after_losses() {
    arbtest::arbtest(|u| {
        let count = 5;
        let mut now = time::Duration::ZERO;
        let mut tables: Vec<_> = (0..count)
            .map(|number| {
                let mut table = membership::MemberTable::new(format!("vm-{number}"));
                table.apply_list(records(count), now);
                table
            })
            .collect();
        let mut heartbeat = 0;
        let stopped: collections::BTreeSet<usize> = (0..count - 1)
            .filter(|_| u.ratio(1, 3).unwrap_or(false))
            .collect();
        let mut exchange =
            |u: &mut arbtest::arbitrary::Unstructured<'_>, lossy: bool, stop: bool| {
                now += time::Duration::from_millis(200);
                heartbeat += 1;
                let lives = |vm: &usize| !stop || !stopped.contains(vm);
                for number in (0..count).filter(lives) {
                    tables[number].apply_pulse(pulse(number, 1, heartbeat), now);
                }
                for from in (0..count).filter(lives) {
                    for to in (0..count).filter(lives).filter(|to| *to != from) {
                        if lossy && u.ratio(1, 2)? {
                            continue;
                        }
                        // Heartbeats are sent with their key; the receiver asks for pulses with
                        // unknown keys.
                        let mut lacks = Vec::new();
                        for beat in tables[from].beats(membership::MAX_BEATS, now) {
                            if !tables[to].apply_beat(beat, now) {
                                lacks.push(beat.key);
                            }
                        }
                        for pulse in tables[from].pulses_of(&lacks) {
                            tables[to].apply_pulse(pulse, now);
                        }
                    }
                }
                Ok::<_, arbtest::arbitrary::Error>((now, tables.clone()))
            };
        for _ in 0..u.int_in_range(0..=20)? {
            exchange(u, true, false)?;
        }
        let mut last = exchange(u, false, true)?;
        for _ in 0..6 {
            last = exchange(u, false, true)?;
        }
        // A VM that stopped before its first heartbeat is found unreachable by its peers.
        let (now, mut tables) = last;
        let expected: Vec<_> = (0..count)
            .filter(|vm| !stopped.contains(vm))
            .map(|vm| format!("vm-{vm}"))
            .collect();
        for number in (0..count).filter(|vm| !stopped.contains(vm)) {
            for vm in &stopped {
                tables[number].mark_unreachable(&format!("vm-{vm}"));
            }
            assert_eq!(names(&tables[number], now), expected, "on vm-{number}");
        }
        Ok(())
    });
}

/// Guards against frames that grow with the deployment or leave out the most recent pulses.
#[test]
fn pulses_are_bounded_and_the_newest_come_first() {
    let mut table = membership::MemberTable::new("vm-0".to_owned());
    for number in 1..100 {
        table.apply_pulse(pulse(number, 1, 1), TICK);
    }
    table.apply_pulse(pulse(50, 1, 2), TICK * 2);
    let pulses = table.pulses(8);
    assert_eq!(pulses.len(), 8);
    assert_eq!(pulses[0].vm, "vm-50");
}

/// Guards against a changed pulse, such as that of a VM that is leaving, of which only the
/// heartbeat is passed on; and against a heartbeat that decreases.
#[test]
fn a_heartbeat_counts_only_with_the_pulse_that_it_belongs_to() {
    let mut table = membership::MemberTable::new("vm-0".to_owned());
    let old = pulse(1, 1, 1);
    table.apply_pulse(old.clone(), TICK);
    let beat = |key, heartbeat| membership::MemberBeat { key, heartbeat };
    assert!(table.apply_beat(beat(old.key(), 5), TICK));
    assert!(table.apply_beat(beat(old.key(), 4), TICK));
    assert_eq!(table.pulse("vm-1").map(|pulse| pulse.heartbeat), Some(5));
    let leaving = membership::MemberPulse {
        leaving: true,
        ..pulse(1, 1, 6)
    };
    assert!(!table.apply_beat(beat(leaving.key(), 6), TICK));
    assert!(table.apply_pulse(leaving.clone(), TICK));
    assert!(!table.apply_beat(beat(old.key(), 7), TICK));
    assert!(table.apply_beat(beat(leaving.key(), 7), TICK));
    assert_eq!(table.pulses_of(&[old.key()]), []);
    assert_eq!(table.pulses_of(&[leaving.key()]).len(), 1);
}

/// Guards against answers that repeat the heartbeats that the caller has just sent, and against a
/// dead VM whose last heartbeat is passed on for ever.
#[test]
fn only_heartbeats_newer_than_the_known_ones_are_passed_on() {
    let mut table = membership::MemberTable::new("vm-0".to_owned());
    for number in 1..4 {
        table.apply_pulse(pulse(number, 1, 3), TICK);
    }
    let known: Vec<_> = [(1, 3), (2, 2)]
        .map(|(number, heartbeat)| membership::MemberBeat {
            key: pulse(number, 1, heartbeat).key(),
            heartbeat,
        })
        .into();
    let keys = |now| -> collections::BTreeSet<_> {
        let beats = table.beats_newer_than(&known, 8, now);
        beats.into_iter().map(|beat| beat.key).collect()
    };
    let expected: collections::BTreeSet<_> = [2, 3].map(|number| pulse(number, 1, 3).key()).into();
    assert_eq!(keys(TICK), expected);
    assert!(keys(TICK + membership::DEAD_AFTER).is_empty());
}

/// Guards against ranked keepers in the same data centre while another data centre has none, and
/// against an order in which the holder of the lease is not the first.
#[test]
fn keepers_are_ranked_in_distinct_data_centres_and_the_holder_goes_first() {
    let vms = records(8);
    for group in ["ledger", "index", "proofs", "orders"] {
        let order = lease::acting_order(group, &vms, None);
        let centres: collections::BTreeSet<_> = vms
            .iter()
            .filter(|vm| order.contains(&vm.vm))
            .map(|vm| &vm.data_centre)
            .collect();
        assert_eq!(order.len(), 3);
        assert_eq!(centres.len(), 3);
        let holder = order[2].clone();
        assert_eq!(lease::acting_order(group, &vms, Some(&holder))[0], holder);
    }
}

/// Guards against shards that no keeper claims, or that all ranked keepers claim at once.
#[test]
fn each_free_shard_is_claimed_by_one_keeper_and_by_the_next_after_a_delay() {
    let vms = records(6);
    let rank_delay = time::Duration::from_secs(2);
    let free = collections::BTreeMap::new();
    let mut claimers: Vec<_> = vms
        .iter()
        .map(|vm| (vm.vm.as_str(), lease::ShardClaimer::default()))
        .collect();
    let mut claims = |now| -> Vec<u64> {
        claimers
            .iter_mut()
            .flat_map(|(vm, claimer)| claimer.shards_to_claim(vm, &vms, &free, now, rank_delay))
            .collect()
    };
    let mut first = claims(time::Duration::ZERO);
    first.sort_unstable();
    assert_eq!(first, (0..lease::SHARD_COUNT).collect::<Vec<_>>());
    assert_eq!(claims(rank_delay).len() as u64, 2 * lease::SHARD_COUNT);
}

/// Guards against keepers that disagree on which of them acts first, or wait for a dead holder.
#[test]
fn the_holder_of_a_shard_is_a_live_vm_that_claims_it() {
    let mut table = membership::MemberTable::new("vm-0".to_owned());
    for (number, shards) in [(1, 0b01), (2, 0b11), (3, 1 << 63)] {
        let pulse = membership::MemberPulse {
            shards,
            ..pulse(number, 1, 1)
        };
        table.apply_pulse(pulse, TICK);
    }
    let holder = |shard, now| table.holder(shard, now).map(String::as_str);
    assert_eq!(holder(0, TICK), Some("vm-1"));
    assert_eq!(holder(1, TICK), Some("vm-2"));
    assert_eq!(holder(63, TICK), Some("vm-3"));
    assert_eq!(holder(2, TICK), None);
    assert_eq!(holder(64, TICK), None);
    assert_eq!(holder(0, TICK + membership::DEAD_AFTER), None);
}

fn owners(upstreams: &[upstream_spec::UpstreamSpec], vms: &[vm_record::VmRecord]) -> Vec<String> {
    upstreams
        .iter()
        .map(|upstream| {
            let ranked = ownership::rank_owners(upstream, vms);
            ranked.first().map(|vm| vm.vm.clone()).unwrap_or_default()
        })
        .collect()
}

/// Guards against upstreams that change their owner without need. A VM that dies, flaps, joins or
/// is missing from a lagging list moves only upstreams that it owns before or after. The same set
/// of VMs always gives the same owners, whatever happened before.
#[test]
fn ownership_moves_only_as_far_as_the_members_change() {
    arbtest::arbtest(|u| {
        let count = u.int_in_range(2..=8)?;
        let upstreams: Vec<_> = (0..24)
            .map(|number| upstream_spec::UpstreamSpec {
                upstream: format!("upstream-{number}"),
                data_centre: format!("dc-{}", number % 3),
                address: ([127, 0, 0, 1], 5_432).into(),
                slots: 3,
                connections: 20,
                leaving: false,
            })
            .collect();
        let mut table = membership::MemberTable::new("vm-0".to_owned());
        let mut now = time::Duration::ZERO;
        let mut heartbeat = 1;
        table.apply_list(records(count), now);
        for number in 0..count {
            table.apply_pulse(pulse(number, 1, heartbeat), now);
        }
        let mut before = table.live_vms(now);
        let mut seen = collections::BTreeMap::new();
        for _ in 0..u.int_in_range(1..=20)? {
            heartbeat += 1;
            now += time::Duration::from_millis(400);
            // A VM without a heartbeat for three steps is dead.
            for number in (0..count).filter(|_| u.ratio(1, 2).unwrap_or(true)) {
                table.apply_pulse(pulse(number, 1, heartbeat), now);
            }
            let listed = (0..count).filter(|_| u.ratio(3, 4).unwrap_or(true));
            table.apply_list(listed.map(record).collect(), now);
            let after = table.live_vms(now);
            let name = |vms: &[vm_record::VmRecord]| {
                vms.iter()
                    .map(|vm| vm.vm.clone())
                    .collect::<collections::BTreeSet<_>>()
            };
            let (old, new) = (name(&before), name(&after));
            let changed: collections::BTreeSet<_> = old.symmetric_difference(&new).collect();
            let moves = owners(&upstreams, &before)
                .into_iter()
                .zip(owners(&upstreams, &after));
            for (index, (from, to)) in moves.enumerate() {
                assert!(new.contains(&to), "{to} owns an upstream and is dead");
                let near = after
                    .iter()
                    .any(|vm| vm.data_centre == upstreams[index].data_centre);
                let owner = after.iter().find(|vm| vm.vm == to).expect("live");
                assert!(!near || owner.data_centre == upstreams[index].data_centre);
                assert!(
                    from == to || changed.contains(&from) || changed.contains(&to),
                    "an upstream moved from {from} to {to} when {changed:?} changed"
                );
            }
            let first = seen
                .entry(new)
                .or_insert_with(|| owners(&upstreams, &after));
            assert_eq!(*first, owners(&upstreams, &after));
            before = after;
        }
        Ok(())
    });
}
