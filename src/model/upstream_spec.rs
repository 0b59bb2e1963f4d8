//! [`UpstreamSpec`]: what the platform says about one database instance.

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
    /// Statements it runs at once.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// True once the instance is to get no new work.
    #[serde(default)]
    pub leaving: bool,
}
