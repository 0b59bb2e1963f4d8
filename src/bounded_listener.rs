//! [`BoundedListener`]: accepts a bounded number of connections.

use std::net;
use std::sync;
use std::time;

use crate::event;

/// Time to wait after a failure, usually for want of descriptors, before accepting again.
const FAILURE_PAUSE: time::Duration = time::Duration::from_millis(15);
/// Shortest time between two log lines about connections that were not accepted. Failures for want of
/// descriptors repeat after each pause.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// A connection, the address of its peer, and its place among the connections of the listener. The
/// place is free again when it is dropped.
pub type AcceptedConnection = (
    tokio::net::TcpStream,
    net::SocketAddr,
    tokio::sync::OwnedSemaphorePermit,
);

/// Accepts a bounded number of concurrent connections, so that whoever reaches the port cannot use
/// up the descriptors of the process. Further ones are closed.
#[derive(Debug)]
pub struct BoundedListener {
    listener: tokio::net::TcpListener,
    name: &'static str,
    places: sync::Arc<tokio::sync::Semaphore>,
    last_log: Option<tokio::time::Instant>,
    unlogged: u64,
}

impl BoundedListener {
    /// Creates a listener with a name for the log, and a limit on its concurrent connections.
    #[must_use]
    pub fn new(listener: tokio::net::TcpListener, name: &'static str, limit: usize) -> Self {
        Self {
            listener,
            name,
            places: sync::Arc::new(tokio::sync::Semaphore::new(limit)),
            last_log: None,
            unlogged: 0,
        }
    }

    /// Waits for the next connection within the limit.
    pub async fn accept(&mut self) -> AcceptedConnection {
        loop {
            match self.listener.accept().await {
                Ok((stream, address)) => {
                    let places = sync::Arc::clone(&self.places);
                    if let Ok(place) = places.try_acquire_owned() {
                        return (stream, address, place);
                    }
                    drop(stream);
                    self.log("connection_refused", &"too many connections");
                }
                Err(error) => {
                    self.log("accept_failed", &error);
                    tokio::time::sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    /// Logs an event, at most once per [`LOG_INTERVAL`].
    fn log(&mut self, event: &'static str, reason: event::EventValue<'_>) {
        if self
            .last_log
            .is_some_and(|last| last.elapsed() < LOG_INTERVAL)
        {
            self.unlogged += 1;
            return;
        }
        self.last_log = Some(tokio::time::Instant::now());
        let unlogged = std::mem::take(&mut self.unlogged);
        event::warn(
            event,
            &[
                ("port", &self.name),
                ("reason", reason),
                ("not_logged", &unlogged),
            ],
        );
    }
}
