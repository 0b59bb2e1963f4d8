//! The gossip of all keepers of a deployment in virtual time, without loss: how soon a dead VM is
//! found, and from which size on living VMs are taken for dead because news of them come too late.

use std::time;

use persimmontack::decide::membership;
use rand::seq::IndexedRandom;

use crate::slopes::{deployment, members, row};

/// Numbers of VMs. Each keeper has a table of all, so that memory grows with the square.
const SIZES: [usize; 9] = [2, 8, 24, 50, 100, 150, 200, 300, 400];
/// Rounds before the count begins.
const WARM_UP: u32 = 20;
/// Rounds in which VMs wrongly taken for dead are counted.
const COUNTED: u32 = 50;
/// Data centres of the small deployments.
const CENTRES: usize = 3;

/// Runs the gossip at all sizes.
pub fn measure(report: &mut row::Report) {
    for count in SIZES {
        let mut rounds = Rounds::new(count);
        for _ in 0..WARM_UP {
            rounds.run(None);
        }
        let mut wrong = 0;
        for _ in 0..COUNTED {
            rounds.run(None);
            wrong += rounds.wrongly_dead();
        }
        let pairs = f64::from(COUNTED) * (count * (count - 1)) as f64;
        let name = "gossip rounds";
        let share = wrong as f64 / pairs * 1e6;
        report.add(
            name,
            count,
            "VMs",
            share,
            "living VMs taken for dead, per million looks",
        );
        let died = rounds.now;
        let mut found = None;
        for _ in 0..COUNTED {
            rounds.run(Some(0));
            if rounds.all_found_dead(0) {
                found = Some(rounds.now - died);
                break;
            }
        }
        let found = found.map_or(f64::NAN, |time| time.as_secs_f64());
        report.add(name, count, "VMs", found, "s until all find a dead VM");
    }
}

struct Rounds {
    names: Vec<String>,
    centres: Vec<usize>,
    tables: Vec<membership::MemberTable>,
    now: time::Duration,
    heartbeat: u64,
}

impl Rounds {
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

    /// Runs one round: every keeper beats and calls its peers. `dead` takes no part.
    fn run(&mut self, dead: Option<usize>) {
        self.now += membership::GOSSIP_INTERVAL;
        self.heartbeat += 1;
        let mut random = rand::rng();
        let all: Vec<usize> = (0..self.names.len()).collect();
        for caller in all.iter().copied().filter(|vm| Some(*vm) != dead) {
            let pulse = members::pulse(&self.names[caller], self.heartbeat);
            self.tables[caller].apply_pulse(pulse, self.now);
            let (near, far): (Vec<usize>, Vec<usize>) = all
                .iter()
                .filter(|vm| **vm != caller)
                .partition(|vm| self.centres[**vm] == self.centres[caller]);
            let chosen: Vec<usize> = near
                .sample(&mut random, membership::LOCAL_PEERS)
                .chain(far.sample(&mut random, membership::REMOTE_PEERS))
                .copied()
                .filter(|vm| Some(*vm) != dead)
                .collect();
            for peer in chosen {
                self.exchange(caller, peer);
            }
        }
    }

    fn exchange(&mut self, caller: usize, peer: usize) {
        let asked = self.tables[caller].beats(membership::MAX_BEATS, self.now);
        for beat in &asked {
            self.tables[peer].apply_beat(*beat, self.now);
        }
        let answer = self.tables[peer].beats_newer_than(&asked, membership::MAX_BEATS, self.now);
        for beat in answer {
            self.tables[caller].apply_beat(beat, self.now);
        }
    }

    fn wrongly_dead(&self) -> usize {
        let alive = |table: &membership::MemberTable| {
            let alive = |name: &&String| !table.is_alive(name, self.now);
            self.names.iter().filter(alive).count()
        };
        self.tables.iter().map(alive).sum()
    }

    fn all_found_dead(&self, dead: usize) -> bool {
        self.tables
            .iter()
            .enumerate()
            .filter(|(vm, _)| *vm != dead)
            .all(|(_, table)| !table.is_alive(&self.names[dead], self.now))
    }
}
