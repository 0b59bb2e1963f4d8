//! Chooses the upstream for a batch, and waits within the batch's deadline until one qualifies.

use std::pin;
use std::sync;
use std::time;

use crate::decide::{read_position, routing};
use crate::entry::{batch, observer, session, unit};
use crate::link::work_request;
use crate::model::{ids, log_position, refusal_reason};

/// Longest wait for a change of the upstream views before they are checked again.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Pause after an observation that confirmed no position.
pub const OBSERVE_PAUSE: time::Duration = time::Duration::from_millis(10);

/// A refusal, with the error message and detail for the client.
#[derive(Debug)]
pub struct RouteRefusal {
    pub reason: refusal_reason::RefusalReason,
    pub text: String,
    pub detail: String,
}

/// The reason why no upstream was found.
#[derive(Debug)]
pub enum RouteFailure {
    ClientGone,
    Refused(RouteRefusal),
}

/// Completes when the client cancels the batch.
pub type CancelNotice<'a, 'b> = pin::Pin<&'a mut tokio::sync::futures::Notified<'b>>;

impl session::ClientSession {
    /// Returns the position that an upstream must have applied to run a read, or a transaction that
    /// may read. Waits for a confirmed position if none is known that is recent enough.
    pub(super) async fn find_position(
        &mut self,
        batch: &batch::ClientBatch,
        deadline: time::Duration,
        mut cancelled: CancelNotice<'_, '_>,
    ) -> Result<log_position::LogPosition, RouteFailure> {
        let tracker = sync::Arc::clone(&self.tracker);
        tracker.record_use(self.context.now());
        let max_age = self.parameters.max_age.or_else(|| {
            let tables = self.context.tables();
            let rule = tables.rules.read_rule(&self.database, &batch.tables);
            rule.map(|rule| rule.max_age)
        });
        let age = max_age.filter(|_| batch.access() == work_request::WorkAccess::Read);
        if let Some(age) = age {
            let now = self.context.now();
            let (min_position, newest) = {
                let history = tracker
                    .history
                    .lock()
                    .unwrap_or_else(sync::PoisonError::into_inner);
                (history.min_position(now, age), history.newest_age(now))
            };
            if let Some(min_position) = min_position {
                if newest.is_none_or(|newest| newest > age / 4) && !tracker.observer.is_running() {
                    let context = sync::Arc::clone(&self.context);
                    tokio::spawn(async move {
                        observer::GroupObserver::confirm(&context, &tracker).await;
                    });
                }
                return Ok(self.positions.min_position(min_position));
            }
        } else if let read_position::ReadRequirement::At(position) = self
            .positions
            .requirement(self.parameters.position.is_some())
        {
            return Ok(position);
        }
        loop {
            let confirm = observer::GroupObserver::confirm(&self.context, &tracker);
            let confirmed = tokio::select! {
                confirmed = confirm => confirmed,
                () = &mut cancelled => return Err(cancelled_refusal()),
                () = self.reader.disconnected() => return Err(RouteFailure::ClientGone),
            };
            if let Some(position) = confirmed {
                if age.is_none() {
                    self.positions.record_observed(position);
                }
                return Ok(self.positions.min_position(position));
            }
            if self.context.now() >= deadline {
                return Err(RouteFailure::Refused(RouteRefusal {
                    reason: refusal_reason::RefusalReason::NoConfirmedPosition,
                    text: "not run: no confirmed primary position could be read in time".to_owned(),
                    detail: format!("step=observe peer={}", self.tracker.group),
                }));
            }
            tokio::time::sleep(OBSERVE_PAUSE).await;
        }
    }

    /// Waits until an upstream qualifies for the batch and returns it. Upstreams in `avoid` are not
    /// used for reads.
    pub(super) async fn find_route(
        &mut self,
        access: work_request::WorkAccess,
        min_position: log_position::LogPosition,
        deadline: time::Duration,
        avoid: &[ids::UpstreamId],
        mut cancelled: CancelNotice<'_, '_>,
    ) -> Result<(routing::RouteChoice, routing::UpstreamView), RouteFailure> {
        let tracker = sync::Arc::clone(&self.tracker);
        tracker.record_use(self.context.now());
        let mut changes = tracker.subscribe();
        let turn = usize::from(rand::random::<u16>());
        let fallback_at = self.context.now() + self.context.settings.limits.replica_wait;
        loop {
            changes.mark_unchanged();
            let views = tracker.views();
            let now = self.context.now();
            let (choice, wake_at) = if access == work_request::WorkAccess::Write {
                (routing::route_write(&views, min_position.term), deadline)
            } else {
                let data_centre = &self.context.settings.data_centre;
                let replica =
                    routing::route_read_in_turn(&views, min_position, data_centre, avoid, turn);
                if replica.is_some() || now < fallback_at {
                    (replica, fallback_at)
                } else {
                    (
                        routing::route_fallback(&views, min_position, avoid),
                        deadline,
                    )
                }
            };
            let view = choice.as_ref().and_then(|choice| {
                views
                    .iter()
                    .find(|view| view.spec.upstream == choice.upstream)
            });
            if let (Some(choice), Some(view)) = (choice.clone(), view) {
                return Ok((choice, view.clone()));
            }
            if now >= deadline {
                let (reason, text) = if access == work_request::WorkAccess::Write {
                    (
                        refusal_reason::RefusalReason::NoPrimary,
                        "not run: no primary can be reached",
                    )
                } else {
                    (
                        refusal_reason::RefusalReason::NoFreshUpstream,
                        "not run: no upstream that is fresh enough can be reached",
                    )
                };
                return Err(RouteFailure::Refused(RouteRefusal {
                    reason,
                    text: text.to_owned(),
                    detail: format!(
                        "step=route peer={} position={min_position}",
                        self.tracker.group
                    ),
                }));
            }
            let pause = wake_at
                .min(deadline)
                .saturating_sub(now)
                .min(CHECK_INTERVAL);
            tokio::select! {
                _changed = changes.changed() => {}
                () = tokio::time::sleep(pause.max(time::Duration::from_millis(1))) => {}
                () = &mut cancelled => return Err(cancelled_refusal()),
                () = self.reader.disconnected() => return Err(RouteFailure::ClientGone),
            }
        }
    }
}

fn cancelled_refusal() -> RouteFailure {
    RouteFailure::Refused(RouteRefusal {
        reason: refusal_reason::RefusalReason::Cancelled,
        text: "not run: the caller cancelled the statement before it was sent".to_owned(),
        detail: "step=route".to_owned(),
    })
}

impl From<RouteFailure> for Result<RouteRefusal, unit::ClientGone> {
    fn from(failure: RouteFailure) -> Self {
        match failure {
            RouteFailure::ClientGone => Err(unit::ClientGone),
            RouteFailure::Refused(refusal) => Ok(refusal),
        }
    }
}
