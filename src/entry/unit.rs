//! [`WorkUnit`]: a unit of work that is open on a pool, and the outcome of a batch in it.

use std::pin;

use futures::FutureExt;

use crate::decide::message_bounds;
use crate::entry::wire;
use crate::event;
use crate::link::{frame_reader, frame_writer, work_frame, work_reply, work_request};
use crate::model::ids;

/// Buffered bytes of an answer above which they are written to the client's socket.
const FLUSH_BYTES: usize = 16 * 1024;
/// Maximum number of bytes of a write's answer that are held back. While nothing has been sent, a
/// batch that the upstream refuses as read-only can still be retried elsewhere.
const MAX_HELD_BYTES: usize = 4 * 1024;

/// The client has disconnected, so the session ends without an answer.
#[derive(Debug)]
pub struct ClientGone;

impl From<std::io::Error> for ClientGone {
    fn from(_gone: std::io::Error) -> Self {
        Self
    }
}

/// The outcome of a batch.
#[derive(Debug)]
pub enum BatchOutcome {
    /// The answer is complete.
    Done(work_reply::BatchDone),
    /// None of the batch was run.
    Refused(work_reply::WorkRefusal),
    /// Some of the batch may have run. `link` is true if the connection to the pool failed, rather
    /// than the pool's connection to the upstream.
    Broken {
        step: String,
        peer: String,
        cause: String,
        link: bool,
    },
}

/// A unit of work that is open on a pool: a single batch or a transaction.
#[derive(Debug)]
pub struct WorkUnit {
    pub writer: frame_writer::FrameWriter,
    pub reader: frame_reader::FrameReader,
    pub upstream: ids::UpstreamId,
    pub access: work_request::WorkAccess,
    /// Term of the upstream, if it was chosen as the primary.
    pub term: Option<ids::TermNumber>,
    /// Whether only the unit's commit, or a check after it, can show that the upstream was still
    /// the primary: the unit was opened without a confirmed position.
    pub unconfirmed: bool,
    pub pool: ids::VmId,
    /// Tables that the unit's statements named; they determine the write rule for its commit.
    pub tables: Vec<String>,
    /// Whether the transaction has failed and can only be rolled back.
    pub failed: bool,
}

impl WorkUnit {
    /// Forwards the answer to the client; with `hold`, keeps it back while it is short. Returns the
    /// outcome, and whether any of the answer has been written to the client's socket.
    pub async fn receive(
        &mut self,
        request: ids::RequestId,
        reader: &mut wire::ClientReader,
        writer: &mut wire::ClientWriter,
        hold: bool,
        mut cancelled: pin::Pin<&mut tokio::sync::futures::Notified<'_>>,
    ) -> Result<(BatchOutcome, bool), ClientGone> {
        let mut sent = false;
        let mut cancel_sent = false;
        let mut bounds = message_bounds::MessageBounds::default();
        loop {
            let ready = self.reader.next::<work_reply::WorkReply>().now_or_never();
            let received = match ready {
                Some(received) => received,
                None => {
                    if !writer.output.is_empty() && (!hold || sent) {
                        sent = true;
                        writer.flush().await.map_err(|error| self.abandon(error))?;
                    }
                    tokio::select! {
                        biased;
                        received = self.reader.next::<work_reply::WorkReply>() => received,
                        () = &mut cancelled, if !cancel_sent => {
                            cancel_sent = true;
                            // If the link is broken, receiving the answer will fail.
                            drop(self.writer.send(&work_frame::WorkFrame::Cancel).await);
                            continue;
                        }
                        () = reader.disconnected() => return Err(self.abandon("client gone")),
                    }
                }
            };
            let end = match received {
                Ok(Some(work_reply::WorkReply::Rows(rows))) => {
                    bounds.feed(&rows);
                    writer.output.extend_from_slice(&rows);
                    let bound = if hold && !sent {
                        MAX_HELD_BYTES
                    } else {
                        FLUSH_BYTES
                    };
                    if writer.output.len() > bound {
                        sent = true;
                        writer.flush().await.map_err(|error| self.abandon(error))?;
                    }
                    continue;
                }
                Ok(Some(work_reply::WorkReply::BatchDone(done))) if done.request != request => {
                    BatchOutcome::Broken {
                        step: "receive".to_owned(),
                        peer: self.pool.clone(),
                        cause: format!("answer to request {}, expected {request}", done.request),
                        link: true,
                    }
                }
                Ok(Some(work_reply::WorkReply::BatchDone(done))) => BatchOutcome::Done(done),
                Ok(Some(work_reply::WorkReply::Refused(refusal))) => BatchOutcome::Refused(refusal),
                Ok(Some(work_reply::WorkReply::Broken(breakage))) => BatchOutcome::Broken {
                    step: breakage.step,
                    peer: breakage.peer,
                    cause: breakage.cause,
                    link: false,
                },
                Ok(None) => BatchOutcome::Broken {
                    step: "receive".to_owned(),
                    peer: self.pool.clone(),
                    cause: "the stream ended before the answer".to_owned(),
                    link: true,
                },
                Err(error) => BatchOutcome::Broken {
                    step: error.step.to_string(),
                    peer: error.peer,
                    cause: error.cause,
                    link: true,
                },
            };
            if matches!(end, BatchOutcome::Broken { .. }) {
                self.drop_unfinished(writer, bounds.unfinished())?;
            }
            return Ok((end, sent));
        }
    }

    /// Drops an incomplete message from the end of the output. If part of it has already been
    /// written to the client's socket, the connection ends, because the client would take whatever
    /// follows as the rest of that message.
    fn drop_unfinished(
        &mut self,
        writer: &mut wire::ClientWriter,
        unfinished: usize,
    ) -> Result<(), ClientGone> {
        let Some(whole) = writer.output.len().checked_sub(unfinished) else {
            event::warn(
                "caller_cut_off",
                &[
                    ("upstream", &self.upstream),
                    ("cause", &"the answer broke inside a message"),
                ],
            );
            return Err(self.abandon("broken inside a message"));
        };
        writer.output.truncate(whole);
        Ok(())
    }

    /// Ends the unit. The pool rolls back an open transaction.
    pub fn finish(mut self) {
        // This fails if the pool has closed the stream already.
        drop(self.writer.finish());
    }

    fn abandon<E>(&mut self, _cause: E) -> ClientGone {
        self.writer.abort();
        ClientGone
    }
}
