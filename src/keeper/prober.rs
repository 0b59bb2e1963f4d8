//! Probes one upstream: long polls on one control connection, checked by a fresh connection when
//! they fall silent.

use std::mem;
use std::net;
use std::time;

use crate::decide::failover_event;
use crate::dial;
use crate::event;
use crate::keeper::settings;
use crate::keeper::upstream_control;
use crate::model::ids;

/// What to probe, and how.
#[derive(Clone, Debug)]
pub struct ProbeTarget {
    /// The upstream.
    pub upstream: ids::UpstreamId,
    /// Its address.
    pub address: net::SocketAddr,
    /// Database to log in to.
    pub database: ids::DatabaseName,
    /// Dialer of the keeper.
    pub dialer: dial::TcpDialer,
    /// Account on the upstream.
    pub account: settings::UpstreamAccount,
    /// Times.
    pub times: settings::FailoverSettings,
}

/// Connects in a row that follow each other quickly, to find a dead upstream soon.
const QUICK_RETRIES: u32 = 8;
/// Pause between connects to an upstream that has been down for longer or has no free connection;
/// 4 connects a second from each of three keepers.
const IDLE_PAUSE: time::Duration = time::Duration::from_millis(250);

/// Where the results go.
pub type ProbeSender = tokio::sync::mpsc::Sender<failover_event::FailoverEvent>;

impl ProbeTarget {
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

    /// Probes until the receiver of the results is gone.
    pub async fn run(self, sender: ProbeSender) {
        let mut link: Option<(upstream_control::UpstreamControl, u64)> = None;
        let mut silent_since: Option<tokio::time::Instant> = None;
        let mut failures: u32 = 0;
        let mut last = None;
        loop {
            let begun = tokio::time::Instant::now();
            let result = match link.take() {
                None => self.look(self.silence()).await,
                Some((control, version)) => self.poll(control, version).await,
            };
            let (outcome, cause) = match result {
                Ok((control, state)) => {
                    silent_since = None;
                    link = Some((control, state.version));
                    (failover_event::ProbeResult::Answered(state), None)
                }
                Err(error) => {
                    let outcome = match error {
                        upstream_control::ControlError::Refused { .. } => {
                            failover_event::ProbeResult::Refused
                        }
                        upstream_control::ControlError::Silent => {
                            let since = *silent_since.get_or_insert(begun);
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
            let is_change = last.replace(kind) != Some(kind);
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

    /// Logs a change of the result at a level that is on by default, so that a log tells since when
    /// and why an upstream does not answer; repeated failures only at level `debug`.
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
    async fn look(&self, timeout: time::Duration) -> ProbeAnswer {
        let look = async {
            let control = self.connect(timeout).await?;
            let state = control.state().await?;
            Ok((control, state))
        };
        tokio::time::timeout(timeout, look)
            .await
            .unwrap_or(Err(upstream_control::ControlError::Silent))
    }

    /// Waits for a change on `control`. If it stays open for too long, a fresh connection is tried
    /// beside it, and whichever answers first is kept: a connection may lose its state on the way
    /// while new ones work.
    async fn poll(&self, control: upstream_control::UpstreamControl, version: u64) -> ProbeAnswer {
        let wait = time::Duration::from_millis(self.times.probe_wait_ms);
        let recheck = time::Duration::from_millis(self.times.recheck_ms);
        // The upstream may hold the probe for `wait`; silence counts from there.
        let rest = (wait + self.silence()).saturating_sub(recheck);
        let until = tokio::time::Instant::now() + wait + self.silence();
        let state = {
            let answer = control.wait(version, wait);
            tokio::pin!(answer);
            match tokio::time::timeout(recheck, &mut answer).await {
                Ok(state) => state,
                Err(_elapsed) => {
                    let fresh = self.look(rest);
                    tokio::pin!(fresh);
                    tokio::select! {
                        state = &mut answer => state,
                        found = &mut fresh => match found {
                            Ok(found) => return Ok(found),
                            // The open probe has what is left of the time. An upstream that
                            // answers the fresh connection with an error is alive.
                            Err(error) => tokio::time::timeout_at(until, &mut answer)
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
            // The connection broke. A fresh one tells whether somebody still serves the address.
            Err(upstream_control::ControlError::Refused { .. }) => self.look(self.silence()).await,
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
