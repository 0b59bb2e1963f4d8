//! [`PlatformState`]: the simulated platform, which executes promotions.

use std::time;

use persimmontack::model::ids;
use persimmontack::node::edge;

/// How the platform answers calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlatformMode {
    /// Executes them.
    #[default]
    Serves,
    /// Refuses them with an error.
    Refuses,
    /// Neither executes nor answers them.
    Silent,
}

/// Behaviour of the platform and the promotion calls that it received.
#[derive(Clone, Debug, Default)]
pub struct PlatformState {
    /// How the platform answers calls.
    pub mode: PlatformMode,
    /// Time from the answer to a call until the instance is the primary.
    pub promotion_delay: time::Duration,
    /// Delay until a call whose answer is lost is checked and executed.
    pub lost_call_delay: time::Duration,
    /// Accepted calls: the instance and the decision number.
    pub accepted: Vec<(ids::UpstreamId, edge::RevisionNumber)>,
    /// Calls refused because of a later decision: the instance and the decision number.
    pub refused: Vec<(ids::UpstreamId, edge::RevisionNumber)>,
    /// Calling VMs, one entry for each call regardless of its outcome.
    pub callers: Vec<ids::VmId>,
}
