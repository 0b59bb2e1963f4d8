//! Frames between a VM that asks for changes of the tables and a follower.

use std::time;

use serde::{Deserialize, Serialize};

use crate::node::tables::table_origin;
use crate::node::{config, edge};

/// Asks a follower for the changes after a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableQuery {
    /// Revision that the VM has.
    pub after: edge::RevisionNumber,
    /// Version of its configuration. A restored store may have an older one than other VMs.
    pub config: config::ConfigVersion,
    /// Time for which the follower may wait for a change before it answers.
    pub wait: time::Duration,
}

/// Answer of a follower.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TableReply {
    /// The changes after the revision of the query.
    Changes(TableReport),
    /// The follower no longer has the history since that revision; this is the full listing.
    Listing(TableReport),
    /// The follower does not reach the store, or is behind a restore of it. It has a configuration to
    /// pass on if that is newer than the one of the query.
    Unavailable(Option<Box<ConfigReport>>),
}

/// A configuration that a VM passes on although its tables may be old: a version never goes back, so
/// a newer one is right whatever else the VM knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigReport {
    /// The configuration.
    pub config: config::NodeConfig,
    /// VMs that have passed it on, the sender included.
    pub hops: table_origin::HopCount,
}

/// Changes of the tables, and how old the store's answer is on which they rest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableReport {
    /// The changes, oldest first.
    pub changes: Vec<edge::ControlChange>,
    /// Revision that they lead to.
    pub revision: edge::RevisionNumber,
    /// Time since the follower sent the call to the store whose answer was the latest one.
    pub age: time::Duration,
    /// Time for which the sender held the query before it answered.
    pub held: time::Duration,
    /// VMs that have passed the changes on, the sender included.
    pub hops: table_origin::HopCount,
}
