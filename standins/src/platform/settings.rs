//! [`PlatformSettings`]: the settings file of `standin-platform`.

use std::net;

use serde::{Deserialize, Serialize};

/// Settings of the platform (TOML).
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// HTTP listener; port 0 lets the system choose.
    pub listen: net::SocketAddr,
    /// Writes served in a second; more get 429.
    #[serde(default = "default_writes")]
    pub writes_per_second: u32,
    /// Reads served in a second; more get 429.
    #[serde(default = "default_reads")]
    pub reads_per_second: u32,
    /// Time by which the VM list lags behind what was posted, in milliseconds.
    #[serde(default)]
    pub vm_lag_ms: u64,
}

const fn default_writes() -> u32 {
    400
}

const fn default_reads() -> u32 {
    2000
}
