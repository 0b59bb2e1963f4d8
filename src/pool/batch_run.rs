//! [`BatchRun`]: sends one batch to an upstream and passes its answer on.

use std::io;
use std::sync;
use std::time;

use bytes::Buf;

use crate::event;
use crate::link::{batch_request, frame_reader, frame_writer, work_frame, work_reply};
use crate::pool::{answer_splitter, upstream, upstream_connection};

/// Time between two looks at pending output and at the silence of the upstream.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Time that an upstream has to answer a cancel request that the pool sent because of silence.
const CANCEL_LIMIT: time::Duration = time::Duration::from_secs(1);
/// Silence after which a batch that is known to be short is suspected to be on a dead connection.
const SUSPECT_AFTER: time::Duration = time::Duration::from_secs(1);
/// How many times its mean slot time a batch has to be silent to be suspected.
const SUSPECT_FACTOR: u32 = 50;
/// Time within which the fresh connection has to answer that confirms the suspicion.
const PROBE_LIMIT: time::Duration = time::Duration::from_millis(600);

/// How a batch ended.
#[derive(Debug)]
pub enum BatchEnd {
    /// The answer is whole; `tainted` is true if the connection cannot serve another unit.
    Done {
        /// What the entry gets.
        done: work_reply::BatchDone,
        /// Whether the connection has session state or unexpected bytes.
        tainted: bool,
    },
    /// The connection broke, or the answer is not one that can be passed on.
    Broken(work_reply::WorkFailure),
    /// The entry has given the unit up.
    Abandoned,
}

/// What a batch runs with.
#[derive(Debug)]
pub struct BatchRun<'a> {
    /// The upstream.
    pub upstream: &'a sync::Arc<upstream::Upstream>,
    /// The connection.
    pub connection: &'a mut upstream_connection::UpstreamConnection,
    /// Frames from the entry.
    pub reader: &'a mut frame_reader::FrameReader,
    /// Frames to the entry.
    pub writer: &'a mut frame_writer::FrameWriter,
    /// True once the entry has sent its last frame.
    pub ended: &'a mut bool,
    /// Mean slot time of the batch, if a repeat of it is harmless and it is known to be short.
    pub known_short: Option<time::Duration>,
}

enum Step {
    Received(io::Result<usize>),
    Written(io::Result<usize>),
    Frame(Option<work_frame::WorkFrame>),
    Gone,
    Tick,
    Probed(bool),
}

impl BatchRun<'_> {
    /// Runs a batch. From the first byte on, every failure counts as [`BatchEnd::Broken`].
    pub async fn run(
        mut self,
        batch: batch_request::BatchRequest,
        queued: time::Duration,
    ) -> BatchEnd {
        let sent_at = tokio::time::Instant::now();
        let edge = sync::Arc::clone(&self.upstream.edge);
        let mut splitter =
            answer_splitter::AnswerSplitter::new(batch.hidden_parses, batch.hold_completion);
        let mut pending = batch.messages;
        let mut last_byte = sent_at;
        let mut cancelled_at = None;
        // A cancel request travels on a connection of its own and may arrive after the batch has
        // ended. The connection that it names must not serve another unit by then.
        let mut cancel_sent = false;
        let mut probe = None;
        let mut next_probe = sent_at;
        let tick = tokio::time::sleep(CHECK_INTERVAL);
        tokio::pin!(tick);
        loop {
            if let Err(cause) = splitter.take(&mut self.connection.buffer, edge.as_ref()) {
                return self.broken("read_answer", &cause);
            }
            if let Some(status) = splitter.status {
                let tainted = splitter.tainted
                    || cancel_sent
                    || !self.connection.buffer.is_empty()
                    || !pending.is_empty();
                let done = work_reply::BatchDone {
                    request: batch.request,
                    tail: splitter.take_tail(),
                    status,
                    position: splitter.position,
                    sql_state: splitter.sql_state,
                    queued,
                    ran: sent_at.elapsed(),
                };
                return BatchEnd::Done { done, tainted };
            }
            if splitter.has_full_frame() {
                if !self.send_rows(&mut splitter, &mut cancel_sent).await {
                    return self.abandon();
                }
                last_byte = tokio::time::Instant::now();
                continue;
            }
            match self.step(&pending, tick.as_mut(), &mut probe).await {
                Step::Received(Ok(0)) => return self.broken("receive", &"connection closed"),
                Step::Received(Ok(_)) => last_byte = tokio::time::Instant::now(),
                Step::Written(Ok(written)) => pending.advance(written),
                Step::Received(Err(error)) => return self.broken("receive", &error),
                Step::Written(Err(error)) => return self.broken("send", &error),
                Step::Frame(Some(work_frame::WorkFrame::Cancel)) => {
                    cancel_sent = true;
                    self.request_cancel();
                }
                Step::Frame(Some(_)) | Step::Gone => return self.abandon(),
                Step::Frame(None) => *self.ended = true,
                Step::Probed(answered) => {
                    probe = None;
                    if answered && last_byte.elapsed() >= SUSPECT_AFTER {
                        let cause = "silent while a fresh connection answers";
                        return self.broken("receive", &cause);
                    }
                    // The probe itself may have met a passing fault, so it is made again.
                    next_probe = tokio::time::Instant::now() + SUSPECT_AFTER;
                }
                Step::Tick => {
                    let now = tokio::time::Instant::now();
                    tick.as_mut().reset(now + CHECK_INTERVAL);
                    let silence = last_byte.elapsed();
                    let has_rows = splitter.sendable() > 0 && silence >= CHECK_INTERVAL;
                    if has_rows && !self.send_rows(&mut splitter, &mut cancel_sent).await {
                        return self.abandon();
                    }
                    match cancelled_at {
                        None if silence >= batch.silence_limit => {
                            cancel_sent = true;
                            self.request_cancel();
                            cancelled_at = Some(now);
                        }
                        Some(cancelled) if now - cancelled >= CANCEL_LIMIT => {
                            return self.broken("receive", &"silent beyond the limit");
                        }
                        _ => {}
                    }
                    if probe.is_none() && now >= next_probe && self.is_suspect(silence) {
                        probe = Some(tokio::spawn(probe_upstream(sync::Arc::clone(
                            self.upstream,
                        ))));
                    }
                }
            }
        }
    }

    /// A dead connection and a slow statement look the same from here, because PostgreSQL answers
    /// nothing while a statement runs. So only a batch that may be repeated is ever given up by
    /// suspicion, and only if it is silent for far longer than its statement usually runs.
    /// Everything else is left to TCP keepalive and to the silence limit.
    fn is_suspect(&self, silence: time::Duration) -> bool {
        self.known_short
            .is_some_and(|mean| silence >= SUSPECT_AFTER.max(mean * SUSPECT_FACTOR))
    }

    async fn step(
        &mut self,
        pending: &bytes::Bytes,
        tick: std::pin::Pin<&mut tokio::time::Sleep>,
        probe: &mut Option<tokio::task::JoinHandle<bool>>,
    ) -> Step {
        let socket = &self.connection.socket;
        let buffer = &mut self.connection.buffer;
        if !pending.is_empty() {
            match socket.try_write(pending) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Step::Written(result),
            }
        }
        let read = async {
            loop {
                buffer.reserve(8 * 1024);
                match socket.try_read_buf(buffer) {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                        socket.readable().await?;
                    }
                    result => return result,
                }
            }
        };
        let entry = async {
            if *self.ended {
                self.writer.closed().await;
                return Step::Gone;
            }
            match self.reader.next::<work_frame::WorkFrame>().await {
                Ok(frame) => Step::Frame(frame),
                Err(_) => Step::Gone,
            }
        };
        let probed = async {
            match probe {
                Some(handle) => handle.await.unwrap_or(false),
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            result = read => Step::Received(result),
            result = socket.writable(), if !pending.is_empty() => match result {
                Ok(()) => Step::Written(Ok(0)),
                Err(error) => Step::Written(Err(error)),
            },
            step = entry => step,
            answered = probed => Step::Probed(answered),
            () = tick => Step::Tick,
        }
    }

    /// Sends all rows that may be sent. Meanwhile nothing is read from the upstream, so a slow
    /// caller slows its upstream connection down. Returns false if the entry is gone.
    async fn send_rows(
        &mut self,
        splitter: &mut answer_splitter::AnswerSplitter,
        cancel_sent: &mut bool,
    ) -> bool {
        while let Some(rows) = splitter.take_rows() {
            let reply = work_reply::WorkReply::Rows(rows);
            let key = self.connection.key;
            let send = self.writer.send(&reply);
            tokio::pin!(send);
            loop {
                if *self.ended {
                    if send.await.is_err() {
                        return false;
                    }
                    break;
                }
                tokio::select! {
                    biased;
                    sent = &mut send => {
                        if sent.is_err() {
                            return false;
                        }
                        break;
                    }
                    frame = self.reader.next::<work_frame::WorkFrame>() => match frame {
                        Ok(Some(work_frame::WorkFrame::Cancel)) => {
                            *cancel_sent = true;
                            spawn_cancel(self.upstream, key);
                        }
                        Ok(None) => *self.ended = true,
                        Ok(Some(_)) | Err(_) => return false,
                    }
                }
            }
        }
        true
    }

    fn request_cancel(&self) {
        spawn_cancel(self.upstream, self.connection.key);
    }

    /// The entry is gone, so the statement is cancelled to free the upstream's slot.
    fn abandon(&self) -> BatchEnd {
        self.request_cancel();
        BatchEnd::Abandoned
    }

    fn broken(&self, step: &str, cause: &dyn ToString) -> BatchEnd {
        let breakage = work_reply::WorkFailure {
            step: step.to_owned(),
            peer: self.upstream.spec.upstream.clone(),
            cause: cause.to_string(),
        };
        event::warn(
            "batch_broken",
            &[
                ("upstream", &breakage.peer),
                ("step", &breakage.step),
                ("cause", &breakage.cause),
            ],
        );
        BatchEnd::Broken(breakage)
    }
}

fn spawn_cancel(upstream: &sync::Arc<upstream::Upstream>, key: upstream_connection::CancelKey) {
    let upstream = sync::Arc::clone(upstream);
    tokio::spawn(async move {
        if let Err(error) = upstream.edge.cancel(key).await {
            let name = &upstream.spec.upstream;
            event::warn("cancel_failed", &[("upstream", name), ("cause", &error)]);
        }
    });
}

/// Tells whether a fresh connection answers.
async fn probe_upstream(upstream: sync::Arc<upstream::Upstream>) -> bool {
    let probe = async {
        let connect = upstream.edge.connect(&upstream.spec, &upstream.database);
        let mut connection = connect.await.ok()?;
        upstream.edge.read_state(&mut connection).await.ok()
    };
    matches!(tokio::time::timeout(PROBE_LIMIT, probe).await, Ok(Some(_)))
}
