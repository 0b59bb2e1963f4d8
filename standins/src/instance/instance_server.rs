//! Runs an instance: its listener, its replication tasks and its client sessions.

use std::io;
use std::net;
use std::sync;

use persimmontack::event;

use crate::instance::replication;
use crate::instance::session;
use crate::instance::settings;
use crate::instance::shared;

/// Starts an instance on the current runtime and returns its address and its task, which runs until
/// it is aborted.
///
/// # Errors
///
/// Fails if the journal cannot be read or the listener cannot be bound.
pub async fn start(
    settings: settings::InstanceSettings,
) -> io::Result<(net::SocketAddr, tokio::task::JoinHandle<()>)> {
    let listener = tokio::net::TcpListener::bind(settings.listen).await?;
    let address = listener.local_addr()?;
    let instance = sync::Arc::new(shared::SharedInstance::open(settings)?);
    event::info("listening", &[("what", &"listen"), ("address", &address)]);
    event::info("started", &[("upstream", &instance.settings.upstream)]);
    let task = tokio::spawn(async move {
        tokio::join!(
            replication::pull(sync::Arc::clone(&instance)),
            replication::apply(sync::Arc::clone(&instance)),
            accept(listener, instance),
        );
    });
    Ok((address, task))
}

async fn accept(listener: tokio::net::TcpListener, instance: sync::Arc<shared::SharedInstance>) {
    loop {
        match listener.accept().await {
            Ok((socket, _peer)) => {
                let instance = sync::Arc::clone(&instance);
                tokio::spawn(async move {
                    if let Err(error) = serve(instance, socket).await {
                        event::debug("connection_ended", &[("cause", &error)]);
                    }
                });
            }
            Err(error) => {
                event::warn("accept_failed", &[("cause", &error)]);
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        }
    }
}

async fn serve(
    instance: sync::Arc<shared::SharedInstance>,
    socket: tokio::net::TcpStream,
) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let mut first = [0_u8; 1];
    if socket.peek(&mut first).await? == 0 {
        return Ok(());
    }
    if replication::HELLO_PREFIX.as_bytes().starts_with(&first) {
        replication::serve(&instance, socket).await
    } else {
        session::serve(instance, socket).await
    }
}
