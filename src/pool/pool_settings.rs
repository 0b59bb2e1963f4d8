//! [`PoolSettings`]: the settings file of `persimmon-pool`.

use std::net;
use std::time;

use serde::Deserialize;

use crate::decide::schedule_limits;
use crate::model::ids;

/// Account of the pool on the upstreams.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamAccount {
    /// Login user.
    pub user: String,
    /// Password.
    pub password: String,
}

/// Limits of the pool; times are in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolLimits {
    /// Timeout of opening a connection.
    pub connect_ms: u64,
    /// Longest time to wait for running units at a shutdown.
    pub stop_ms: u64,
    /// Time without open or new units after which a pool that is shutting down ends.
    pub quiet_ms: u64,
    /// Limit of batches that wait for a slot of one upstream.
    pub max_waiting: usize,
    /// Number of idle connections that are kept open in advance for each owned upstream.
    pub warm_connections: usize,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            connect_ms: 1_000,
            stop_ms: 30_000,
            quiet_ms: 500,
            max_waiting: 1_000,
            warm_connections: 2,
        }
    }
}

impl PoolLimits {
    /// Returns the timeout of opening a connection.
    #[must_use]
    pub const fn connect(&self) -> time::Duration {
        time::Duration::from_millis(self.connect_ms)
    }
}

/// Settings of the queues.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QueueTuning {
    /// Order in which slots are granted.
    pub policy: schedule_limits::QueuePolicy,
    /// Mean slot time in milliseconds from which a statement counts as long.
    pub long_after_ms: u64,
}

impl Default for QueueTuning {
    fn default() -> Self {
        Self {
            policy: schedule_limits::QueuePolicy::default(),
            long_after_ms: 50,
        }
    }
}

/// The settings file of `persimmon-pool`; `samples/pool.toml` describes each key.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSettings {
    /// Name of this VM.
    pub vm: ids::VmId,
    /// Data centre of this VM.
    pub data_centre: ids::DataCentreId,
    /// Listener for entries.
    pub link: net::SocketAddr,
    /// HTTP listener for metrics and readiness.
    pub health: net::SocketAddr,
    /// Link listener of the keeper on this VM.
    pub keeper: net::SocketAddr,
    /// Local address of outgoing connections.
    #[serde(default)]
    pub source: Option<net::IpAddr>,
    /// Account on the upstreams.
    pub upstream: UpstreamAccount,
    /// Limits.
    #[serde(default)]
    pub limits: PoolLimits,
    /// Queues.
    #[serde(default)]
    pub queue: QueueTuning,
}

impl PoolSettings {
    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns a message that names the key, its value and what was expected.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: Self = toml::from_str(text).map_err(|error| error.to_string())?;
        for (key, value) in [("vm", &settings.vm), ("data_centre", &settings.data_centre)] {
            if value.trim().is_empty() {
                return Err(format!("{key} = {value:?}: expected a name"));
            }
        }
        if settings.upstream.user.is_empty() {
            return Err("upstream.user = \"\": expected a login user".to_owned());
        }
        for (key, value) in [
            ("limits.connect_ms", settings.limits.connect_ms),
            ("limits.max_waiting", settings.limits.max_waiting as u64),
            ("queue.long_after_ms", settings.queue.long_after_ms),
        ] {
            if value == 0 {
                return Err(format!("{key} = 0: expected at least 1"));
            }
        }
        Ok(settings)
    }
}
