//! Receives the control tables from the keeper on the same VM and sends it reports.

use std::sync;
use std::time;

use crate::dial;
use crate::event;
use crate::link::{client, hello, link_error, stream_kind};
use crate::model::control_tables;
use crate::pool::{pool_settings, upstream_table};

/// Interval between two reports to the keeper.
const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Pause before reconnecting.
const RECONNECT_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Applies the keeper's tables as they change and sends it reports, in an endless loop. While the
/// keeper is unavailable, the last tables stay in force.
pub async fn run(
    settings: sync::Arc<pool_settings::PoolSettings>,
    dialer: dial::TcpDialer,
    table: sync::Arc<upstream_table::UpstreamTable>,
) {
    let mut warned = false;
    loop {
        let Err(error) = follow(&settings, &dialer, &table, &mut warned).await;
        if !warned {
            event::warn(
                "keeper_lost",
                &[("peer", &settings.keeper), ("cause", &error)],
            );
            warned = true;
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

async fn follow(
    settings: &pool_settings::PoolSettings,
    dialer: &dial::TcpDialer,
    table: &upstream_table::UpstreamTable,
    warned: &mut bool,
) -> Result<std::convert::Infallible, link_error::LinkError> {
    let hello = hello::Hello::new(&settings.vm, "persimmon-pool");
    let client = client::PeerClient::connect(dialer, settings.keeper, &hello).await?;
    let (mut writer, mut reader) = client.open(stream_kind::StreamKind::Tables).await?;
    let mut ticks = tokio::time::interval(REPORT_INTERVAL);
    loop {
        tokio::select! {
            tables = reader.expect::<control_tables::ControlTables>() => {
                table.apply(&tables?);
                if *warned {
                    event::info("keeper_found", &[("peer", &settings.keeper)]);
                    *warned = false;
                }
            }
            _tick = ticks.tick() => {}
        }
        writer.send(&table.report()).await?;
    }
}
