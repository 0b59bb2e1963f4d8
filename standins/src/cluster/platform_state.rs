//! [`PlatformState`]: how the platform carries out promotions.

use std::time;

use persimmontack::model::ids;
use persimmontack::node::edge;

/// How the platform answers calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlatformMode {
    /// It carries them out.
    #[default]
    Serves,
    /// It turns them away.
    Refuses,
    /// It does nothing and does not answer.
    Silent,
}

/// How the platform carries out promotions.
#[derive(Clone, Debug, Default)]
pub struct PlatformState {
    /// How it answers calls.
    pub mode: PlatformMode,
    /// Time from the answer to a call until the instance leads.
    pub promotion_delay: time::Duration,
    /// Time until a call whose answer is lost is checked and carried out.
    pub lost_call_delay: time::Duration,
    /// Calls that were accepted: the instance and the decision.
    pub accepted: Vec<(ids::UpstreamId, edge::RevisionNumber)>,
    /// Calls that were refused for a later decision: the instance and the decision.
    pub refused: Vec<(ids::UpstreamId, edge::RevisionNumber)>,
    /// VMs that called, one entry for each call, whatever came of it.
    pub callers: Vec<ids::VmId>,
}
