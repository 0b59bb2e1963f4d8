//! [`PrimaryChange`]: what a decision on the primary of a group is about to change.

use serde::{Deserialize, Serialize};

use crate::model::{ids, log_position};
use crate::node::edge;

/// What a decision on the primary of a group is about to change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryChange {
    /// Last term that it ends. Commits of later terms are not at stake.
    pub ends: ids::TermNumber,
    /// Upstream that takes over, if that is known from the start.
    pub successor: Option<ids::UpstreamId>,
}

impl PrimaryChange {
    /// Tells whether a commit at `position` may be dropped by the change.
    #[must_use]
    pub const fn may_drop(&self, position: log_position::LogPosition) -> bool {
        position.term <= self.ends
    }
}

/// A decision that has begun, told to the VMs that may pass on acknowledgements.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeNotice {
    /// The group.
    pub group: ids::GroupId,
    /// Number of the decision.
    pub number: edge::RevisionNumber,
    /// What it changes.
    pub change: PrimaryChange,
}
