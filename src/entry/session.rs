//! [`CallerSession`]: the session of one caller after the login.

use std::sync;
use std::time;

use bytes::BufMut;

use crate::decide::read_position;
use crate::entry::{batch, board, cancel_registry, context, local, session_start, unit, wire};
use crate::model::{ids, refusal_reason, sql_state};
use crate::sql::{parameters, statement_class};
use crate::{counters, event};

/// Time in which a caller may close its side after it was told that the session ends.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Parameters reported at the start of a session.
const REPORTED: [&str; 9] = [
    "server_version",
    "server_encoding",
    "client_encoding",
    "application_name",
    "datestyle",
    "intervalstyle",
    "timezone",
    "integer_datetimes",
    "standard_conforming_strings",
];

/// Where the session's transaction stands.
#[derive(Debug)]
pub enum TransactionState {
    Idle,
    Open(Box<unit::WorkUnit>),
    /// Gone, and the caller has not ended it yet. Statements are refused until it does, as they
    /// would otherwise run outside the transaction.
    Lost,
}

/// The session of one caller.
#[derive(Debug)]
pub struct CallerSession {
    pub context: sync::Arc<context::EntryContext>,
    pub reader: wire::FrontReader,
    pub writer: wire::FrontWriter,
    pub customer: ids::CustomerId,
    pub database: ids::DatabaseName,
    pub board: sync::Arc<board::GroupBoard>,
    pub parameters: local::SessionParameters,
    pub positions: read_position::SessionPositions,
    pub transaction: TransactionState,
    pub cancel: sync::Arc<tokio::sync::Notify>,
    pub number: u64,
    user: ids::UserName,
    builder: batch::BatchBuilder,
}

impl CallerSession {
    pub fn new(
        context: &sync::Arc<context::EntryContext>,
        reader: wire::FrontReader,
        writer: wire::FrontWriter,
        start: session_start::SessionStart,
        cancel: sync::Arc<tokio::sync::Notify>,
    ) -> Self {
        let limits = &context.settings.limits;
        let mut session = Self {
            context: sync::Arc::clone(context),
            reader,
            writer,
            customer: start.customer,
            database: start.database,
            board: start.board,
            parameters: start.parameters,
            positions: read_position::SessionPositions::default(),
            transaction: TransactionState::Idle,
            cancel,
            number: context.next_request(),
            user: start.user,
            builder: batch::BatchBuilder::new(limits.batch_bytes, limits.prepared_statements),
        };
        session.follow_parameters();
        session
    }

    /// Serves the session to its end.
    pub async fn run(&mut self, key: cancel_registry::CancelKey) {
        event::debug(
            "session_started",
            &[("user", &self.user), ("database", &self.database)],
        );
        let end = self.serve(key).await;
        if let TransactionState::Open(unit) =
            std::mem::replace(&mut self.transaction, TransactionState::Idle)
        {
            unit.finish();
        }
        if end.is_ok() {
            self.writer.close().await;
            // A request may be on its way. If the socket were gone when it arrives, the caller's
            // next write would fail before it has read why the session ends.
            let gone = self.reader.gone();
            if tokio::time::timeout(CLOSE_TIMEOUT, gone).await.is_err() {
                event::debug("session_not_closed", &[("user", &self.user)]);
            }
        }
        event::debug(
            "session_ended",
            &[("user", &self.user), ("database", &self.database)],
        );
    }

    async fn serve(&mut self, key: cancel_registry::CancelKey) -> Result<(), unit::CallerGone> {
        for name in REPORTED {
            let value = self.parameters.show(name, None);
            let shown = match name {
                "datestyle" => "DateStyle",
                "intervalstyle" => "IntervalStyle",
                "timezone" => "TimeZone",
                other => other,
            };
            self.writer.parameter(shown, &value);
        }
        self.writer.message(b'K', |body| {
            body.put_i32(key.process);
            body.put_i32(key.secret);
        });
        self.writer.ready(b'I');
        self.writer.flush().await?;
        let mut ending = self.context.ending.subscribe();
        loop {
            let idle =
                matches!(self.transaction, TransactionState::Idle) && self.builder.is_empty();
            let received = tokio::select! {
                biased;
                received = self.reader.next() => received,
                () = wait_ending(&mut ending), if idle => {
                    self.writer.error(
                        "FATAL",
                        sql_state::ADMIN_SHUTDOWN,
                        "the entry is stopping; nothing was running",
                        "",
                    );
                    self.writer.flush().await?;
                    return Ok(());
                }
            };
            let message = match received {
                Ok(message) if message.tag == b'X' => return Ok(()),
                Ok(message) => message,
                Err(wire::ReadFailure::Closed) => return Err(unit::CallerGone),
                Err(failure) => return self.refuse_input(&failure).await,
            };
            let context = sync::Arc::clone(&self.context);
            if let Some(batch) = self.builder.push(message, &context.classes) {
                self.run_batch(batch).await?;
            }
        }
    }

    async fn refuse_input(&mut self, failure: &wire::ReadFailure) -> Result<(), unit::CallerGone> {
        let limit = self.context.settings.limits.message_bytes;
        let (reason, text) = match failure {
            wire::ReadFailure::TooLong(length) => (
                refusal_reason::RefusalReason::MessageTooLong,
                format!("not run: a message of {length} bytes exceeds the limit of {limit}"),
            ),
            wire::ReadFailure::Malformed(problem) => (
                refusal_reason::RefusalReason::Protocol,
                format!("not run: {problem}"),
            ),
            wire::ReadFailure::Closed => return Err(unit::CallerGone),
        };
        counters::count_refusal(reason);
        self.writer
            .error("FATAL", reason.sql_state(), &text, "step=read");
        self.writer.flush().await?;
        Ok(())
    }

    async fn run_batch(&mut self, batch: batch::CallerBatch) -> Result<(), unit::CallerGone> {
        let fault = batch.fault.clone().or_else(|| self.find_fault(&batch));
        if let Some(fault) = fault {
            for name in &batch.defined {
                self.builder.statements.remove(name);
            }
            counters::count_refusal(fault.reason);
            let text = format!("not run: {}", fault.text);
            return self
                .end_with_error(fault.sql_state, &text, "step=check")
                .await;
        }
        if matches!(self.transaction, TransactionState::Lost) {
            return self.answer_lost(&batch).await;
        }
        if !batch.forwards {
            return self.answer_locally(&batch).await;
        }
        let defined = batch.defined.clone();
        let succeeded = self.run_forwarded(batch).await?;
        if !succeeded {
            for name in &defined {
                self.builder.statements.remove(name);
            }
        }
        Ok(())
    }

    fn find_fault(&self, batch: &batch::CallerBatch) -> Option<batch::BatchFault> {
        let inside = batch.begins() || !matches!(self.transaction, TransactionState::Idle);
        let feature = batch.parts.iter().find_map(|part| match part.kind {
            statement_class::StatementKind::Refused(feature) => Some(feature),
            statement_class::StatementKind::TransactionOnly(feature) if !inside => Some(feature),
            _ => None,
        })?;
        let reason = refusal_reason::RefusalReason::Unsupported;
        Some(batch::BatchFault {
            reason,
            sql_state: reason.sql_state(),
            text: format!("{feature} is not supported, because connections are shared"),
        })
    }

    /// Answers in place of a transaction that is gone.
    async fn answer_lost(&mut self, batch: &batch::CallerBatch) -> Result<(), unit::CallerGone> {
        if !batch.ends() && batch.executes {
            return self
                .end_with_error(
                    "25P02",
                    "not run: the transaction was rolled back; end it with ROLLBACK",
                    "step=transaction",
                )
                .await;
        }
        if batch.steps.is_empty() {
            self.writer.complete("ROLLBACK");
        }
        let mut ended = batch.steps.is_empty();
        for step in &batch.steps {
            if matches!(step, batch::LocalStep::Execute(_)) {
                self.writer.complete("ROLLBACK");
                ended = true;
            } else {
                // Nothing is executed here, so nothing can fail.
                drop(local::answer_step(
                    &mut self.writer,
                    step,
                    &mut |_statement| Ok(None),
                ));
            }
        }
        if ended && batch.executes {
            self.transaction = TransactionState::Idle;
        }
        self.end_batch().await
    }

    async fn answer_locally(&mut self, batch: &batch::CallerBatch) -> Result<(), unit::CallerGone> {
        for step in &batch.steps {
            let session_parameters = &mut self.parameters;
            let position = self.positions.own();
            let mut run = |statement: &statement_class::LocalStatement| match statement {
                statement_class::LocalStatement::Set(name, value) => session_parameters
                    .set(name, value.as_deref())
                    .map(|()| None),
                statement_class::LocalStatement::Show(name) => {
                    Ok(Some(session_parameters.show(name, position)))
                }
            };
            let answered = local::answer_step(&mut self.writer, step, &mut run);
            self.follow_parameters();
            if let Err(text) = answered {
                let reason = refusal_reason::RefusalReason::Parameter;
                counters::count_refusal(reason);
                return self
                    .end_with_error(reason.sql_state(), &text, "step=set")
                    .await;
            }
        }
        self.end_batch().await
    }

    /// Brings the barrier in line with the parameters.
    fn follow_parameters(&mut self) {
        if let Some(position) = self.parameters.position {
            self.positions.record_own(position);
        }
        self.positions.set_named(self.parameters.session.is_some());
    }

    /// Reports a position that a commit reached.
    pub(super) fn acknowledge(&mut self, position: crate::model::log_position::LogPosition) {
        self.positions.record_own(position);
        self.writer
            .parameter(parameters::POSITION, &position.to_string());
    }

    /// Ends a batch with an error.
    pub(super) async fn end_with_error(
        &mut self,
        sql_state: &str,
        text: &str,
        detail: &str,
    ) -> Result<(), unit::CallerGone> {
        if matches!(self.transaction, TransactionState::Open(_)) {
            // The caller sees a failed transaction, which a later COMMIT must not keep.
            let lost = std::mem::replace(&mut self.transaction, TransactionState::Lost);
            if let TransactionState::Open(unit) = lost {
                unit.finish();
            }
        }
        self.writer.error("ERROR", sql_state, text, detail);
        self.end_batch().await
    }

    async fn end_batch(&mut self) -> Result<(), unit::CallerGone> {
        let status = match &self.transaction {
            TransactionState::Idle => b'I',
            TransactionState::Open(unit) if unit.failed => b'E',
            TransactionState::Open(_) => b'T',
            TransactionState::Lost => b'E',
        };
        self.writer.ready(status);
        self.writer.flush().await?;
        Ok(())
    }
}

async fn wait_ending(ending: &mut tokio::sync::watch::Receiver<bool>) {
    // The sender lives as long as the entry's context.
    drop(ending.wait_for(|ending| *ending).await);
}
