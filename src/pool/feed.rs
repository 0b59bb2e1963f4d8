//! Serves `Feed` and `Observe` streams.

use std::collections;
use std::sync;
use std::time;

use futures::StreamExt;

use crate::link::{feed_update, link_error, observe, server};
use crate::model::ids;
use crate::pool::upstream_table;

/// Time between two looks at the estimated waits, which change without an event.
const WAIT_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Smallest change of an estimated wait that is worth an update.
const WAIT_STEP: time::Duration = time::Duration::from_millis(2);

type SentReports = collections::HashMap<ids::UpstreamId, feed_update::UpstreamReport>;

/// Sends changed upstream reports until the entry closes the stream. Changes that arise while an
/// update is being sent travel together in the next one.
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
            .filter(|report| is_news(&sent, report))
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

fn is_news(sent: &SentReports, report: &feed_update::UpstreamReport) -> bool {
    sent.get(&report.state.upstream).is_none_or(|old| {
        old.state != report.state
            || old.reachable != report.reachable
            || old.wait.abs_diff(report.wait) >= WAIT_STEP.max(old.wait / 4)
    })
}

/// Answers requests for fresh states, each upstream as soon as it is read.
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
