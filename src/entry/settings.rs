//! [`EntrySettings`]: the settings of `persimmon-entry`.

use std::net;
use std::time;

use serde::Deserialize;

use crate::sql::parameters;

/// The settings file. `samples/entry.toml` explains each key.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    pub vm: String,
    pub data_centre: String,
    pub listen: net::SocketAddr,
    pub link: net::SocketAddr,
    pub health: net::SocketAddr,
    pub keeper: net::SocketAddr,
    pub source: Option<net::IpAddr>,
    #[serde(default)]
    pub limits: EntryLimits,
}

/// Limits on sizes and times.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntryLimits {
    pub message_bytes: usize,
    pub batch_bytes: usize,
    pub prepared_statements: usize,
    pub pool_connections: usize,
    #[serde(deserialize_with = "read_time")]
    pub login: time::Duration,
    #[serde(deserialize_with = "read_time")]
    pub connect: time::Duration,
    #[serde(deserialize_with = "read_time")]
    pub replica_wait: time::Duration,
    #[serde(deserialize_with = "read_time")]
    pub read_deadline: time::Duration,
    #[serde(deserialize_with = "read_time")]
    pub write_deadline: time::Duration,
    #[serde(deserialize_with = "read_time")]
    pub confirm_deadline: time::Duration,
    #[serde(deserialize_with = "read_time")]
    pub observe: time::Duration,
    #[serde(deserialize_with = "read_time")]
    pub silence: time::Duration,
    #[serde(deserialize_with = "read_time")]
    pub drain_time: time::Duration,
    #[serde(deserialize_with = "read_time")]
    pub stop_time: time::Duration,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            message_bytes: 16 * 1024 * 1024,
            batch_bytes: 32 * 1024 * 1024,
            prepared_statements: 10_000,
            pool_connections: 4,
            login: time::Duration::from_secs(10),
            connect: time::Duration::from_secs(1),
            replica_wait: time::Duration::from_millis(50),
            read_deadline: time::Duration::from_secs(5),
            write_deadline: time::Duration::from_secs(5),
            confirm_deadline: time::Duration::from_secs(5),
            observe: time::Duration::from_millis(500),
            silence: time::Duration::from_secs(30),
            drain_time: time::Duration::from_secs(3),
            stop_time: time::Duration::from_secs(20),
        }
    }
}

impl EntrySettings {
    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns a message that names the key, the value found and the value expected.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: Self = toml::from_str(text).map_err(|error| error.to_string())?;
        let limits = &settings.limits;
        for (key, value, least) in [
            ("limits.message_bytes", limits.message_bytes, 1024),
            ("limits.batch_bytes", limits.batch_bytes, 1024),
            ("limits.prepared_statements", limits.prepared_statements, 1),
            ("limits.pool_connections", limits.pool_connections, 1),
        ] {
            if value < least {
                return Err(format!(
                    "key {key}: found {value}, expected at least {least}"
                ));
            }
        }
        for (key, value) in [("vm", &settings.vm), ("data_centre", &settings.data_centre)] {
            if value.is_empty() {
                return Err(format!("key {key}: found an empty text, expected a name"));
            }
        }
        Ok(settings)
    }
}

fn read_time<'de, D: serde::Deserializer<'de>>(source: D) -> Result<time::Duration, D::Error> {
    let text = String::deserialize(source)?;
    parameters::parse_duration(&text).ok_or_else(|| {
        serde::de::Error::custom(format!(
            "found \"{text}\", expected a time such as \"500ms\", \"2s\" or \"1min\""
        ))
    })
}
