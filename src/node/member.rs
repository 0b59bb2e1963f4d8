//! [`MemberEntry`]: what a VM tells the others of itself.

use std::net;

use crate::model::ids;

/// What a VM tells the others of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// Data centre of the VM.
    pub data_centre: ids::DataCentreId,
    /// Where other VMs connect to it.
    pub address: net::SocketAddr,
}
