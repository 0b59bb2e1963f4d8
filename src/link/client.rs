//! [`PeerClient`]: a link to another of the system's processes, over which streams are opened.

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

/// Path of the stream that exchanges hello messages.
pub(super) const HELLO_PATH: &str = "/hello";
/// Flow-control window of one stream in bytes. It bounds what a process buffers for a slow reader.
pub(super) const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// Flow-control window of a whole connection in bytes. It is the largest that HTTP/2 allows, so
/// that each stream is limited only by its own window and one slow reader cannot stall the other
/// streams.
pub(super) const CONNECTION_WINDOW_BYTES: u32 = (1 << 31) - 1;
/// Maximum number of streams open at once on one connection.
pub(super) const MAX_STREAMS: u32 = 1_000_000;
/// Time between two pings on an otherwise healthy connection.
const PING_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Timeout of a ping, after which the connection is closed. It has to exceed a scheduling pause on
/// a busy VM and to stay below the failover bound of 2 s.
const PING_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Number of parts in which the timeout of a ping is waited for. After a pause of this process only
/// one part has elapsed, so an answer that arrived meanwhile is still read.
const PING_TIMEOUT_PARTS: u32 = 10;

/// A connection to another process. Cheap to clone: all clones share the connection, which closes
/// once all clones and all streams are dropped.
#[derive(Clone, Debug)]
pub struct PeerClient {
    sender: h2::client::SendRequest<bytes::Bytes>,
    open: sync::Arc<atomic::AtomicBool>,
    peer_hello: sync::Arc<hello::Hello>,
    peer: sync::Arc<str>,
}

impl PeerClient {
    /// Connects to `address` and exchanges hello messages, each within the dialer's timeout.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached in time or speaks another protocol version.
    pub async fn connect(
        dialer: &dial::TcpDialer,
        address: net::SocketAddr,
        hello: &hello::Hello,
    ) -> Result<Self, link_error::LinkError> {
        let peer = address.to_string();
        let socket = dialer.connect(address).await.map_err(|error| {
            link_error::LinkError::new(link_error::LinkStep::Connect, &peer, error)
        })?;
        let handshake = Self::handshake(socket, &peer, hello);
        tokio::time::timeout(dialer.timeout, handshake)
            .await
            .map_err(|elapsed| {
                link_error::LinkError::new(link_error::LinkStep::Hello, &peer, elapsed)
            })?
    }

    /// Exchanges hello messages on a socket that is connected to `peer`.
    ///
    /// # Errors
    ///
    /// Fails if the socket breaks or the peer speaks another protocol version.
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
            // Either outcome ends the connection: it closed, or a ping was not answered in time.
            tokio::select! {
                _result = connection => {}
                _result = stop_receiver => {}
            }
            driver_open.store(false, atomic::Ordering::Release);
        });
        if let Some(ping) = ping {
            tokio::spawn(ping_peer(ping, stop_sender));
        }
        let mut client = Self {
            sender,
            open,
            peer_hello: sync::Arc::new(hello.clone()),
            peer: sync::Arc::clone(&peer),
        };
        client.exchange_hello(hello).await?;
        Ok(client)
    }

    async fn exchange_hello(&mut self, hello: &hello::Hello) -> Result<(), link_error::LinkError> {
        let (mut writer, mut reader) = self.open_path(HELLO_PATH).await?;
        writer.send_last(hello).await?;
        let peer_hello: hello::Hello =
            reader
                .expect()
                .await
                .map_err(|error| link_error::LinkError {
                    step: link_error::LinkStep::Hello,
                    ..error
                })?;
        self.peer_hello = sync::Arc::new(peer_hello);
        Ok(())
    }

    /// Opens a stream. The writer accepts frames at once; the reader returns the peer's frames.
    ///
    /// # Errors
    ///
    /// Fails if the connection is closed.
    pub async fn open(
        &self,
        kind: stream_kind::StreamKind,
    ) -> Result<(frame_writer::FrameWriter, frame_reader::FrameReader), link_error::LinkError> {
        self.open_path(kind.path()).await
    }

    async fn open_path(
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

    /// Returns whether the connection is open, as far as this side knows.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.open.load(atomic::Ordering::Acquire)
    }

    /// Returns the hello message of the peer.
    #[must_use]
    pub fn peer_hello(&self) -> &hello::Hello {
        &self.peer_hello
    }

    /// Returns the address of the peer.
    #[must_use]
    pub fn peer(&self) -> &str {
        &self.peer
    }
}

/// Pings the peer until a ping is not answered in time, then closes the connection and returns. A
/// connection whose packets are dropped on the way would otherwise look open for minutes.
async fn ping_peer(mut ping: h2::PingPong, stop: tokio::sync::oneshot::Sender<()>) {
    loop {
        tokio::time::sleep(PING_INTERVAL).await;
        if !is_answered(&mut ping).await {
            drop(stop);
            return;
        }
    }
}

async fn is_answered(ping: &mut h2::PingPong) -> bool {
    let answer = ping.ping(h2::Ping::opaque());
    tokio::pin!(answer);
    for _ in 0..PING_TIMEOUT_PARTS {
        let part = tokio::time::timeout(PING_TIMEOUT / PING_TIMEOUT_PARTS, &mut answer);
        if let Ok(answered) = part.await {
            return answered.is_ok();
        }
    }
    false
}
