//! Which VMs a VM tells of a new configuration.

use std::collections::{BTreeMap, BTreeSet};

use persimmontack::decide::config_ring;

fn members(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("vm-{number}")).collect()
}

/// Returns the most steps over which a version reaches a VM from `first`, or `None` if it does not reach all
/// living VMs.
fn steps(members: &[String], dark: &BTreeSet<String>, first: &str) -> Option<usize> {
    let mut reached: BTreeMap<String, usize> = [(first.to_owned(), 0)].into();
    let mut waiting = vec![first.to_owned()];
    while !waiting.is_empty() {
        let vm = waiting.remove(0);
        let step = reached[&vm] + 1;
        for tried in config_ring::choose_told(&vm, members.iter().map(String::as_str)) {
            let told = tried.into_iter().find(|other| !dark.contains(other));
            if let Some(told) = told.filter(|told| !reached.contains_key(told)) {
                reached.insert(told.clone(), step);
                waiting.push(told);
            }
        }
    }
    let living = members.len() - dark.len();
    (reached.len() == living).then(|| reached.into_values().max().unwrap_or_default())
}

/// Guards against VMs that nobody tells, and against a chain that grows with the members.
#[test]
fn a_version_reaches_every_vm_in_few_steps() {
    for (count, most) in [(1, 0), (2, 1), (8, 4), (125, 12), (3_000, 24)] {
        let members = members(count);
        let taken = steps(&members, &BTreeSet::new(), "vm-0");
        assert!(
            taken.is_some_and(|taken| taken <= most),
            "{count}: {taken:?}"
        );
    }
}

/// Guards against VMs that nobody tells because those that would have are dark.
#[test]
fn a_version_reaches_the_living_vms_beside_dark_ones() {
    arbtest::arbtest(|random| {
        let members = members(125);
        let dark: BTreeSet<_> = members[1..]
            .iter()
            .filter(|_| random.ratio(2, 5).unwrap_or(false))
            .cloned()
            .collect();
        let taken = steps(&members, &dark, "vm-0");
        assert!(taken.is_some(), "dark: {}", dark.len());
        Ok(())
    });
}
