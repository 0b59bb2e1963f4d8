//! The program `persimmon-entry`: from the command line to the exit code.

use std::sync;
use std::sync::atomic;
use std::time;

use gumdrop::Options as _;

use crate::entry::{context, explain, options, settings, startup, tables_link};
use crate::link::server;
use crate::{event, exit_code, health, shutdown};

/// Time between two looks at the number of sessions while the entry stops.
const STOP_CHECK: time::Duration = time::Duration::from_millis(20);

/// Runs the program.
#[must_use]
pub fn run() -> exit_code::ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = match options::EntryOptions::parse_args_default(&arguments) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("persimmon-entry: {error}; try --help");
            return exit_code::ExitCode::Usage;
        }
    };
    if options.help {
        print!("{}", options::EntryOptions::help_text());
        return exit_code::ExitCode::Success;
    }
    let Some(path) = options.config else {
        eprintln!("persimmon-entry: --config FILE is missing; try --help");
        return exit_code::ExitCode::Usage;
    };
    let read = std::fs::read_to_string(&path)
        .map_err(|error| error.to_string())
        .and_then(|text| settings::EntrySettings::parse(&text));
    let settings = match read {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("persimmon-entry: settings file {path}: {error}");
            return exit_code::ExitCode::Invalid;
        }
    };
    if options.check {
        println!("persimmon-entry: settings file {path} is valid");
        return exit_code::ExitCode::Success;
    }
    event::init();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    match runtime.and_then(|runtime| runtime.block_on(serve(settings))) {
        Ok(()) => exit_code::ExitCode::Success,
        Err(error) => {
            eprintln!("persimmon-entry: {error}");
            exit_code::ExitCode::Failure
        }
    }
}

async fn serve(settings: settings::EntrySettings) -> std::io::Result<()> {
    let bind_error = |what: &str, address: std::net::SocketAddr, error: std::io::Error| {
        std::io::Error::new(
            error.kind(),
            format!("cannot bind {what} {address}: {error}"),
        )
    };
    let stop = shutdown::ShutdownSignal::from_process()?;
    let ready = health::ReadyFlag::default();
    let health = health::start(settings.health, ready.clone())
        .await
        .map_err(|error| bind_error("health", settings.health, error))?;
    let link = tokio::net::TcpListener::bind(settings.link)
        .await
        .map_err(|error| bind_error("link", settings.link, error))?;
    let listen = tokio::net::TcpListener::bind(settings.listen)
        .await
        .map_err(|error| bind_error("listen", settings.listen, error))?;
    for (what, address) in [
        ("health", health),
        ("link", link.local_addr()?),
        ("listen", listen.local_addr()?),
    ] {
        event::info("listening", &[("what", &what), ("address", &address)]);
    }
    let limits = settings.limits.clone();
    let context = sync::Arc::new(context::EntryContext::new(settings, ready));
    let peers = server::PeerServer::new(link, context.hello.clone());
    let control = sync::Arc::clone(&context);
    tokio::spawn(peers.run(move |stream| explain::serve(sync::Arc::clone(&control), stream)));
    tokio::spawn(tables_link::follow(sync::Arc::clone(&context)));
    tokio::spawn(sync::Arc::clone(&context).keep_pools());
    let accepting = tokio::spawn(accept(sync::Arc::clone(&context), listen));
    event::info("started", &[("vm", &context.settings.vm)]);

    stop.wait().await;
    context.stopping.store(true, atomic::Ordering::Release);
    context.update_ready();
    event::info("draining", &[("time_ms", &limits.drain_time.as_millis())]);
    tokio::time::sleep(limits.drain_time).await;
    accepting.abort();
    context.ending.send_replace(true);
    let deadline = tokio::time::Instant::now() + limits.stop_time;
    while context.sessions.load(atomic::Ordering::Acquire) > 0
        && tokio::time::Instant::now() < deadline
    {
        tokio::time::sleep(STOP_CHECK).await;
    }
    let left = context.sessions.load(atomic::Ordering::Acquire);
    event::info("stopped", &[("sessions_cut", &left)]);
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
