//! What callers were told, and what the journals say about the same statements.

use std::io;
use std::net;

use standins::instance::journal;

use crate::test_env;

/// SQLSTATEs that say by themselves that nothing of the request has run.
const NOT_RUN_STATES: [&str; 6] = ["57P03", "53300", "53400", "0A000", "28P01", "28000"];

/// What a caller was told about one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// The whole answer.
    Done,
    /// An error with its SQLSTATE and text.
    Failed(String, String),
    /// The connection ended without an answer.
    Gone(String),
}

impl Told {
    /// Tells whether the caller was told that nothing of the request has run.
    #[must_use]
    pub fn says_not_run(&self) -> bool {
        match self {
            Self::Failed(state, text) => {
                NOT_RUN_STATES.contains(&state.as_str()) || text.starts_with("not run")
            }
            _ => false,
        }
    }

    /// Returns the SQLSTATE, or an empty text.
    #[must_use]
    pub fn state(&self) -> &str {
        match self {
            Self::Failed(state, _) => state,
            _ => "",
        }
    }

    /// Tells whether the session was ended by a planned stop.
    #[must_use]
    pub fn is_planned_end(&self) -> bool {
        self.state() == "57P01"
    }
}

impl From<&tokio_postgres::Error> for Told {
    fn from(error: &tokio_postgres::Error) -> Self {
        match error.as_db_error() {
            Some(told) => Self::Failed(told.code().code().to_owned(), told.message().to_owned()),
            None => Self::Gone(format!("{error:?}")),
        }
    }
}

/// A caller's connection that also keeps how its connection ended.
///
/// The driver reports an error that arrives between two requests only to the task that owns the
/// socket; a request that was handed to the driver at that moment is dropped unsent with
/// `Closed`.
#[derive(Debug)]
pub struct Caller {
    client: tokio_postgres::Client,
    end: tokio::task::JoinHandle<Result<(), tokio_postgres::Error>>,
}

impl Caller {
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

    /// Runs one statement like [`run`], and returns what the caller was told on the connection.
    pub async fn run(&mut self, id: &str, sql: &str) -> Told {
        let told = run(&self.client, id, sql).await.0;
        if !matches!(told, Told::Gone(_)) {
            return told;
        }
        match (&mut self.end).await {
            Ok(Err(error)) if error.as_db_error().is_some() => Told::from(&error),
            _ => told,
        }
    }
}

/// Runs one statement whose id goes to the journal, and returns what the caller was told and the
/// first column of its rows.
pub async fn run(client: &tokio_postgres::Client, id: &str, sql: &str) -> (Told, Vec<String>) {
    match client.simple_query(&format!("/* id={id} */ {sql}")).await {
        Ok(messages) => {
            let rows = messages.iter().filter_map(|message| match message {
                tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
                _ => None,
            });
            (Told::Done, rows.collect())
        }
        Err(error) => (Told::from(&error), Vec::new()),
    }
}

/// Returns the seed of a test's random choices, from `PERSIMMON_SEED` if it is set, and prints it.
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
    /// Reads the journals of all instances.
    ///
    /// # Errors
    ///
    /// Fails if one cannot be read.
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

    /// Returns the ids of all statements that ran, each with its upstream, in the order of the
    /// journals.
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
