//! [`BatchBuilder`]: assembles a client's messages into a batch that is sent to a pool. Prepared
//! statements are kept here and parsed again on whichever upstream connection runs the batch.

use std::collections;
use std::sync;

use bytes::BufMut;

use crate::entry::wire;
use crate::link::work_request;
use crate::model::{ids, refusal_reason};
use crate::sql::{class_cache, statement_class};

/// A named or unnamed prepared statement of a session.
#[derive(Clone, Debug)]
pub struct PreparedStatement {
    pub class: sync::Arc<statement_class::StatementClass>,
    /// Body of the Parse message without the statement name.
    definition: bytes::Bytes,
}

/// A message of a batch, recorded so that the entry can answer it without an upstream. The payload
/// is the local statement concerned, if there is one.
#[derive(Clone, Debug)]
pub enum LocalStep {
    Parsed,
    Bound,
    Closed,
    DescribeStatement(Option<statement_class::LocalStatement>),
    DescribePortal(Option<statement_class::LocalStatement>),
    Execute(Option<statement_class::LocalStatement>),
    Query(Vec<statement_class::LocalStatement>),
}

/// An error that rejects the whole batch before any of it runs.
#[derive(Clone, Debug)]
pub struct BatchError {
    pub reason: refusal_reason::RefusalReason,
    pub sql_state: &'static str,
    pub text: String,
}

/// The messages of a client up to a Sync, or one Query message.
#[derive(Debug, Default)]
pub struct ClientBatch {
    /// Encoded messages for the upstream, with every prepared statement as the unnamed one.
    pub messages: bytes::BytesMut,
    /// Indexes of the Parse messages that the entry added; their answers are not for the client.
    pub hidden_parses: Vec<u16>,
    pub parts: Vec<statement_class::StatementPart>,
    pub tables: Vec<String>,
    pub fingerprint: ids::FingerprintId,
    /// Whether the batch runs any statement, rather than only parsing or describing.
    pub executes: bool,
    /// Whether the batch has to be sent to an upstream.
    pub forwards: bool,
    pub steps: Vec<LocalStep>,
    /// Names of the prepared statements that the batch defines.
    pub defined: Vec<String>,
    pub error: Option<BatchError>,
    /// Start of the first statement's text; the rules that mark work as long are matched against
    /// it.
    pub text: String,
    parses: u16,
    /// Name of the statement that was parsed last as the upstream's unnamed statement.
    current: Option<String>,
    portals: collections::HashMap<String, statement_class::LocalStatement>,
    local: bool,
}

impl ClientBatch {
    pub fn access(&self) -> work_request::WorkAccess {
        if self
            .parts
            .iter()
            .any(|part| part.access == work_request::WorkAccess::Write)
        {
            work_request::WorkAccess::Write
        } else {
            work_request::WorkAccess::Read
        }
    }

    pub fn has_begin(&self) -> bool {
        self.parts
            .iter()
            .any(|part| part.kind == statement_class::StatementKind::Begin)
    }

    pub fn may_commit(&self) -> bool {
        self.executes && self.parts.iter().any(|part| part.may_commit)
    }

    pub fn ends_transaction(&self) -> bool {
        self.parts
            .first()
            .is_some_and(|part| part.kind == statement_class::StatementKind::End)
    }

    /// Returns whether the batch can be run again without changing data.
    pub fn is_idempotent(&self) -> bool {
        !self.executes
            || self.parts.iter().all(|part| {
                part.access == work_request::WorkAccess::Read
                    || part.kind == statement_class::StatementKind::Begin
            })
    }

    fn fail(&mut self, reason: refusal_reason::RefusalReason, text: impl Into<String>) {
        self.fail_with(reason, reason.sql_state(), text);
    }

    fn fail_with(
        &mut self,
        reason: refusal_reason::RefusalReason,
        sql_state: &'static str,
        text: impl Into<String>,
    ) {
        self.error.get_or_insert(BatchError {
            reason,
            sql_state,
            text: text.into(),
        });
    }

    fn include(&mut self, class: &statement_class::StatementClass) {
        self.parts.extend(class.parts.iter().cloned());
        self.tables.extend(class.tables.iter().cloned());
        if self.fingerprint == 0 {
            self.fingerprint = class.fingerprint;
        }
    }
}

/// Collects the messages of a session into one batch after another.
#[derive(Debug)]
pub struct BatchBuilder {
    pub statements: collections::HashMap<String, PreparedStatement>,
    batch: ClientBatch,
    max_bytes: usize,
    max_statements: usize,
}

impl BatchBuilder {
    pub fn new(max_bytes: usize, max_statements: usize) -> Self {
        Self {
            statements: collections::HashMap::new(),
            batch: ClientBatch::default(),
            max_bytes,
            max_statements,
        }
    }

    /// Returns whether no message of the next batch has been received yet.
    pub fn is_empty(&self) -> bool {
        self.batch.messages.is_empty() && self.batch.steps.is_empty() && self.batch.error.is_none()
    }

    /// Adds a message. Returns the batch once it is complete.
    pub fn push(
        &mut self,
        message: wire::ClientMessage,
        classes: &class_cache::ClassCache,
    ) -> Option<ClientBatch> {
        if self.batch.messages.len() + message.body.len() > self.max_bytes {
            let text = format!("the batch is longer than {} bytes", self.max_bytes);
            self.batch
                .fail(refusal_reason::RefusalReason::MessageTooLong, text);
        }
        let tag = message.tag;
        match tag {
            b'S' => {
                wire::put_message(&mut self.batch.messages, b'S', |_body| {});
                return Some(self.take());
            }
            b'Q' => {
                self.query(message.body, classes);
                return Some(self.take());
            }
            _ if self.batch.error.is_some() => return None,
            _ => {}
        }
        let understood = match tag {
            b'P' => self.parse(message.body, classes),
            b'B' => self.bind(message.body),
            b'D' => self.describe(message.body),
            b'E' => self.execute(&message.body),
            b'C' => self.close(message.body),
            b'H' => {
                self.batch.fail(
                    refusal_reason::RefusalReason::Unsupported,
                    "Flush is not supported; end the batch with Sync",
                );
                Some(())
            }
            b'F' => {
                self.batch.fail(
                    refusal_reason::RefusalReason::Unsupported,
                    "function calls by the fast path are not supported",
                );
                // A function call is a batch of its own, without Sync.
                return Some(self.take());
            }
            // CopyData, CopyDone and CopyFail may still arrive for a COPY that the entry refused.
            b'd' | b'c' | b'f' => Some(()),
            _ => None,
        };
        if understood.is_none() {
            let text = format!("message of type {:?} is not valid", char::from(tag));
            self.batch
                .fail(refusal_reason::RefusalReason::Protocol, text);
        }
        None
    }

    fn take(&mut self) -> ClientBatch {
        let mut batch = std::mem::take(&mut self.batch);
        if batch.local && batch.forwards {
            batch.fail(
                refusal_reason::RefusalReason::Unsupported,
                "SET or SHOW of a session parameter has to be sent apart from other statements",
            );
        }
        batch
    }

    fn query(&mut self, mut body: bytes::Bytes, classes: &class_cache::ClassCache) {
        let Some(sql) = wire::take_text(&mut body) else {
            self.batch.fail(
                refusal_reason::RefusalReason::Protocol,
                "the text of the Query message is not valid UTF-8",
            );
            return;
        };
        let class = classes.classify(&sql);
        self.batch.include(&class);
        self.batch.executes = true;
        self.batch.text = text_prefix(&sql);
        if let Some(locals) = class.locals() {
            self.batch.local = true;
            let locals = locals.into_iter().cloned().collect();
            self.batch.steps.push(LocalStep::Query(locals));
            return;
        }
        self.batch.local |= class
            .parts
            .iter()
            .any(|part| matches!(part.kind, statement_class::StatementKind::Local(_)));
        self.batch.forwards = true;
        wire::put_message(&mut self.batch.messages, b'Q', |body| {
            wire::put_text(body, &sql);
        });
    }

    fn parse(&mut self, mut body: bytes::Bytes, classes: &class_cache::ClassCache) -> Option<()> {
        let name = wire::take_text(&mut body)?;
        let definition = body.clone();
        let sql = wire::take_text(&mut body)?;
        if !name.is_empty() && self.statements.contains_key(&name) {
            self.batch.fail_with(
                refusal_reason::RefusalReason::Protocol,
                "42P05",
                format!("prepared statement \"{name}\" already exists"),
            );
            return Some(());
        }
        if self.statements.len() >= self.max_statements {
            let text = format!("more than {} prepared statements", self.max_statements);
            self.batch
                .fail(refusal_reason::RefusalReason::Unsupported, text);
            return Some(());
        }
        let class = classes.classify(&sql);
        self.batch.include(&class);
        if self.batch.text.is_empty() {
            self.batch.text = text_prefix(&sql);
        }
        let statement = PreparedStatement { class, definition };
        if local_statement(&statement).is_some() {
            self.batch.local = true;
        } else {
            self.emit_parse(&name, &statement.definition);
            self.batch.forwards = true;
        }
        self.batch.steps.push(LocalStep::Parsed);
        self.batch.defined.push(name.clone());
        self.statements.insert(name, statement);
        Some(())
    }

    fn bind(&mut self, mut body: bytes::Bytes) -> Option<()> {
        let portal = wire::take_text(&mut body)?;
        let name = wire::take_text(&mut body)?;
        let Some(statement) = self.lookup(&name) else {
            return Some(());
        };
        self.batch.include(&statement.class);
        if self.batch.text.is_empty() {
            let mut definition = statement.definition.clone();
            self.batch.text = text_prefix(&wire::take_text(&mut definition).unwrap_or_default());
        }
        self.batch.steps.push(LocalStep::Bound);
        if let Some(local) = local_statement(&statement) {
            self.batch.local = true;
            self.batch.portals.insert(portal, local);
            return Some(());
        }
        self.ensure_parsed(&name, &statement);
        self.batch.forwards = true;
        wire::put_message(&mut self.batch.messages, b'B', |out| {
            wire::put_text(out, &portal);
            out.put_u8(0);
            out.put_slice(&body);
        });
        Some(())
    }

    fn describe(&mut self, mut body: bytes::Bytes) -> Option<()> {
        let kind = body.first().copied()?;
        let _kind = body.split_to(1);
        let name = wire::take_text(&mut body)?;
        if kind == b'P' {
            let local = self.batch.portals.get(&name).cloned();
            self.batch.forwards |= local.is_none();
            self.batch.steps.push(LocalStep::DescribePortal(local));
            wire::put_message(&mut self.batch.messages, b'D', |out| {
                out.put_u8(b'P');
                wire::put_text(out, &name);
            });
            return Some(());
        }
        let Some(statement) = self.lookup(&name) else {
            return Some(());
        };
        let local = local_statement(&statement);
        if local.is_none() {
            self.batch.include(&statement.class);
            self.ensure_parsed(&name, &statement);
            self.batch.forwards = true;
            wire::put_message(&mut self.batch.messages, b'D', |out| out.put_slice(b"S\0"));
        } else {
            self.batch.local = true;
        }
        self.batch.steps.push(LocalStep::DescribeStatement(local));
        Some(())
    }

    fn execute(&mut self, body: &bytes::Bytes) -> Option<()> {
        let portal = wire::take_text(&mut body.clone())?;
        let local = self.batch.portals.get(&portal).cloned();
        self.batch.executes = true;
        if local.is_none() {
            self.batch.forwards = true;
            wire::put_message(&mut self.batch.messages, b'E', |out| out.put_slice(body));
        }
        self.batch.steps.push(LocalStep::Execute(local));
        Some(())
    }

    fn close(&mut self, mut body: bytes::Bytes) -> Option<()> {
        let kind = body.first().copied()?;
        let _kind = body.split_to(1);
        let name = wire::take_text(&mut body)?;
        self.batch.steps.push(LocalStep::Closed);
        if kind == b'P' {
            // A portal of this transaction may exist on the upstream connection.
            self.batch.forwards |= self.batch.portals.remove(&name).is_none();
            wire::put_message(&mut self.batch.messages, b'C', |out| {
                out.put_u8(b'P');
                wire::put_text(out, &name);
            });
        } else {
            self.statements.remove(&name);
            self.batch.current = None;
            wire::put_message(&mut self.batch.messages, b'C', |out| out.put_slice(b"S\0"));
        }
        Some(())
    }

    fn lookup(&mut self, name: &str) -> Option<PreparedStatement> {
        let statement = self.statements.get(name).cloned();
        if statement.is_none() {
            self.batch.fail_with(
                refusal_reason::RefusalReason::Protocol,
                "26000",
                format!("prepared statement \"{name}\" does not exist"),
            );
        }
        statement
    }

    /// Adds a Parse of the statement as the unnamed one, unless it is the last that was parsed.
    fn ensure_parsed(&mut self, name: &str, statement: &PreparedStatement) {
        if self.batch.current.as_deref() != Some(name) {
            self.batch.hidden_parses.push(self.batch.parses);
            self.emit_parse(name, &statement.definition);
        }
    }

    fn emit_parse(&mut self, name: &str, definition: &bytes::Bytes) {
        wire::put_message(&mut self.batch.messages, b'P', |out| {
            out.put_u8(0);
            out.put_slice(definition);
        });
        self.batch.parses = self.batch.parses.saturating_add(1);
        self.batch.current = Some(name.to_owned());
    }
}

fn local_statement(statement: &PreparedStatement) -> Option<statement_class::LocalStatement> {
    match statement.class.locals()?.as_slice() {
        [local] => Some((*local).clone()),
        _ => None,
    }
}

/// Returns the part of a statement's text that rule patterns are matched against.
fn text_prefix(sql: &str) -> String {
    sql.chars().take(512).collect()
}
