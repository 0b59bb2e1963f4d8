//! [`ObserveRequest`] and [`ObserveReply`]: reading fresh upstream states from a pool.

use serde::{Deserialize, Serialize};

use crate::model::{ids, upstream_state};

/// Asks for fresh states of upstreams that the pool owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObserveRequest {
    /// Upstreams to read.
    pub upstreams: Vec<ids::UpstreamId>,
}

/// State of one upstream, read after the [`ObserveRequest`] arrived. Each state is sent in a reply
/// of its own as soon as it is known, and the stream ends after the last one. Upstreams that do not
/// answer get no reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObserveReply {
    /// The fresh state.
    pub state: upstream_state::UpstreamState,
}
