//! [`EntryConnection`]: a client's connection to an entry, and the classification of its errors.

use std::collections;
use std::net;
use std::sync;
use std::time;

use futures::StreamExt;
use testenv::test_env;

use crate::soak::{history, topology};

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(6);
/// Timeout of a request. It exceeds the sum of the entry's `limits.silence` of 30 s, 1 s for the
/// cancel request that follows, 5 s until a statement starts, and 8 s for the longest freeze of a
/// process.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(45);
/// Text of the outcome of a request that timed out.
pub const NO_RESPONSE: &str = "no answer in time";
/// SQLSTATEs that mean "not run" regardless of the message.
const NOT_RUN_STATES: [&str; 5] = ["57P03", "53300", "53400", "0A000", "57P01"];

/// Current addresses of the entries by VM, shared by all clients.
#[derive(Debug, Default)]
pub struct EntryAddresses {
    addresses: sync::RwLock<collections::BTreeMap<String, net::SocketAddr>>,
}

impl EntryAddresses {
    /// Sets the address of the entry on a VM.
    pub fn set(&self, vm: &str, address: net::SocketAddr) {
        self.addresses
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .insert(vm.to_owned(), address);
    }

    fn get(&self, vm: &str) -> Option<net::SocketAddr> {
        self.addresses
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .get(vm)
            .copied()
    }
}

/// The part of the PostgreSQL protocol that a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryProtocol {
    /// A single `Query` message.
    Simple,
    /// A prepared statement with parameters.
    Extended,
    /// `COPY ... TO STDOUT`.
    Copy,
}

/// A client's connection to the entry of a VM.
#[derive(Debug)]
pub struct EntryConnection {
    /// VM of the entry, for reports and for the choice of the next entry.
    pub vm: String,
    client: tokio_postgres::Client,
}

impl EntryConnection {
    /// Connects to the entry of a VM.
    ///
    /// # Errors
    ///
    /// Returns the SQLSTATE, if the entry sent one, and the text of the error.
    pub async fn open(
        entry_addresses: &EntryAddresses,
        vm: &str,
        user: &str,
        database: &str,
        options: &str,
    ) -> Result<Self, (Option<String>, String)> {
        let address = entry_addresses
            .get(vm)
            .ok_or_else(|| (None, format!("{vm} has no entry")))?;
        let connecting = test_env::connect_to(address, user, topology::PASSWORD, database, options);
        match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(client)) => Ok(Self {
                vm: vm.to_owned(),
                client,
            }),
            Ok(Err(error)) => Err((
                error.code().map(|code| code.code().to_owned()),
                error_text(&error),
            )),
            Err(_elapsed) => Err((None, "no response to the login".to_owned())),
        }
    }

    /// Returns whether the connection is still open.
    pub fn is_open(&self) -> bool {
        !self.client.is_closed()
    }

    /// Sends a request and returns its outcome and the first column of each row.
    pub async fn send(
        &self,
        sql: &str,
        parameters: &[&str],
        protocol: QueryProtocol,
    ) -> (history::RequestOutcome, Vec<String>) {
        let query = async {
            match protocol {
                QueryProtocol::Simple => self.send_simple(sql).await,
                QueryProtocol::Extended => self.send_extended(sql, parameters).await,
                QueryProtocol::Copy => self.send_copy(sql).await,
            }
        };
        match tokio::time::timeout(RESPONSE_TIMEOUT, query).await {
            Ok(Ok(rows)) => (history::RequestOutcome::Done, rows),
            Ok(Err(error)) => (classify_error(&error), Vec::new()),
            Err(_elapsed) => (
                history::RequestOutcome::Unknown(NO_RESPONSE.to_owned()),
                Vec::new(),
            ),
        }
    }

    async fn send_simple(&self, sql: &str) -> Result<Vec<String>, tokio_postgres::Error> {
        let messages = self.client.simple_query(sql).await?;
        Ok(messages
            .iter()
            .filter_map(|message| match message {
                tokio_postgres::SimpleQueryMessage::Row(row) => {
                    Some(row.get(0).unwrap_or_default().to_owned())
                }
                _ => None,
            })
            .collect())
    }

    async fn send_extended(
        &self,
        sql: &str,
        parameters: &[&str],
    ) -> Result<Vec<String>, tokio_postgres::Error> {
        let values: Vec<&(dyn tokio_postgres::types::ToSql + Sync)> = parameters
            .iter()
            .map(|text| text as &(dyn tokio_postgres::types::ToSql + Sync))
            .collect();
        let rows = self.client.query(sql, &values).await?;
        rows.iter().map(|row| row.try_get(0)).collect()
    }

    async fn send_copy(&self, sql: &str) -> Result<Vec<String>, tokio_postgres::Error> {
        let stream = self.client.copy_out(sql).await?;
        let mut stream = std::pin::pin!(stream);
        let mut text = Vec::new();
        while let Some(chunk) = stream.next().await {
            text.extend_from_slice(&chunk?);
        }
        let text = String::from_utf8_lossy(&text);
        Ok(text.lines().map(str::to_owned).collect())
    }
}

fn error_text(error: &tokio_postgres::Error) -> String {
    match error.as_db_error() {
        Some(error) => format!(
            "{} {} {}",
            error.code().code(),
            error.message(),
            error.detail().unwrap_or_default()
        ),
        None => format!("{error:?}"),
    }
}

/// Derives the outcome from the SQLSTATE and message that the entry promises for it. An error without
/// a response from the server leaves the outcome unknown.
fn classify_error(error: &tokio_postgres::Error) -> history::RequestOutcome {
    let text = error_text(error);
    let Some(error) = error.as_db_error() else {
        return history::RequestOutcome::Unknown(text);
    };
    match error.code().code() {
        "40003" => history::RequestOutcome::Unknown(text),
        "40001" => history::RequestOutcome::Dropped(text),
        code if NOT_RUN_STATES.contains(&code) || error.message().starts_with("not run") => {
            history::RequestOutcome::NotRun(text)
        }
        _ => history::RequestOutcome::Failed(text),
    }
}
