//! [`StatementRunner`]: executes the statements of one connection.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use persimmontack::model::log_position;

use crate::instance::admin;
use crate::instance::core_state;
use crate::instance::db_error;
use crate::instance::journal;
use crate::instance::log_entry;
use crate::instance::shared;
use crate::instance::statement;
use crate::instance::transaction;

/// Shorter delays sleep on a blocking thread, since tokio's timer has millisecond resolution.
const MIN_TIMER_DELAY: time::Duration = time::Duration::from_millis(3);

/// Rows, produced one by one.
pub type RowIterator = Box<dyn Iterator<Item = Vec<String>> + Send + Sync>;

/// Body of a statement's answer.
#[derive(derive_more::Debug)]
pub enum AnswerBody {
    /// Only a completion tag.
    Tag(String),
    /// Rows, as a result or in COPY format.
    Rows(#[debug(skip)] RowIterator),
}

/// The answer of a statement.
#[derive(Debug)]
pub struct StatementAnswer {
    /// Log position of the commit, if the statement made one.
    pub position: Option<log_position::LogPosition>,
    /// Completion tag or rows.
    pub body: AnswerBody,
    /// Slot that the statement occupies until all rows are sent.
    pub slot: Option<tokio::sync::OwnedSemaphorePermit>,
}

/// Runs the statements of one connection, one after the other.
#[derive(Debug)]
pub struct StatementRunner {
    instance: sync::Arc<shared::SharedInstance>,
    connection: u64,
    cancelled: sync::Arc<tokio::sync::watch::Sender<bool>>,
    transaction: Option<transaction::OpenTransaction>,
    parameters: collections::HashMap<String, String>,
    local_parameters: collections::HashMap<String, String>,
}

impl StatementRunner {
    /// Creates a runner; `cancelled` becomes true when a cancel request arrives.
    #[must_use]
    pub fn new(
        instance: sync::Arc<shared::SharedInstance>,
        connection: u64,
        cancelled: sync::Arc<tokio::sync::watch::Sender<bool>>,
    ) -> Self {
        Self {
            instance,
            connection,
            cancelled,
            transaction: None,
            parameters: collections::HashMap::new(),
            local_parameters: collections::HashMap::new(),
        }
    }

    /// Returns whether the open transaction has failed; `None` if none is open.
    #[must_use]
    pub fn transaction_failed(&self) -> Option<bool> {
        self.transaction.as_ref().map(|open| open.failed)
    }

    /// Tells whether the running statement has been cancelled.
    #[must_use]
    pub fn is_cancelled(&self) -> bool {
        *self.cancelled.borrow()
    }

    /// Marks an open transaction as failed.
    pub fn fail_transaction(&mut self) {
        if let Some(open) = &mut self.transaction {
            open.failed = true;
        }
    }

    /// Rolls back an open transaction.
    pub fn roll_back(&mut self) {
        if let Some(open) = self.transaction.take() {
            self.record_rollback(&open);
        }
        self.local_parameters.clear();
    }

    /// Runs one statement. All but control statements wait for a free slot first.
    ///
    /// # Errors
    ///
    /// Fails with the statement's error, and marks an open transaction as failed.
    pub async fn run(
        &mut self,
        statement: &statement::SqlStatement,
        id: Option<&str>,
    ) -> Result<StatementAnswer, db_error::DbError> {
        self.cancelled.send_replace(false);
        let result = self.run_with_slot(statement, id).await;
        if result.is_err() {
            self.fail_transaction();
        }
        result
    }

    async fn run_with_slot(
        &mut self,
        statement: &statement::SqlStatement,
        id: Option<&str>,
    ) -> Result<StatementAnswer, db_error::DbError> {
        if let statement::SqlStatement::Control { name, arguments } = statement {
            let text = admin::run(&self.instance, name, arguments).await?;
            return Ok(StatementAnswer {
                position: None,
                body: rows(vec![vec![text]]),
                slot: None,
            });
        }
        let ends = matches!(
            statement,
            statement::SqlStatement::Commit | statement::SqlStatement::Rollback
        );
        if self.transaction_failed() == Some(true) && !ends {
            return Err(db_error::DbError::new(
                "25P02",
                "current transaction is aborted, commands ignored until end of transaction block",
            ));
        }
        let slots = sync::Arc::clone(&self.instance.slots);
        let slot = self
            .unless_cancelled(slots.acquire_owned())
            .await?
            .map_err(|closed| db_error::DbError::new("57P01", closed.to_string()))?;
        let base = self
            .instance
            .times
            .statement_us
            .load(atomic::Ordering::Relaxed);
        self.sleep(time::Duration::from_micros(base)).await?;
        let (position, body) = self.execute(statement, id).await?;
        Ok(StatementAnswer {
            position,
            body,
            slot: Some(slot),
        })
    }

    async fn execute(
        &mut self,
        statement: &statement::SqlStatement,
        id: Option<&str>,
    ) -> Result<(Option<log_position::LogPosition>, AnswerBody), db_error::DbError> {
        if let Some(write) = write_op(statement) {
            return self.write(statement, write, id);
        }
        let instance = sync::Arc::clone(&self.instance);
        let open = self.transaction.clone().unwrap_or_default();
        let number = self
            .transaction
            .as_ref()
            .map_or_else(|| instance.next_number(), |open| open.number);
        // One lock covers both, so that the journal line and the rows reflect the same state.
        let source = instance.with_core(|core| {
            self.record_statement(core, statement, id, number);
            match statement {
                statement::SqlStatement::Select(source) | statement::SqlStatement::Copy(source) => {
                    Some(read(core, &open, source))
                }
                statement::SqlStatement::Count { table } => {
                    Some(Ok(Box::new(std::iter::once(vec![
                        open.rows(core, table).len().to_string(),
                    ])) as RowIterator))
                }
                _ => None,
            }
        });
        if let Some(source) = source {
            return Ok((None, AnswerBody::Rows(source?)));
        }
        let body = match statement {
            statement::SqlStatement::One => rows(vec![vec!["1".to_owned()]]),
            statement::SqlStatement::Sleep(seconds) => {
                let seconds: f64 = constant(seconds).parse().map_err(|error| {
                    db_error::DbError::new("22P02", format!("pg_sleep: {error}"))
                })?;
                let duration = time::Duration::try_from_secs_f64(seconds)
                    .map_err(|error| db_error::DbError::new("22023", error.to_string()))?;
                self.sleep(duration).await?;
                rows(vec![vec![String::new()]])
            }
            statement::SqlStatement::Begin { read_only } => {
                // BEGIN inside a transaction only warns, as in PostgreSQL.
                if self.transaction.is_none() {
                    self.transaction =
                        Some(transaction::OpenTransaction::begin(number, *read_only));
                }
                AnswerBody::Tag("BEGIN".to_owned())
            }
            statement::SqlStatement::Commit => {
                self.local_parameters.clear();
                let Some(open) = self.transaction.take() else {
                    return Ok((None, AnswerBody::Tag("COMMIT".to_owned())));
                };
                if open.failed {
                    self.record_rollback(&open);
                    return Ok((None, AnswerBody::Tag("ROLLBACK".to_owned())));
                }
                let position = self.commit(open)?;
                return Ok((position, AnswerBody::Tag("COMMIT".to_owned())));
            }
            statement::SqlStatement::Rollback => {
                self.roll_back();
                AnswerBody::Tag("ROLLBACK".to_owned())
            }
            statement::SqlStatement::Set { local, name, value } => {
                let parameters = if *local {
                    &mut self.local_parameters
                } else {
                    &mut self.parameters
                };
                parameters.insert(name.clone(), value.clone());
                AnswerBody::Tag("SET".to_owned())
            }
            statement::SqlStatement::Show { name } => {
                let value = self
                    .local_parameters
                    .get(name)
                    .or_else(|| self.parameters.get(name))
                    .cloned();
                rows(vec![vec![value.unwrap_or_default()]])
            }
            statement::SqlStatement::Discard => {
                if self.transaction.is_some() {
                    return Err(db_error::DbError::new(
                        "25001",
                        "DISCARD ALL cannot run inside a transaction block",
                    ));
                }
                self.parameters.clear();
                AnswerBody::Tag("DISCARD ALL".to_owned())
            }
            other => {
                return Err(db_error::DbError::syntax(format!("not handled: {other:?}")));
            }
        };
        Ok((None, body))
    }

    fn write(
        &mut self,
        statement: &statement::SqlStatement,
        write: log_entry::WriteOp,
        id: Option<&str>,
    ) -> Result<(Option<log_position::LogPosition>, AnswerBody), db_error::DbError> {
        let instance = sync::Arc::clone(&self.instance);
        let autocommit = self.transaction.is_none();
        let mut open = self
            .transaction
            .take()
            .unwrap_or_else(|| transaction::OpenTransaction::begin(instance.next_number(), false));
        let result = instance.with_core(|core| {
            open.check_writable(core)?;
            self.record_statement(core, statement, id, open.number);
            open.ids.extend(id.map(str::to_owned));
            let count = open.write(core, write)?;
            let position = if autocommit {
                self.commit_in(core, &mut open)?
            } else {
                None
            };
            Ok((count, position))
        });
        if !autocommit {
            self.transaction = Some(open);
        } else if result.is_err() {
            self.record_rollback(&open);
        }
        let (count, position) = result?;
        let tag = match statement {
            statement::SqlStatement::Insert { .. } => format!("INSERT 0 {count}"),
            other => format!("{} {count}", other.kind()),
        };
        Ok((position, AnswerBody::Tag(tag)))
    }

    fn commit(
        &self,
        mut open: transaction::OpenTransaction,
    ) -> Result<Option<log_position::LogPosition>, db_error::DbError> {
        let result = self
            .instance
            .with_core(|core| self.commit_in(core, &mut open));
        if result.is_err() {
            self.record_rollback(&open);
        }
        result
    }

    fn commit_in(
        &self,
        core: &mut core_state::CoreState,
        open: &mut transaction::OpenTransaction,
    ) -> Result<Option<log_position::LogPosition>, db_error::DbError> {
        let Some((term, writes)) = open.take_writes(core)? else {
            return Ok(None);
        };
        Ok(Some(core.commit(term, writes, |entry| {
            self.instance
                .journal
                .append(&journal::JournalEvent::Commit {
                    connection: self.connection,
                    transaction: open.number,
                    ids: open.ids.clone(),
                    entry: entry.clone(),
                });
        })))
    }

    fn record_statement(
        &self,
        core: &core_state::CoreState,
        statement: &statement::SqlStatement,
        id: Option<&str>,
        transaction: u64,
    ) {
        if self.instance.settings.journal_statements {
            self.instance
                .journal
                .append(&journal::JournalEvent::Statement {
                    id: id.map(str::to_owned),
                    connection: self.connection,
                    transaction,
                    term: core.state().primary_term,
                    write: statement.is_write(),
                    kind: statement.kind().to_owned(),
                    applied: core.state().applied,
                });
        }
    }

    fn record_rollback(&self, open: &transaction::OpenTransaction) {
        if open.has_writes() || !open.ids.is_empty() {
            self.instance
                .journal
                .append(&journal::JournalEvent::Rollback {
                    connection: self.connection,
                    transaction: open.number,
                    ids: open.ids.clone(),
                });
        }
    }

    async fn sleep(&self, duration: time::Duration) -> Result<(), db_error::DbError> {
        if duration.is_zero() {
            return Ok(());
        }
        if duration < MIN_TIMER_DELAY {
            let slept = tokio::task::spawn_blocking(move || std::thread::sleep(duration)).await;
            return slept.map_err(|error| db_error::DbError::new("XX000", error.to_string()));
        }
        self.unless_cancelled(tokio::time::sleep(duration)).await
    }

    async fn unless_cancelled<T>(
        &self,
        work: impl Future<Output = T>,
    ) -> Result<T, db_error::DbError> {
        let mut receiver = self.cancelled.subscribe();
        tokio::select! {
            result = work => Ok(result),
            _cancelled = receiver.wait_for(|cancelled| *cancelled) => {
                Err(db_error::DbError::cancelled())
            }
        }
    }
}

fn read(
    core: &core_state::CoreState,
    open: &transaction::OpenTransaction,
    source: &statement::RowSource,
) -> Result<RowIterator, db_error::DbError> {
    Ok(match source {
        statement::RowSource::Value { table, k } => Box::new(
            open.value(core, table, constant(k))
                .into_iter()
                .map(|value| vec![value]),
        ),
        statement::RowSource::Table { table } => {
            let rows = open.rows(core, table);
            let mut next = rows.keys().next().cloned();
            Box::new(std::iter::from_fn(move || {
                let key = next.take()?;
                let value = rows.get(&key)?.clone();
                let after = (std::ops::Bound::Excluded(&key), std::ops::Bound::Unbounded);
                next = rows
                    .range::<String, _>(after)
                    .next()
                    .map(|(key, _)| key.clone());
                Some(vec![key, value])
            }))
        }
        statement::RowSource::Series { last } => {
            let last: i32 = constant(last).parse().map_err(|error| {
                db_error::DbError::new("22P02", format!("generate_series: {error}"))
            })?;
            Box::new((1..=last).map(|number| vec![number.to_string()]))
        }
    })
}

fn write_op(statement: &statement::SqlStatement) -> Option<log_entry::WriteOp> {
    let owned = |value: &statement::SqlValue| constant(value).to_owned();
    match statement {
        statement::SqlStatement::Insert { table, k, v } => Some(log_entry::WriteOp::Insert {
            table: table.clone(),
            k: owned(k),
            v: owned(v),
        }),
        statement::SqlStatement::Update { table, k, v } => Some(log_entry::WriteOp::Update {
            table: table.clone(),
            k: owned(k),
            v: owned(v),
        }),
        statement::SqlStatement::Delete { table, k } => Some(log_entry::WriteOp::Delete {
            table: table.clone(),
            k: owned(k),
        }),
        _ => None,
    }
}

fn constant(value: &statement::SqlValue) -> &str {
    match value {
        statement::SqlValue::Constant(text) => text,
        // Bind has replaced the parameters by now, but a simple query may still contain one.
        statement::SqlValue::Parameter(_) => "",
    }
}

fn rows(rows: Vec<Vec<String>>) -> AnswerBody {
    AnswerBody::Rows(Box::new(rows.into_iter()))
}
