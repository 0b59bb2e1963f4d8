//! [`InstanceSettings`]: the settings file of `standin-instance`.

use std::net;
use std::path;

use serde::{Deserialize, Serialize};

/// Settings of one instance (TOML).
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Name of the instance.
    pub upstream: String,
    /// Listener for clients and followers; port 0 lets the system choose.
    pub listen: net::SocketAddr,
    /// Local address of outgoing connections to a primary.
    #[serde(default)]
    pub source: Option<net::IpAddr>,
    /// Account that may log in.
    pub user: String,
    /// Password of the account. Without one, no password is requested.
    #[serde(default)]
    pub password: Option<String>,
    /// Number of statements that may run at once.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// Limit on client connections. Further ones are refused with 53300.
    #[serde(default = "default_connections")]
    pub max_connections: usize,
    /// Time to open a connection, in milliseconds.
    #[serde(default)]
    pub open_delay_ms: u64,
    /// Delay until a follower adds an arrived entry to its log, in milliseconds.
    #[serde(default)]
    pub receive_delay_ms: u64,
    /// Delay until a follower applies an entry of its log, in milliseconds.
    #[serde(default)]
    pub apply_delay_ms: u64,
    /// Time for which each statement holds its slot, in microseconds.
    #[serde(default)]
    pub statement_us: u64,
    /// Journal file; it is created if absent.
    pub journal: path::PathBuf,
    /// Whether statements are written to the journal. Throughput measurements disable it.
    #[serde(default = "default_journal_statements")]
    pub journal_statements: bool,
}

const fn default_slots() -> usize {
    3
}

const fn default_connections() -> usize {
    20
}

const fn default_journal_statements() -> bool {
    true
}
