//! [`UpstreamEntry`]: what the store's list says of an upstream.

use std::net;

use crate::model::ids;

/// What the store's list says of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Its id.
    pub upstream: ids::UpstreamId,
    /// Its group.
    pub group: ids::GroupId,
    /// Its address.
    pub address: net::SocketAddr,
    /// Its data centre.
    pub data_centre: ids::DataCentreId,
    /// Statements that it runs at a time.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether it believes to be the primary.
    pub primary: bool,
    /// Start of this life of the upstream; another one knows nothing of before.
    pub incarnation: ids::IncarnationId,
}
