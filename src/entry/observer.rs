//! [`GroupObserver`]: reads the confirmed position of a group's primary by asking its upstreams,
//! with at most one observation per group at a time.

use std::collections;
use std::sync;

use futures::StreamExt;
use futures::stream;

use crate::decide::read_position;
use crate::entry::{context, group_tracker};
use crate::link::{observe, stream_kind};
use crate::model::{log_position, upstream_spec, upstream_state};

type ObserveWaiter = tokio::sync::oneshot::Sender<Option<log_position::LogPosition>>;

#[derive(Debug, Default)]
struct ObserverState {
    running: bool,
    waiting: Vec<ObserveWaiter>,
}

/// Shares observations among sessions. A session that asks while an observation runs gets the
/// result of the next one, because only that one starts after the request.
#[derive(Debug, Default)]
pub struct GroupObserver {
    state: sync::Mutex<ObserverState>,
}

impl GroupObserver {
    /// Returns the position confirmed by an observation that starts after this call, or `None` if
    /// the observation confirms no position.
    pub async fn confirm(
        context: &sync::Arc<context::EntryContext>,
        tracker: &sync::Arc<group_tracker::GroupTracker>,
    ) -> Option<log_position::LogPosition> {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let start = {
            let mut state = tracker.observer.lock();
            state.waiting.push(sender);
            !std::mem::replace(&mut state.running, true)
        };
        if start {
            tokio::spawn(Self::run(
                sync::Arc::clone(context),
                sync::Arc::clone(tracker),
            ));
        }
        receiver.await.ok().flatten()
    }

    /// Returns whether an observation is running.
    pub fn is_running(&self) -> bool {
        self.lock().running
    }

    fn lock(&self) -> sync::MutexGuard<'_, ObserverState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    async fn run(
        context: sync::Arc<context::EntryContext>,
        tracker: sync::Arc<group_tracker::GroupTracker>,
    ) {
        loop {
            let waiting = {
                let mut state = tracker.observer.lock();
                if state.waiting.is_empty() {
                    state.running = false;
                    return;
                }
                std::mem::take(&mut state.waiting)
            };
            let began = context.now();
            let position = observe_group(&context, &tracker).await;
            metrics::counter!("persimmontack_observations_total", "confirmed" => position.is_some().to_string())
                .increment(1);
            if let Some(position) = position {
                tracker
                    .history
                    .lock()
                    .unwrap_or_else(sync::PoisonError::into_inner)
                    .record(began, position);
            }
            for waiter in waiting {
                // The session may have stopped waiting.
                let _gone = waiter.send(position);
            }
        }
    }
}

async fn observe_group(
    context: &sync::Arc<context::EntryContext>,
    tracker: &group_tracker::GroupTracker,
) -> Option<log_position::LogPosition> {
    let views = tracker.views();
    let mut answers: stream::FuturesUnordered<_> = views
        .iter()
        .map(|view| observe_upstream(context, &view.spec))
        .collect();
    let collect = async {
        let mut states = collections::HashMap::new();
        while let Some(answer) = answers.next().await {
            let Some(state) = answer else { continue };
            tracker.apply_state(&state);
            states.insert(state.upstream.clone(), state);
            let states: Vec<_> = states.values().cloned().collect();
            if let Some(position) = read_position::confirm_position(&states) {
                return Some(position);
            }
        }
        None
    };
    tokio::time::timeout(context.settings.limits.observe, collect)
        .await
        .ok()
        .flatten()
}

async fn observe_upstream(
    context: &sync::Arc<context::EntryContext>,
    spec: &upstream_spec::UpstreamSpec,
) -> Option<upstream_state::UpstreamState> {
    // If the first owner cannot reach the upstream, the second may.
    for pool in context.open_owners(spec).await.into_iter().take(2) {
        let Ok((mut writer, mut reader)) = pool.open(stream_kind::StreamKind::Observe).await else {
            continue;
        };
        let request = observe::ObserveRequest {
            upstreams: vec![spec.upstream.clone()],
        };
        if writer.send_last(&request).await.is_err() {
            continue;
        }
        if let Ok(Some(reply)) = reader.next::<observe::ObserveReply>().await {
            return Some(reply.state);
        }
    }
    None
}
