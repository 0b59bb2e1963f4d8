//! Simulated days on which the store turns VMs away, VMs go dark and configurations change, in random
//! order: every VM in touch has each configuration within the bound.
//!
//! `PERSIMMONTACK_SEEDS` sets the number of days, each with a seed of its own.

mod node_support;

use std::collections::BTreeMap;
use std::time::Duration;

use node_support as support;
use persimmontack::node::edge::ControlChange;
use persimmontack::node::limits;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use standins::cluster::cluster_edge::ClusterEdge;
use standins::cluster::cut_table::CutTarget;
use tokio::time::Instant;

/// Time within which an acknowledged configuration has to be in force.
const APPLY_LIMIT: Duration = Duration::from_secs(5);
/// Time without trouble after which a VM is in touch.
const CONTACT_TIME: Duration = Duration::from_secs(5);
const DAY: Duration = Duration::from_secs(40);
const STEP: Duration = Duration::from_millis(50);
/// VMs in each data centre.
const DATA_CENTRES: [(&str, u16); 3] = [("dc-a", 8), ("dc-b", 8), ("dc-c", 8)];
const DEFAULT_SEEDS: u64 = 6;
const SEEDS_VARIABLE: &str = "PERSIMMONTACK_SEEDS";

/// What happens to a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VmTrouble {
    /// It does not reach the store.
    TurnedAway,
    /// It reaches neither the store nor another VM.
    Dark,
}

/// A VM that is in trouble until a time, or was until then.
#[derive(Clone, Copy, Debug)]
struct TroubleSpan {
    trouble: VmTrouble,
    until: Instant,
}

struct ClusterDay {
    edge: ClusterEdge,
    nodes: Vec<support::TestNode>,
    random: SmallRng,
    troubles: BTreeMap<String, TroubleSpan>,
    /// Versions and when they were acknowledged.
    versions: Vec<(u64, Instant)>,
}

impl ClusterDay {
    async fn start(seed: u64) -> Self {
        let edge = support::cluster(22);
        let places = DATA_CENTRES
            .iter()
            .flat_map(|(place, count)| (0..*count).map(move |_| *place));
        let nodes: Vec<_> = (1..)
            .zip(places)
            .map(|(number, place)| support::start(&edge, number, place))
            .collect();
        for node in &nodes {
            node.tables.set_bounds(APPLY_LIMIT, limits::DRAIN_LIMIT);
        }
        for node in &nodes {
            node.wait_until("all members and the list are known", |node| {
                node.tables.members().len() == nodes.len() && node.tables.has_complete_list()
            })
            .await;
        }
        Self {
            edge,
            nodes,
            random: SmallRng::seed_from_u64(seed),
            troubles: BTreeMap::new(),
            versions: vec![(1, Instant::now())],
        }
    }

    fn targets(&self, vm: &str, trouble: VmTrouble) -> Vec<CutTarget> {
        let mut targets = vec![CutTarget::Store];
        if trouble == VmTrouble::Dark {
            let others = self.nodes.iter().map(|node| node.tables.vm.clone());
            targets.extend(others.filter(|other| other != vm).map(CutTarget::Vm));
        }
        targets
    }

    /// Brings trouble to a share of the VMs that have none.
    fn strike(&mut self) {
        let trouble = *[VmTrouble::TurnedAway, VmTrouble::Dark]
            .choose(&mut self.random)
            .expect("a kind");
        let share = self.random.random_range(0.05..0.6);
        let until = Instant::now() + Duration::from_millis(self.random.random_range(300..9_000));
        let vms: Vec<_> = self
            .nodes
            .iter()
            .map(|node| node.tables.vm.clone())
            .collect();
        for vm in vms {
            if self.is_troubled(&vm) || !self.random.random_bool(share) {
                continue;
            }
            for target in self.targets(&vm, trouble) {
                self.edge.network.cuts.cut(&vm, &target);
            }
            self.troubles.insert(vm, TroubleSpan { trouble, until });
        }
    }

    fn is_troubled(&self, vm: &str) -> bool {
        let span = self.troubles.get(vm);
        span.is_some_and(|span| Instant::now() < span.until)
    }

    /// Ends what is over. A dark VM that comes back does not reach those that are dark still.
    fn heal(&mut self) {
        let now = Instant::now();
        let is_dark = |vm: &str| {
            let span = self.troubles.get(vm);
            span.is_some_and(|span| span.trouble == VmTrouble::Dark && now < span.until)
        };
        for (vm, span) in &self.troubles {
            if now < span.until {
                continue;
            }
            for target in self.targets(vm, span.trouble) {
                if !matches!(&target, CutTarget::Vm(other) if is_dark(other)) {
                    self.edge.network.cuts.heal(vm, &target);
                }
            }
        }
    }

    fn publish(&mut self) {
        let version = self.versions.last().map_or(1, |(version, _)| version + 1);
        self.edge
            .change(|state| state.record(ControlChange::Config(support::node_config(version))));
        self.versions.push((version, Instant::now()));
    }

    fn check(&self, seed: u64) {
        let now = Instant::now();
        let due = self
            .versions
            .iter()
            .rfind(|(_, acknowledged)| *acknowledged + APPLY_LIMIT <= now);
        let due = due.map_or(1, |(version, _)| *version);
        for node in &self.nodes {
            let calm_since = self.troubles.get(&node.tables.vm).map(|span| span.until);
            if calm_since.is_some_and(|since| now < since + CONTACT_TIME) {
                continue;
            }
            let version = node.tables.config().map_or(0, |config| config.version);
            assert!(
                version >= due,
                "seed {seed}: {} has version {version}, {due} is due",
                node.tables.vm
            );
        }
    }

    async fn play(mut self, seed: u64) {
        let end = Instant::now() + DAY;
        while Instant::now() < end {
            if self.random.random_bool(0.02) {
                self.strike();
            }
            if self.random.random_bool(0.05) {
                self.publish();
            }
            tokio::time::sleep(STEP).await;
            self.heal();
            self.check(seed);
        }
    }
}

/// Guards against VMs in touch that have a configuration late because of what other VMs miss.
#[test]
fn every_vm_in_touch_has_each_configuration_in_time() {
    let seeds = std::env::var(SEEDS_VARIABLE)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEEDS);
    for seed in 1..=seeds {
        support::block_on(async {
            let day = ClusterDay::start(seed).await;
            day.play(seed).await;
        });
    }
}
