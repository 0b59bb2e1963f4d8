//! [`WorkUnit`]: a unit of work on a pool, and how a batch on it ended.

use std::pin;

use futures::FutureExt;

use crate::decide::message_bounds;
use crate::entry::wire;
use crate::event;
use crate::link::{frame_reader, frame_writer, work_frame, work_reply, work_request};
use crate::model::ids;

/// Bytes of an answer that are gathered before they are written to the caller's socket.
const GATHER_BYTES: usize = 16 * 1024;
/// Bytes of a write's answer that are held back, so that a refusal by the upstream can be told from
/// an answer and the batch be sent elsewhere.
const HOLD_BYTES: usize = 4 * 1024;

/// The caller has gone, so nobody waits for an answer.
#[derive(Debug)]
pub struct CallerGone;

impl From<std::io::Error> for CallerGone {
    fn from(_gone: std::io::Error) -> Self {
        Self
    }
}

/// How a batch ended.
#[derive(Debug)]
pub enum BatchEnd {
    /// The answer is whole.
    Done(work_reply::BatchDone),
    /// Nothing of it was run.
    Refused(work_reply::WorkRefusal),
    /// Some of it may have run.
    Broken {
        step: String,
        peer: String,
        cause: String,
        link: bool,
    },
}

/// A unit of work that is open on a pool.
#[derive(Debug)]
pub struct WorkUnit {
    pub writer: frame_writer::FrameWriter,
    pub reader: frame_reader::FrameReader,
    pub upstream: ids::UpstreamId,
    pub access: work_request::WorkAccess,
    /// Term of the primary that it runs on, if it was chosen as such.
    pub term: Option<ids::TermNumber>,
    /// Whether it may have read and only its commit shows that its primary was not replaced.
    pub unproved: bool,
    pub pool: ids::VmId,
    /// Tables that the unit has named, for the rule in force at its commit.
    pub tables: Vec<String>,
    pub failed: bool,
}

impl WorkUnit {
    /// Passes the answer to the caller. Returns how it ended, and whether any of it has been
    /// written to the caller's socket.
    pub async fn receive(
        &mut self,
        request: ids::RequestId,
        front: &mut wire::FrontReader,
        back: &mut wire::FrontWriter,
        hold: bool,
        mut cancelled: pin::Pin<&mut tokio::sync::futures::Notified<'_>>,
    ) -> Result<(BatchEnd, bool), CallerGone> {
        let mut sent = false;
        let mut cancel_sent = false;
        let mut bounds = message_bounds::MessageBounds::default();
        loop {
            let ready = self.reader.next::<work_reply::WorkReply>().now_or_never();
            let received = match ready {
                Some(received) => received,
                None => {
                    if !back.output.is_empty() && (!hold || sent) {
                        sent = true;
                        back.flush().await.map_err(|gone| self.abandon(gone))?;
                    }
                    tokio::select! {
                        biased;
                        received = self.reader.next::<work_reply::WorkReply>() => received,
                        () = &mut cancelled, if !cancel_sent => {
                            cancel_sent = true;
                            // A link that breaks here shows in the answer.
                            drop(self.writer.send(&work_frame::WorkFrame::Cancel).await);
                            continue;
                        }
                        () = front.gone() => return Err(self.abandon("caller gone")),
                    }
                }
            };
            let end = match received {
                Ok(Some(work_reply::WorkReply::Rows(rows))) => {
                    bounds.feed(&rows);
                    back.output.extend_from_slice(&rows);
                    let bound = if hold && !sent {
                        HOLD_BYTES
                    } else {
                        GATHER_BYTES
                    };
                    if back.output.len() > bound {
                        sent = true;
                        back.flush().await.map_err(|gone| self.abandon(gone))?;
                    }
                    continue;
                }
                Ok(Some(work_reply::WorkReply::BatchDone(done))) if done.request != request => {
                    BatchEnd::Broken {
                        step: "receive".to_owned(),
                        peer: self.pool.clone(),
                        cause: format!("answer to request {}, expected {request}", done.request),
                        link: true,
                    }
                }
                Ok(Some(work_reply::WorkReply::BatchDone(done))) => BatchEnd::Done(done),
                Ok(Some(work_reply::WorkReply::Refused(refusal))) => BatchEnd::Refused(refusal),
                Ok(Some(work_reply::WorkReply::Broken(breakage))) => BatchEnd::Broken {
                    step: breakage.step,
                    peer: breakage.peer,
                    cause: breakage.cause,
                    link: false,
                },
                Ok(None) => BatchEnd::Broken {
                    step: "receive".to_owned(),
                    peer: self.pool.clone(),
                    cause: "the stream ended before the answer".to_owned(),
                    link: true,
                },
                Err(error) => BatchEnd::Broken {
                    step: error.step.to_string(),
                    peer: error.peer,
                    cause: error.cause,
                    link: true,
                },
            };
            if matches!(end, BatchEnd::Broken { .. }) {
                self.drop_unfinished(back, bounds.unfinished())?;
            }
            return Ok((end, sent));
        }
    }

    /// Drops the part of a message whose rest will never arrive. If some of it has been written to
    /// the caller's socket, the connection ends, because the caller would take whatever follows
    /// for the rest of that message.
    fn drop_unfinished(
        &mut self,
        back: &mut wire::FrontWriter,
        unfinished: usize,
    ) -> Result<(), CallerGone> {
        let Some(whole) = back.output.len().checked_sub(unfinished) else {
            event::warn(
                "caller_cut_off",
                &[
                    ("upstream", &self.upstream),
                    ("cause", &"the answer broke inside a message"),
                ],
            );
            return Err(self.abandon("broken inside a message"));
        };
        back.output.truncate(whole);
        Ok(())
    }

    /// Ends the unit. The pool rolls back what is open.
    pub fn finish(mut self) {
        // A stream that has ended at the pool's side needs no end of ours.
        drop(self.writer.finish());
    }

    fn abandon<E>(&mut self, _cause: E) -> CallerGone {
        self.writer.abort();
        CallerGone
    }
}
