//! [`ClientSession`]: a client that reconnects to the next entry when its connection breaks.

use std::net;
use std::time;

use tokio_postgres::config;

use crate::request_stats;

/// Longest time to connect to an entry before the next one is tried, as a load balancer does.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Addresses and credentials with which clients connect.
#[derive(Clone, Debug)]
pub struct ClientLogin {
    /// Addresses of the entries, which are tried in turn as the platform's load balancer does.
    pub entries: Vec<net::SocketAddr>,
    /// User name at login.
    pub user: String,
    /// Password of the user.
    pub password: String,
    /// Name of the database, which selects the group.
    pub database: String,
    /// The `options` parameter of the start-up message; empty for none.
    pub options: String,
}

/// Session of one client. It connects on first use, and again once its connection is closed.
#[derive(Debug)]
pub struct ClientSession {
    login: ClientLogin,
    next_entry: usize,
    connection: Option<tokio_postgres::Client>,
}

impl ClientSession {
    /// Creates a session that first connects to the entry numbered `first_entry`.
    #[must_use]
    pub fn new(login: ClientLogin, first_entry: usize) -> Self {
        Self {
            login,
            next_entry: first_entry,
            connection: None,
        }
    }

    /// Returns the open connection, or opens one, for which it tries each entry once.
    ///
    /// # Errors
    ///
    /// Returns [`request_stats::RequestOutcome::NotRun`] if no entry accepts the login.
    pub async fn connection(
        &mut self,
    ) -> Result<&mut tokio_postgres::Client, request_stats::RequestOutcome> {
        let open = self
            .connection
            .as_ref()
            .is_some_and(|client| !client.is_closed());
        if !open {
            self.connection = Some(self.connect().await?);
        }
        self.connection
            .as_mut()
            .ok_or(request_stats::RequestOutcome::NotRun)
    }

    /// Runs a statement with the simple query protocol and returns the first column of its rows.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the request if it was not answered.
    pub async fn run(&mut self, sql: &str) -> Result<Vec<String>, request_stats::RequestOutcome> {
        let client = self.connection().await?;
        let messages = client
            .simple_query(sql)
            .await
            .map_err(|error| request_stats::RequestOutcome::from_error(&error))?;
        let rows = messages.into_iter().filter_map(|message| match message {
            tokio_postgres::SimpleQueryMessage::Row(row) => {
                Some(row.try_get(0).ok().flatten().unwrap_or_default().to_owned())
            }
            _ => None,
        });
        Ok(rows.collect())
    }

    async fn connect(&mut self) -> Result<tokio_postgres::Client, request_stats::RequestOutcome> {
        for _attempt in 0..self.login.entries.len() {
            let entry = self.login.entries[self.next_entry % self.login.entries.len()];
            self.next_entry += 1;
            if let Ok(Some(client)) = tokio::time::timeout(CONNECT_TIMEOUT, self.open(entry)).await
            {
                return Ok(client);
            }
        }
        Err(request_stats::RequestOutcome::NotRun)
    }

    async fn open(&self, entry: net::SocketAddr) -> Option<tokio_postgres::Client> {
        let (client, connection) = tokio_postgres::Config::new()
            .hostaddr(entry.ip())
            .port(entry.port())
            .user(&self.login.user)
            .password(&self.login.password)
            .dbname(&self.login.database)
            .options(&self.login.options)
            .ssl_mode(config::SslMode::Disable)
            .connect(tokio_postgres::NoTls)
            .await
            .ok()?;
        // The task ends when the client is dropped; the next request returns its error.
        tokio::spawn(connection);
        Some(client)
    }
}
