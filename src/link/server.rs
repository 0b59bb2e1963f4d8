//! [`PeerServer`]: accepts links and streams from the system's other processes.

use std::future;
use std::sync;

use tokio::io::{AsyncRead, AsyncWrite};

use crate::bounded_listener;
use crate::event;
use crate::link::client;
use crate::link::counted_stream;
use crate::link::frame_reader;
use crate::link::frame_writer;
use crate::link::hello;
use crate::link::link_error;
use crate::link::stream_kind;

/// Maximum number of concurrent links. Each process opens one to each of the others that it talks to,
/// so a deployment has far fewer.
const MAX_LINKS: usize = 2_048;

/// A stream that a peer has opened.
#[derive(Debug)]
pub struct PeerStream {
    /// Kind of messages on the stream.
    pub kind: stream_kind::StreamKind,
    /// Hello message of the peer that opened the stream.
    pub peer_hello: sync::Arc<hello::Hello>,
    /// Frames from the peer.
    pub reader: frame_reader::FrameReader,
    /// Frames to the peer.
    pub writer: frame_writer::FrameWriter,
}

/// Accepts links on a listener and hands each stream to a handler.
#[derive(Debug)]
pub struct PeerServer {
    listener: tokio::net::TcpListener,
    hello: hello::Hello,
}

impl PeerServer {
    /// Creates a server on `listener` that sends `hello` to its peers.
    #[must_use]
    pub const fn new(listener: tokio::net::TcpListener, hello: hello::Hello) -> Self {
        Self { listener, hello }
    }

    /// Accepts links until the future is dropped. `handler` runs in a task of its own for each
    /// stream.
    pub async fn run<H, F>(self, handler: H)
    where
        H: Fn(PeerStream) -> F + Clone + Send + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        let mut listener =
            bounded_listener::BoundedListener::new(self.listener, "peers", MAX_LINKS);
        loop {
            let (socket, address, place) = listener.accept().await;
            let hello = self.hello.clone();
            let handler = handler.clone();
            tokio::spawn(async move {
                let _place = place;
                let peer = address.to_string();
                if let Err(error) = socket.set_nodelay(true) {
                    event::debug("link_closed", &[("peer", &peer), ("cause", &error)]);
                    return;
                }
                if let Err(error) = serve_connection(socket, &peer, &hello, handler).await {
                    event::debug("link_closed", &[("peer", &peer), ("cause", &error)]);
                }
            });
        }
    }
}

/// Serves one connection until it closes. `handler` runs in a task of its own for each stream.
///
/// # Errors
///
/// Fails if the connection breaks.
pub async fn serve_connection<S, H, F>(
    socket: S,
    peer: &str,
    hello: &hello::Hello,
    handler: H,
) -> Result<(), link_error::LinkError>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    H: Fn(PeerStream) -> F + Clone + Send + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let link_error = |error: &dyn ToString| {
        link_error::LinkError::new(link_error::LinkStep::Receive, peer, error.to_string())
    };
    let mut connection = h2::server::Builder::new()
        .initial_window_size(client::STREAM_WINDOW_BYTES)
        .initial_connection_window_size(client::CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(client::MAX_STREAMS)
        .max_concurrent_reset_streams(1024)
        .handshake::<_, bytes::Bytes>(counted_stream::CountedStream::new(socket))
        .await
        .map_err(|error| link_error(&error))?;
    let mut peer_hello = None;
    while let Some(accepted) = connection.accept().await {
        let (request, mut respond) = accepted.map_err(|error| link_error(&error))?;
        let path = request.uri().path().to_owned();
        if path == client::HELLO_PATH {
            // The peer's hello message is one small frame that is sent together with its request,
            // so it can be read here. The connection has to be polled meanwhile to receive it.
            let mut reader = frame_reader::FrameReader::from_body(request.into_body(), peer);
            let received = {
                let read = reader.expect::<hello::Hello>();
                tokio::pin!(read);
                tokio::select! {
                    received = &mut read => received?,
                    closed = future::poll_fn(|context| connection.poll_closed(context)) => {
                        return closed.map_err(|error| link_error(&error));
                    }
                }
            };
            if received.protocol_version == hello::PROTOCOL_VERSION {
                let stream = respond_ok(&mut respond, peer)?;
                frame_writer::FrameWriter::new(stream, peer)
                    .send_last(hello)
                    .await?;
                peer_hello = Some(sync::Arc::new(received));
            } else {
                refuse_version(&mut respond, peer, &received)?;
            }
            continue;
        }
        let (Some(kind), Some(peer_hello)) = (
            stream_kind::StreamKind::from_path(&path),
            peer_hello.as_ref(),
        ) else {
            let response = http::Response::builder()
                .status(404)
                .body(())
                .unwrap_or_default();
            respond
                .send_response(response, true)
                .map_err(|error| link_error(&error))?;
            continue;
        };
        let stream = PeerStream {
            kind,
            peer_hello: sync::Arc::clone(peer_hello),
            reader: frame_reader::FrameReader::from_body(request.into_body(), peer),
            writer: frame_writer::FrameWriter::new(respond_ok(&mut respond, peer)?, peer),
        };
        tokio::spawn(handler(stream));
    }
    Ok(())
}

fn respond_ok(
    respond: &mut h2::server::SendResponse<bytes::Bytes>,
    peer: &str,
) -> Result<h2::SendStream<bytes::Bytes>, link_error::LinkError> {
    respond
        .send_response(http::Response::new(()), false)
        .map_err(|error| link_error::LinkError::new(link_error::LinkStep::OpenStream, peer, error))
}

fn refuse_version(
    respond: &mut h2::server::SendResponse<bytes::Bytes>,
    peer: &str,
    received: &hello::Hello,
) -> Result<(), link_error::LinkError> {
    let text = format!(
        "this process speaks link version {}, the peer speaks version {}",
        hello::PROTOCOL_VERSION,
        received.protocol_version
    );
    event::warn("link_version_refused", &[("peer", &peer), ("cause", &text)]);
    let response = http::Response::builder()
        .status(426)
        .body(())
        .unwrap_or_default();
    let mut stream = respond
        .send_response(response, false)
        .map_err(|error| link_error::LinkError::new(link_error::LinkStep::Hello, peer, error))?;
    stream
        .send_data(bytes::Bytes::from(text), true)
        .map_err(|error| link_error::LinkError::new(link_error::LinkStep::Hello, peer, error))
}
