//! [`NodeConfig`]: the operator's configuration in the form that a node uses.

use std::collections;
use std::time;

use serde::{Deserialize, Serialize};

use crate::model::ids;
use crate::node::workspaces::api_key;
use crate::node::{limits, wait_queue};

/// Version of a configuration. A node only ever replaces a version by a higher one.
pub type ConfigVersion = u64;

/// Consistency that a read requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum ReadPolicy {
    /// The read sees every commit that was acknowledged before it arrived.
    #[display("primary")]
    Latest,
    /// The read sees every commit that was acknowledged at least this long before it arrived.
    #[display("bounded")]
    Aged(time::Duration),
    /// As [`Self::Aged`], and the read also sees every write of its own session.
    #[display("session")]
    Session(time::Duration),
}

/// Routing and limits of the statements to one database.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseRoute {
    /// Group of upstreams that holds the database.
    pub group: ids::GroupId,
    /// Consistency of reads.
    pub policy: ReadPolicy,
    /// Timeout of a single statement.
    pub timeout: time::Duration,
    /// Latency goal: an operation that completes within this time has its full value.
    pub goal: time::Duration,
    /// Priority in the wait queue; 0 is the highest.
    pub priority: u8,
    /// Whether callers need no key.
    pub public: bool,
}

impl DatabaseRoute {
    /// Returns the queueing options of a statement that arrived at `started`.
    #[must_use]
    pub fn wait_options(&self, started: tokio::time::Instant) -> wait_queue::WaitOptions {
        wait_queue::WaitOptions {
            priority: self.priority,
            soft_deadline: started + self.goal,
            deadline: started + self.timeout.mul_f64(limits::QUEUE_TIME_SHARE),
        }
    }
}

/// Limits of the operations of a workspace over all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceLimits {
    /// Operations per second.
    pub rate_per_second: f64,
    /// Operations that may come at once.
    pub burst: f64,
}

/// Limits of a group of upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupLimits {
    /// Connections that each upstream accepts from all VMs together.
    pub max_connections: u32,
}

/// The operator's configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeConfig {
    /// Its version.
    pub version: ConfigVersion,
    /// Route of each database.
    pub routes: collections::HashMap<ids::DatabaseName, DatabaseRoute>,
    /// Limits of each group.
    pub groups: collections::HashMap<ids::GroupId, GroupLimits>,
    /// The workspaces, with the limits of those that have some. Without any workspace, no key is
    /// checked and nothing is limited.
    pub workspaces: collections::BTreeMap<ids::WorkspaceName, Option<WorkspaceLimits>>,
    /// Workspace of each key.
    pub keys: collections::HashMap<api_key::ApiKey, ids::WorkspaceName>,
    /// Time after which an idle transaction may be ended, if there is a limit.
    pub transaction_idle: Option<time::Duration>,
}
