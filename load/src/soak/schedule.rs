//! [`FaultSchedule`]: what happens when, drawn from a seed.

use std::fmt;
use std::time;

use rand::{RngExt, SeedableRng};
use standins::platform::fault_plan;

use crate::soak::{fault, place};

/// Calm at the start, so that each run begins with a working set.
const FIRST_CALM: time::Duration = time::Duration::from_secs(3);
/// Share of faults that overlap with a second one.
const PAIR_SHARE: f64 = 0.65;
/// Share of faults on instances that are aimed at the primary.
const PRIMARY_SHARE: f64 = 0.4;

/// A fault with its times.
#[derive(Clone, Debug)]
pub struct PlannedFault {
    /// Time since the start of the run.
    pub starts: time::Duration,
    /// Time until the fault is healed.
    pub lasts: time::Duration,
    /// The fault.
    pub kind: fault::FaultKind,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:8.3} s for {:6.3} s: {}",
            self.starts.as_secs_f64(),
            self.lasts.as_secs_f64(),
            self.kind
        )
    }
}

/// Draws the faults of a run; the same seed and time give the same schedule.
pub fn draw(seed: u64, total: time::Duration, place: &place::SoakPlace) -> Vec<PlannedFault> {
    let mut drawer = FaultDrawer {
        random: rand::rngs::StdRng::seed_from_u64(seed),
        place: place.clone(),
    };
    let mut faults = Vec::new();
    let mut next = FIRST_CALM;
    while next < total {
        let first = drawer.fault(next);
        let mut ends = first.starts + first.lasts;
        if drawer.random.random_bool(PAIR_SHARE) {
            let offset = first.lasts.mul_f64(drawer.random.random_range(0.0..1.0));
            let second = drawer.fault(first.starts + offset);
            ends = ends.max(second.starts + second.lasts);
            faults.push(first);
            faults.push(second);
        } else {
            faults.push(first);
        }
        next = ends + drawer.millis(200, 1_200);
    }
    faults
}

struct FaultDrawer {
    random: rand::rngs::StdRng,
    place: place::SoakPlace,
}

impl FaultDrawer {
    fn fault(&mut self, starts: time::Duration) -> PlannedFault {
        let (kind, lasts) = match self.random.random_range(0..100) {
            0..16 => (fault::FaultKind::Kill(self.target()), (100, 5_000)),
            16..32 => (fault::FaultKind::Freeze(self.target()), (200, 8_000)),
            32..42 => (fault::FaultKind::Stop(self.target()), (500, 5_000)),
            42..46 => {
                let (one, other) = self.two_centres();
                (fault::FaultKind::Cut(one, other), (500, 8_000))
            }
            46..50 => {
                let (one, other) = self.two_centres();
                (fault::FaultKind::Hold(one, other), (500, 8_000))
            }
            50..56 => {
                let (one, other) = self.two_centres();
                (fault::FaultKind::OneWay(one, other), (500, 8_000))
            }
            56..60 => (fault::FaultKind::Isolate(self.centre()), (500, 8_000)),
            60..65 => {
                let (one, other) = self.two_centres();
                let delay = self.random.random_range(5..300);
                (fault::FaultKind::Delay(one, other, delay), (1_000, 8_000))
            }
            65..68 => (fault::FaultKind::PlatformCut(self.centre()), (500, 10_000)),
            68..70 => (fault::FaultKind::PlatformDeaf(self.centre()), (500, 10_000)),
            70..76 => (fault::FaultKind::Silence(self.target()), (1_000, 1_001)),
            76..80 => {
                let outage = match self.random.random_bool(0.5) {
                    true => fault_plan::OutageKind::Refuse,
                    false => fault_plan::OutageKind::Hang,
                };
                // Leases last 5 s by default, so some outages outlive them.
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
                let upstream = self.upstream();
                (fault::FaultKind::Lag(upstream, delay), (1_000, 8_000))
            }
            89..93 => (fault::FaultKind::RacingRules, (1_000, 1_001)),
            93..97 => {
                let group = self.group();
                let upstreams = place::SoakPlace::upstreams(&group);
                let upstream = self.pick(&upstreams);
                (fault::FaultKind::Promote(group, upstream), (1_000, 1_001))
            }
            _ => {
                let target = if self.random.random_bool(0.5) {
                    format!("upstream={}", self.upstream())
                } else {
                    format!("vm={}", self.vm())
                };
                (fault::FaultKind::Drain(target), (2_000, 8_000))
            }
        };
        PlannedFault {
            starts,
            lasts: self.millis(lasts.0, lasts.1),
            kind,
        }
    }

    /// Draws a time, short ones more often.
    fn millis(&mut self, least: u64, below: u64) -> time::Duration {
        let drawn = self.random.random_range(least..below);
        let again = self.random.random_range(least..below);
        time::Duration::from_millis(drawn.min(again))
    }

    fn target(&mut self) -> fault::FaultTarget {
        let program = self.random.random_range(0..10);
        let daemon = match program {
            0..4 if self.random.random_bool(PRIMARY_SHARE) => {
                return fault::FaultTarget::Primary(self.group());
            }
            0..4 => return fault::FaultTarget::Process(self.upstream()),
            4..6 => "entry",
            6..8 => "pool",
            _ => "keeper",
        };
        fault::FaultTarget::Process(format!("{}-{daemon}", self.vm()))
    }

    fn group(&mut self) -> String {
        self.pick(&place::GROUPS.map(str::to_owned))
    }

    fn upstream(&mut self) -> String {
        let group = self.group();
        self.pick(&place::SoakPlace::upstreams(&group))
    }

    fn vm(&mut self) -> String {
        let vms = self.place.vms();
        self.pick(&vms)
    }

    fn centre(&mut self) -> usize {
        self.random.random_range(0..self.place.centres)
    }

    fn two_centres(&mut self) -> (usize, usize) {
        let one = self.centre();
        let step = self.random.random_range(1..self.place.centres);
        (one, (one + step) % self.place.centres)
    }

    fn pick(&mut self, names: &[String]) -> String {
        let index = self.random.random_range(0..names.len());
        names.get(index).cloned().unwrap_or_default()
    }
}
