//! Link rules that follow from the faults of the network that are in force.

use std::collections;
use std::net;
use std::time;

use standins::fault_link;
use testenv::test_env;

use crate::soak::{fault, place};

/// Where a connection goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkEnd {
    Platform,
    Centre(usize),
}

/// Rules that were set, so that only changes are set again.
#[derive(Debug, Default)]
pub struct NetworkRules {
    set: collections::HashMap<(String, net::IpAddr), fault_link::LinkRule>,
}

impl NetworkRules {
    /// Brings all links in line with the faults in force.
    pub fn enforce(&mut self, env: &test_env::TestEnv, faults: &[fault::FaultKind]) {
        let sources = sources(env);
        for (key, link) in env.links() {
            let end = match key.starts_with(test_env::PLATFORM) {
                true => LinkEnd::Platform,
                false => match place::centre_of(link.address().ip()) {
                    Some(centre) => LinkEnd::Centre(centre),
                    None => continue,
                },
            };
            for source in &sources {
                let Some(from) = place::centre_of(*source) else {
                    continue;
                };
                let rule = rule(from, end, faults);
                let known = self.set.entry((key.clone(), *source)).or_default();
                if *known != rule {
                    *known = rule;
                    link.set_source(*source, Some(rule));
                }
            }
        }
    }
}

fn sources(env: &test_env::TestEnv) -> collections::BTreeSet<net::IpAddr> {
    let vms = env.vms().iter().map(|vm| vm.source);
    let upstreams = env
        .links()
        .iter()
        .filter(|(key, _)| key.ends_with("/listen"));
    vms.chain(upstreams.map(|(_, link)| link.address().ip()))
        .filter(|address| place::centre_of(*address).is_some())
        .collect()
}

fn rule(from: usize, to: LinkEnd, faults: &[fault::FaultKind]) -> fault_link::LinkRule {
    let mut cut = false;
    let (mut holds_to, mut holds_from) = (false, false);
    let mut delay = time::Duration::ZERO;
    for fault in faults {
        match (fault, to) {
            (fault::FaultKind::Cut(one, other), LinkEnd::Centre(to)) => {
                cut |= is_pair(*one, *other, from, to);
            }
            (fault::FaultKind::Hold(one, other), LinkEnd::Centre(to)) => {
                let held = is_pair(*one, *other, from, to);
                holds_to |= held;
                holds_from |= held;
            }
            (fault::FaultKind::OneWay(one, other), LinkEnd::Centre(to)) => {
                holds_to |= (from, to) == (*one, *other);
                holds_from |= (to, from) == (*one, *other);
            }
            (fault::FaultKind::Delay(one, other, millis), LinkEnd::Centre(to))
                if is_pair(*one, *other, from, to) =>
            {
                delay += time::Duration::from_millis(*millis);
            }
            (fault::FaultKind::Isolate(centre), LinkEnd::Centre(to)) => {
                cut |= (from == *centre) != (to == *centre);
            }
            (
                fault::FaultKind::Isolate(centre) | fault::FaultKind::PlatformCut(centre),
                LinkEnd::Platform,
            ) => {
                cut |= from == *centre;
            }
            (fault::FaultKind::PlatformDeaf(centre), LinkEnd::Platform) => {
                holds_from |= from == *centre;
            }
            _ => {}
        }
    }
    let flow = match (holds_to, holds_from) {
        (false, false) => fault_link::FlowRule::Pass,
        (true, false) => fault_link::FlowRule::StopToTarget,
        (false, true) => fault_link::FlowRule::StopFromTarget,
        (true, true) => fault_link::FlowRule::Freeze,
    };
    fault_link::LinkRule { cut, flow, delay }
}

fn is_pair(one: usize, other: usize, from: usize, to: usize) -> bool {
    (from, to) == (one, other) || (to, from) == (one, other)
}
