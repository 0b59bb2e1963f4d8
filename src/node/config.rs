//! [`NodeConfig`]: the operator's configuration as a node uses it.

use std::collections;
use std::time;

use crate::model::ids;
use crate::node::{limits, wait_queue};

/// Number of a configuration. A higher one replaces a lower one; a node never goes back.
pub type ConfigVersion = u64;

/// What a read has to see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ReadPolicy {
    /// Everything acknowledged before the read.
    #[display("primary")]
    Latest,
    /// Everything acknowledged longer ago than this.
    #[display("bounded")]
    Aged(time::Duration),
    /// As [`Self::Aged`], and everything that the session wrote.
    #[display("session")]
    Session(time::Duration),
}

/// How statements to one database are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DatabaseRoute {
    /// Group of upstreams that holds the database.
    pub group: ids::GroupId,
    /// What reads have to see.
    pub policy: ReadPolicy,
    /// Limit of a single statement.
    pub timeout: time::Duration,
    /// Time within which an operation is useful in full.
    pub goal: time::Duration,
    /// Order among waiting statements; 0 goes first.
    pub priority: u8,
}

impl DatabaseRoute {
    /// Returns when a statement that arrived at `started` has to have a connection.
    #[must_use]
    pub fn wait_options(&self, started: tokio::time::Instant) -> wait_queue::WaitOptions {
        wait_queue::WaitOptions {
            priority: self.priority,
            soft_deadline: started + self.goal,
            deadline: started + self.timeout.mul_f64(limits::QUEUE_TIME_SHARE),
        }
    }
}

/// Limits of a group of upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupLimits {
    /// Connections that each upstream accepts from all VMs together.
    pub max_connections: u32,
}

/// The operator's configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeConfig {
    /// Its number.
    pub version: ConfigVersion,
    /// Route of each database.
    pub routes: collections::HashMap<ids::DatabaseName, DatabaseRoute>,
    /// Limits of each group.
    pub groups: collections::HashMap<ids::GroupId, GroupLimits>,
    /// Time after which an idle transaction may be ended.
    pub transaction_idle: Option<time::Duration>,
}
