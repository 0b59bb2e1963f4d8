//! Serves `Work` streams: one unit of work each.

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

/// Longest time to wait for the first state of an upstream, or for that of its new incarnation.
const STATE_WAIT: time::Duration = time::Duration::from_millis(300);
/// Time within which a rollback has to be answered; otherwise the connection is closed.
const ROLLBACK_LIMIT: time::Duration = time::Duration::from_secs(1);
/// Ended connections and such of an old incarnation that one unit closes before it gives up.
const MAX_STALE_CONNECTIONS: usize = 64;

type Refusal = (refusal_reason::RefusalReason, String);

/// A transaction that is open between two batches.
struct OpenTransaction {
    held: connection_store::HeldConnection,
    unit: slot_queue::UnitGuard,
    tainted: bool,
}

/// A unit of work.
struct WorkUnit {
    upstream: sync::Arc<upstream::Upstream>,
    request: work_request::WorkRequest,
    reader: frame_reader::FrameReader,
    writer: frame_writer::FrameWriter,
    ended: bool,
}

enum Waited<T> {
    Ready(T),
    Cancelled,
    Gone,
}

/// Runs a unit of work until it has ended.
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
        ended: false,
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
    // An entry that is gone needs no answer.
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
            let frame = if self.ended {
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
                // Nothing runs, so there is nothing to cancel.
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

    /// Runs a batch and returns the transaction that is open after it.
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
                reason = upstream.wait_lost(term) => Err(reason),
            }
        };
        let slot = match self.wait_for(acquire).await {
            Waited::Ready(Ok(slot)) => slot,
            Waited::Ready(Err(reason)) => {
                let detail = format!("queue of upstream {}", self.request.upstream);
                return self.end_refused((reason, detail), held).await;
            }
            Waited::Cancelled => {
                let reason = refusal_reason::RefusalReason::Cancelled;
                let detail = "cancelled before it was sent".to_owned();
                return self.end_refused((reason, detail), held).await;
            }
            Waited::Gone => return self.end_gone(held).await,
        };
        let queued = arrived.elapsed();
        let mut held = match held {
            Some(held) => held,
            None => {
                let upstream = sync::Arc::clone(&self.upstream);
                let request = self.request.clone();
                match self.wait_for(prepare(&upstream, &request, deadline)).await {
                    Waited::Ready(Ok(held)) => held,
                    Waited::Ready(Err(refusal)) => {
                        drop(slot);
                        return self.end_refused(refusal, None).await;
                    }
                    Waited::Cancelled => {
                        drop(slot);
                        let reason = refusal_reason::RefusalReason::Cancelled;
                        let detail = "cancelled before it was sent".to_owned();
                        return self.end_refused((reason, detail), None).await;
                    }
                    Waited::Gone => {
                        drop(slot);
                        return self.end_gone(None).await;
                    }
                }
            }
        };
        // The upstream may have begun to leave while the batch waited.
        if autocommit && self.upstream.is_leaving() {
            held.give_back();
            drop(slot);
            let reason = refusal_reason::RefusalReason::Leaving;
            let detail = format!("upstream {} is leaving", self.request.upstream);
            return self.end_refused((reason, detail), None).await;
        }
        // Only an autocommit read may be repeated, so only it may be given up by suspicion.
        let repeatable = autocommit
            && self.request.access == work_request::WorkAccess::Read
            && batch.long != Some(true);
        let run = batch_run::BatchRun {
            upstream: &self.upstream,
            connection: &mut held.connection,
            reader: &mut self.reader,
            writer: &mut self.writer,
            ended: &mut self.ended,
            known_short: repeatable
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
                        held.give_back();
                    }
                    // An entry that is gone has lost its answer; the unit has ended either way.
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
            batch_run::BatchEnd::Broken(breakage) => {
                drop(held);
                drop(slot);
                let reply = work_reply::WorkReply::Broken(breakage);
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

    /// Waits for something that precedes the first byte of a batch, while the entry may cancel
    /// the batch or give the unit up.
    async fn wait_for<T>(&mut self, future: impl Future<Output = T>) -> Waited<T> {
        tokio::pin!(future);
        loop {
            if self.ended {
                return tokio::select! {
                    biased;
                    result = &mut future => Waited::Ready(result),
                    () = self.writer.closed() => Waited::Gone,
                };
            }
            tokio::select! {
                biased;
                result = &mut future => return Waited::Ready(result),
                frame = self.reader.next::<work_frame::WorkFrame>() => match frame {
                    Ok(Some(work_frame::WorkFrame::Cancel)) => return Waited::Cancelled,
                    Ok(None) => self.ended = true,
                    Ok(Some(_)) | Err(_) => return Waited::Gone,
                },
            }
        }
    }

    /// Ends the unit with a refusal. An open transaction is dropped with its connection, because
    /// the upstream rolls it back then.
    async fn end_refused(
        &mut self,
        refusal: Refusal,
        held: Option<connection_store::HeldConnection>,
    ) -> Option<OpenTransaction> {
        drop(held);
        refuse(&mut self.writer, refusal).await;
        None
    }

    async fn end_gone(
        &mut self,
        held: Option<connection_store::HeldConnection>,
    ) -> Option<OpenTransaction> {
        drop(held);
        self.writer.abort();
        None
    }
}

/// Takes a connection on which the unit may start.
async fn prepare(
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
            // The connection belongs to a process that is gone; the next one may not.
            continue;
        }
        if let Some(term) = request
            .term
            .filter(|term| state.primary_term != Some(*term))
        {
            let reason = refusal_reason::RefusalReason::NotPrimary;
            return Err((
                reason,
                give_back(
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
            return Err((reason, give_back(held, detail)));
        }
        return Ok(held);
    }
    let reason = refusal_reason::RefusalReason::Unreachable;
    Err((reason, format!("connections to upstream {name} are stale")))
}

fn give_back(held: connection_store::HeldConnection, detail: String) -> String {
    held.give_back();
    detail
}

/// Rolls an open transaction back, so that its connection can serve another unit.
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
        held.give_back();
    } else {
        event::debug(
            "rollback_by_close",
            &[("database", &held.connection.database)],
        );
    }
    drop(unit);
}
