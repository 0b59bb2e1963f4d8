//! [`WireStream`]: reads and writes PostgreSQL messages on a socket with the codec of `pgwire`.

use std::io;

use bytes::BytesMut;
use pgwire::error;
use pgwire::messages;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Buffered output above this size is written to the socket, so that a client that does not read
/// blocks its statement.
const FLUSH_BYTES: usize = 32 * 1024;

/// Reads frontend messages and writes backend messages.
#[derive(Debug)]
pub struct WireStream {
    socket: tokio::net::TcpStream,
    input: BytesMut,
    output: BytesMut,
    context: messages::DecodeContext,
}

impl WireStream {
    /// Takes over a socket on which nothing has been read.
    #[must_use]
    pub fn new(socket: tokio::net::TcpStream) -> Self {
        Self {
            socket,
            input: BytesMut::new(),
            output: BytesMut::new(),
            context: messages::DecodeContext::new(messages::ProtocolVersion::PROTOCOL3_0),
        }
    }

    /// Reads the next message; `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the socket fails or a message is not valid.
    pub async fn read(&mut self) -> io::Result<Option<messages::PgWireFrontendMessage>> {
        loop {
            let decoded = messages::PgWireFrontendMessage::decode(&mut self.input, &self.context)
                .map_err(io::Error::other)?;
            match decoded {
                Some(messages::PgWireFrontendMessage::SslNegotiation(
                    messages::SslNegotiationMetaMessage::None,
                )) => self.context.awaiting_frontend_ssl = false,
                Some(messages::PgWireFrontendMessage::SslNegotiation(_)) => {
                    self.socket.write_all(b"N").await?;
                }
                Some(message) => {
                    self.context.awaiting_frontend_startup = false;
                    return Ok(Some(message));
                }
                None => {
                    if self.socket.read_buf(&mut self.input).await? == 0 {
                        return Ok(None);
                    }
                }
            }
        }
    }

    /// Adds a message to the output buffer and flushes the buffer if it is large.
    ///
    /// # Errors
    ///
    /// Fails if the socket fails or the message is too long.
    pub async fn send(&mut self, message: messages::PgWireBackendMessage) -> io::Result<()> {
        message.encode(&mut self.output).map_err(io::Error::other)?;
        if self.output.len() >= FLUSH_BYTES {
            self.flush().await?;
        }
        Ok(())
    }

    /// Writes all buffered output to the socket.
    ///
    /// # Errors
    ///
    /// Fails if the socket fails.
    pub async fn flush(&mut self) -> io::Result<()> {
        if !self.output.is_empty() {
            self.socket.write_all(&self.output).await?;
            self.output.clear();
        }
        Ok(())
    }

    /// Adds an error message to the output buffer.
    ///
    /// # Errors
    ///
    /// Like [`Self::send`].
    pub async fn send_error(&mut self, severity: &str, code: &str, text: &str) -> io::Result<()> {
        let info = error::ErrorInfo::new(severity.to_owned(), code.to_owned(), text.to_owned());
        self.send(messages::PgWireBackendMessage::ErrorResponse(info.into()))
            .await
    }
}
