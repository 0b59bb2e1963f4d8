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
    /// Its password; without one every password is accepted.
    #[serde(default)]
    pub password: Option<String>,
    /// Statements that run at once.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// Client connections; more are refused with 53300.
    #[serde(default = "default_connections")]
    pub max_connections: usize,
    /// Time to open a connection, in milliseconds.
    #[serde(default)]
    pub open_delay_ms: u64,
    /// Delay until a follower holds an entry that arrived, in milliseconds.
    #[serde(default)]
    pub receive_delay_ms: u64,
    /// Delay until a held entry is visible on a follower, in milliseconds.
    #[serde(default)]
    pub apply_delay_ms: u64,
    /// Time for which each statement holds its slot, in microseconds.
    #[serde(default)]
    pub statement_us: u64,
    /// Journal file; it is created if absent.
    pub journal: path::PathBuf,
    /// Whether statements are written to the journal. Measurements of throughput switch it off.
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
