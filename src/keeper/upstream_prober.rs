//! [`UpstreamProber`]: probes one upstream by long polls on a control connection. When a long poll
//! gets no answer in time, a fresh connection checks whether the upstream is alive.

use std::mem;
use std::net;
use std::time;

use crate::decide::failover_event;
use crate::dial;
use crate::event;
use crate::keeper::settings;
use crate::keeper::upstream_control;
use crate::model::ids;

/// Probes one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamProber {
    /// The upstream.
    pub upstream: ids::UpstreamId,
    /// Its address.
    pub address: net::SocketAddr,
    /// Database to log in to.
    pub database: ids::DatabaseName,
    /// Dialer for connections to the upstream.
    pub dialer: dial::TcpDialer,
    /// Account on the upstream.
    pub account: settings::UpstreamAccount,
    /// Intervals and timeouts of probes.
    pub times: settings::FailoverSettings,
}

/// Number of failed probes in a row that are retried after the short `reconnect_ms`, to detect a
/// dead upstream soon.
const QUICK_RETRIES: u32 = 8;
/// Pause between connection attempts to an upstream that has been down for longer or has no free
/// connection: 4 attempts a second from each of three keepers.
const IDLE_PAUSE: time::Duration = time::Duration::from_millis(250);

/// Sends the results of probes to the group's worker.
pub type EventSender = tokio::sync::mpsc::Sender<failover_event::FailoverEvent>;

impl UpstreamProber {
    async fn connect(
        &self,
        timeout: time::Duration,
    ) -> Result<upstream_control::UpstreamControl, upstream_control::ControlError> {
        let dialer = dial::TcpDialer {
            timeout,
            ..self.dialer
        };
        upstream_control::UpstreamControl::connect(
            &dialer,
            self.address,
            &self.database,
            &self.account,
        )
        .await
    }

    /// Probes until the receiver of the results is dropped.
    pub async fn run(self, sender: EventSender) {
        let mut connection: Option<(upstream_control::UpstreamControl, u64)> = None;
        let mut silent_since: Option<tokio::time::Instant> = None;
        let mut failures: u32 = 0;
        let mut last_kind = None;
        loop {
            let started_at = tokio::time::Instant::now();
            let result = match connection.take() {
                None => self.connect_and_read(self.silence()).await,
                Some((control, version)) => self.long_poll(control, version).await,
            };
            let (outcome, cause) = match result {
                Ok((control, state)) => {
                    silent_since = None;
                    connection = Some((control, state.version));
                    (failover_event::ProbeResult::Answered(state), None)
                }
                Err(error) => {
                    let outcome = match error {
                        upstream_control::ControlError::Refused { .. } => {
                            failover_event::ProbeResult::Refused
                        }
                        upstream_control::ControlError::Silent => {
                            let since = *silent_since.get_or_insert(started_at);
                            failover_event::ProbeResult::Silent(since.elapsed())
                        }
                        upstream_control::ControlError::Answered { .. }
                        | upstream_control::ControlError::Unreadable { .. } => {
                            silent_since = None;
                            failover_event::ProbeResult::Alive
                        }
                    };
                    (outcome, Some(error))
                }
            };
            let kind = mem::discriminant(&outcome);
            let is_change = last_kind.replace(kind) != Some(kind);
            self.log_outcome(cause.as_ref(), is_change);
            let pause = match outcome {
                failover_event::ProbeResult::Answered(_) => {
                    failures = 0;
                    None
                }
                failover_event::ProbeResult::Alive => Some(IDLE_PAUSE),
                _ if failures >= QUICK_RETRIES => Some(IDLE_PAUSE),
                _ => Some(time::Duration::from_millis(self.times.reconnect_ms)),
            };
            failures += u32::from(pause.is_some());
            let probed = failover_event::FailoverEvent::Probed(self.upstream.clone(), outcome);
            if sender.send(probed).await.is_err() {
                return;
            }
            if let Some(pause) = pause {
                tokio::time::sleep(pause).await;
            }
        }
    }

    /// Logs a change of the result at a level that is on by default, so that the log shows since
    /// when and why an upstream does not answer. Repeated failures are logged only at level
    /// `debug`.
    fn log_outcome(&self, cause: Option<&upstream_control::ControlError>, is_change: bool) {
        let (upstream, peer) = (&self.upstream, &self.address);
        match cause {
            None if is_change => {
                event::info("probe_answered", &[("upstream", upstream), ("peer", peer)]);
            }
            None => {}
            Some(cause) => {
                let log = if is_change { event::warn } else { event::debug };
                log(
                    "probe_failed",
                    &[("upstream", upstream), ("peer", peer), ("cause", cause)],
                );
            }
        }
    }

    const fn silence(&self) -> time::Duration {
        time::Duration::from_millis(self.times.silence_ms)
    }

    /// Opens a connection and reads the state, both within `timeout`.
    async fn connect_and_read(&self, timeout: time::Duration) -> ProbeAnswer {
        let read = async {
            let control = self.connect(timeout).await?;
            let state = control.state().await?;
            Ok((control, state))
        };
        tokio::time::timeout(timeout, read)
            .await
            .unwrap_or(Err(upstream_control::ControlError::Silent))
    }

    /// Waits on `control` for a change of the state. If no answer comes within `recheck_ms`, a
    /// fresh connection is tried in parallel and the first of the two to answer is kept: a firewall
    /// or NAT may have dropped the state of an old connection while new connections work.
    async fn long_poll(
        &self,
        control: upstream_control::UpstreamControl,
        version: u64,
    ) -> ProbeAnswer {
        let wait = time::Duration::from_millis(self.times.probe_wait_ms);
        let recheck = time::Duration::from_millis(self.times.recheck_ms);
        // The upstream may hold the probe for `wait`; the silence timeout starts after that.
        let rest = (wait + self.silence()).saturating_sub(recheck);
        let deadline = tokio::time::Instant::now() + wait + self.silence();
        let state = {
            let answer = control.wait(version, wait);
            tokio::pin!(answer);
            match tokio::time::timeout(recheck, &mut answer).await {
                Ok(state) => state,
                Err(_elapsed) => {
                    let fresh = self.connect_and_read(rest);
                    tokio::pin!(fresh);
                    tokio::select! {
                        state = &mut answer => state,
                        found = &mut fresh => match found {
                            Ok(found) => return Ok(found),
                            // The open probe gets the rest of the time. An upstream that answers
                            // the fresh connection with an error is alive.
                            Err(error) => tokio::time::timeout_at(deadline, &mut answer)
                                .await
                                .unwrap_or(Err(match error {
                                    upstream_control::ControlError::Refused { .. } => {
                                        upstream_control::ControlError::Silent
                                    }
                                    error => error,
                                })),
                        },
                    }
                }
            }
        };
        match state {
            Ok(state) => Ok((control, state)),
            // The connection broke. A fresh one shows whether the upstream still serves the
            // address.
            Err(upstream_control::ControlError::Refused { .. }) => {
                self.connect_and_read(self.silence()).await
            }
            Err(error) => Err(error),
        }
    }
}

type ProbeAnswer = Result<
    (
        upstream_control::UpstreamControl,
        crate::model::upstream_state::UpstreamState,
    ),
    upstream_control::ControlError,
>;
