//! [`CountedStream`]: a socket that counts the bytes of links between the system's processes.

use std::io;
use std::pin;
use std::task;

use tokio::io::{AsyncRead, AsyncWrite};

/// A socket whose bytes are added to `persimmontack_link_bytes_total`: the traffic of the links of
/// a process, without the headers of TCP and IP.
pub(super) struct CountedStream<S> {
    socket: S,
    sent: metrics::Counter,
    received: metrics::Counter,
}

impl<S> CountedStream<S> {
    pub(super) fn new(socket: S) -> Self {
        Self {
            socket,
            sent: metrics::counter!("persimmontack_link_bytes_total", "direction" => "sent"),
            received: metrics::counter!("persimmontack_link_bytes_total", "direction" => "received"),
        }
    }

    fn count_sent(&self, outcome: task::Poll<io::Result<usize>>) -> task::Poll<io::Result<usize>> {
        if let task::Poll::Ready(Ok(sent)) = &outcome {
            self.sent.increment(*sent as u64);
        }
        outcome
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let outcome = pin::Pin::new(&mut self.socket).poll_read(context, buffer);
        self.received
            .increment((buffer.filled().len() - before) as u64);
        outcome
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let outcome = pin::Pin::new(&mut self.socket).poll_write(context, bytes);
        self.count_sent(outcome)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let outcome = pin::Pin::new(&mut self.socket).poll_write_vectored(context, parts);
        self.count_sent(outcome)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
