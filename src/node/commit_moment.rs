//! [`CommitMoment`]: when a commit was sent.

use std::time;

use crate::model::log_position;
use crate::node::{edge, group, pool};

/// When a commit was sent, and where the log of its upstream ended then at least.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommitMoment {
    /// When it was sent, by [`edge::NodeEdge::boot_time`].
    pub sent_at: time::Duration,
    /// Highest position that the upstream had reported before.
    pub earlier: Option<log_position::LogPosition>,
}

impl CommitMoment {
    /// Returns the moment of a commit that is about to be sent.
    #[must_use]
    pub fn now<E: edge::NodeEdge>(pool: &pool::UpstreamPool<E>, group: &group::GroupState) -> Self {
        Self {
            sent_at: pool.boot_time(),
            earlier: group.newest_reported(),
        }
    }
}
