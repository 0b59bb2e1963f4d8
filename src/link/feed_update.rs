//! [`FeedUpdate`]: upstream states that a pool pushes to entries.

use std::time;

use serde::{Deserialize, Serialize};

use crate::model::upstream_state;

/// A pool's report on one upstream that it owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// Last state reported by the upstream.
    pub state: upstream_state::UpstreamState,
    /// False while the control connection to the upstream is down.
    pub reachable: bool,
    /// Estimated time that a batch waits for a slot.
    pub wait: time::Duration,
}

/// Changes since the last update on the same stream. The first update holds all upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedUpdate {
    /// Changed upstreams.
    pub reports: Vec<UpstreamReport>,
    /// True once the pool accepts no new units of work.
    pub leaving: bool,
}
