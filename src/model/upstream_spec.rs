//! [`UpstreamSpec`]: the platform's description of one database instance.

use std::net;

use serde::{Deserialize, Serialize};

use crate::model::ids;

/// One database instance of a group, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamSpec {
    /// Name of the instance.
    pub upstream: ids::UpstreamId,
    /// Data centre in which it runs.
    pub data_centre: ids::DataCentreId,
    /// Address of its PostgreSQL listener.
    pub address: net::SocketAddr,
    /// Statements that it can run at once.
    pub slots: u32,
    /// Connections that it accepts at once.
    pub connections: u32,
    /// True once the instance must get no new work.
    #[serde(default)]
    pub leaving: bool,
}
