//! Simulates the gossip of all keepers of a deployment in virtual time and without loss: how soon
//! all detect a dead VM, and from which size on live VMs are considered dead because their heartbeats
//! arrive too late.

use std::time;

use persimmontack::decide::membership;
use rand::seq::IndexedRandom;

use crate::slopes::{deployment, members, report};

/// Numbers of VMs. Each keeper has a table of all VMs, so memory grows with the square of the number.
const SIZES: [usize; 9] = [2, 8, 24, 50, 100, 150, 200, 300, 400];
/// Rounds before false detections are counted.
const WARM_UP_ROUNDS: u32 = 20;
/// Rounds in which false detections are counted, and the most that are run to detect a dead VM.
const COUNTED_ROUNDS: u32 = 50;
/// Number of data centres, over which the VMs are spread evenly.
const CENTRES: usize = 3;

/// Simulates all sizes.
pub fn measure(report: &mut report::ScalingReport) {
    for count in SIZES {
        let mut simulation = GossipSimulation::new(count);
        for _ in 0..WARM_UP_ROUNDS {
            simulation.run_round(None);
        }
        let mut false_detections = 0;
        for _ in 0..COUNTED_ROUNDS {
            simulation.run_round(None);
            false_detections += simulation.count_false_detections();
        }
        let pairs = f64::from(COUNTED_ROUNDS) * (count * (count - 1)) as f64;
        let name = "gossip rounds";
        let share = false_detections as f64 / pairs * 1e6;
        report.add(
            name,
            count,
            "VMs",
            share,
            "living VMs taken for dead, per million looks",
        );
        let died_at = simulation.now;
        let mut detected = None;
        for _ in 0..COUNTED_ROUNDS {
            simulation.run_round(Some(0));
            if simulation.all_detected(0) {
                detected = Some(simulation.now - died_at);
                break;
            }
        }
        let detected = detected.map_or(f64::NAN, |time| time.as_secs_f64());
        report.add(name, count, "VMs", detected, "s until all find a dead VM");
    }
}

/// State of all keepers at a point of the virtual time.
struct GossipSimulation {
    names: Vec<String>,
    centres: Vec<usize>,
    tables: Vec<membership::MemberTable>,
    now: time::Duration,
    heartbeat: u64,
}

impl GossipSimulation {
    fn new(count: usize) -> Self {
        let records = deployment::vms(count);
        let names: Vec<String> = records.iter().map(|record| record.vm.clone()).collect();
        let now = time::Duration::from_secs(100);
        let tables = names
            .iter()
            .map(|name| {
                let mut table = membership::MemberTable::new(name.clone());
                table.apply_list(records.clone(), now);
                for other in &names {
                    table.apply_pulse(members::pulse(other, 1), now);
                }
                table
            })
            .collect();
        Self {
            centres: (0..count).map(|number| number % CENTRES).collect(),
            names,
            tables,
            now,
            heartbeat: 1,
        }
    }

    /// Runs one round: every keeper but `dead` raises its heartbeat and exchanges heartbeats with
    /// randomly chosen peers.
    fn run_round(&mut self, dead: Option<usize>) {
        self.now += membership::GOSSIP_INTERVAL;
        self.heartbeat += 1;
        let mut random = rand::rng();
        let all: Vec<usize> = (0..self.names.len()).collect();
        for initiator in all.iter().copied().filter(|vm| Some(*vm) != dead) {
            let pulse = members::pulse(&self.names[initiator], self.heartbeat);
            self.tables[initiator].apply_pulse(pulse, self.now);
            let (near, far): (Vec<usize>, Vec<usize>) = all
                .iter()
                .filter(|vm| **vm != initiator)
                .partition(|vm| self.centres[**vm] == self.centres[initiator]);
            let chosen: Vec<usize> = near
                .sample(&mut random, membership::LOCAL_PEERS)
                .chain(far.sample(&mut random, membership::REMOTE_PEERS))
                .copied()
                .filter(|vm| Some(*vm) != dead)
                .collect();
            for peer in chosen {
                self.exchange(initiator, peer);
            }
        }
    }

    fn exchange(&mut self, initiator: usize, peer: usize) {
        let sent = self.tables[initiator].beats(membership::MAX_BEATS, self.now);
        for beat in &sent {
            self.tables[peer].apply_beat(*beat, self.now);
        }
        let answer = self.tables[peer].beats_newer_than(&sent, membership::MAX_BEATS, self.now);
        for beat in answer {
            self.tables[initiator].apply_beat(beat, self.now);
        }
    }

    fn count_false_detections(&self) -> usize {
        let count_dead = |table: &membership::MemberTable| {
            let is_dead = |name: &&String| !table.is_alive(name, self.now);
            self.names.iter().filter(is_dead).count()
        };
        self.tables.iter().map(count_dead).sum()
    }

    fn all_detected(&self, dead: usize) -> bool {
        self.tables
            .iter()
            .enumerate()
            .filter(|(vm, _)| *vm != dead)
            .all(|(_, table)| !table.is_alive(&self.names[dead], self.now))
    }
}
