//! Reads the state of an upstream by long polls on a control connection.

use std::sync;
use std::time;

use crate::event;
use crate::pool::{upstream, upstream_connection, upstream_error};

/// Time after which the upstream answers a long poll even without a change.
const POLL_WAIT: time::Duration = time::Duration::from_millis(250);
/// Timeout of a read, after which the control connection is considered broken. Also the timeout of
/// the checks of idle connections that follow.
const SILENCE_LIMIT: time::Duration = time::Duration::from_millis(600);
/// Shortest and longest backoff before reconnecting.
const BACK_OFF: (time::Duration, time::Duration) = (
    time::Duration::from_millis(20),
    time::Duration::from_millis(500),
);

/// Publishes each new state of the upstream, until the upstream is dropped.
pub async fn run(weak: sync::Weak<upstream::Upstream>) {
    let mut connection = None;
    let mut version = None;
    let mut pause = BACK_OFF.0;
    loop {
        let Some(upstream) = weak.upgrade() else {
            return;
        };
        match read_once(&upstream, &mut connection, version).await {
            Ok(state) => {
                version = Some(state.version);
                pause = BACK_OFF.0;
                upstream.publish(state);
            }
            Err(error) => {
                if upstream.view().reachable || version.is_none() && pause == BACK_OFF.0 {
                    let name = &upstream.spec.upstream;
                    event::warn(
                        "upstream_unreachable",
                        &[("upstream", name), ("cause", &error)],
                    );
                }
                upstream.publish_unreachable();
                // The cause may have broken the idle connections too.
                let store = sync::Arc::clone(&upstream.connections);
                tokio::spawn(async move {
                    store.check_idle(time::Duration::ZERO, SILENCE_LIMIT).await;
                });
                (connection, version) = (None, None);
                drop(upstream);
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(BACK_OFF.1);
            }
        }
    }
}

/// Reads the state once. Reuses the kept connection or opens a new one, and waits for a change if
/// `version` is known.
async fn read_once(
    upstream: &upstream::Upstream,
    kept_connection: &mut Option<upstream_connection::UpstreamConnection>,
    version: Option<u64>,
) -> Result<crate::model::upstream_state::UpstreamState, upstream_error::UpstreamError> {
    let edge = &upstream.edge;
    let read = async {
        let connection = match kept_connection {
            Some(connection) => connection,
            None => kept_connection.insert(edge.connect(&upstream.spec, &upstream.database).await?),
        };
        match version {
            Some(version) => edge.wait_state(connection, version, POLL_WAIT).await,
            None => edge.read_state(connection).await,
        }
    };
    tokio::time::timeout(SILENCE_LIMIT, read)
        .await
        .unwrap_or_else(|elapsed| {
            let step = upstream_error::UpstreamStep::ReadState;
            let address = upstream.spec.address;
            Err(upstream_error::UpstreamError::new(step, address, elapsed))
        })
}
