//! [`SoakTopology`]: the data centres, VMs, groups and upstreams of a run.

use std::net;

/// Groups of a run. Each has [`UPSTREAMS_PER_GROUP`] upstreams and a database of the same name.
pub const GROUPS: [&str; 2] = ["ledger", "index"];
/// Users as which clients log in.
pub const USERS: [&str; 2] = ["parish", "studio"];
/// Password of all users.
pub const PASSWORD: &str = "pencil";
/// Number of VMs in each data centre.
pub const VMS_PER_DATA_CENTRE: usize = 2;
/// Number of upstreams of a group.
pub const UPSTREAMS_PER_GROUP: usize = 3;

/// The size of a deployment, from which the names of its VMs follow. Data centres count from 0.
#[derive(Clone, Debug)]
pub struct SoakTopology {
    /// Number of data centres, at least 2.
    pub data_centres: usize,
}

impl SoakTopology {
    /// Returns the names of all VMs.
    pub fn vms(&self) -> Vec<String> {
        let numbers = (0..self.data_centres)
            .flat_map(|data_centre| (1..=VMS_PER_DATA_CENTRE).map(move |vm| (data_centre, vm)));
        numbers
            .map(|(data_centre, vm)| format!("vm-{}-{vm}", data_centre + 1))
            .collect()
    }

    /// Returns the names of all upstreams of a group.
    pub fn upstreams(group: &str) -> Vec<String> {
        (1..=UPSTREAMS_PER_GROUP)
            .map(|number| format!("{group}-{number}"))
            .collect()
    }
}

/// Returns the data centre of a loopback address, which has the form `127.0.<data centre + 1>.n`.
pub fn data_centre_of(address: net::IpAddr) -> Option<usize> {
    match address {
        net::IpAddr::V4(address) => usize::from(address.octets()[2]).checked_sub(1),
        net::IpAddr::V6(_) => None,
    }
}
