//! [`FrameReader`]: receives bincode frames from an h2 stream.

use bytes::Buf;
use serde::de;

use crate::link::link_error;

/// Longest frame in bytes that a peer may send. It has to hold the rules and the control tables of
/// the largest deployment; rows are sent in far smaller frames.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

#[derive(Debug)]
enum BodyState {
    Awaiting(h2::client::ResponseFuture),
    Open(h2::RecvStream),
    Ended,
}

/// Receives length-prefixed bincode frames from one direction of a stream. The flow-control window
/// is released only as data is read, so a slow reader slows its sender down.
#[derive(Debug)]
pub struct FrameReader {
    body: BodyState,
    buffer: bytes::BytesMut,
    peer: String,
}

impl FrameReader {
    pub(super) fn from_response(response: h2::client::ResponseFuture, peer: &str) -> Self {
        Self {
            body: BodyState::Awaiting(response),
            buffer: bytes::BytesMut::new(),
            peer: peer.to_owned(),
        }
    }

    pub(super) fn from_body(body: h2::RecvStream, peer: &str) -> Self {
        Self {
            body: BodyState::Open(body),
            buffer: bytes::BytesMut::new(),
            peer: peer.to_owned(),
        }
    }

    /// Receives the next frame, or returns `None` after the last one. Cancel-safe: if the future is
    /// dropped before it completes, no bytes are lost.
    ///
    /// # Errors
    ///
    /// Fails if the stream or the connection breaks, if the peer refuses the stream, or if a frame
    /// cannot be decoded.
    pub async fn next<T: de::DeserializeOwned>(
        &mut self,
    ) -> Result<Option<T>, link_error::LinkError> {
        loop {
            if let Some(message) = self.take()? {
                return Ok(Some(message));
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    /// Returns the next frame if it has been received.
    ///
    /// # Errors
    ///
    /// Fails if the frame cannot be decoded.
    pub fn take<T: de::DeserializeOwned>(&mut self) -> Result<Option<T>, link_error::LinkError> {
        let Some(frame) = self.take_frame()? else {
            return Ok(None);
        };
        if self.buffer.is_empty() {
            // Frees the buffer while the stream is idle.
            self.buffer = bytes::BytesMut::new();
        }
        self.decode(&frame).map(Some)
    }

    /// Receives a part of a frame. Returns whether the stream goes on. Cancel-safe like
    /// [`Self::next`].
    ///
    /// # Errors
    ///
    /// Fails if the stream or the connection breaks, or if the stream ends inside a frame.
    pub async fn fill(&mut self) -> Result<bool, link_error::LinkError> {
        let Some(chunk) = self.next_chunk().await? else {
            if self.buffer.is_empty() {
                return Ok(false);
            }
            return Err(self.error("stream ended inside a frame"));
        };
        self.buffer.extend_from_slice(&chunk);
        Ok(true)
    }

    /// Returns the size of the buffer of the frame that is being received.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.buffer.capacity()
    }

    /// Receives the next frame, which the protocol requires at this point.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::next`], and if the stream has ended.
    pub async fn expect<T: de::DeserializeOwned>(&mut self) -> Result<T, link_error::LinkError> {
        self.next()
            .await?
            .ok_or_else(|| self.error("stream ended early"))
    }

    async fn next_chunk(&mut self) -> Result<Option<bytes::Bytes>, link_error::LinkError> {
        if let BodyState::Awaiting(response) = &mut self.body {
            let response = response.await.map_err(|error| {
                link_error::LinkError::new(link_error::LinkStep::OpenStream, &self.peer, error)
            })?;
            let status = response.status();
            self.body = BodyState::Open(response.into_body());
            if !status.is_success() {
                let text = self.read_error_text().await;
                return Err(link_error::LinkError::new(
                    link_error::LinkStep::OpenStream,
                    &self.peer,
                    format!("{status}: {text}"),
                ));
            }
        }
        let BodyState::Open(body) = &mut self.body else {
            return Ok(None);
        };
        let Some(chunk) = body.data().await else {
            self.body = BodyState::Ended;
            return Ok(None);
        };
        let chunk = chunk.map_err(|error| {
            link_error::LinkError::new(link_error::LinkStep::Receive, &self.peer, error)
        })?;
        body.flow_control()
            .release_capacity(chunk.len())
            .map_err(|error| {
                link_error::LinkError::new(link_error::LinkStep::Receive, &self.peer, error)
            })?;
        Ok(Some(chunk))
    }

    /// Returns the next chunk of the body as text, for the error of a refused stream.
    async fn read_error_text(&mut self) -> String {
        let BodyState::Open(body) = &mut self.body else {
            return String::new();
        };
        match body.data().await {
            Some(Ok(chunk)) => String::from_utf8_lossy(&chunk).into_owned(),
            _ => String::new(),
        }
    }

    fn take_frame(&mut self) -> Result<Option<bytes::Bytes>, link_error::LinkError> {
        let Some(prefix) = self.buffer.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(self.error(format!("frame of {length} bytes exceeds {MAX_FRAME_BYTES}")));
        }
        if self.buffer.len() < 4 + length {
            self.buffer.reserve(4 + length - self.buffer.len());
            return Ok(None);
        }
        self.buffer.advance(4);
        Ok(Some(self.buffer.split_to(length).freeze()))
    }

    fn decode<T: de::DeserializeOwned>(&self, frame: &[u8]) -> Result<T, link_error::LinkError> {
        let (message, used) = bincode::serde::decode_from_slice(frame, bincode::config::standard())
            .map_err(|error| {
                link_error::LinkError::new(link_error::LinkStep::Decode, &self.peer, error)
            })?;
        if used != frame.len() {
            return Err(link_error::LinkError::new(
                link_error::LinkStep::Decode,
                &self.peer,
                "frame has extra bytes",
            ));
        }
        Ok(message)
    }

    fn error(&self, cause: impl ToString) -> link_error::LinkError {
        link_error::LinkError::new(link_error::LinkStep::Receive, &self.peer, cause)
    }
}
