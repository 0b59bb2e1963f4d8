//! [`UpstreamControl`]: a control connection to an upstream, over which the keeper reads its state
//! and fences, promotes or redirects it.

use std::io;
use std::net;
use std::time;

use crate::dial;
use crate::keeper::settings;
use crate::model::{ids, upstream_state};

/// Why a control statement failed.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum ControlError {
    /// No process serves the address: the connection attempt was refused, or the connection closed.
    #[display("refused: {cause}")]
    Refused {
        /// Error of the library.
        cause: String,
    },
    /// No answer came in time.
    #[display("silent")]
    Silent,
    /// The upstream answered with an error.
    #[display("sqlstate={code} cause={cause}")]
    Answered {
        /// SQLSTATE.
        code: String,
        /// Text of the error.
        cause: String,
    },
    /// The upstream's answer could not be decoded as a state.
    #[display("answer of {statement} cannot be read: {cause}")]
    Unreadable {
        /// The statement.
        statement: String,
        /// Error of the decoder.
        cause: String,
    },
}

/// A control connection, closed when dropped.
#[derive(Debug)]
pub struct UpstreamControl {
    client: tokio_postgres::Client,
    driver: tokio::task::JoinHandle<()>,
}

impl Drop for UpstreamControl {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

fn classify_error(error: &tokio_postgres::Error) -> ControlError {
    match error.as_db_error() {
        Some(database) => ControlError::Answered {
            code: database.code().code().to_owned(),
            cause: database.message().to_owned(),
        },
        None => ControlError::Refused {
            cause: error.to_string(),
        },
    }
}

impl UpstreamControl {
    /// Connects and logs in within the dialer's timeout.
    ///
    /// # Errors
    ///
    /// Fails if the upstream cannot be reached in time or refuses the login.
    pub async fn connect(
        dialer: &dial::TcpDialer,
        address: net::SocketAddr,
        database: &str,
        account: &settings::UpstreamAccount,
    ) -> Result<Self, ControlError> {
        let open = async {
            let socket = dialer
                .connect(address)
                .await
                .map_err(|error| match error.kind() {
                    io::ErrorKind::TimedOut => ControlError::Silent,
                    _ => ControlError::Refused {
                        cause: error.to_string(),
                    },
                })?;
            tokio_postgres::Config::new()
                .user(&account.user)
                .password(&account.password)
                .dbname(database)
                .application_name("persimmon-keeper")
                .connect_raw(socket, tokio_postgres::NoTls)
                .await
                .map_err(|error| classify_error(&error))
        };
        let (client, connection) = tokio::time::timeout(dialer.timeout, open)
            .await
            .map_err(|_elapsed| ControlError::Silent)??;
        let driver = tokio::spawn(async move {
            // The pending statement reports the same error.
            drop(connection.await);
        });
        Ok(Self { client, driver })
    }

    async fn query_state(
        &self,
        statement: &str,
    ) -> Result<upstream_state::UpstreamState, ControlError> {
        let messages = self
            .client
            .simple_query(statement)
            .await
            .map_err(|error| classify_error(&error))?;
        let text = messages
            .iter()
            .find_map(|message| match message {
                tokio_postgres::SimpleQueryMessage::Row(row) => row.try_get(0).ok().flatten(),
                _ => None,
            })
            .unwrap_or_default();
        serde_json::from_str(text).map_err(|error| ControlError::Unreadable {
            statement: statement.to_owned(),
            cause: error.to_string(),
        })
    }

    /// Reads the upstream's state.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the upstream refuses.
    pub async fn state(&self) -> Result<upstream_state::UpstreamState, ControlError> {
        self.query_state("SELECT group_state()").await
    }

    /// Waits until the version of the state differs from `version`, at most for `wait`, and returns
    /// the state.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the upstream refuses.
    pub async fn wait(
        &self,
        version: u64,
        wait: time::Duration,
    ) -> Result<upstream_state::UpstreamState, ControlError> {
        let wait_ms = wait.as_millis();
        self.query_state(&format!("SELECT group_wait('{version}', {wait_ms})"))
            .await
    }

    /// Fences the upstream at `term`.
    ///
    /// # Errors
    ///
    /// Fails with SQLSTATE 55000 if it has promised that term or a higher one.
    pub async fn fence(
        &self,
        term: ids::TermNumber,
    ) -> Result<upstream_state::UpstreamState, ControlError> {
        self.query_state(&format!("SELECT group_fence({term})"))
            .await
    }

    /// Makes the upstream the primary of `term`.
    ///
    /// # Errors
    ///
    /// Fails unless it was fenced at exactly that term.
    pub async fn promote(
        &self,
        term: ids::TermNumber,
    ) -> Result<upstream_state::UpstreamState, ControlError> {
        self.query_state(&format!("SELECT group_promote({term})"))
            .await
    }

    /// Makes the upstream follow the primary of `term` at `address`.
    ///
    /// # Errors
    ///
    /// Fails if it has promised a higher term.
    pub async fn follow(
        &self,
        term: ids::TermNumber,
        address: net::SocketAddr,
    ) -> Result<upstream_state::UpstreamState, ControlError> {
        self.query_state(&format!("SELECT group_follow({term}, '{address}')"))
            .await
    }
}
