//! [`ClientSession`]: serves one client connection, from login on.

use std::collections;
use std::io;
use std::sync;
use std::sync::atomic;

use pgwire::messages;
use pgwire::messages::{copy, data, extendedquery, response, startup};

use crate::instance::db_error;
use crate::instance::executor;
use crate::instance::row_format;
use crate::instance::scanner;
use crate::instance::shared;
use crate::instance::statement;
use crate::instance::wire;

type Backend = messages::PgWireBackendMessage;
type Frontend = messages::PgWireFrontendMessage;

#[derive(Clone, Debug)]
struct PreparedStatement {
    id: Option<String>,
    statement: Option<statement::SqlStatement>,
    types: Vec<u32>,
}

struct BoundPortal {
    prepared: PreparedStatement,
    formats: Vec<i16>,
    rest: Option<executor::RowIterator>,
}

/// Failure of a request, which is either reported to the client or ends the connection.
enum RequestError {
    Statement(db_error::DbError),
    Connection(io::Error),
}

impl From<db_error::DbError> for RequestError {
    fn from(error: db_error::DbError) -> Self {
        Self::Statement(error)
    }
}

impl From<io::Error> for RequestError {
    fn from(error: io::Error) -> Self {
        Self::Connection(error)
    }
}

/// One client connection after login.
struct ClientSession {
    wire: wire::WireStream,
    runner: executor::StatementRunner,
    prepared: collections::HashMap<String, PreparedStatement>,
    portals: collections::HashMap<String, BoundPortal>,
    skipping: bool,
}

/// Serves a client connection, or the cancel request that it sends instead.
///
/// # Errors
///
/// Fails if the socket fails or a message is not valid.
pub async fn serve(
    instance: sync::Arc<shared::SharedInstance>,
    socket: tokio::net::TcpStream,
) -> io::Result<()> {
    let mut wire = wire::WireStream::new(socket);
    let startup = match wire.read().await? {
        Some(Frontend::CancelRequest(request)) => {
            let secret = request.secret_key.as_i32().unwrap_or_default();
            instance.cancels.cancel(request.pid, secret);
            return Ok(());
        }
        Some(Frontend::Startup(startup)) => startup,
        _ => return Ok(()),
    };
    let open = instance.connections.fetch_add(1, atomic::Ordering::SeqCst);
    let result = if open >= instance.settings.max_connections {
        refuse(&mut wire, "53300", "sorry, too many clients already").await
    } else {
        serve_startup(&instance, wire, &startup).await
    };
    instance.connections.fetch_sub(1, atomic::Ordering::SeqCst);
    result
}

async fn serve_startup(
    instance: &sync::Arc<shared::SharedInstance>,
    mut wire: wire::WireStream,
    startup: &startup::Startup,
) -> io::Result<()> {
    tokio::time::sleep(shared::millis(&instance.times.open_delay_ms)).await;
    if startup.protocol_number_minor != 0 {
        let options = Vec::new();
        let negotiate = startup::NegotiateProtocolVersion::new(0, options);
        wire.send(Backend::NegotiateProtocolVersion(negotiate))
            .await?;
    }
    let user = startup.parameters.get("user").cloned().unwrap_or_default();
    let settings = &instance.settings;
    let mut admitted = user == settings.user;
    if let Some(password) = &settings.password {
        wire.send(Backend::Authentication(
            startup::Authentication::CleartextPassword,
        ))
        .await?;
        wire.flush().await?;
        let Some(Frontend::PasswordMessageFamily(message)) = wire.read().await? else {
            return Ok(());
        };
        let given = message.into_password().map_err(io::Error::other)?;
        admitted &= given.password == *password;
    }
    if !admitted {
        let text = format!("password authentication failed for user {user:?}");
        return refuse(&mut wire, "28P01", &text).await;
    }
    let number = instance.next_number();
    let process = i32::try_from(number % 1_000_000_000).unwrap_or_default() + 1;
    let secret: i32 = rand::random();
    wire.send(Backend::Authentication(startup::Authentication::Ok))
        .await?;
    let incarnation = instance.with_core(|core| core.state().incarnation);
    for (name, value) in [
        ("server_version", "17.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
        ("TimeZone", "UTC"),
        ("group.upstream", &settings.upstream),
        ("group.incarnation", &incarnation.to_string()),
    ] {
        wire.send(parameter_status(name, value)).await?;
    }
    wire.send(Backend::BackendKeyData(startup::BackendKeyData::new(
        process,
        startup::SecretKey::I32(secret),
    )))
    .await?;
    let (sender, _receiver) = tokio::sync::watch::channel(false);
    let cancelled = sync::Arc::new(sender);
    instance
        .cancels
        .register(process, secret, sync::Arc::clone(&cancelled));
    let mut session = ClientSession {
        wire,
        runner: executor::StatementRunner::new(sync::Arc::clone(instance), number, cancelled),
        prepared: collections::HashMap::new(),
        portals: collections::HashMap::new(),
        skipping: false,
    };
    let result = session.run().await;
    session.runner.roll_back();
    instance.cancels.remove(process);
    result
}

async fn refuse(wire: &mut wire::WireStream, code: &str, text: &str) -> io::Result<()> {
    wire.send_error("FATAL", code, text).await?;
    wire.flush().await
}

impl ClientSession {
    async fn run(&mut self) -> io::Result<()> {
        self.send_ready().await?;
        while let Some(message) = self.wire.read().await? {
            match message {
                Frontend::Terminate(_) => return Ok(()),
                Frontend::Sync(_) => {
                    self.skipping = false;
                    if self.runner.transaction_failed().is_none() {
                        self.portals.clear();
                    }
                    self.send_ready().await?;
                }
                Frontend::Query(query) => {
                    self.skipping = false;
                    let result = self.simple_query(&query.query).await;
                    self.report(result).await?;
                    self.send_ready().await?;
                }
                _ if self.skipping => {}
                message => {
                    let result = self.extended_message(message).await;
                    self.skipping = matches!(result, Err(RequestError::Statement(_)));
                    self.report(result).await?;
                }
            }
        }
        Ok(())
    }

    async fn report(&mut self, result: Result<(), RequestError>) -> io::Result<()> {
        match result {
            Ok(()) => Ok(()),
            Err(RequestError::Connection(error)) => Err(error),
            Err(RequestError::Statement(error)) => {
                self.runner.fail_transaction();
                self.wire
                    .send_error("ERROR", error.code, &error.message)
                    .await
            }
        }
    }

    async fn send_ready(&mut self) -> io::Result<()> {
        let status = match self.runner.transaction_failed() {
            None => response::TransactionStatus::Idle,
            Some(false) => response::TransactionStatus::Transaction,
            Some(true) => response::TransactionStatus::Error,
        };
        self.wire
            .send(Backend::ReadyForQuery(response::ReadyForQuery::new(status)))
            .await?;
        self.wire.flush().await
    }

    /// Runs the statements of a simple query. Outside a transaction, each commits on its own.
    async fn simple_query(&mut self, sql: &str) -> Result<(), RequestError> {
        let parts = scanner::split_statements(sql);
        if parts.is_empty() {
            let empty = response::EmptyQueryResponse::new();
            self.wire.send(Backend::EmptyQueryResponse(empty)).await?;
        }
        for part in parts {
            let prepared = prepare(part, &[])?;
            let Some(parsed) = &prepared.statement else {
                continue;
            };
            let answer = self.runner.run(parsed, prepared.id.as_deref()).await?;
            let columns = parsed.columns();
            if !columns.is_empty() {
                self.wire
                    .send(Backend::RowDescription(row_format::row_description(
                        &columns,
                        &[],
                    )))
                    .await?;
            }
            self.send_answer(parsed, &[], answer, 0).await?;
        }
        Ok(())
    }

    async fn extended_message(&mut self, message: Frontend) -> Result<(), RequestError> {
        match message {
            Frontend::Parse(parse) => {
                let prepared = prepare(&parse.query, &parse.type_oids)?;
                self.prepared
                    .insert(parse.name.unwrap_or_default(), prepared);
                let complete = extendedquery::ParseComplete::new();
                self.wire.send(Backend::ParseComplete(complete)).await?;
            }
            Frontend::Bind(bind) => {
                let prepared = self.find_prepared(bind.statement_name.as_deref())?;
                let portal = bind_portal(prepared, &bind)?;
                self.portals
                    .insert(bind.portal_name.unwrap_or_default(), portal);
                let complete = extendedquery::BindComplete::new();
                self.wire.send(Backend::BindComplete(complete)).await?;
            }
            Frontend::Describe(describe) => self.describe(&describe).await?,
            Frontend::Execute(execute) => {
                let name = execute.name.unwrap_or_default();
                let limit = usize::try_from(execute.max_rows).unwrap_or_default();
                let portal = self.portals.remove(&name).ok_or_else(no_portal)?;
                self.execute(name, portal, limit).await?;
            }
            Frontend::Close(close) => {
                let name = close.name.unwrap_or_default();
                if close.target_type == extendedquery::TARGET_TYPE_BYTE_STATEMENT {
                    self.prepared.remove(&name);
                } else {
                    self.portals.remove(&name);
                }
                let complete = extendedquery::CloseComplete::new();
                self.wire.send(Backend::CloseComplete(complete)).await?;
            }
            Frontend::Flush(_) => self.wire.flush().await?,
            _ => {
                return Err(db_error::DbError::new("08P01", "unexpected message").into());
            }
        }
        Ok(())
    }

    async fn describe(&mut self, describe: &extendedquery::Describe) -> Result<(), RequestError> {
        let (parsed, formats) = if describe.target_type == extendedquery::TARGET_TYPE_BYTE_STATEMENT
        {
            let prepared = self.find_prepared(describe.name.as_deref())?;
            let parameters = data::ParameterDescription::new(prepared.types);
            self.wire
                .send(Backend::ParameterDescription(parameters))
                .await?;
            (prepared.statement, Vec::new())
        } else {
            let name = describe.name.clone().unwrap_or_default();
            let portal = self.portals.get(&name).ok_or_else(no_portal)?;
            (portal.prepared.statement.clone(), portal.formats.clone())
        };
        let columns = parsed.map(|parsed| parsed.columns()).unwrap_or_default();
        let message = if columns.is_empty() {
            Backend::NoData(data::NoData::new())
        } else {
            Backend::RowDescription(row_format::row_description(&columns, &formats))
        };
        Ok(self.wire.send(message).await?)
    }

    async fn execute(
        &mut self,
        name: String,
        mut portal: BoundPortal,
        limit: usize,
    ) -> Result<(), RequestError> {
        let Some(parsed) = portal.prepared.statement.clone() else {
            let empty = response::EmptyQueryResponse::new();
            self.wire.send(Backend::EmptyQueryResponse(empty)).await?;
            return Ok(());
        };
        let answer = match portal.rest.take() {
            Some(rest) => executor::StatementAnswer {
                position: None,
                body: executor::AnswerBody::Rows(rest),
                slot: None,
            },
            None => {
                let id = portal.prepared.id.clone();
                self.runner.run(&parsed, id.as_deref()).await?
            }
        };
        portal.rest = self
            .send_answer(&parsed, &portal.formats, answer, limit)
            .await?;
        self.portals.insert(name, portal);
        Ok(())
    }

    /// Sends an answer, but at most `limit` rows unless that is 0. Returns the remaining rows.
    async fn send_answer(
        &mut self,
        parsed: &statement::SqlStatement,
        formats: &[i16],
        answer: executor::StatementAnswer,
        limit: usize,
    ) -> Result<Option<executor::RowIterator>, RequestError> {
        let tag = match answer.body {
            executor::AnswerBody::Tag(tag) => tag,
            executor::AnswerBody::Rows(mut rows) => {
                let columns = parsed.columns();
                let copying = matches!(parsed, statement::SqlStatement::Copy(_));
                if copying {
                    let head = copy::CopyOutResponse::new(0, 0, Vec::new());
                    self.wire.send(Backend::CopyOutResponse(head)).await?;
                }
                let mut count: usize = 0;
                loop {
                    if limit > 0 && count == limit && !copying {
                        let suspended = extendedquery::PortalSuspended::new();
                        self.wire.send(Backend::PortalSuspended(suspended)).await?;
                        return Ok(Some(rows));
                    }
                    let Some(row) = rows.next() else {
                        break;
                    };
                    if self.runner.is_cancelled() {
                        return Err(db_error::DbError::cancelled().into());
                    }
                    let message = if copying {
                        Backend::CopyData(copy::CopyData::new(row_format::copy_line(&row)))
                    } else {
                        Backend::DataRow(row_format::data_row(&columns, formats, &row))
                    };
                    self.wire.send(message).await?;
                    count += 1;
                }
                if copying {
                    self.wire
                        .send(Backend::CopyDone(copy::CopyDone::new()))
                        .await?;
                }
                match parsed {
                    statement::SqlStatement::Show { .. } => "SHOW".to_owned(),
                    other => format!("{} {count}", other.kind()),
                }
            }
        };
        drop(answer.slot);
        if let Some(position) = answer.position {
            self.wire
                .send(parameter_status("group.position", &position.to_string()))
                .await?;
        }
        let complete = response::CommandComplete::new(tag);
        self.wire.send(Backend::CommandComplete(complete)).await?;
        Ok(None)
    }

    fn find_prepared(&self, name: Option<&str>) -> Result<PreparedStatement, db_error::DbError> {
        let name = name.unwrap_or_default();
        self.prepared.get(name).cloned().ok_or_else(|| {
            db_error::DbError::new("26000", format!("prepared statement {name:?} is unknown"))
        })
    }
}

fn no_portal() -> db_error::DbError {
    db_error::DbError::new("34000", "portal does not exist")
}

fn prepare(sql: &str, types: &[u32]) -> Result<PreparedStatement, db_error::DbError> {
    let (id, text) = scanner::split_comment(sql)?;
    let statement = statement::parse(text)?;
    let types = statement
        .iter()
        .flat_map(statement::SqlStatement::numeric_parameters)
        .enumerate()
        .map(|(index, numeric)| match types.get(index).copied() {
            Some(given) if given != 0 => given,
            _ if numeric => row_format::wire_type::INT8,
            _ => row_format::wire_type::TEXT,
        })
        .collect();
    Ok(PreparedStatement {
        id,
        statement,
        types,
    })
}

fn bind_portal(
    mut prepared: PreparedStatement,
    bind: &extendedquery::Bind,
) -> Result<BoundPortal, db_error::DbError> {
    let mut values = Vec::new();
    for (index, value) in bind.parameters.iter().enumerate() {
        let format = row_format::format_at(&bind.parameter_format_codes, index);
        let oid = prepared.types.get(index).copied().unwrap_or_default();
        values.push(row_format::decode_value(
            value.as_deref().unwrap_or_default(),
            format,
            oid,
        )?);
    }
    if let Some(parsed) = &prepared.statement {
        prepared.statement = Some(parsed.bind(&values)?);
    }
    Ok(BoundPortal {
        prepared,
        formats: bind.result_column_format_codes.clone(),
        rest: None,
    })
}

fn parameter_status(name: &str, value: &str) -> Backend {
    Backend::ParameterStatus(startup::ParameterStatus::new(
        name.to_owned(),
        value.to_owned(),
    ))
}
