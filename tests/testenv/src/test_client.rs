//! [`TestClient`]: a client connection, the outcomes of its requests, and the statements that the
//! instances' journals contain.

use std::io;
use std::net;

use standins::instance::journal;

use crate::test_env;

/// SQLSTATEs that always mean that no part of the request was run.
const NOT_RUN_STATES: [&str; 6] = ["57P03", "53300", "53400", "0A000", "28P01", "28000"];

/// The outcome of a request, as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request succeeded.
    Done,
    /// The request failed with this SQLSTATE and message.
    Failed(String, String),
    /// The connection ended without an answer; holds the driver's error.
    Gone(String),
}

impl RequestOutcome {
    /// Tells whether the error reports that no part of the request was run.
    #[must_use]
    pub fn says_not_run(&self) -> bool {
        match self {
            Self::Failed(state, text) => {
                NOT_RUN_STATES.contains(&state.as_str()) || text.starts_with("not run")
            }
            _ => false,
        }
    }

    /// Returns the SQLSTATE, or an empty string if there is none.
    #[must_use]
    pub fn state(&self) -> &str {
        match self {
            Self::Failed(state, _) => state,
            _ => "",
        }
    }

    /// Tells whether a planned stop ended the session.
    #[must_use]
    pub fn is_planned_end(&self) -> bool {
        self.state() == "57P01"
    }
}

impl From<&tokio_postgres::Error> for RequestOutcome {
    fn from(error: &tokio_postgres::Error) -> Self {
        match error.as_db_error() {
            Some(error) => Self::Failed(error.code().code().to_owned(), error.message().to_owned()),
            None => Self::Gone(format!("{error:?}")),
        }
    }
}

/// A client connection that also keeps the error that ended it.
///
/// The driver reports an error that arrives between two requests only to the task that owns the
/// socket. A request that is given to the driver at that moment is not sent and fails with
/// `Closed`.
#[derive(Debug)]
pub struct TestClient {
    client: tokio_postgres::Client,
    end: tokio::task::JoinHandle<Result<(), tokio_postgres::Error>>,
}

impl TestClient {
    /// Connects and logs in.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached or refuses the login.
    pub async fn connect(
        address: net::SocketAddr,
        user: &str,
        password: &str,
        database: &str,
    ) -> Result<Self, tokio_postgres::Error> {
        let config = test_env::client_config(address, user, password, database);
        let (client, connection) = config.connect(tokio_postgres::NoTls).await?;
        let end = tokio::spawn(connection);
        Ok(Self { client, end })
    }

    /// Tells whether the connection has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.client.is_closed()
    }

    /// Runs one statement like [`run`], and returns its outcome. If the connection ended, the
    /// outcome is the server's last error, if it sent one.
    pub async fn run(&mut self, id: &str, sql: &str) -> RequestOutcome {
        let outcome = run(&self.client, id, sql).await.0;
        if !matches!(outcome, RequestOutcome::Gone(_)) {
            return outcome;
        }
        match (&mut self.end).await {
            Ok(Err(error)) if error.as_db_error().is_some() => RequestOutcome::from(&error),
            _ => outcome,
        }
    }
}

/// Runs one statement with an id that the journal records, and returns its outcome and the first
/// column of its rows.
pub async fn run(
    client: &tokio_postgres::Client,
    id: &str,
    sql: &str,
) -> (RequestOutcome, Vec<String>) {
    match client.simple_query(&format!("/* id={id} */ {sql}")).await {
        Ok(messages) => {
            let rows = messages.iter().filter_map(|message| match message {
                tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
                _ => None,
            });
            (RequestOutcome::Done, rows.collect())
        }
        Err(error) => (RequestOutcome::from(&error), Vec::new()),
    }
}

/// Returns and prints the seed of a test's random choices: `PERSIMMON_SEED`, or a random seed.
#[must_use]
pub fn seed() -> u64 {
    let given = std::env::var("PERSIMMON_SEED").ok();
    let seed = given
        .and_then(|text| text.parse().ok())
        .unwrap_or_else(rand::random);
    println!("PERSIMMON_SEED={seed}");
    seed
}

impl test_env::TestEnv {
    /// Reads the journals of all instances and returns the events with their upstreams.
    ///
    /// # Errors
    ///
    /// Fails if a journal cannot be read.
    pub fn journals(&self) -> io::Result<Vec<(String, journal::JournalEvent)>> {
        let mut events = Vec::new();
        for upstream in self.plan.groups.iter().flat_map(|group| &group.upstreams) {
            let name = &upstream.upstream;
            events.extend(
                self.journal(name)?
                    .into_iter()
                    .map(|event| (name.clone(), event)),
            );
        }
        Ok(events)
    }

    /// Returns the upstream and id of each statement that ran, in the order of the journals.
    ///
    /// # Errors
    ///
    /// Like [`Self::journals`].
    pub fn ran(&self) -> io::Result<Vec<(String, String)>> {
        let ran = self
            .journals()?
            .into_iter()
            .filter_map(|(upstream, event)| match event {
                journal::JournalEvent::Statement { id: Some(id), .. } => Some((upstream, id)),
                _ => None,
            });
        Ok(ran.collect())
    }
}
