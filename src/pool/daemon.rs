//! Starts and stops `persimmon-pool`.

use std::sync;
use std::time;

use crate::link::{hello, server, stream_kind};
use crate::pool::{feed, pool_settings, postgres_edge, tables_client, upstream_table, work};
use crate::{daemon, dial, event, health, shutdown};

/// Runs the pool until the shutdown signal. Then refuses new units and waits for running ones, up
/// to the configured limits.
///
/// # Errors
///
/// Fails if a listener cannot be bound.
pub async fn run(
    settings: pool_settings::PoolSettings,
    signal: shutdown::ShutdownSignal,
) -> Result<(), error_stack::Report<daemon::StartError>> {
    let settings = sync::Arc::new(settings);
    let dialer = dial::TcpDialer {
        source: settings.source,
        timeout: settings.limits.connect(),
    };
    let ready = health::ReadyFlag::default();
    daemon::start_health(settings.health, ready.clone()).await?;
    let listener = daemon::bind("link", settings.link).await?;
    let edge = sync::Arc::new(postgres_edge::PostgresEdge::new(
        dialer,
        settings.upstream.clone(),
    ));
    let table = sync::Arc::new(upstream_table::UpstreamTable::new(
        sync::Arc::clone(&settings),
        edge,
        ready,
    ));
    let hello = hello::Hello::new(&settings.vm, "persimmon-pool");
    let server = server::PeerServer::new(listener, hello);
    let served = sync::Arc::clone(&table);
    let server = tokio::spawn(server.run(move |stream| serve(sync::Arc::clone(&served), stream)));
    let tables = tokio::spawn(tables_client::run(
        sync::Arc::clone(&settings),
        dialer,
        sync::Arc::clone(&table),
    ));
    event::info(
        "started",
        &[("program", &"persimmon-pool"), ("vm", &settings.vm)],
    );
    signal.wait().await;
    event::info("stopping", &[]);
    table.stop();
    let limit = time::Duration::from_millis(settings.limits.stop_ms);
    let quiet = time::Duration::from_millis(settings.limits.quiet_ms);
    let idle = tokio::time::timeout(limit, table.wait_idle(quiet)).await;
    event::info("stopped", &[("units_cut_off", &idle.is_err())]);
    server.abort();
    tables.abort();
    Ok(())
}

async fn serve(table: sync::Arc<upstream_table::UpstreamTable>, mut stream: server::PeerStream) {
    let peer = stream.peer_hello.vm.clone();
    let result = match stream.kind {
        stream_kind::StreamKind::Work => {
            work::serve(table, stream).await;
            Ok(())
        }
        stream_kind::StreamKind::Feed => feed::serve_feed(&table, stream).await,
        stream_kind::StreamKind::Observe => feed::serve_observe(&table, stream).await,
        stream_kind::StreamKind::Tables
        | stream_kind::StreamKind::Gossip
        | stream_kind::StreamKind::Control
        | stream_kind::StreamKind::Session
        | stream_kind::StreamKind::Reach
        | stream_kind::StreamKind::Lead
        | stream_kind::StreamKind::Group
        | stream_kind::StreamKind::Follow
        | stream_kind::StreamKind::Limits
        | stream_kind::StreamKind::Place => {
            stream.writer.abort();
            Ok(())
        }
    };
    if let Err(error) = result {
        event::debug("stream_closed", &[("vm", &peer), ("cause", &error)]);
    }
}
