//! [`StateObserver`]: reads an upstream's state for those who need one that is fresh.

use std::sync;
use std::time;

use crate::model::upstream_state;
use crate::pool::{upstream, upstream_connection};

/// Time within which an observation has to be answered.
const OBSERVE_LIMIT: time::Duration = time::Duration::from_millis(600);
/// Observers that may wait for one upstream.
const MAX_OBSERVERS: usize = 4_096;

type StateSender = tokio::sync::oneshot::Sender<upstream_state::UpstreamState>;

/// Hands requests for a fresh state to the task that reads it. Requests that arrive while a read
/// is in flight share the next one, because a state has to come from a read that began after its
/// request arrived.
#[derive(Clone, Debug)]
pub struct StateObserver {
    sender: tokio::sync::mpsc::Sender<StateSender>,
    receiver: sync::Arc<tokio::sync::Mutex<tokio::sync::mpsc::Receiver<StateSender>>>,
}

impl Default for StateObserver {
    fn default() -> Self {
        let (sender, receiver) = tokio::sync::mpsc::channel(MAX_OBSERVERS);
        Self {
            sender,
            receiver: sync::Arc::new(tokio::sync::Mutex::new(receiver)),
        }
    }
}

impl StateObserver {
    /// Returns a state read by a request that begins after this call, or `None` if the upstream
    /// does not answer.
    pub async fn observe(&self) -> Option<upstream_state::UpstreamState> {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        self.sender.send(sender).await.ok()?;
        // Bounded, because the reading task may be stopped meanwhile.
        let answer = tokio::time::timeout(2 * OBSERVE_LIMIT, receiver).await;
        answer.ok()?.ok()
    }
}

/// Reads states on request until the upstream is dropped.
pub async fn run(weak: sync::Weak<upstream::Upstream>, observer: StateObserver) {
    let StateObserver { sender, receiver } = observer;
    drop(sender);
    let mut receiver = receiver.lock().await;
    let mut connection = None;
    let mut waiting = Vec::new();
    while receiver.recv_many(&mut waiting, MAX_OBSERVERS).await > 0 {
        let Some(upstream) = weak.upgrade() else {
            return;
        };
        let read = async {
            // A connection that broke since the last read gets one fresh try.
            let state = read_state(&upstream, &mut connection).await;
            match state {
                Some(state) => Some(state),
                None => read_state(&upstream, &mut connection).await,
            }
        };
        match tokio::time::timeout(OBSERVE_LIMIT, read).await {
            Ok(Some(state)) => {
                for sender in waiting.drain(..) {
                    drop(sender.send(state.clone()));
                }
                upstream.publish(state);
            }
            Ok(None) | Err(_) => {
                connection = None;
                waiting.clear();
            }
        }
    }
}

async fn read_state(
    upstream: &upstream::Upstream,
    slot: &mut Option<upstream_connection::UpstreamConnection>,
) -> Option<upstream_state::UpstreamState> {
    // The connection is put back only after a whole answer, so a read that was dropped half-way
    // leaves none behind.
    let mut connection = match slot.take() {
        Some(connection) => connection,
        None => {
            let connect = upstream.edge.connect(&upstream.spec, &upstream.database);
            connect.await.ok()?
        }
    };
    let state = upstream.edge.read_state(&mut connection).await.ok()?;
    *slot = Some(connection);
    Some(state)
}
