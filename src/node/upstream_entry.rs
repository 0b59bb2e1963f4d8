//! [`UpstreamEntry`]: the entry of an upstream in the store's list.

use std::net;

use crate::model::ids;

/// Incarnation of an upstream that does not tell it.
const UNKNOWN_INCARNATION: ids::IncarnationId = 0;

/// The entry of an upstream in the store's list.
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
    /// Returns whether this entry is from before `known`, in the same run of the upstream. A store that
    /// was restored from a copy may have such a one.
    #[must_use]
    pub const fn is_older_than(&self, known: &EntryAge) -> bool {
        self.incarnation != UNKNOWN_INCARNATION
            && self.incarnation == known.incarnation
            && self.sequence < known.sequence
    }

    /// Returns the age of this entry.
    #[must_use]
    pub const fn age(&self) -> EntryAge {
        EntryAge {
            incarnation: self.incarnation,
            sequence: self.sequence,
        }
    }
}

/// Run of an upstream, and the change in it, that an entry is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryAge {
    incarnation: ids::IncarnationId,
    sequence: u64,
}
