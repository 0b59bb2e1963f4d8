//! [`DeploymentProfile`]: sizes and delays of the two deployments that use persimmontack.

use std::str;
use std::time;

/// Sizes and delays of a deployment, from `docs/design.md`, "Users and requirements".
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeploymentProfile {
    /// Value of `--profile` that selects it.
    pub name: &'static str,
    /// Number of data centres.
    pub data_centres: usize,
    /// One-way delay between data centres.
    pub data_centre_delay: time::Duration,
    /// One-way delay between clients and entries.
    pub client_delay: time::Duration,
    /// Number of groups, each with three upstreams.
    pub groups: usize,
    /// Number of statements that an upstream runs at once.
    pub slots: u32,
    /// Number of connections that an upstream accepts.
    pub connections: u32,
    /// Time that an upstream takes to accept a connection.
    pub open_delay: time::Duration,
}

/// Psalmhand's order-ledger service.
pub const PSALMHAND: DeploymentProfile = DeploymentProfile {
    name: "psalmhand",
    data_centres: 4,
    data_centre_delay: time::Duration::from_micros(1_500),
    client_delay: time::Duration::from_millis(3),
    groups: 3,
    slots: 3,
    connections: 20,
    open_delay: time::Duration::from_millis(10),
};

/// Bluebonnet's index-core service.
pub const BLUEBONNET: DeploymentProfile = DeploymentProfile {
    name: "bluebonnet",
    data_centres: 3,
    data_centre_delay: time::Duration::from_millis(1),
    client_delay: time::Duration::from_millis(3),
    groups: 3,
    slots: 3,
    connections: 40,
    open_delay: time::Duration::from_millis(30),
};

impl str::FromStr for DeploymentProfile {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        [PSALMHAND, BLUEBONNET]
            .into_iter()
            .find(|profile| profile.name == text)
            .ok_or_else(|| format!("profile {text:?} is unknown; expected psalmhand or bluebonnet"))
    }
}
