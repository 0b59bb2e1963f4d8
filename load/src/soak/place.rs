//! [`SoakPlace`]: names of the processes and machines of a run.

use std::net;

/// Groups of a run; each has three upstreams and one database of the same name.
pub const GROUPS: [&str; 2] = ["ledger", "index"];
/// Login users of the callers.
pub const USERS: [&str; 2] = ["parish", "studio"];
/// Password of all callers.
pub const PASSWORD: &str = "pencil";
/// VMs in each data centre.
pub const VMS_PER_CENTRE: usize = 2;
/// Upstreams of a group.
pub const UPSTREAMS_PER_GROUP: usize = 3;

/// Names of the processes and machines of a run. Data centres count from 0.
#[derive(Clone, Debug)]
pub struct SoakPlace {
    /// Number of data centres.
    pub centres: usize,
}

impl SoakPlace {
    /// Returns all VMs.
    pub fn vms(&self) -> Vec<String> {
        let numbers =
            (0..self.centres).flat_map(|centre| (1..=VMS_PER_CENTRE).map(move |vm| (centre, vm)));
        numbers
            .map(|(centre, vm)| format!("vm-{}-{vm}", centre + 1))
            .collect()
    }

    /// Returns all upstreams of a group.
    pub fn upstreams(group: &str) -> Vec<String> {
        (1..=UPSTREAMS_PER_GROUP)
            .map(|number| format!("{group}-{number}"))
            .collect()
    }
}

/// Returns the data centre of a loopback address of the environment, `127.0.<data centre + 1>.n`.
pub fn centre_of(address: net::IpAddr) -> Option<usize> {
    match address {
        net::IpAddr::V4(address) => usize::from(address.octets()[2]).checked_sub(1),
        net::IpAddr::V6(_) => None,
    }
}
