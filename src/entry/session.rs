//! [`ClientSession`]: the session of one client after the login.

use std::sync;
use std::time;

use bytes::BufMut;

use crate::decide::read_position;
use crate::entry::{
    batch, cancel_registry, context, group_tracker, session_parameters, session_start, unit, wire,
};
use crate::model::{ids, refusal_reason, sql_state};
use crate::sql::{parameters, statement_class};
use crate::{counters, event};

/// Time for a client to close its side of the connection after the session has ended.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Parameters whose values are sent to the client at the start of a session.
const REPORTED_PARAMETERS: [&str; 9] = [
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

/// The state of the session's transaction.
#[derive(Debug)]
pub enum TransactionState {
    Idle,
    Open(Box<unit::WorkUnit>),
    /// Rolled back on the upstream, but not yet ended by the client. Statements are refused until
    /// the client ends it, because they would otherwise run outside the transaction.
    RolledBack,
}

/// The session of one client.
#[derive(Debug)]
pub struct ClientSession {
    pub context: sync::Arc<context::EntryContext>,
    pub reader: wire::ClientReader,
    pub writer: wire::ClientWriter,
    pub customer: ids::CustomerId,
    pub database: ids::DatabaseName,
    pub tracker: sync::Arc<group_tracker::GroupTracker>,
    pub parameters: session_parameters::SessionParameters,
    pub positions: read_position::SessionPositions,
    pub transaction: TransactionState,
    pub cancel: sync::Arc<tokio::sync::Notify>,
    pub number: u64,
    user: ids::UserName,
    builder: batch::BatchBuilder,
}

impl ClientSession {
    pub fn new(
        context: &sync::Arc<context::EntryContext>,
        reader: wire::ClientReader,
        writer: wire::ClientWriter,
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
            tracker: start.tracker,
            parameters: start.parameters,
            positions: read_position::SessionPositions::default(),
            transaction: TransactionState::Idle,
            cancel,
            number: context.next_request(),
            user: start.user,
            builder: batch::BatchBuilder::new(limits.batch_bytes, limits.prepared_statements),
        };
        session.apply_parameters();
        session
    }

    /// Serves the session until it ends.
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
            // A request may be on its way. If it reached a closed socket, the client's connection
            // would be reset before the client has read why the session ends.
            let gone = self.reader.disconnected();
            if tokio::time::timeout(CLOSE_TIMEOUT, gone).await.is_err() {
                event::debug("session_not_closed", &[("user", &self.user)]);
            }
        }
        event::debug(
            "session_ended",
            &[("user", &self.user), ("database", &self.database)],
        );
    }

    async fn serve(&mut self, key: cancel_registry::CancelKey) -> Result<(), unit::ClientGone> {
        for name in REPORTED_PARAMETERS {
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
        let mut end_sessions = self.context.end_sessions.subscribe();
        loop {
            let idle =
                matches!(self.transaction, TransactionState::Idle) && self.builder.is_empty();
            let received = tokio::select! {
                biased;
                received = self.reader.next() => received,
                () = wait_for_end(&mut end_sessions), if idle => {
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
                Err(wire::ReadFailure::Closed) => return Err(unit::ClientGone),
                Err(failure) => return self.refuse_input(&failure).await,
            };
            let context = sync::Arc::clone(&self.context);
            if let Some(batch) = self.builder.push(message, &context.classes) {
                self.run_batch(batch).await?;
            }
        }
    }

    async fn refuse_input(&mut self, failure: &wire::ReadFailure) -> Result<(), unit::ClientGone> {
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
            wire::ReadFailure::Closed => return Err(unit::ClientGone),
        };
        counters::count_refusal(reason);
        self.writer
            .error("FATAL", reason.sql_state(), &text, "step=read");
        self.writer.flush().await?;
        Ok(())
    }

    async fn run_batch(&mut self, batch: batch::ClientBatch) -> Result<(), unit::ClientGone> {
        let error = batch
            .error
            .clone()
            .or_else(|| self.find_unsupported(&batch));
        if let Some(error) = error {
            for name in &batch.defined {
                self.builder.statements.remove(name);
            }
            counters::count_refusal(error.reason);
            let text = format!("not run: {}", error.text);
            return self
                .end_with_error(error.sql_state, &text, "step=check")
                .await;
        }
        if matches!(self.transaction, TransactionState::RolledBack) {
            return self.answer_rolled_back(&batch).await;
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

    fn find_unsupported(&self, batch: &batch::ClientBatch) -> Option<batch::BatchError> {
        let inside = batch.has_begin() || !matches!(self.transaction, TransactionState::Idle);
        let feature = batch.parts.iter().find_map(|part| match part.kind {
            statement_class::StatementKind::Refused(feature) => Some(feature),
            statement_class::StatementKind::TransactionOnly(feature) if !inside => Some(feature),
            _ => None,
        })?;
        let reason = refusal_reason::RefusalReason::Unsupported;
        Some(batch::BatchError {
            reason,
            sql_state: reason.sql_state(),
            text: format!("{feature} is not supported, because connections are shared"),
        })
    }

    /// Answers a batch whose transaction has been rolled back: accepts its end, refuses all else.
    async fn answer_rolled_back(
        &mut self,
        batch: &batch::ClientBatch,
    ) -> Result<(), unit::ClientGone> {
        if !batch.ends_transaction() && batch.executes {
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
                // No statement is executed here, so this cannot fail.
                drop(session_parameters::answer_step(
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

    async fn answer_locally(&mut self, batch: &batch::ClientBatch) -> Result<(), unit::ClientGone> {
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
            let answered = session_parameters::answer_step(&mut self.writer, step, &mut run);
            self.apply_parameters();
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

    /// Applies the position and session name parameters to the session positions.
    fn apply_parameters(&mut self) {
        if let Some(position) = self.parameters.position {
            self.positions.record_own(position);
        }
        self.positions.set_named(self.parameters.session.is_some());
    }

    /// Reports the position of a confirmed commit to the client.
    pub(super) fn acknowledge(&mut self, position: crate::model::log_position::LogPosition) {
        self.positions.record_own(position);
        self.writer
            .parameter(parameters::POSITION, &position.to_string());
    }

    /// Ends a batch with an error and rolls back an open transaction.
    pub(super) async fn end_with_error(
        &mut self,
        sql_state: &str,
        text: &str,
        detail: &str,
    ) -> Result<(), unit::ClientGone> {
        if matches!(self.transaction, TransactionState::Open(_)) {
            // The client is told that the transaction failed, so a later COMMIT must not commit it.
            let previous = std::mem::replace(&mut self.transaction, TransactionState::RolledBack);
            if let TransactionState::Open(unit) = previous {
                unit.finish();
            }
        }
        self.writer.error("ERROR", sql_state, text, detail);
        self.end_batch().await
    }

    async fn end_batch(&mut self) -> Result<(), unit::ClientGone> {
        let status = match &self.transaction {
            TransactionState::Idle => b'I',
            TransactionState::Open(unit) if unit.failed => b'E',
            TransactionState::Open(_) => b'T',
            TransactionState::RolledBack => b'E',
        };
        self.writer.ready(status);
        self.writer.flush().await?;
        Ok(())
    }
}

async fn wait_for_end(end_sessions: &mut tokio::sync::watch::Receiver<bool>) {
    // This cannot fail: the context owns the sender.
    drop(end_sessions.wait_for(|end_sessions| *end_sessions).await);
}
