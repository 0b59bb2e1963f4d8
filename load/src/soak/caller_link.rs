//! [`CallerLink`]: a caller's connection, and what an answer on it means.

use std::collections;
use std::net;
use std::sync;
use std::time;

use futures::StreamExt;
use testenv::test_env;

use crate::soak::{history, place};

/// Time after which a caller gives up a connection attempt.
const CONNECT_LIMIT: time::Duration = time::Duration::from_secs(6);
/// Time after which a caller gives up a request: the entry's `limits.silence` of 30 s, 1 s for the
/// cancel request that follows, 5 s until a statement starts, and 8 s of a frozen process.
const ANSWER_LIMIT: time::Duration = time::Duration::from_secs(45);
/// Text of the outcome after that time.
pub const NO_ANSWER: &str = "no answer in time";
/// SQLSTATEs that mean "not run" whatever the text.
const NOT_RUN: [&str; 5] = ["57P03", "53300", "53400", "0A000", "57P01"];

/// Addresses of the entries by VM.
#[derive(Debug, Default)]
pub struct EntryBook {
    addresses: sync::RwLock<collections::BTreeMap<String, net::SocketAddr>>,
}

impl EntryBook {
    /// Notes where an entry listens.
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

/// How a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendMode {
    /// As one Query.
    Simple,
    /// Prepared, with parameters.
    Extended,
    /// As COPY out.
    Copy,
}

/// A caller's connection.
#[derive(Debug)]
pub struct CallerLink {
    /// VM of the entry.
    pub vm: String,
    client: tokio_postgres::Client,
}

impl CallerLink {
    /// Connects to the entry of a VM.
    ///
    /// # Errors
    ///
    /// Returns the SQLSTATE, if any, and the text.
    pub async fn open(
        book: &EntryBook,
        vm: &str,
        user: &str,
        database: &str,
        options: &str,
    ) -> Result<Self, (Option<String>, String)> {
        let address = book
            .get(vm)
            .ok_or_else(|| (None, format!("{vm} has no entry")))?;
        let opening = test_env::connect_to(address, user, place::PASSWORD, database, options);
        match tokio::time::timeout(CONNECT_LIMIT, opening).await {
            Ok(Ok(client)) => Ok(Self {
                vm: vm.to_owned(),
                client,
            }),
            Ok(Err(error)) => Err((
                error.code().map(|code| code.code().to_owned()),
                text_of(&error),
            )),
            Err(_late) => Err((None, "no answer to the login".to_owned())),
        }
    }

    /// Tells whether the connection can still be used.
    pub fn is_open(&self) -> bool {
        !self.client.is_closed()
    }

    /// Sends a request and returns the first columns of its rows.
    pub async fn ask(
        &self,
        sql: &str,
        parameters: &[&str],
        mode: SendMode,
    ) -> (history::ToldOutcome, Vec<String>) {
        let asking = async {
            match mode {
                SendMode::Simple => self.simple(sql).await,
                SendMode::Extended => self.extended(sql, parameters).await,
                SendMode::Copy => self.copy(sql).await,
            }
        };
        match tokio::time::timeout(ANSWER_LIMIT, asking).await {
            Ok(Ok(rows)) => (history::ToldOutcome::Done, rows),
            Ok(Err(error)) => (outcome_of(&error), Vec::new()),
            Err(_late) => (
                history::ToldOutcome::Unknown(NO_ANSWER.to_owned()),
                Vec::new(),
            ),
        }
    }

    async fn simple(&self, sql: &str) -> Result<Vec<String>, tokio_postgres::Error> {
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

    async fn extended(
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

    async fn copy(&self, sql: &str) -> Result<Vec<String>, tokio_postgres::Error> {
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

fn text_of(error: &tokio_postgres::Error) -> String {
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

fn outcome_of(error: &tokio_postgres::Error) -> history::ToldOutcome {
    let text = text_of(error);
    let Some(error) = error.as_db_error() else {
        return history::ToldOutcome::Unknown(text);
    };
    match error.code().code() {
        "40003" => history::ToldOutcome::Unknown(text),
        "40001" => history::ToldOutcome::Dropped(text),
        code if NOT_RUN.contains(&code) || error.message().starts_with("not run") => {
            history::ToldOutcome::NotRun(text)
        }
        _ => history::ToldOutcome::Failed(text),
    }
}
