//! What callers were told, and what the journals say about the same statements.

use std::io;

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
