//! [`ObserveRequest`] and [`ObserveReply`]: upstream states read after the request arrived.

use serde::{Deserialize, Serialize};

use crate::model::{ids, upstream_state};

/// Asks for fresh states of upstreams that the pool owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObserveRequest {
    /// Upstreams to read.
    pub upstreams: Vec<ids::UpstreamId>,
}

/// States read by requests that began after [`ObserveRequest`] arrived. Upstreams that did not
/// answer are missing. Each state is sent in a reply of its own as soon as it is known, and the
/// stream ends after the last one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObserveReply {
    /// The fresh state.
    pub state: upstream_state::UpstreamState,
}
