//! [`PrimaryChange`]: the effect that a decision on the primary of a group will have.

use serde::{Deserialize, Serialize};

use crate::model::{ids, log_position};
use crate::node::edge;

/// The effect that a decision on the primary of a group will have.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryChange {
    /// Last term that the decision ends. Commits of later terms are not affected.
    pub ends: ids::TermNumber,
    /// Successor, if it is known from the start (a planned move).
    pub successor: Option<ids::UpstreamId>,
}

impl PrimaryChange {
    /// Returns whether the change may drop a commit at `position`.
    #[must_use]
    pub const fn may_drop(&self, position: log_position::LogPosition) -> bool {
        position.term <= self.ends
    }
}

/// Notice that a decision has begun, sent to the other hosts of the group, which may forward
/// acknowledgements.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeNotice {
    /// The group.
    pub group: ids::GroupId,
    /// Number of the decision.
    pub number: edge::RevisionNumber,
    /// Effect of the decision.
    pub change: PrimaryChange,
}
