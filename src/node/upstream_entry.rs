//! [`UpstreamEntry`]: the entry of an upstream in the store's list.

use std::net;

use serde::{Deserialize, Serialize};

use crate::model::ids;
use crate::node::entry_age;

/// The entry of an upstream in the store's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Its id.
    pub upstream: ids::UpstreamId,
    /// Its group.
    pub group: ids::GroupId,
    /// Its address.
    pub address: net::SocketAddr,
    /// Its data centre.
    pub data_centre: ids::DataCentreId,
    /// Number of statements that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving the group and takes no new work.
    pub leaving: bool,
    /// Whether it reports to be the primary.
    pub primary: bool,
    /// Identifies one run of the upstream; state from an earlier run is lost.
    pub incarnation: ids::IncarnationId,
    /// Increases with each change that the upstream writes in one run.
    pub sequence: u64,
}

impl UpstreamEntry {
    /// Returns the age of this entry.
    #[must_use]
    pub const fn age(&self) -> entry_age::EntryAge {
        entry_age::EntryAge {
            incarnation: self.incarnation,
            sequence: self.sequence,
        }
    }
}
