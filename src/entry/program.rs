//! Start-up and shutdown of `persimmon-entry`.

use std::process;
use std::sync;
use std::sync::atomic;
use std::time;

use crate::entry::{context, control_server, settings, startup, tables_link};
use crate::link::server;
use crate::{daemon, event, health, shutdown};

/// Interval between two checks of the number of sessions during shutdown.
const STOP_CHECK: time::Duration = time::Duration::from_millis(20);

/// Runs the program.
#[must_use]
pub fn run() -> process::ExitCode {
    let program = daemon::DaemonProgram {
        name: "persimmon-entry",
        summary: "accepts connections of PostgreSQL clients and routes their statements.",
        sample: "samples/entry.toml",
    };
    daemon::run(&program, settings::EntrySettings::parse, serve)
}

async fn serve(
    settings: settings::EntrySettings,
    stop: shutdown::ShutdownSignal,
) -> Result<(), error_stack::Report<daemon::StartError>> {
    let ready = health::ReadyFlag::default();
    daemon::start_health(settings.health, ready.clone()).await?;
    let link = daemon::bind("link", settings.link).await?;
    let listen = daemon::bind("listen", settings.listen).await?;
    let limits = settings.limits.clone();
    let context = sync::Arc::new(context::EntryContext::new(settings, ready));
    let peers = server::PeerServer::new(link, context.hello.clone());
    let control = sync::Arc::clone(&context);
    tokio::spawn(
        peers.run(move |stream| control_server::serve(sync::Arc::clone(&control), stream)),
    );
    tokio::spawn(tables_link::follow(sync::Arc::clone(&context)));
    tokio::spawn(sync::Arc::clone(&context).maintain_pools());
    let accepting = tokio::spawn(accept(sync::Arc::clone(&context), listen));
    event::info("started", &[("vm", &context.settings.vm)]);

    stop.wait().await;
    context.stopping.store(true, atomic::Ordering::Release);
    context.update_ready();
    event::info("draining", &[("time_ms", &limits.drain_time.as_millis())]);
    tokio::time::sleep(limits.drain_time).await;
    accepting.abort();
    context.end_sessions.send_replace(true);
    let deadline = tokio::time::Instant::now() + limits.stop_time;
    while context.sessions.load(atomic::Ordering::Acquire) > 0
        && tokio::time::Instant::now() < deadline
    {
        tokio::time::sleep(STOP_CHECK).await;
    }
    let remaining = context.sessions.load(atomic::Ordering::Acquire);
    event::info("stopped", &[("sessions_cut", &remaining)]);
    Ok(())
}

async fn accept(context: sync::Arc<context::EntryContext>, listener: tokio::net::TcpListener) {
    loop {
        match listener.accept().await {
            Ok((socket, address)) => {
                let context = sync::Arc::clone(&context);
                tokio::spawn(startup::serve(context, socket, address));
            }
            Err(error) => {
                event::warn("accept_failed", &[("cause", &error)]);
                tokio::time::sleep(time::Duration::from_millis(10)).await;
            }
        }
    }
}
