//! [`GroupSpec`]: a replication group as the platform lists it.

use serde::{Deserialize, Serialize};

use crate::model::{ids, upstream_spec};

/// A replication group: its databases and the upstreams that hold copies of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSpec {
    /// Name of the group.
    pub group: ids::GroupId,
    /// Databases that the group serves.
    pub databases: Vec<ids::DatabaseName>,
    /// Members of the group, currently always three.
    pub upstreams: Vec<upstream_spec::UpstreamSpec>,
}
