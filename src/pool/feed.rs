//! Serves `Feed` streams, which push upstream reports to entries, and `Observe` streams, which
//! answer requests for fresh upstream states.

use std::collections;
use std::sync;
use std::time;

use futures::StreamExt;

use crate::link::{feed_update, link_error, observe, server};
use crate::model::ids;
use crate::pool::upstream_table;

/// Interval at which the estimated waits are checked, which change without a notification.
const WAIT_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Smallest change of an estimated wait that is reported.
const WAIT_STEP: time::Duration = time::Duration::from_millis(2);

type SentReports = collections::HashMap<ids::UpstreamId, feed_update::UpstreamReport>;

/// Sends changed upstream reports until the entry closes the stream. Changes during the sending of
/// an update are combined in the next one.
///
/// # Errors
///
/// Fails if the link breaks.
pub async fn serve_feed(
    table: &upstream_table::UpstreamTable,
    stream: server::PeerStream,
) -> Result<(), link_error::LinkError> {
    let mut writer = stream.writer;
    let mut changes = table.subscribe();
    let mut sent = SentReports::new();
    let mut sent_leaving = None;
    loop {
        changes.mark_unchanged();
        let leaving = table.is_leaving();
        let reports: Vec<_> = table
            .active()
            .iter()
            .filter_map(|upstream| upstream.report())
            .filter(|report| has_changed(&sent, report))
            .collect();
        if !reports.is_empty() || sent_leaving != Some(leaving) {
            for report in &reports {
                sent.insert(report.state.upstream.clone(), report.clone());
            }
            sent_leaving = Some(leaving);
            writer
                .send(&feed_update::FeedUpdate { reports, leaving })
                .await?;
        }
        tokio::select! {
            _changed = changes.changed() => {}
            () = tokio::time::sleep(WAIT_INTERVAL) => {}
            () = writer.closed() => return Ok(()),
        }
    }
}

/// Returns whether a report differs enough from the one sent last to be sent.
fn has_changed(sent: &SentReports, report: &feed_update::UpstreamReport) -> bool {
    sent.get(&report.state.upstream).is_none_or(|old| {
        old.state != report.state
            || old.reachable != report.reachable
            || old.wait.abs_diff(report.wait) >= WAIT_STEP.max(old.wait / 4)
    })
}

/// Answers a request for fresh states. The state of each upstream is sent as soon as it is read.
///
/// # Errors
///
/// Fails if the link breaks.
pub async fn serve_observe(
    table: &sync::Arc<upstream_table::UpstreamTable>,
    mut stream: server::PeerStream,
) -> Result<(), link_error::LinkError> {
    let request: observe::ObserveRequest = stream.reader.expect().await?;
    let mut states: futures::stream::FuturesUnordered<_> = request
        .upstreams
        .iter()
        .filter_map(|name| table.find(name))
        .map(|upstream| async move {
            upstream.activate();
            upstream.observe().await
        })
        .collect();
    while let Some(state) = states.next().await {
        if let Some(state) = state {
            stream.writer.send(&observe::ObserveReply { state }).await?;
        }
    }
    stream.writer.finish()
}
