//! [`LinkRules`]: translates the active network faults into rules of the fault-injecting links.

use std::collections;
use std::net;
use std::time;

use standins::fault_link;
use testenv::test_env;

use crate::soak::{fault, topology};

/// The destination of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkTarget {
    Platform,
    DataCentre(usize),
}

/// The rules applied so far, by link and source address, so that only changes are sent to links.
#[derive(Debug, Default)]
pub struct LinkRules {
    applied: collections::HashMap<(String, net::IpAddr), fault_link::LinkRule>,
}

impl LinkRules {
    /// Updates all links to the active faults.
    pub fn apply(&mut self, env: &test_env::TestEnv, faults: &[fault::FaultKind]) {
        let sources = source_addresses(env);
        for (key, link) in env.links() {
            let target = match key.starts_with(test_env::PLATFORM) {
                true => LinkTarget::Platform,
                false => match topology::data_centre_of(link.address().ip()) {
                    Some(data_centre) => LinkTarget::DataCentre(data_centre),
                    None => continue,
                },
            };
            for source in &sources {
                let Some(from) = topology::data_centre_of(*source) else {
                    continue;
                };
                let rule = link_rule(from, target, faults);
                let applied = self.applied.entry((key.clone(), *source)).or_default();
                if *applied != rule {
                    *applied = rule;
                    link.set_source(*source, Some(rule));
                }
            }
        }
    }
}

/// Returns the addresses from which VMs and upstreams connect.
fn source_addresses(env: &test_env::TestEnv) -> collections::BTreeSet<net::IpAddr> {
    let vms = env.vms().iter().map(|vm| vm.source);
    let upstreams = env
        .links()
        .iter()
        .filter(|(key, _)| key.ends_with("/listen"));
    vms.chain(upstreams.map(|(_, link)| link.address().ip()))
        .filter(|address| topology::data_centre_of(*address).is_some())
        .collect()
}

/// Combines all faults that affect connections from one data centre to a target.
fn link_rule(from: usize, to: LinkTarget, faults: &[fault::FaultKind]) -> fault_link::LinkRule {
    let mut cut = false;
    let (mut hold_to_target, mut hold_from_target) = (false, false);
    let mut delay = time::Duration::ZERO;
    for fault in faults {
        match (fault, to) {
            (fault::FaultKind::Cut(first, second), LinkTarget::DataCentre(to)) => {
                cut |= is_between(*first, *second, from, to);
            }
            (fault::FaultKind::HoldBoth(first, second), LinkTarget::DataCentre(to)) => {
                let held = is_between(*first, *second, from, to);
                hold_to_target |= held;
                hold_from_target |= held;
            }
            (fault::FaultKind::HoldOneWay(first, second), LinkTarget::DataCentre(to)) => {
                hold_to_target |= (from, to) == (*first, *second);
                hold_from_target |= (to, from) == (*first, *second);
            }
            (fault::FaultKind::Delay(first, second, millis), LinkTarget::DataCentre(to))
                if is_between(*first, *second, from, to) =>
            {
                delay += time::Duration::from_millis(*millis);
            }
            (fault::FaultKind::Isolate(data_centre), LinkTarget::DataCentre(to)) => {
                cut |= (from == *data_centre) != (to == *data_centre);
            }
            (
                fault::FaultKind::Isolate(data_centre)
                | fault::FaultKind::PlatformUnreachable(data_centre),
                LinkTarget::Platform,
            ) => {
                cut |= from == *data_centre;
            }
            (fault::FaultKind::PlatformResponsesHeld(data_centre), LinkTarget::Platform) => {
                hold_from_target |= from == *data_centre;
            }
            _ => {}
        }
    }
    let flow = match (hold_to_target, hold_from_target) {
        (false, false) => fault_link::FlowRule::Pass,
        (true, false) => fault_link::FlowRule::StopToTarget,
        (false, true) => fault_link::FlowRule::StopFromTarget,
        (true, true) => fault_link::FlowRule::Freeze,
    };
    fault_link::LinkRule { cut, flow, delay }
}

/// Returns whether `from` and `to` are the data centres `first` and `second` in any order.
fn is_between(first: usize, second: usize, from: usize, to: usize) -> bool {
    (from, to) == (first, second) || (to, from) == (first, second)
}
