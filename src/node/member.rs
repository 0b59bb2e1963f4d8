//! [`MemberEntry`]: the entry of a VM in the member list of the store.

use std::net;

use serde::{Deserialize, Serialize};

use crate::model::ids;

/// The entry of a VM in the member list of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Data centre of the VM.
    pub data_centre: ids::DataCentreId,
    /// Address at which other VMs connect to the VM.
    pub address: net::SocketAddr,
}
