//! Generates the faults of a run and their times from a seed.
//!
//! Adding, removing or reordering draws from the random generator changes the schedule of every
//! seed.

use std::fmt;
use std::time;

use rand::{RngExt, SeedableRng};
use standins::platform::fault_plan;

use crate::soak::{fault, topology};

/// Time without faults at the start, so that each run begins with a working deployment.
const FAULT_FREE_START: time::Duration = time::Duration::from_secs(3);
/// Probability that a second fault overlaps with a fault.
const OVERLAP_PROBABILITY: f64 = 0.65;
/// Probability that a fault on a database instance targets the primary.
const PRIMARY_PROBABILITY: f64 = 0.4;

/// A fault with its start and duration.
#[derive(Clone, Debug)]
pub struct PlannedFault {
    /// Time since the start of the run.
    pub starts_at: time::Duration,
    /// Time from the start until the fault is removed.
    pub duration: time::Duration,
    /// What fails, and its parameters.
    pub kind: fault::FaultKind,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:8.3} s for {:6.3} s: {}",
            self.starts_at.as_secs_f64(),
            self.duration.as_secs_f64(),
            self.kind
        )
    }
}

/// Generates the faults of a run. The same seed, duration and topology give the same schedule.
pub fn generate(
    seed: u64,
    total: time::Duration,
    topology: &topology::SoakTopology,
) -> Vec<PlannedFault> {
    let mut generator = FaultGenerator {
        random: rand::rngs::StdRng::seed_from_u64(seed),
        topology: topology.clone(),
    };
    let mut faults = Vec::new();
    let mut next_start = FAULT_FREE_START;
    while next_start < total {
        let first = generator.random_fault(next_start);
        let mut ends_at = first.starts_at + first.duration;
        if generator.random.random_bool(OVERLAP_PROBABILITY) {
            let offset = first
                .duration
                .mul_f64(generator.random.random_range(0.0..1.0));
            let second = generator.random_fault(first.starts_at + offset);
            ends_at = ends_at.max(second.starts_at + second.duration);
            faults.push(first);
            faults.push(second);
        } else {
            faults.push(first);
        }
        next_start = ends_at + generator.random_duration(200, 1_200);
    }
    faults
}

struct FaultGenerator {
    random: rand::rngs::StdRng,
    topology: topology::SoakTopology,
}

impl FaultGenerator {
    fn random_fault(&mut self, starts_at: time::Duration) -> PlannedFault {
        let (kind, range_ms) = match self.random.random_range(0..100) {
            0..16 => (fault::FaultKind::Kill(self.random_target()), (100, 5_000)),
            16..32 => (fault::FaultKind::Freeze(self.random_target()), (200, 8_000)),
            32..42 => (fault::FaultKind::Stop(self.random_target()), (500, 5_000)),
            42..46 => {
                let (first, second) = self.random_data_centre_pair();
                (fault::FaultKind::Cut(first, second), (500, 8_000))
            }
            46..50 => {
                let (first, second) = self.random_data_centre_pair();
                (fault::FaultKind::HoldBoth(first, second), (500, 8_000))
            }
            50..56 => {
                let (first, second) = self.random_data_centre_pair();
                (fault::FaultKind::HoldOneWay(first, second), (500, 8_000))
            }
            56..60 => (
                fault::FaultKind::Isolate(self.random_data_centre()),
                (500, 8_000),
            ),
            60..65 => {
                let (first, second) = self.random_data_centre_pair();
                let delay = self.random.random_range(5..300);
                (
                    fault::FaultKind::Delay(first, second, delay),
                    (1_000, 8_000),
                )
            }
            65..68 => (
                fault::FaultKind::PlatformUnreachable(self.random_data_centre()),
                (500, 10_000),
            ),
            68..70 => (
                fault::FaultKind::PlatformResponsesHeld(self.random_data_centre()),
                (500, 10_000),
            ),
            70..76 => (
                fault::FaultKind::Silence(self.random_target()),
                (1_000, 1_001),
            ),
            76..80 => {
                let outage = match self.random.random_bool(0.5) {
                    true => fault_plan::OutageKind::Refuse,
                    false => fault_plan::OutageKind::Hang,
                };
                // Leases last 5 s by default, so some outages last longer than the leases.
                (fault::FaultKind::Outage(outage), (1_000, 20_000))
            }
            80..83 => {
                let delay = self.random.random_range(50..1_500);
                (fault::FaultKind::Slow(delay), (1_000, 10_000))
            }
            83..86 => {
                let count = self.random.random_range(1..6);
                (fault::FaultKind::LostAnswers(count), (1_000, 4_000))
            }
            86..89 => {
                let delay = self.random.random_range(500..6_000);
                let upstream = self.random_upstream();
                (fault::FaultKind::Lag(upstream, delay), (1_000, 8_000))
            }
            89..93 => (fault::FaultKind::ConcurrentRuleChanges, (1_000, 1_001)),
            93..97 => {
                let group = self.random_group();
                let upstreams = topology::SoakTopology::upstreams(&group);
                let upstream = self.choose(&upstreams);
                (fault::FaultKind::Promote(group, upstream), (1_000, 1_001))
            }
            _ => {
                let target = if self.random.random_bool(0.5) {
                    format!("upstream={}", self.random_upstream())
                } else {
                    format!("vm={}", self.random_vm())
                };
                (fault::FaultKind::Drain(target), (2_000, 8_000))
            }
        };
        PlannedFault {
            starts_at,
            duration: self.random_duration(range_ms.0, range_ms.1),
            kind,
        }
    }

    /// Returns the smaller of two random durations, so that short ones are more frequent.
    fn random_duration(&mut self, min_ms: u64, end_ms: u64) -> time::Duration {
        let sample = self.random.random_range(min_ms..end_ms);
        let second_sample = self.random.random_range(min_ms..end_ms);
        time::Duration::from_millis(sample.min(second_sample))
    }

    /// Chooses a database instance (or the primary of a group) or a daemon of a VM.
    fn random_target(&mut self) -> fault::FaultTarget {
        let program = self.random.random_range(0..10);
        let daemon = match program {
            0..4 if self.random.random_bool(PRIMARY_PROBABILITY) => {
                return fault::FaultTarget::Primary(self.random_group());
            }
            0..4 => return fault::FaultTarget::Process(self.random_upstream()),
            4..6 => "entry",
            6..8 => "pool",
            _ => "keeper",
        };
        fault::FaultTarget::Process(format!("{}-{daemon}", self.random_vm()))
    }

    fn random_group(&mut self) -> String {
        self.choose(&topology::GROUPS.map(str::to_owned))
    }

    fn random_upstream(&mut self) -> String {
        let group = self.random_group();
        self.choose(&topology::SoakTopology::upstreams(&group))
    }

    fn random_vm(&mut self) -> String {
        let vms = self.topology.vms();
        self.choose(&vms)
    }

    fn random_data_centre(&mut self) -> usize {
        self.random.random_range(0..self.topology.data_centres)
    }

    /// Returns two different data centres.
    fn random_data_centre_pair(&mut self) -> (usize, usize) {
        let first = self.random_data_centre();
        let step = self.random.random_range(1..self.topology.data_centres);
        (first, (first + step) % self.topology.data_centres)
    }

    fn choose(&mut self, names: &[String]) -> String {
        let index = self.random.random_range(0..names.len());
        names.get(index).cloned().unwrap_or_default()
    }
}
