//! [`CallerSession`]: one caller's connection, which reconnects to the next entry when it breaks.

use std::net;
use std::time;

use tokio_postgres::config;

use crate::tally;

/// Time within which a connection has to be open; the balancer would try another entry then.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Where and as whom callers connect.
#[derive(Clone, Debug)]
pub struct CallerLogin {
    /// Entries, tried in turn as the platform's balancer would.
    pub entries: Vec<net::SocketAddr>,
    /// Login user.
    pub user: String,
    /// Password.
    pub password: String,
    /// Database.
    pub database: String,
    /// Start-up options; empty for none.
    pub options: String,
}

/// A caller's session. It opens its connection on first use and again after a failure.
#[derive(Debug)]
pub struct CallerSession {
    login: CallerLogin,
    next_entry: usize,
    client: Option<tokio_postgres::Client>,
}

impl CallerSession {
    /// Creates a session that first connects to the entry numbered `first_entry`.
    #[must_use]
    pub fn new(login: CallerLogin, first_entry: usize) -> Self {
        Self {
            login,
            next_entry: first_entry,
            client: None,
        }
    }

    /// Returns an open connection, trying each entry once.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended if no entry lets the caller in.
    pub async fn client(&mut self) -> Result<&mut tokio_postgres::Client, tally::RequestEnd> {
        let open = self
            .client
            .as_ref()
            .is_some_and(|client| !client.is_closed());
        if !open {
            self.client = Some(self.connect().await?);
        }
        self.client.as_mut().ok_or(tally::RequestEnd::NotRun)
    }

    /// Runs one statement by the simple protocol and returns its rows' first columns.
    ///
    /// # Errors
    ///
    /// Returns how the request ended if it was not answered.
    pub async fn run(&mut self, sql: &str) -> Result<Vec<String>, tally::RequestEnd> {
        let client = self.client().await?;
        let messages = client
            .simple_query(sql)
            .await
            .map_err(|error| tally::RequestEnd::from_error(&error))?;
        let rows = messages.into_iter().filter_map(|message| match message {
            tokio_postgres::SimpleQueryMessage::Row(row) => {
                Some(row.try_get(0).ok().flatten().unwrap_or_default().to_owned())
            }
            _ => None,
        });
        Ok(rows.collect())
    }

    async fn connect(&mut self) -> Result<tokio_postgres::Client, tally::RequestEnd> {
        for _attempt in 0..self.login.entries.len() {
            let entry = self.login.entries[self.next_entry % self.login.entries.len()];
            self.next_entry += 1;
            if let Ok(Some(client)) = tokio::time::timeout(CONNECT_TIMEOUT, self.open(entry)).await
            {
                return Ok(client);
            }
        }
        Err(tally::RequestEnd::NotRun)
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
        // The connection task ends with the client; its error is seen by the next request.
        tokio::spawn(connection);
        Some(client)
    }
}
