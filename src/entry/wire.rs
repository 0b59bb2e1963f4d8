//! Reads and writes PostgreSQL messages on a client's socket.

use std::io;

use bytes::{Buf, BufMut};

use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Maximum input that is buffered while an answer is sent, to detect that the client disconnects.
const READ_AHEAD_BYTES: usize = 64 * 1024;

/// A message of the client.
#[derive(Debug)]
pub struct ClientMessage {
    pub tag: u8,
    pub body: bytes::Bytes,
}

/// The reason why no further message can be read.
#[derive(Debug)]
pub enum ReadFailure {
    /// The client has disconnected.
    Closed,
    /// A message is longer than the limit.
    TooLong(usize),
    /// The input violates the PostgreSQL protocol.
    Malformed(&'static str),
}

impl From<io::Error> for ReadFailure {
    fn from(_gone: io::Error) -> Self {
        Self::Closed
    }
}

/// The receiving half of a client's socket.
#[derive(Debug)]
pub struct ClientReader {
    socket: tokio::net::tcp::OwnedReadHalf,
    input: bytes::BytesMut,
    limit: usize,
}

impl ClientReader {
    pub fn new(socket: tokio::net::tcp::OwnedReadHalf, limit: usize) -> Self {
        Self {
            socket,
            input: bytes::BytesMut::with_capacity(8 * 1024),
            limit,
        }
    }

    /// Receives a message. The future is cancel-safe.
    pub async fn next(&mut self) -> Result<ClientMessage, ReadFailure> {
        loop {
            if let (Some(tag), Some(length)) = (self.input.first().copied(), self.length_at(1)?)
                && self.input.len() > length
            {
                let mut frame = self.input.split_to(length + 1);
                frame.advance(5);
                return Ok(ClientMessage {
                    tag,
                    body: frame.freeze(),
                });
            }
            self.fill().await?;
        }
    }

    /// Receives a start-up packet, which has no tag.
    pub async fn next_startup(&mut self) -> Result<bytes::Bytes, ReadFailure> {
        loop {
            if let Some(length) = self.length_at(0)?
                && self.input.len() >= length
            {
                let mut frame = self.input.split_to(length);
                frame.advance(4);
                return Ok(frame.freeze());
            }
            self.fill().await?;
        }
    }

    /// Completes once the client has disconnected. Buffers a limited amount of input until then.
    pub async fn disconnected(&mut self) {
        while self.input.len() < READ_AHEAD_BYTES {
            if self.fill().await.is_err() {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    fn length_at(&self, offset: usize) -> Result<Option<usize>, ReadFailure> {
        let Some(prefix) = self
            .input
            .get(offset..)
            .and_then(|rest| rest.first_chunk::<4>())
        else {
            return Ok(None);
        };
        let length = usize::try_from(i32::from_be_bytes(*prefix))
            .ok()
            .filter(|length| *length >= 4)
            .ok_or(ReadFailure::Malformed("a message length is below 4"))?;
        if length > self.limit {
            return Err(ReadFailure::TooLong(length));
        }
        Ok(Some(length))
    }

    async fn fill(&mut self) -> io::Result<()> {
        if self.socket.read_buf(&mut self.input).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(())
    }
}

/// The sending half of a client's socket, with a buffer of messages that are not flushed yet.
#[derive(Debug)]
pub struct ClientWriter {
    socket: tokio::net::tcp::OwnedWriteHalf,
    pub output: bytes::BytesMut,
}

impl ClientWriter {
    pub fn new(socket: tokio::net::tcp::OwnedWriteHalf) -> Self {
        Self {
            socket,
            output: bytes::BytesMut::with_capacity(8 * 1024),
        }
    }

    pub async fn flush(&mut self) -> io::Result<()> {
        self.socket.write_all(&self.output).await?;
        self.output.clear();
        Ok(())
    }

    pub async fn close(&mut self) {
        // This fails if the client has disconnected already; the socket closes either way.
        let _closed = self.socket.shutdown().await;
    }

    pub async fn write_raw(&mut self, byte: u8) -> io::Result<()> {
        self.socket.write_all(&[byte]).await
    }

    /// Appends a message whose body `body` writes.
    pub fn message(&mut self, tag: u8, body: impl FnOnce(&mut bytes::BytesMut)) {
        put_message(&mut self.output, tag, body);
    }

    pub fn parameter(&mut self, name: &str, value: &str) {
        self.message(b'S', |body| {
            put_text(body, name);
            put_text(body, value);
        });
    }

    pub fn ready(&mut self, status: u8) {
        self.message(b'Z', |body| body.put_u8(status));
    }

    pub fn complete(&mut self, tag: &str) {
        self.message(b'C', |body| put_text(body, tag));
    }

    pub fn error(&mut self, severity: &str, sql_state: &str, text: &str, detail: &str) {
        self.message(b'E', |body| {
            for (field, value) in [
                (b'S', severity),
                (b'V', severity),
                (b'C', sql_state),
                (b'M', text),
                (b'D', detail),
            ] {
                if !value.is_empty() {
                    body.put_u8(field);
                    put_text(body, value);
                }
            }
            body.put_u8(0);
        });
    }

    /// Appends a RowDescription with one text column.
    pub fn text_column(&mut self, name: &str) {
        self.message(b'T', |body| {
            body.put_i16(1);
            put_text(body, name);
            body.put_i32(0);
            body.put_i16(0);
            body.put_i32(25);
            body.put_i16(-1);
            body.put_i32(-1);
            body.put_i16(0);
        });
    }

    /// Appends a DataRow with one text value.
    pub fn text_row(&mut self, value: &str) {
        self.message(b'D', |body| {
            body.put_i16(1);
            body.put_i32(i32::try_from(value.len()).unwrap_or(0));
            body.put_slice(value.as_bytes());
        });
    }
}

/// Appends a message whose body `fill` writes to a buffer.
pub fn put_message(buffer: &mut bytes::BytesMut, tag: u8, fill: impl FnOnce(&mut bytes::BytesMut)) {
    buffer.put_u8(tag);
    let start = buffer.len();
    buffer.put_i32(0);
    fill(buffer);
    let length = i32::try_from(buffer.len() - start).unwrap_or(i32::MAX);
    if let Some(slot) = buffer.get_mut(start..start + 4) {
        slot.copy_from_slice(&length.to_be_bytes());
    }
}

/// Appends a zero-terminated text.
pub fn put_text(buffer: &mut bytes::BytesMut, text: &str) {
    buffer.put_slice(text.as_bytes());
    buffer.put_u8(0);
}

/// Removes a zero-terminated text from the front of a body. Returns `None` if it is not terminated
/// or not valid UTF-8.
pub fn take_text(body: &mut bytes::Bytes) -> Option<String> {
    let end = body.iter().position(|byte| *byte == 0)?;
    let text = body.split_to(end);
    body.advance(1);
    String::from_utf8(text.to_vec()).ok()
}
