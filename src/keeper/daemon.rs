//! Starts the tasks of a keeper and stops them at the shutdown.

use std::sync;
use std::time;

use crate::daemon;
use crate::dial;
use crate::event;
use crate::health;
use crate::keeper::{
    control_service, gossip_task, group_supervisor, group_worker, lease_task, platform_poll,
    rules_watch, settings, tables_stream,
};
use crate::link::{hello, server, stream_kind};
use crate::platform::client;
use crate::shared_state::keeper_state;
use crate::shutdown;

/// Runs a keeper until the shutdown signal.
///
/// # Errors
///
/// Fails if a listener cannot be bound.
pub async fn run(
    settings: settings::KeeperSettings,
    shutdown: shutdown::ShutdownSignal,
) -> Result<(), error_stack::Report<daemon::StartError>> {
    let settings = sync::Arc::new(settings);
    let ready = health::ReadyFlag::default();
    daemon::start_health(settings.health, ready.clone()).await?;
    let listener = daemon::bind("link", settings.link).await?;

    let dialer = dial::TcpDialer {
        source: settings.source,
        timeout: time::Duration::from_millis(settings.limits.call_ms),
    };
    let state = sync::Arc::new(keeper_state::KeeperState::new(&settings.vm));
    let hello = hello::Hello::new(&settings.vm, settings::PROGRAM);
    let platform = client::PlatformClient::new(settings.platform, &settings.vm, dialer);
    let gossip = gossip_task::GossipTask::new(
        sync::Arc::clone(&state),
        dialer,
        hello.clone(),
        &settings.peers,
    );
    let groups = group_supervisor::GroupSupervisor::new(group_worker::WorkerContext {
        state: sync::Arc::clone(&state),
        settings: sync::Arc::clone(&settings),
        dialer,
    });
    let control = control_service::ControlService {
        state: sync::Arc::clone(&state),
        groups: groups.clone(),
        dialer,
        hello: hello.clone(),
    };

    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(serve_links(
        server::PeerServer::new(listener, hello),
        sync::Arc::clone(&state),
        gossip.clone(),
        control,
    ));
    tasks.spawn(platform_poll::run(
        sync::Arc::clone(&state),
        platform.clone(),
    ));
    tasks.spawn(rules_watch::run(sync::Arc::clone(&state), platform.clone()));
    tasks.spawn(gossip.clone().run());
    tasks.spawn(groups.run());
    tasks.spawn(set_ready_once_known(
        sync::Arc::clone(&state),
        ready.clone(),
    ));
    let lease = tokio::spawn(lease_task::run(
        sync::Arc::clone(&state),
        platform,
        time::Duration::from_millis(settings.limits.lease_ms),
        shutdown.clone(),
    ));
    event::info(
        "started",
        &[("program", &settings::PROGRAM), ("vm", &settings.vm)],
    );

    shutdown.wait().await;
    let drain = time::Duration::from_millis(settings.limits.drain_ms);
    event::info("stopping", &[("drain_ms", &drain.as_millis())]);
    ready.set(false);
    gossip.announce_leaving().await;
    // Gives the other keepers time to take over the groups and the rules. This keeper still answers
    // requests meanwhile.
    tokio::time::sleep(drain).await;
    if tokio::time::timeout(drain.max(dialer.timeout), lease)
        .await
        .is_err()
    {
        event::warn("lease_not_revoked", &[("cause", &"no answer in time")]);
    }
    tasks.shutdown().await;
    event::info("stopped", &[("program", &settings::PROGRAM)]);
    Ok(())
}

async fn set_ready_once_known(
    state: sync::Arc<keeper_state::KeeperState>,
    ready: health::ReadyFlag,
) {
    let mut tables = state.follow();
    // The sender is owned by the state, so waiting fails only once the state is dropped.
    if tables
        .wait_for(|tables| !tables.groups.is_empty() && state.rules_known())
        .await
        .is_ok()
        && !state.is_leaving()
    {
        ready.set(true);
        event::info("ready", &[]);
    }
}

async fn serve_links(
    server: server::PeerServer,
    state: sync::Arc<keeper_state::KeeperState>,
    gossip: gossip_task::GossipTask,
    control: control_service::ControlService,
) {
    server
        .run(move |mut stream| {
            let state = sync::Arc::clone(&state);
            let gossip = gossip.clone();
            let control = control.clone();
            async move {
                let (vm, program) = (
                    stream.peer_hello.vm.clone(),
                    stream.peer_hello.program.clone(),
                );
                let outcome = match stream.kind {
                    stream_kind::StreamKind::Tables => tables_stream::serve(state, stream).await,
                    stream_kind::StreamKind::Gossip => gossip.serve(stream).await,
                    stream_kind::StreamKind::Control => control.serve(stream).await,
                    stream_kind::StreamKind::Work
                    | stream_kind::StreamKind::Feed
                    | stream_kind::StreamKind::Observe
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
                if let Err(error) = outcome {
                    event::debug(
                        "stream_ended",
                        &[("vm", &vm), ("program", &program), ("cause", &error)],
                    );
                }
            }
        })
        .await;
}
