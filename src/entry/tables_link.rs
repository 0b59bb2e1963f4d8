//! Receives the control tables from the keeper on the same VM and sends it reports.

use std::sync;
use std::time;

use crate::entry::context;
use crate::event;
use crate::link::{client, link_error, stream_kind};
use crate::model::control_tables;

/// Pause before reconnecting.
const RECONNECT_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Interval between two reports to the keeper.
const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Follows the control tables in an endless loop. While the keeper is unavailable, the last tables
/// stay in force.
pub async fn follow(context: sync::Arc<context::EntryContext>) {
    let mut warned = false;
    loop {
        let ended = follow_once(&context, &mut warned).await;
        // Logged once per outage; each attempt to reconnect would repeat it ten times a second.
        if let Err(error) = ended
            && !std::mem::replace(&mut warned, true)
        {
            event::warn("tables_lost", &[("cause", &error)]);
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

async fn follow_once(
    context: &sync::Arc<context::EntryContext>,
    warned: &mut bool,
) -> Result<(), link_error::LinkError> {
    let keeper = context.settings.keeper;
    let client = client::PeerClient::connect(&context.dialer, keeper, &context.hello).await?;
    let (mut writer, mut reader) = client.open(stream_kind::StreamKind::Tables).await?;
    let mut ticks = tokio::time::interval(REPORT_INTERVAL);
    let mut reported = None;
    loop {
        tokio::select! {
            received = reader.next::<control_tables::ControlTables>() => {
                let Some(tables) = received? else { return Ok(()) };
                context.replace_tables(tables);
                *warned = false;
                let report = context.report();
                if reported == Some(report.rules_revision) {
                    continue;
                }
                reported = Some(report.rules_revision);
                event::info("tables_in_force", &[("revision", &report.rules_revision)]);
                writer.send(&report).await?;
            }
            _tick = ticks.tick() => writer.send(&context.report()).await?,
        }
    }
}
