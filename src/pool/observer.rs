//! [`StateObserver`]: reads an upstream's state on request, for reads that need a fresh one.

use std::sync;
use std::time;

use crate::model::upstream_state;
use crate::pool::{upstream, upstream_connection};

/// Timeout of a read.
const OBSERVE_LIMIT: time::Duration = time::Duration::from_millis(600);
/// Limit of requests that wait for one upstream.
const MAX_OBSERVERS: usize = 4_096;

type StateSender = tokio::sync::oneshot::Sender<upstream_state::UpstreamState>;

/// Passes requests for a fresh state to the task that reads it. Requests that arrive during a read
/// share the next read, because a state has to come from a read that began after its request.
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
    /// Returns a state from a read that begins after this call, or `None` if the upstream does not
    /// answer in time.
    pub async fn observe(&self) -> Option<upstream_state::UpstreamState> {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        self.sender.send(sender).await.ok()?;
        // The reading task may be stopped meanwhile, so the wait has a timeout.
        let answer = tokio::time::timeout(2 * OBSERVE_LIMIT, receiver).await;
        answer.ok()?.ok()
    }
}

/// Reads states on request, until the upstream is dropped.
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
            // One retry on a new connection, because the kept one may have broken since the last
            // read.
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
    kept_connection: &mut Option<upstream_connection::UpstreamConnection>,
) -> Option<upstream_state::UpstreamState> {
    // The connection is put back only after a complete answer, so a read that is cancelled half-way
    // does not leave a connection with unread bytes.
    let mut connection = match kept_connection.take() {
        Some(connection) => connection,
        None => {
            let connect = upstream.edge.connect(&upstream.spec, &upstream.database);
            connect.await.ok()?
        }
    };
    let state = upstream.edge.read_state(&mut connection).await.ok()?;
    *kept_connection = Some(connection);
    Some(state)
}
