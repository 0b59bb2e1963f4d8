//! [`VmRecord`]: a VM as the platform lists it.

use std::net;

use serde::{Deserialize, Serialize};

use crate::model::ids;

/// A VM that runs the three daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Name of the VM.
    pub vm: ids::VmId,
    /// Data centre in which it runs.
    pub data_centre: ids::DataCentreId,
    /// True once the VM must get no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Address of the keeper's link listener.
    pub keeper: net::SocketAddr,
    /// Address of the pool's link listener.
    pub pool: net::SocketAddr,
    /// Address of the entry's link listener.
    pub entry: net::SocketAddr,
}
