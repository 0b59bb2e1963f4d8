//! [`PlatformSettings`]: the settings file of `standin-platform`.

use std::net;

use serde::{Deserialize, Serialize};

/// Settings of the platform (TOML).
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// HTTP listener; port 0 lets the system choose.
    pub listen: net::SocketAddr,
    /// Rate limit of writes. Calls above it are refused with 429.
    #[serde(default = "default_writes")]
    pub writes_per_second: u32,
    /// Rate limit of reads. Calls above it are refused with 429.
    #[serde(default = "default_reads")]
    pub reads_per_second: u32,
    /// Delay until a posted VM list takes effect, in milliseconds.
    #[serde(default)]
    pub vm_lag_ms: u64,
}

const fn default_writes() -> u32 {
    400
}

const fn default_reads() -> u32 {
    2000
}
