//! [`PeerClient`]: opens streams to another of our processes.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::io::{AsyncRead, AsyncWrite};

use crate::dial;
use crate::link::counted_stream;
use crate::link::frame_reader;
use crate::link::frame_writer;
use crate::link::hello;
use crate::link::link_error;
use crate::link::stream_kind;

/// Path of the stream that exchanges versions.
pub(super) const HELLO_PATH: &str = "/hello";
/// Window of one stream in bytes; bounds what a pool or an entry buffers for a slow reader.
pub(super) const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// Window of a whole connection in bytes. It is the largest that HTTP/2 allows, so that only the
/// streams' own windows limit them and one slow reader cannot stall the other streams.
pub(super) const CONNECTION_WINDOW_BYTES: u32 = (1 << 31) - 1;
/// Streams that may be open at once on one connection.
pub(super) const MAX_STREAMS: u32 = 1_000_000;
/// Time between two pings on an otherwise healthy connection.
const PING_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time after which an unanswered ping closes the connection. It has to exceed a scheduling pause
/// on a busy VM and to stay below the failover bound of 2 s.
const PING_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// A connection to another process. Cheap to clone; all clones share the connection, which closes
/// once all clones and all streams are gone.
#[derive(Clone, Debug)]
pub struct PeerClient {
    sender: h2::client::SendRequest<bytes::Bytes>,
    open: sync::Arc<atomic::AtomicBool>,
    greeting: sync::Arc<hello::Hello>,
    peer: sync::Arc<str>,
}

impl PeerClient {
    /// Connects to `address` and exchanges versions, each within the dialer's timeout.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached in time or speaks another version.
    pub async fn connect(
        dialer: &dial::TcpDialer,
        address: net::SocketAddr,
        hello: &hello::Hello,
    ) -> Result<Self, link_error::LinkError> {
        let peer = address.to_string();
        let socket = dialer.connect(address).await.map_err(|error| {
            link_error::LinkError::new(link_error::LinkStep::Connect, &peer, error)
        })?;
        let greeted = Self::handshake(socket, &peer, hello);
        tokio::time::timeout(dialer.timeout, greeted)
            .await
            .map_err(|elapsed| {
                link_error::LinkError::new(link_error::LinkStep::Hello, &peer, elapsed)
            })?
    }

    /// Exchanges versions on a socket that is connected to `peer`.
    ///
    /// # Errors
    ///
    /// Fails if the socket breaks or the peer speaks another version.
    pub async fn handshake<S>(
        socket: S,
        peer: &str,
        hello: &hello::Hello,
    ) -> Result<Self, link_error::LinkError>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let peer: sync::Arc<str> = peer.into();
        let connect_error =
            |error: String| link_error::LinkError::new(link_error::LinkStep::Connect, &peer, error);
        let (sender, mut connection) = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .initial_max_send_streams(MAX_STREAMS as usize)
            .max_concurrent_reset_streams(1024)
            .handshake::<_, bytes::Bytes>(counted_stream::CountedStream::new(socket))
            .await
            .map_err(|error| connect_error(error.to_string()))?;
        let open = sync::Arc::new(atomic::AtomicBool::new(true));
        let ping = connection.ping_pong();
        let (stop_sender, stop_receiver) = tokio::sync::oneshot::channel::<()>();
        let driver_open = sync::Arc::clone(&open);
        tokio::spawn(async move {
            // Both outcomes end the connection: it closed by itself, or a ping went unanswered.
            tokio::select! {
                _result = connection => {}
                _result = stop_receiver => {}
            }
            driver_open.store(false, atomic::Ordering::Release);
        });
        if let Some(ping) = ping {
            tokio::spawn(watch_pings(ping, stop_sender));
        }
        let mut client = Self {
            sender,
            open,
            greeting: sync::Arc::new(hello.clone()),
            peer: sync::Arc::clone(&peer),
        };
        client.greet(hello).await?;
        Ok(client)
    }

    async fn greet(&mut self, hello: &hello::Hello) -> Result<(), link_error::LinkError> {
        let (mut writer, mut reader) = self.request(HELLO_PATH).await?;
        writer.send_last(hello).await?;
        let greeting: hello::Hello =
            reader
                .expect()
                .await
                .map_err(|error| link_error::LinkError {
                    step: link_error::LinkStep::Hello,
                    ..error
                })?;
        self.greeting = sync::Arc::new(greeting);
        Ok(())
    }

    /// Opens a stream. Frames may be sent at once; the reader yields the peer's frames.
    ///
    /// # Errors
    ///
    /// Fails if the connection is gone.
    pub async fn open(
        &self,
        kind: stream_kind::StreamKind,
    ) -> Result<(frame_writer::FrameWriter, frame_reader::FrameReader), link_error::LinkError> {
        self.request(kind.path()).await
    }

    async fn request(
        &self,
        path: &str,
    ) -> Result<(frame_writer::FrameWriter, frame_reader::FrameReader), link_error::LinkError> {
        let open_error = |cause: String| {
            link_error::LinkError::new(link_error::LinkStep::OpenStream, &self.peer, cause)
        };
        if !self.is_open() {
            return Err(open_error("connection closed".to_owned()));
        }
        let request = http::Request::post(format!("http://{}{path}", self.peer))
            .body(())
            .map_err(|error| open_error(error.to_string()))?;
        let mut sender = self
            .sender
            .clone()
            .ready()
            .await
            .map_err(|error| open_error(error.to_string()))?;
        let (response, stream) = sender
            .send_request(request, false)
            .map_err(|error| open_error(error.to_string()))?;
        Ok((
            frame_writer::FrameWriter::new(stream, &self.peer),
            frame_reader::FrameReader::from_response(response, &self.peer),
        ))
    }

    /// Tells whether the connection is believed to be alive.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.open.load(atomic::Ordering::Acquire)
    }

    /// Returns what the peer said about itself.
    #[must_use]
    pub fn greeting(&self) -> &hello::Hello {
        &self.greeting
    }

    /// Returns the address of the peer.
    #[must_use]
    pub fn peer(&self) -> &str {
        &self.peer
    }
}

/// Pings the peer and returns, closing the connection, once a ping stays unanswered. A connection
/// that lost its state between the two ends would otherwise look open for minutes.
async fn watch_pings(mut ping: h2::PingPong, stop: tokio::sync::oneshot::Sender<()>) {
    loop {
        tokio::time::sleep(PING_INTERVAL).await;
        let answered = tokio::time::timeout(PING_TIMEOUT, ping.ping(h2::Ping::opaque())).await;
        if !matches!(answered, Ok(Ok(_))) {
            drop(stop);
            return;
        }
    }
}
