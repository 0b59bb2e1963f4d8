//! Follows the state of an upstream on a control connection.

use std::sync;
use std::time;

use crate::event;
use crate::pool::{upstream, upstream_connection, upstream_error};

/// Time after which the upstream answers a wait even without a change.
const POLL_WAIT: time::Duration = time::Duration::from_millis(250);
/// Silence after which the control connection counts as broken.
const SILENCE_LIMIT: time::Duration = time::Duration::from_millis(600);
/// Shortest and longest pause before a reconnect.
const BACK_OFF: (time::Duration, time::Duration) = (
    time::Duration::from_millis(20),
    time::Duration::from_millis(500),
);

/// Publishes each state of the upstream until the upstream is dropped.
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
                // What ended the control connection may have ended the idle ones too.
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

async fn read_once(
    upstream: &upstream::Upstream,
    slot: &mut Option<upstream_connection::UpstreamConnection>,
    version: Option<u64>,
) -> Result<crate::model::upstream_state::UpstreamState, upstream_error::UpstreamError> {
    let edge = &upstream.edge;
    let read = async {
        let connection = match slot {
            Some(connection) => connection,
            None => slot.insert(edge.connect(&upstream.spec, &upstream.database).await?),
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
