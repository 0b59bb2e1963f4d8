//! [`KeeperSettings`]: the settings file of `persimmon-keeper`. `samples/keeper.toml` explains it.

use std::net;
use std::time;

use serde::Deserialize;

use crate::decide::failover_event;
use crate::model::ids;

/// Name of the program, in its hello message on links and in its log lines.
pub const PROGRAM: &str = "persimmon-keeper";

/// Account with which the keeper logs in to upstreams.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamAccount {
    /// Login user.
    pub user: String,
    /// Password.
    pub password: String,
}

/// Intervals and timeouts of probes and failover, all in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FailoverSettings {
    /// Time that an upstream may hold a long poll while its state does not change.
    pub probe_wait_ms: u64,
    /// Time after which a second connection is opened to check a probe that is still unanswered.
    pub recheck_ms: u64,
    /// Time without an answer after which an upstream counts as down.
    pub silence_ms: u64,
    /// Pause after a failed connection attempt.
    pub reconnect_ms: u64,
    /// Delay by which each rank starts a failover later than the rank before it.
    pub rank_delay_ms: u64,
    /// Time that a candidate with enough fenced upstreams waits for the remaining answers.
    pub settle_ms: u64,
    /// Timeout of a candidacy, and of each of its calls.
    pub candidacy_ms: u64,
    /// Backoff after a failed candidacy, which leaves competing keepers time to complete theirs.
    pub back_off_ms: u64,
    /// Interval at which an upstream that does not follow the primary is told to follow it again.
    pub follow_retry_ms: u64,
    /// Timeout of a planned move of the primary.
    pub planned_ms: u64,
}

impl Default for FailoverSettings {
    fn default() -> Self {
        Self {
            // While nothing changes, this makes five probes a second to each upstream of a group,
            // of about 400 bytes in both directions together.
            probe_wait_ms: 200,
            recheck_ms: 320,
            // Exceeds a scheduling pause on a busy upstream VM. Together with two steps of a
            // candidacy it stays below 1.2 s.
            silence_ms: 600,
            reconnect_ms: 25,
            rank_delay_ms: 250,
            settle_ms: 60,
            candidacy_ms: 600,
            back_off_ms: 200,
            follow_retry_ms: 1_000,
            planned_ms: 5_000,
        }
    }
}

impl FailoverSettings {
    /// Returns the intervals and timeouts of the failover logic.
    #[must_use]
    pub const fn times(&self) -> failover_event::FailoverTimes {
        failover_event::FailoverTimes {
            silence: time::Duration::from_millis(self.silence_ms),
            rank_delay: time::Duration::from_millis(self.rank_delay_ms),
            settle: time::Duration::from_millis(self.settle_ms),
            candidacy: time::Duration::from_millis(self.candidacy_ms),
            back_off: time::Duration::from_millis(self.back_off_ms),
            follow_retry: time::Duration::from_millis(self.follow_retry_ms),
            planned: time::Duration::from_millis(self.planned_ms),
        }
    }
}

/// Timeouts of calls, of the shutdown and of the lease, all in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Timeout of a connection attempt or a call to another process or to the platform.
    pub call_ms: u64,
    /// Time between the announcement that the keeper leaves and its exit.
    pub drain_ms: u64,
    /// Time to live of the VM's lease.
    pub lease_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            call_ms: 1_000,
            drain_ms: 1_000,
            lease_ms: 5_000,
        }
    }
}

/// The settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeeperSettings {
    /// Name of the VM.
    pub vm: ids::VmId,
    /// Data centre of the VM.
    pub data_centre: ids::DataCentreId,
    /// Listener for links from the system's other processes.
    pub link: net::SocketAddr,
    /// Listener for metrics, readiness and liveness.
    pub health: net::SocketAddr,
    /// Local address of outgoing connections.
    pub source: Option<net::IpAddr>,
    /// Address of the platform.
    pub platform: net::SocketAddr,
    /// Keepers to gossip with while no other VM is known, for instance because the platform is
    /// down.
    #[serde(default)]
    pub peers: Vec<net::SocketAddr>,
    /// Account on the upstreams.
    pub upstream: UpstreamAccount,
    /// Intervals and timeouts of probes and failover.
    #[serde(default)]
    pub failover: FailoverSettings,
    /// Timeouts.
    #[serde(default)]
    pub limits: LimitSettings,
}

impl KeeperSettings {
    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns a message that names the key, its value and what was expected.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: Self = toml::from_str(text).map_err(|error| error.to_string())?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), String> {
        for (key, value) in [("vm", &self.vm), ("data_centre", &self.data_centre)] {
            if value.trim().is_empty() {
                return Err(format!("{key} = {value:?}: expected a name"));
            }
        }
        let times = &self.failover;
        for (key, value, least, reason) in [
            ("failover.probe_wait_ms", times.probe_wait_ms, 10, "10 ms"),
            (
                "failover.recheck_ms",
                times.recheck_ms,
                times.probe_wait_ms + 1,
                "more than failover.probe_wait_ms",
            ),
            (
                "failover.silence_ms",
                times.silence_ms,
                times.recheck_ms + 1,
                "more than failover.recheck_ms",
            ),
            ("failover.reconnect_ms", times.reconnect_ms, 5, "5 ms"),
            ("failover.candidacy_ms", times.candidacy_ms, 50, "50"),
            ("failover.planned_ms", times.planned_ms, 100, "100"),
            ("limits.call_ms", self.limits.call_ms, 10, "10 ms"),
            ("limits.lease_ms", self.limits.lease_ms, 100, "100"),
        ] {
            if value < least {
                return Err(format!("{key} = {value}: expected at least {reason}"));
            }
        }
        Ok(())
    }
}
