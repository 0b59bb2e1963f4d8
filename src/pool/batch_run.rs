//! [`BatchRun`]: sends one batch to an upstream and forwards the answer to the entry.

use std::io;
use std::sync;
use std::time;

use bytes::Buf;

use crate::event;
use crate::link::{batch_request, frame_reader, frame_writer, work_frame, work_reply};
use crate::pool::{answer_splitter, upstream, upstream_connection};

/// Interval at which rows are flushed and the upstream's silence is checked.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Time within which an upstream has to answer after the pool cancelled a batch because of silence.
const CANCEL_LIMIT: time::Duration = time::Duration::from_secs(1);
/// Shortest silence after which the connection of a batch with a known slot time is suspected to be
/// dead.
const SUSPECT_AFTER: time::Duration = time::Duration::from_secs(1);
/// Multiple of its mean slot time for which a batch has to be silent before its connection is
/// suspected to be dead.
const SUSPECT_FACTOR: u32 = 50;
/// Timeout of a probe on a new connection. If the probe is answered while the batch stays silent,
/// the batch's connection is dead.
const PROBE_LIMIT: time::Duration = time::Duration::from_millis(600);

/// How a batch ended.
#[derive(Debug)]
pub enum BatchEnd {
    /// The answer is complete.
    Done {
        /// The reply to the entry.
        done: work_reply::BatchDone,
        /// True if the connection cannot serve another unit, because it has session state, unread
        /// bytes or a cancel request under way.
        tainted: bool,
    },
    /// The connection broke, or the answer is invalid.
    Broken(work_reply::WorkFailure),
    /// The entry has disconnected or sent an unexpected frame.
    Abandoned,
}

/// The connections and settings of one batch run.
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
    pub input_ended: &'a mut bool,
    /// Mean slot time of the batch, if known and if the batch can be retried safely. A dead
    /// connection is then detected by comparison with it.
    pub expected_time: Option<time::Duration>,
}

/// What happened first while a batch runs.
enum RunEvent {
    Received(io::Result<usize>),
    Written(io::Result<usize>),
    Frame(Option<work_frame::WorkFrame>),
    Disconnected,
    Tick,
    Probed(bool),
}

impl BatchRun<'_> {
    /// Runs a batch. Every failure of the upstream is returned as [`BatchEnd::Broken`], because the
    /// batch may have run from the first sent byte on.
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
        // A cancel request is sent on a connection of its own and may arrive after the batch has
        // ended. It would then cancel the next batch on the connection that it names, so that
        // connection must not serve another unit.
        let mut cancel_sent = false;
        let mut probe = None;
        let mut next_probe = sent_at;
        let tick = tokio::time::sleep(CHECK_INTERVAL);
        tokio::pin!(tick);
        loop {
            if let Err(cause) = splitter.consume(&mut self.connection.buffer, edge.as_ref()) {
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
            match self.next_event(&pending, tick.as_mut(), &mut probe).await {
                RunEvent::Received(Ok(0)) => return self.broken("receive", &"connection closed"),
                RunEvent::Received(Ok(_)) => last_byte = tokio::time::Instant::now(),
                RunEvent::Written(Ok(written)) => pending.advance(written),
                RunEvent::Received(Err(error)) => return self.broken("receive", &error),
                RunEvent::Written(Err(error)) => return self.broken("send", &error),
                RunEvent::Frame(Some(work_frame::WorkFrame::Cancel)) => {
                    cancel_sent = true;
                    self.request_cancel();
                }
                RunEvent::Frame(Some(_)) | RunEvent::Disconnected => return self.abandon(),
                RunEvent::Frame(None) => *self.input_ended = true,
                RunEvent::Probed(answered) => {
                    probe = None;
                    if answered && last_byte.elapsed() >= SUSPECT_AFTER {
                        let cause = "silent while a fresh connection answers";
                        return self.broken("receive", &cause);
                    }
                    // The probe may have failed because of a transient fault, so it is repeated.
                    next_probe = tokio::time::Instant::now() + SUSPECT_AFTER;
                }
                RunEvent::Tick => {
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
                    if probe.is_none() && now >= next_probe && self.is_suspected_dead(silence) {
                        probe = Some(tokio::spawn(probe_upstream(sync::Arc::clone(
                            self.upstream,
                        ))));
                    }
                }
            }
        }
    }

    /// Returns whether the connection may be dead, judged by the batch's silence.
    ///
    /// PostgreSQL sends nothing while a statement runs, so a dead connection cannot be told from a
    /// slow statement. Only a batch that can be retried safely is therefore suspected, and only
    /// after a silence far longer than its mean slot time. All others rely on TCP keepalive and the
    /// silence limit.
    fn is_suspected_dead(&self, silence: time::Duration) -> bool {
        self.expected_time
            .is_some_and(|mean| silence >= SUSPECT_AFTER.max(mean * SUSPECT_FACTOR))
    }

    /// Writes pending bytes, or waits for the next event.
    async fn next_event(
        &mut self,
        pending: &bytes::Bytes,
        tick: std::pin::Pin<&mut tokio::time::Sleep>,
        probe: &mut Option<tokio::task::JoinHandle<bool>>,
    ) -> RunEvent {
        let socket = &self.connection.socket;
        let buffer = &mut self.connection.buffer;
        if !pending.is_empty() {
            match socket.try_write(pending) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return RunEvent::Written(result),
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
            if *self.input_ended {
                self.writer.closed().await;
                return RunEvent::Disconnected;
            }
            match self.reader.next::<work_frame::WorkFrame>().await {
                Ok(frame) => RunEvent::Frame(frame),
                Err(_) => RunEvent::Disconnected,
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
            result = read => RunEvent::Received(result),
            result = socket.writable(), if !pending.is_empty() => match result {
                Ok(()) => RunEvent::Written(Ok(0)),
                Err(error) => RunEvent::Written(Err(error)),
            },
            event = entry => event,
            answered = probed => RunEvent::Probed(answered),
            () = tick => RunEvent::Tick,
        }
    }

    /// Sends all rows that may be sent already. Nothing is read from the upstream meanwhile, so a
    /// slow client exerts backpressure on its upstream connection. Returns false if the entry has
    /// disconnected.
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
                if *self.input_ended {
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
                        Ok(None) => *self.input_ended = true,
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

    /// Cancels the statement of an entry that has disconnected, to free the upstream's slot.
    fn abandon(&self) -> BatchEnd {
        self.request_cancel();
        BatchEnd::Abandoned
    }

    fn broken(&self, step: &str, cause: &dyn ToString) -> BatchEnd {
        let failure = work_reply::WorkFailure {
            step: step.to_owned(),
            peer: self.upstream.spec.upstream.clone(),
            cause: cause.to_string(),
        };
        event::warn(
            "batch_broken",
            &[
                ("upstream", &failure.peer),
                ("step", &failure.step),
                ("cause", &failure.cause),
            ],
        );
        BatchEnd::Broken(failure)
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

/// Returns whether the upstream answers on a new connection.
async fn probe_upstream(upstream: sync::Arc<upstream::Upstream>) -> bool {
    let probe = async {
        let connect = upstream.edge.connect(&upstream.spec, &upstream.database);
        let mut connection = connect.await.ok()?;
        upstream.edge.read_state(&mut connection).await.ok()
    };
    matches!(tokio::time::timeout(PROBE_LIMIT, probe).await, Ok(Some(_)))
}
