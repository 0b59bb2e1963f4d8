//! [`DeploymentProfile`]: the two deployments that persimmontack serves today.

use std::str;
use std::time;

/// Sizes and delays of a deployment. `docs/design.md`, "Users and requirements", lists them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeploymentProfile {
    /// Name on the command line.
    pub name: &'static str,
    /// Data centres.
    pub data_centres: usize,
    /// One-way delay between data centres.
    pub between_centres: time::Duration,
    /// One-way delay between callers and entries.
    pub to_callers: time::Duration,
    /// Groups, each of three upstreams.
    pub groups: usize,
    /// Statements that an upstream runs at once.
    pub slots: u32,
    /// Connections that an upstream accepts.
    pub connections: u32,
    /// Time to open a connection to an upstream.
    pub open_delay: time::Duration,
}

/// Psalmhand's order-ledger service.
pub const PSALMHAND: DeploymentProfile = DeploymentProfile {
    name: "psalmhand",
    data_centres: 4,
    between_centres: time::Duration::from_micros(1_500),
    to_callers: time::Duration::from_millis(3),
    groups: 3,
    slots: 3,
    connections: 20,
    open_delay: time::Duration::from_millis(10),
};

/// Bluebonnet's index-core service.
pub const BLUEBONNET: DeploymentProfile = DeploymentProfile {
    name: "bluebonnet",
    data_centres: 3,
    between_centres: time::Duration::from_millis(1),
    to_callers: time::Duration::from_millis(3),
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
