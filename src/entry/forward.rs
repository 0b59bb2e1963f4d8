//! Runs batches on upstreams: routing, retries, confirmation of commits and reporting of outcomes.

use std::pin;
use std::sync;
use std::time;

use crate::decide::{commit_outcome, retry_budget};
use crate::entry::{answer, batch, route, session, unit};
use crate::link::{batch_request, stream_kind, work_frame, work_reply, work_request};
use crate::model::{ids, log_position, refusal_reason, retry_reason, sql_state};
use crate::rules::rule_set;
use crate::{counters, event};

/// SQLSTATE of a transaction that is rolled back because its connection is lost.
const CONNECTION_FAILURE: &str = "08006";

/// The outcome of one attempt to run a batch.
enum AttemptOutcome {
    /// The client has received an answer; true if it is not an error.
    Answered(bool),
    /// The batch did not run, or is idempotent, and may be sent again.
    Retry(
        retry_reason::RetryReason,
        ids::UpstreamId,
        route::RouteRefusal,
    ),
    /// The batch may have run in part or whole; the text is the error's detail.
    Unknown(String),
}

impl session::ClientSession {
    /// Runs a batch on an upstream. Returns false if it ended with an error.
    pub(super) async fn run_forwarded(
        &mut self,
        batch: batch::ClientBatch,
    ) -> Result<bool, unit::ClientGone> {
        let cancel = sync::Arc::clone(&self.cancel);
        let mut cancelled = pin::pin!(cancel.notified());
        cancelled.as_mut().enable();
        match std::mem::replace(&mut self.transaction, session::TransactionState::Idle) {
            session::TransactionState::Open(unit) => {
                self.run_in_transaction(*unit, &batch, cancelled).await
            }
            _ => self.run_routed(&batch, cancelled).await,
        }
    }

    fn write_rule(&self, tables: &[String]) -> Option<rule_set::WriteRule> {
        let active = self.context.tables();
        active.rules.write_rule(&self.database, tables).cloned()
    }

    async fn run_routed(
        &mut self,
        batch: &batch::ClientBatch,
        mut cancel: route::CancelNotice<'_, '_>,
    ) -> Result<bool, unit::ClientGone> {
        let access = batch.access();
        let limits = self.context.settings.limits.clone();
        let started = self.context.now();
        self.context.budget(self.number).record_request(started);
        let deadline = started
            + if access == work_request::WorkAccess::Write {
                self.write_rule(&batch.tables)
                    .and_then(|rule| rule.deadline)
                    .unwrap_or(limits.write_deadline)
            } else {
                limits.read_deadline
            };
        // A transaction may read from a replaced primary; a single write's commit excludes that.
        let position = if access == work_request::WorkAccess::Read || batch.has_begin() {
            match self.find_position(batch, deadline, cancel.as_mut()).await {
                Ok(position) => position,
                Err(failure) => return self.refuse(Result::from(failure)?).await,
            }
        } else {
            self.positions.own().unwrap_or_default()
        };
        let mut avoid = Vec::new();
        let mut attempt = 0;
        // Set once an attempt may have run: a later refusal must not be reported as "not run".
        let mut interrupted = None;
        loop {
            let found = self
                .find_route(access, position, deadline, &avoid, cancel.as_mut())
                .await;
            let (choice, view) = match found {
                Ok(found) => found,
                Err(failure) => return self.end_refused(Result::from(failure)?, interrupted).await,
            };
            let end = self
                .attempt(batch, &choice, &view, position, deadline, cancel.as_mut())
                .await?;
            let (reason, upstream, refusal) = match end {
                AttemptOutcome::Answered(succeeded) => {
                    metrics::counter!("persimmontack_statements_total", "access" => access.to_string(), "route" => choice.reason.to_string())
                        .increment(1);
                    return Ok(succeeded);
                }
                AttemptOutcome::Unknown(detail) => {
                    self.end_unknown(&detail).await?;
                    return Ok(false);
                }
                AttemptOutcome::Retry(reason, upstream, refusal) => (reason, upstream, refusal),
            };
            self.writer.output.clear();
            if reason.connection_broke() {
                interrupted = Some(refusal.detail.clone());
            }
            let is_final = matches!(
                refusal.reason,
                refusal_reason::RefusalReason::Cancelled
                    | refusal_reason::RefusalReason::Deadline
                    | refusal_reason::RefusalReason::QueueFull
                    | refusal_reason::RefusalReason::Unsupported
            );
            if is_final
                || !self
                    .wait_for_retry(reason, &mut attempt, deadline, cancel.as_mut())
                    .await?
            {
                return self.end_refused(refusal, interrupted).await;
            }
            counters::count_retry(reason);
            if access == work_request::WorkAccess::Read && !avoid.contains(&upstream) {
                avoid.push(upstream);
                // Once every upstream has been tried, all of them may be tried again.
                if avoid.len() >= self.tracker.views().len() {
                    avoid.clear();
                }
            }
        }
    }

    /// Waits before a retry. Returns false if the deadline or a cancel request rules it out.
    async fn wait_for_retry(
        &mut self,
        reason: retry_reason::RetryReason,
        attempt: &mut u32,
        deadline: time::Duration,
        mut cancel: route::CancelNotice<'_, '_>,
    ) -> Result<bool, unit::ClientGone> {
        loop {
            *attempt += 1;
            let pause = retry_budget::back_off(*attempt, rand::random());
            if self.context.now() + pause >= deadline {
                return Ok(false);
            }
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = &mut cancel => return Ok(false),
                () = self.reader.disconnected() => return Err(unit::ClientGone),
            }
            let now = self.context.now();
            if !reason.may_have_reached_upstream()
                || self.context.budget(self.number).take_retry(now)
            {
                return Ok(true);
            }
        }
    }

    async fn attempt(
        &mut self,
        batch: &batch::ClientBatch,
        choice: &crate::decide::routing::RouteChoice,
        view: &crate::decide::routing::UpstreamView,
        position: log_position::LogPosition,
        deadline: time::Duration,
        cancelled: route::CancelNotice<'_, '_>,
    ) -> Result<AttemptOutcome, unit::ClientGone> {
        let access = batch.access();
        let request = self.context.next_request();
        let open = work_frame::WorkFrame::Open(work_request::WorkRequest {
            request,
            upstream: choice.upstream.clone(),
            database: self.database.clone(),
            customer: self.customer.clone(),
            access,
            min_applied: (access == work_request::WorkAccess::Read).then_some(position),
            term: choice.term,
        });
        let hold = access == work_request::WorkAccess::Write && batch.executes;
        let work = work_frame::WorkFrame::Batch(self.build_request(batch, request, deadline, hold));
        let mut opened = None;
        let owners = self.context.open_owners(&view.spec).await;
        for pool in owners.into_iter().take(2) {
            let Ok((mut writer, reader)) = pool.open(stream_kind::StreamKind::Work).await else {
                continue;
            };
            // A pool runs a batch only once it has the whole frame, so a failed send means not run.
            if writer.send(&open).await.is_err() || writer.send(&work).await.is_err() {
                continue;
            }
            opened = Some(unit::WorkUnit {
                writer,
                reader,
                upstream: choice.upstream.clone(),
                access,
                term: choice.term,
                unconfirmed: hold && !batch.has_begin(),
                pool: pool.vm.clone(),
                tables: batch.tables.clone(),
                failed: false,
            });
            break;
        }
        let Some(mut unit) = opened else {
            return Ok(AttemptOutcome::Retry(
                retry_reason::RetryReason::PoolUnreachable,
                choice.upstream.clone(),
                route::RouteRefusal {
                    reason: refusal_reason::RefusalReason::Unreachable,
                    text: "not run: no pool can be reached".to_owned(),
                    detail: format!("step=open_stream peer={}", choice.upstream),
                },
            ));
        };
        let (end, sent) = unit
            .receive(request, &mut self.reader, &mut self.writer, hold, cancelled)
            .await?;
        match end {
            unit::BatchOutcome::Done(done) => {
                let rejected = access == work_request::WorkAccess::Write
                    && !sent
                    && !batch.has_begin()
                    && done.status == work_reply::TransactionStatus::Idle
                    && done.sql_state.as_deref() == Some(sql_state::READ_ONLY_UPSTREAM)
                    && answer::is_error_only([&self.writer.output, &done.tail]);
                if rejected {
                    unit.finish();
                    return Ok(AttemptOutcome::Retry(
                        retry_reason::RetryReason::ReadOnlyUpstream,
                        choice.upstream.clone(),
                        route::RouteRefusal {
                            reason: refusal_reason::RefusalReason::NotPrimary,
                            text: "not run: the upstream is not the primary".to_owned(),
                            detail: format!("step=run peer={}", choice.upstream),
                        },
                    ));
                }
                self.finish_batch(unit, done, sent)
                    .await
                    .map(AttemptOutcome::Answered)
            }
            unit::BatchOutcome::Refused(refusal) => Ok(AttemptOutcome::Retry(
                retry_reason::RetryReason::Refused,
                choice.upstream.clone(),
                pool_refusal(&refusal, &choice.upstream),
            )),
            unit::BatchOutcome::Broken {
                step,
                peer,
                cause,
                link,
            } => {
                let detail = format!("step={step} peer={peer} cause={cause}");
                event::warn(
                    "batch_broken",
                    &[("upstream", &choice.upstream), ("detail", &detail)],
                );
                if batch.is_idempotent() && !sent {
                    let reason = if link {
                        retry_reason::RetryReason::LinkBroken
                    } else {
                        retry_reason::RetryReason::UpstreamBroken
                    };
                    return Ok(AttemptOutcome::Retry(
                        reason,
                        choice.upstream.clone(),
                        route::RouteRefusal {
                            reason: refusal_reason::RefusalReason::Unreachable,
                            text: "the read was cut off and changed nothing".to_owned(),
                            detail,
                        },
                    ));
                }
                if batch.is_idempotent() {
                    self.end_interrupted_read(&detail).await?;
                    return Ok(AttemptOutcome::Answered(false));
                }
                Ok(AttemptOutcome::Unknown(detail))
            }
        }
    }

    fn build_request(
        &self,
        batch: &batch::ClientBatch,
        request: ids::RequestId,
        deadline: time::Duration,
        hold_completion: bool,
    ) -> batch_request::BatchRequest {
        let long = self.parameters.long.or_else(|| {
            let tables = self.context.tables();
            tables.rules.long_rule(&batch.text).map(|_rule| true)
        });
        batch_request::BatchRequest {
            request,
            messages: bytes::Bytes::copy_from_slice(&batch.messages),
            fingerprint: batch.fingerprint,
            long,
            start_within: deadline.saturating_sub(self.context.now()),
            silence_limit: self.context.settings.limits.silence,
            hold_completion,
            hidden_parses: batch.hidden_parses.clone(),
        }
    }

    async fn run_in_transaction(
        &mut self,
        mut unit: unit::WorkUnit,
        batch: &batch::ClientBatch,
        cancelled: route::CancelNotice<'_, '_>,
    ) -> Result<bool, unit::ClientGone> {
        let request = self.context.next_request();
        let now = self.context.now();
        self.context.budget(self.number).record_request(now);
        let deadline = now + self.context.settings.limits.write_deadline;
        let writes = unit.access == work_request::WorkAccess::Write;
        let commits = writes && batch.may_commit();
        // The answer to every write is held back, because a unique violation has to be confirmed.
        let hold = commits
            || (writes && batch.executes && batch.access() == work_request::WorkAccess::Write);
        let work = work_frame::WorkFrame::Batch(self.build_request(batch, request, deadline, hold));
        unit.tables.extend(batch.tables.iter().cloned());
        let (end, sent) = if let Err(error) = unit.writer.send(&work).await {
            let refusal = work_reply::WorkRefusal {
                reason: refusal_reason::RefusalReason::Unreachable,
                detail: error.to_string(),
            };
            (unit::BatchOutcome::Refused(refusal), false)
        } else {
            unit.receive(request, &mut self.reader, &mut self.writer, hold, cancelled)
                .await?
        };
        let next_state = if batch.ends_transaction() {
            session::TransactionState::Idle
        } else {
            session::TransactionState::RolledBack
        };
        match end {
            unit::BatchOutcome::Done(done) => self.finish_batch(unit, done, sent).await,
            unit::BatchOutcome::Refused(refusal) => {
                self.transaction = next_state;
                counters::count_refusal(refusal.reason);
                let state = match refusal.reason.sql_state() {
                    sql_state::CANNOT_CONNECT_NOW => CONNECTION_FAILURE,
                    other => other,
                };
                let text = format!(
                    "not run: {}; the transaction was rolled back",
                    refusal.reason
                );
                let detail = format!("step=run peer={} {}", unit.upstream, refusal.detail);
                self.end_with_error(state, &text, &detail).await?;
                Ok(false)
            }
            unit::BatchOutcome::Broken {
                step, peer, cause, ..
            } => {
                self.transaction = next_state;
                let detail = format!("step={step} peer={peer} cause={cause}");
                event::warn(
                    "transaction_broken",
                    &[("upstream", &unit.upstream), ("detail", &detail)],
                );
                if commits {
                    self.end_unknown(&detail).await?;
                } else {
                    self.end_with_error(
                        CONNECTION_FAILURE,
                        "the transaction was rolled back, because its connection was lost before COMMIT was sent",
                        &detail,
                    )
                    .await?;
                }
                Ok(false)
            }
        }
    }

    /// Sends the end of an answer to the client, after its commit, if there is one, is confirmed.
    async fn finish_batch(
        &mut self,
        mut unit: unit::WorkUnit,
        done: work_reply::BatchDone,
        sent: bool,
    ) -> Result<bool, unit::ClientGone> {
        let upstream = unit.upstream.clone();
        let conflict = done.sql_state.as_deref() == Some(sql_state::UNIQUE_VIOLATION);
        // A single statement that committed nothing may have read from a replaced primary.
        let unconfirmed = unit.unconfirmed && done.position.is_none() && done.sql_state.is_none();
        let term = unit.term.filter(|_| conflict || unconfirmed);
        let tables = std::mem::take(&mut unit.tables);
        match done.status {
            work_reply::TransactionStatus::Idle => unit.finish(),
            status => {
                unit.failed = status == work_reply::TransactionStatus::Failed;
                unit.tables = tables.clone();
                self.transaction = session::TransactionState::Open(Box::new(unit));
            }
        }
        let primary_only = self
            .write_rule(&tables)
            .is_some_and(|rule| rule.acknowledge == rule_set::AcknowledgeMode::Primary);
        if let Some(term) = term.filter(|_| !primary_only)
            && !self.confirm_primary(&upstream, term, conflict).await?
        {
            if sent {
                // Part of the answer has been sent, so only closing the connection can void it.
                return Err(unit::ClientGone);
            }
            self.writer.output.clear();
            let detail = format!("step=prove peer={upstream} term={term}");
            if unconfirmed || done.position.is_some() {
                self.end_unknown(&detail).await?;
                return Ok(false);
            }
            self.end_with_error(
                sql_state::WRITE_DROPPED,
                "not kept: it conflicts with a row that a failover may still drop; repeat it",
                &detail,
            )
            .await?;
            return Ok(false);
        }
        if let Some(position) = done.position {
            let outcome = if primary_only {
                commit_outcome::CommitOutcome::Durable(position)
            } else {
                self.wait_for_confirmation(&upstream, position).await?
            };
            match outcome {
                commit_outcome::CommitOutcome::Durable(reached) => self.acknowledge(reached),
                commit_outcome::CommitOutcome::Dropped => {
                    metrics::counter!("persimmontack_commits_dropped_total").increment(1);
                    self.end_with_error(
                        sql_state::WRITE_DROPPED,
                        "the transaction was dropped by a failover and is not kept",
                        &format!("step=confirm peer={upstream} position={position}"),
                    )
                    .await?;
                    return Ok(false);
                }
                commit_outcome::CommitOutcome::Pending => {
                    let detail = format!("step=confirm peer={upstream} position={position}");
                    self.end_unknown(&detail).await?;
                    return Ok(false);
                }
            }
        }
        self.writer.output.extend_from_slice(&done.tail);
        self.writer.flush().await?;
        Ok(done.sql_state.is_none())
    }

    async fn end_unknown(&mut self, detail: &str) -> Result<(), unit::ClientGone> {
        metrics::counter!("persimmontack_outcomes_unknown_total").increment(1);
        self.end_with_error(
            sql_state::OUTCOME_UNKNOWN,
            "outcome unknown: the statement may or may not have run",
            detail,
        )
        .await
    }

    /// Refuses a batch as not run, unless an earlier attempt may have run.
    async fn end_refused(
        &mut self,
        refusal: route::RouteRefusal,
        interrupted: Option<String>,
    ) -> Result<bool, unit::ClientGone> {
        match interrupted {
            Some(detail) => self.end_interrupted_read(&detail).await.map(|()| false),
            None => self.refuse(refusal).await,
        }
    }

    async fn end_interrupted_read(&mut self, detail: &str) -> Result<(), unit::ClientGone> {
        let text = "the answer to the read was cut off; it changed nothing";
        self.end_with_error(CONNECTION_FAILURE, text, detail).await
    }

    async fn refuse(&mut self, refusal: route::RouteRefusal) -> Result<bool, unit::ClientGone> {
        counters::count_refusal(refusal.reason);
        self.end_with_error(refusal.reason.sql_state(), &refusal.text, &refusal.detail)
            .await?;
        Ok(false)
    }
}

fn pool_refusal(refusal: &work_reply::WorkRefusal, upstream: &str) -> route::RouteRefusal {
    route::RouteRefusal {
        reason: refusal.reason,
        text: format!("not run: the pool refused the batch: {}", refusal.reason),
        detail: format!("step=open peer={upstream} {}", refusal.detail),
    }
}
