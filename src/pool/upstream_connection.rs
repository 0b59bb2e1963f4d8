//! [`UpstreamConnection`]: a connection to an upstream, with its receive buffer.

use std::io;
use std::net;

use bytes::Buf;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use crate::model::ids;

/// Size limit of a message that the pool decodes. Rows are passed through in pieces and have no
/// limit.
pub const MAX_WHOLE_MESSAGE_BYTES: usize = 1024 * 1024;

/// Identifies a connection in a cancel request to its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelKey {
    /// Address of the upstream.
    pub address: net::SocketAddr,
    /// Process id that the upstream reported.
    pub process_id: i32,
    /// Secret that the upstream reported.
    pub secret: i32,
}

/// One backend message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendMessage {
    /// Type byte.
    pub tag: u8,
    /// Everything after the length.
    pub body: bytes::Bytes,
}

/// A connection to an upstream. [`super::upstream_edge::UpstreamEdge::connect`] returns it logged
/// in.
#[derive(Debug)]
pub struct UpstreamConnection {
    /// The socket.
    pub socket: tokio::net::TcpStream,
    /// Bytes that have been received but not consumed.
    pub buffer: bytes::BytesMut,
    /// Database that the connection is logged in to.
    pub database: ids::DatabaseName,
    /// Incarnation of the database process that serves the connection; 0 until it is reported.
    pub incarnation: ids::IncarnationId,
    /// Key for cancel requests.
    pub key: CancelKey,
    /// When the connection was last known to work.
    pub idle_since: tokio::time::Instant,
}

impl UpstreamConnection {
    /// Wraps a connected socket.
    #[must_use]
    pub fn new(socket: tokio::net::TcpStream, address: net::SocketAddr, database: &str) -> Self {
        Self {
            socket,
            buffer: bytes::BytesMut::with_capacity(8 * 1024),
            database: database.to_owned(),
            incarnation: 0,
            key: CancelKey {
                address,
                process_id: 0,
                secret: 0,
            },
            idle_since: tokio::time::Instant::now(),
        }
    }

    /// Returns whether the connection is open and has received nothing since the last answer, which
    /// is required before a batch. It detects a closed connection before any byte of a batch is
    /// sent.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        let mut byte = [0];
        let quiet = match self.socket.try_read(&mut byte) {
            Ok(_) => false,
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        };
        quiet && self.buffer.is_empty()
    }

    /// Sends bytes.
    ///
    /// # Errors
    ///
    /// Fails if writing to the socket fails.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes).await
    }

    /// Receives one whole message.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends or the message is malformed or too long.
    pub async fn receive(&mut self) -> io::Result<BackendMessage> {
        loop {
            if let Some(message) = self.take_message()? {
                return Ok(message);
            }
            if self.socket.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
            }
        }
    }

    fn take_message(&mut self) -> io::Result<Option<BackendMessage>> {
        let Some(head) = self.buffer.first_chunk::<5>() else {
            return Ok(None);
        };
        let [tag, length @ ..] = *head;
        let length = u32::from_be_bytes(length) as usize;
        if !(4..=MAX_WHOLE_MESSAGE_BYTES).contains(&length) {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!("message of {length} bytes"),
            ));
        }
        if self.buffer.len() <= length {
            return Ok(None);
        }
        let mut message = self.buffer.split_to(1 + length).freeze();
        message.advance(5);
        Ok(Some(BackendMessage { tag, body: message }))
    }

    /// Checks that an idle connection still reaches the upstream: sends a Sync and waits for its
    /// ReadyForQuery. That changes nothing and needs no slot.
    ///
    /// # Errors
    ///
    /// Fails if the answer is anything but an idle ReadyForQuery.
    pub async fn check(&mut self) -> io::Result<()> {
        self.send(&[b'S', 0, 0, 0, 4]).await?;
        let message = self.receive().await?;
        if message.tag == b'Z' && message.body.as_ref() == b"I" && self.buffer.is_empty() {
            self.idle_since = tokio::time::Instant::now();
            Ok(())
        } else {
            Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "unexpected answer to Sync",
            ))
        }
    }
}
