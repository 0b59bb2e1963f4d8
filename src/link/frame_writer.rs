//! [`FrameWriter`]: sends bincode frames on an h2 stream.

use std::future;

use bytes::BufMut;
use serde::Serialize;

use crate::link::link_error;

/// Sends length-prefixed bincode frames on one direction of a stream, within the peer's
/// flow-control window.
#[derive(Debug)]
pub struct FrameWriter {
    stream: h2::SendStream<bytes::Bytes>,
    peer: String,
    sent: u64,
}

impl FrameWriter {
    pub(super) fn new(stream: h2::SendStream<bytes::Bytes>, peer: &str) -> Self {
        Self {
            stream,
            peer: peer.to_owned(),
            sent: 0,
        }
    }

    /// Returns the number of bytes of all frames sent, including their length prefixes.
    #[must_use]
    pub const fn sent_bytes(&self) -> u64 {
        self.sent
    }

    /// Sends one frame. Waits while the peer's window is full.
    ///
    /// # Errors
    ///
    /// Fails if the stream or the connection is closed.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), link_error::LinkError> {
        let frame = self.encode(message)?;
        self.send_bytes(frame, false).await
    }

    /// Sends one frame and ends this direction of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the stream or the connection is closed.
    pub async fn send_last<T: Serialize>(
        &mut self,
        message: &T,
    ) -> Result<(), link_error::LinkError> {
        let frame = self.encode(message)?;
        self.send_bytes(frame, true).await
    }

    /// Ends this direction of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the stream or the connection is closed.
    pub fn finish(&mut self) -> Result<(), link_error::LinkError> {
        self.stream
            .send_data(bytes::Bytes::new(), true)
            .map_err(|error| {
                link_error::LinkError::new(link_error::LinkStep::Send, &self.peer, error)
            })
    }

    /// Resets the stream, which ends both directions at once, so that the peer stops its work for
    /// it.
    pub fn abort(&mut self) {
        self.stream.send_reset(h2::Reason::CANCEL);
    }

    /// Completes once the peer has reset the stream or the connection is closed.
    pub async fn closed(&mut self) {
        // After a reset or a connection error, the peer no longer reads this stream.
        drop(future::poll_fn(|context| self.stream.poll_reset(context)).await);
    }

    fn encode<T: Serialize>(&self, message: &T) -> Result<bytes::Bytes, link_error::LinkError> {
        let mut writer = bytes::BytesMut::with_capacity(256).writer();
        writer.get_mut().put_u32(0);
        bincode::serde::encode_into_std_write(message, &mut writer, bincode::config::standard())
            .map_err(|error| {
                link_error::LinkError::new(link_error::LinkStep::Encode, &self.peer, error)
            })?;
        let mut frame = writer.into_inner();
        let length = u32::try_from(frame.len() - 4).map_err(|error| {
            link_error::LinkError::new(link_error::LinkStep::Encode, &self.peer, error)
        })?;
        frame[..4].copy_from_slice(&length.to_be_bytes());
        Ok(frame.freeze())
    }

    async fn send_bytes(
        &mut self,
        mut frame: bytes::Bytes,
        last: bool,
    ) -> Result<(), link_error::LinkError> {
        while !frame.is_empty() {
            let granted = self.reserve(frame.len()).await?;
            let part = frame.split_to(granted.min(frame.len()));
            let end = last && frame.is_empty();
            self.sent += part.len() as u64;
            self.stream.send_data(part, end).map_err(|error| {
                link_error::LinkError::new(link_error::LinkStep::Send, &self.peer, error)
            })?;
        }
        Ok(())
    }

    /// Waits for flow-control capacity, and returns how many bytes may be sent.
    async fn reserve(&mut self, wanted: usize) -> Result<usize, link_error::LinkError> {
        self.stream.reserve_capacity(wanted);
        loop {
            let available = self.stream.capacity();
            if available > 0 {
                return Ok(available);
            }
            let granted = future::poll_fn(|context| self.stream.poll_capacity(context)).await;
            match granted {
                Some(Ok(0)) => {}
                Some(Ok(granted)) => return Ok(granted),
                Some(Err(error)) => {
                    return Err(link_error::LinkError::new(
                        link_error::LinkStep::Send,
                        &self.peer,
                        error,
                    ));
                }
                None => {
                    return Err(link_error::LinkError::new(
                        link_error::LinkStep::Send,
                        &self.peer,
                        "stream closed",
                    ));
                }
            }
        }
    }
}
