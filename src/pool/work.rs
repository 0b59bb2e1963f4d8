//! Serves `Work` streams. Each stream carries one unit of work: a single batch, or the batches of
//! one transaction.

use std::sync;
use std::time;

use crate::counters;
use crate::decide::schedule_event;
use crate::event;
use crate::link::{
    batch_request, frame_reader, frame_writer, server, work_frame, work_reply, work_request,
};
use crate::model::refusal_reason;
use crate::pool::{batch_run, connection_store, slot_queue, upstream, upstream_table};

/// Time to wait for an upstream's first state, or for its first state after a restart.
const STATE_WAIT: time::Duration = time::Duration::from_millis(300);
/// Timeout of a rollback. The connection is closed after it.
const ROLLBACK_LIMIT: time::Duration = time::Duration::from_secs(1);
/// Number of closed or outdated connections that one unit discards before it is refused. A
/// connection is outdated if the upstream has restarted since it was opened.
const MAX_STALE_CONNECTIONS: usize = 64;

type Refusal = (refusal_reason::RefusalReason, String);

/// A transaction that stays open between two batches, with its connection.
struct OpenTransaction {
    held: connection_store::HeldConnection,
    unit: slot_queue::UnitGuard,
    /// True if the connection must be closed after the transaction, because it has session state.
    tainted: bool,
}

/// A unit of work that was admitted, with the stream to its entry.
struct WorkUnit {
    upstream: sync::Arc<upstream::Upstream>,
    request: work_request::WorkRequest,
    reader: frame_reader::FrameReader,
    writer: frame_writer::FrameWriter,
    /// True once the entry has sent its last frame.
    input_ended: bool,
}

/// Result of a wait during which the entry may cancel the batch or disconnect.
enum WaitOutcome<T> {
    Ready(T),
    Cancelled,
    Disconnected,
}

/// Reads the request of a unit of work, admits or refuses it, and runs it to its end.
pub async fn serve(table: sync::Arc<upstream_table::UpstreamTable>, stream: server::PeerStream) {
    let server::PeerStream {
        mut reader,
        mut writer,
        ..
    } = stream;
    let Ok(Some(work_frame::WorkFrame::Open(request))) = reader.next().await else {
        writer.abort();
        return;
    };
    let _unit = table.open_unit();
    let upstream = match admit(&table, &request) {
        Ok(upstream) => upstream,
        Err(refusal) => return refuse(&mut writer, refusal).await,
    };
    upstream.activate();
    let unit = WorkUnit {
        upstream,
        request,
        reader,
        writer,
        input_ended: false,
    };
    unit.run().await;
}

fn admit(
    table: &upstream_table::UpstreamTable,
    request: &work_request::WorkRequest,
) -> Result<sync::Arc<upstream::Upstream>, Refusal> {
    if !table.is_loaded() {
        let reason = refusal_reason::RefusalReason::NotReady;
        return Err((reason, "pool has no control tables yet".to_owned()));
    }
    if table.is_leaving() {
        let reason = refusal_reason::RefusalReason::Leaving;
        return Err((reason, "pool is leaving".to_owned()));
    }
    let name = &request.upstream;
    let Some(upstream) = table.find(name) else {
        let reason = refusal_reason::RefusalReason::Unreachable;
        return Err((reason, format!("upstream {name:?} is not known here")));
    };
    if upstream.is_leaving() {
        let reason = refusal_reason::RefusalReason::Leaving;
        return Err((reason, format!("upstream {name} is leaving")));
    }
    Ok(upstream)
}

async fn refuse(writer: &mut frame_writer::FrameWriter, (reason, detail): Refusal) {
    counters::count_refusal(reason);
    let refusal = work_reply::WorkRefusal { reason, detail };
    // The error is ignored: an entry that has disconnected needs no answer.
    drop(
        writer
            .send_last(&work_reply::WorkReply::Refused(refusal))
            .await,
    );
}

impl WorkUnit {
    async fn run(mut self) {
        let mut transaction = None;
        loop {
            let frame = if self.input_ended {
                Ok(None)
            } else {
                self.reader.next().await
            };
            match frame {
                Ok(Some(work_frame::WorkFrame::Batch(batch))) => {
                    transaction = self.run_batch(batch, transaction).await;
                    if transaction.is_none() {
                        return;
                    }
                }
                // No batch is running, so there is nothing to cancel.
                Ok(Some(work_frame::WorkFrame::Cancel)) => {}
                Ok(Some(work_frame::WorkFrame::Open(_)) | None) | Err(_) => {
                    if let Some(transaction) = transaction {
                        roll_back(transaction).await;
                    }
                    self.writer.abort();
                    return;
                }
            }
        }
    }

    /// Runs a batch and returns the transaction if one is open after it.
    async fn run_batch(
        &mut self,
        batch: batch_request::BatchRequest,
        transaction: Option<OpenTransaction>,
    ) -> Option<OpenTransaction> {
        let arrived = tokio::time::Instant::now();
        let deadline = arrived + batch.start_within;
        let autocommit = transaction.is_none();
        let (held, unit, tainted) = match transaction {
            Some(open) => (Some(open.held), Some(open.unit), open.tainted),
            None => (None, None, false),
        };
        let arrival = schedule_event::BatchArrival {
            ticket: 0,
            customer: self.request.customer.clone(),
            fingerprint: batch.fingerprint,
            long: batch.long,
            in_transaction: false,
            start_within: batch.start_within,
        };
        let queue = sync::Arc::clone(&self.upstream.queue);
        let upstream = sync::Arc::clone(&self.upstream);
        let term = self.request.term;
        let acquire = async {
            let acquire = queue.acquire(arrival, unit);
            if !autocommit {
                return acquire.await;
            }
            tokio::select! {
                biased;
                slot = acquire => slot,
                reason = upstream.wait_unavailable(term) => Err(reason),
            }
        };
        let slot = match self.wait_for(acquire).await {
            WaitOutcome::Ready(Ok(slot)) => slot,
            WaitOutcome::Ready(Err(reason)) => {
                let detail = format!("queue of upstream {}", self.request.upstream);
                return self.end_refused((reason, detail), held).await;
            }
            WaitOutcome::Cancelled => {
                let reason = refusal_reason::RefusalReason::Cancelled;
                let detail = "cancelled before it was sent".to_owned();
                return self.end_refused((reason, detail), held).await;
            }
            WaitOutcome::Disconnected => return self.end_disconnected(held).await,
        };
        let queued = arrived.elapsed();
        let mut held = match held {
            Some(held) => held,
            None => {
                let upstream = sync::Arc::clone(&self.upstream);
                let request = self.request.clone();
                match self
                    .wait_for(acquire_connection(&upstream, &request, deadline))
                    .await
                {
                    WaitOutcome::Ready(Ok(held)) => held,
                    WaitOutcome::Ready(Err(refusal)) => {
                        drop(slot);
                        return self.end_refused(refusal, None).await;
                    }
                    WaitOutcome::Cancelled => {
                        drop(slot);
                        let reason = refusal_reason::RefusalReason::Cancelled;
                        let detail = "cancelled before it was sent".to_owned();
                        return self.end_refused((reason, detail), None).await;
                    }
                    WaitOutcome::Disconnected => {
                        drop(slot);
                        return self.end_disconnected(None).await;
                    }
                }
            }
        };
        // The upstream may have been drained while the batch waited.
        if autocommit && self.upstream.is_leaving() {
            held.release();
            drop(slot);
            let reason = refusal_reason::RefusalReason::Leaving;
            let detail = format!("upstream {} is leaving", self.request.upstream);
            return self.end_refused((reason, detail), None).await;
        }
        // Only an autocommit read can be retried safely, so only such a batch may be aborted
        // because its connection seems dead.
        let repeatable = autocommit
            && self.request.access == work_request::WorkAccess::Read
            && batch.long != Some(true);
        let run = batch_run::BatchRun {
            upstream: &self.upstream,
            connection: &mut held.connection,
            reader: &mut self.reader,
            writer: &mut self.writer,
            input_ended: &mut self.input_ended,
            expected_time: repeatable
                .then(|| self.upstream.queue.learned(batch.fingerprint))
                .flatten(),
        };
        match run.run(batch, queued).await {
            batch_run::BatchEnd::Done {
                done,
                tainted: tainted_now,
            } => {
                let tainted = tainted || tainted_now;
                let idle = done.status == work_reply::TransactionStatus::Idle;
                let unit = slot.finish(!idle);
                let reply = work_reply::WorkReply::BatchDone(done);
                let Some(unit) = unit else {
                    if !tainted {
                        held.release();
                    }
                    // The error is ignored: the unit has ended even if the entry disconnected.
                    drop(self.writer.send_last(&reply).await);
                    return None;
                };
                let transaction = OpenTransaction {
                    held,
                    unit,
                    tainted,
                };
                if self.writer.send(&reply).await.is_err() {
                    roll_back(transaction).await;
                    return None;
                }
                Some(transaction)
            }
            batch_run::BatchEnd::Broken(failure) => {
                drop(held);
                drop(slot);
                let reply = work_reply::WorkReply::Broken(failure);
                drop(self.writer.send_last(&reply).await);
                None
            }
            batch_run::BatchEnd::Abandoned => {
                drop(held);
                drop(slot);
                self.writer.abort();
                None
            }
        }
    }

    /// Waits for a step that comes before the first byte of a batch is sent, while the entry may
    /// cancel the batch or disconnect.
    async fn wait_for<T>(&mut self, future: impl Future<Output = T>) -> WaitOutcome<T> {
        tokio::pin!(future);
        loop {
            if self.input_ended {
                return tokio::select! {
                    biased;
                    result = &mut future => WaitOutcome::Ready(result),
                    () = self.writer.closed() => WaitOutcome::Disconnected,
                };
            }
            tokio::select! {
                biased;
                result = &mut future => return WaitOutcome::Ready(result),
                frame = self.reader.next::<work_frame::WorkFrame>() => match frame {
                    Ok(Some(work_frame::WorkFrame::Cancel)) => return WaitOutcome::Cancelled,
                    Ok(None) => self.input_ended = true,
                    Ok(Some(_)) | Err(_) => return WaitOutcome::Disconnected,
                },
            }
        }
    }

    /// Refuses the batch and ends the unit. The connection of an open transaction is closed, on
    /// which the upstream rolls the transaction back.
    async fn end_refused(
        &mut self,
        refusal: Refusal,
        held: Option<connection_store::HeldConnection>,
    ) -> Option<OpenTransaction> {
        drop(held);
        refuse(&mut self.writer, refusal).await;
        None
    }

    /// Ends the unit of an entry that has disconnected.
    async fn end_disconnected(
        &mut self,
        held: Option<connection_store::HeldConnection>,
    ) -> Option<OpenTransaction> {
        drop(held);
        self.writer.abort();
        None
    }
}

/// Acquires a connection on which the unit may start: one that is open and, if the request asks for
/// a term or a log position, to an upstream whose state satisfies it.
async fn acquire_connection(
    upstream: &upstream::Upstream,
    request: &work_request::WorkRequest,
    deadline: tokio::time::Instant,
) -> Result<connection_store::HeldConnection, Refusal> {
    let name = &request.upstream;
    let (edge, spec) = (upstream.edge.as_ref(), &upstream.spec);
    for _ in 0..MAX_STALE_CONNECTIONS {
        let acquire = upstream.connections.acquire(edge, spec, &request.database);
        let held = match tokio::time::timeout_at(deadline, acquire).await {
            Ok(Ok(held)) => held,
            Ok(Err(error)) => {
                let reason = refusal_reason::RefusalReason::Unreachable;
                return Err((reason, error.to_string()));
            }
            Err(_elapsed) => {
                let reason = refusal_reason::RefusalReason::Deadline;
                return Err((reason, format!("no connection to upstream {name} in time")));
            }
        };
        if !held.connection.is_quiet() {
            continue;
        }
        if request.min_applied.is_none() && request.term.is_none() {
            return Ok(held);
        }
        let incarnation = held.connection.incarnation;
        let limit = STATE_WAIT.min(deadline.saturating_duration_since(tokio::time::Instant::now()));
        let known = upstream
            .view()
            .state
            .filter(|state| state.incarnation >= incarnation);
        let state = match known {
            Some(state) => state,
            None => {
                let accepts = |view: &upstream::UpstreamView| {
                    let state = view.state.as_ref();
                    state.is_some_and(|state| state.incarnation >= incarnation)
                };
                let view = upstream.wait_view(limit, accepts).await;
                view.and_then(|view| view.state).ok_or_else(|| {
                    let reason = refusal_reason::RefusalReason::Unreachable;
                    (reason, format!("no state of upstream {name} yet"))
                })?
            }
        };
        if state.incarnation > incarnation {
            // The connection leads to a database process that has ended; another one may be
            // current.
            continue;
        }
        if let Some(term) = request
            .term
            .filter(|term| state.primary_term != Some(*term))
        {
            let reason = refusal_reason::RefusalReason::NotPrimary;
            return Err((
                reason,
                release_held(
                    held,
                    format!("upstream {name} is not the primary of term {term}"),
                ),
            ));
        }
        if let Some(wanted) = request.min_applied.filter(|wanted| state.applied < *wanted) {
            let reason = refusal_reason::RefusalReason::Lagging;
            let detail = format!(
                "upstream {name} has applied {}, not {wanted}",
                state.applied
            );
            return Err((reason, release_held(held, detail)));
        }
        return Ok(held);
    }
    let reason = refusal_reason::RefusalReason::Unreachable;
    Err((reason, format!("connections to upstream {name} are stale")))
}

fn release_held(held: connection_store::HeldConnection, detail: String) -> String {
    held.release();
    detail
}

/// Rolls back an open transaction, so that its connection can serve another unit. Closes the
/// connection if that fails or if it has session state.
async fn roll_back(transaction: OpenTransaction) {
    let OpenTransaction {
        mut held,
        unit,
        tainted,
    } = transaction;
    let roll_back = async {
        let connection = &mut held.connection;
        let mut out = bytes::BytesMut::new();
        postgres_protocol::message::frontend::query("ROLLBACK", &mut out)?;
        connection.send(&out).await?;
        loop {
            let message = connection.receive().await?;
            match message.tag {
                b'Z' => return Ok(message.body.as_ref() == b"I" && connection.buffer.is_empty()),
                b'C' | b'N' => {}
                _ => return Ok::<bool, std::io::Error>(false),
            }
        }
    };
    let clean = tokio::time::timeout(ROLLBACK_LIMIT, roll_back).await;
    if matches!(clean, Ok(Ok(true))) && !tainted {
        held.release();
    } else {
        event::debug(
            "rollback_by_close",
            &[("database", &held.connection.database)],
        );
    }
    drop(unit);
}
