//! [`JournalFile`]: the journal of an instance. The instance restores its state from it, and tests
//! read it.

use std::fs;
use std::io;
use std::io::{Read, Write};
use std::path;
use std::sync;

use persimmontack::model::{ids, log_position};
use serde::{Deserialize, Serialize};

use crate::instance::log_entry;

/// One line of the journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum JournalEvent {
    /// The process started.
    Start {
        /// Name of the instance.
        upstream: ids::UpstreamId,
        /// Its new incarnation.
        incarnation: ids::IncarnationId,
    },
    /// A statement acquired its slot and runs.
    Statement {
        /// Text after `id=` in the leading comment.
        id: Option<String>,
        /// Number of the client connection.
        connection: u64,
        /// Number of the transaction; an autocommit statement has its own.
        transaction: u64,
        /// Term in which the instance is the primary, if it is.
        term: Option<ids::TermNumber>,
        /// Whether it changes rows.
        write: bool,
        /// First word of the statement.
        kind: String,
        /// Last applied position when the statement ran.
        applied: log_position::LogPosition,
    },
    /// A write transaction committed.
    Commit {
        /// Number of the client connection.
        connection: u64,
        /// Number of the transaction.
        transaction: u64,
        /// Ids of its statements.
        ids: Vec<String>,
        /// The log entry.
        entry: log_entry::LogEntry,
    },
    /// A transaction with writes ended without a commit.
    Rollback {
        /// Number of the client connection.
        connection: u64,
        /// Number of the transaction.
        transaction: u64,
        /// Ids of its statements.
        ids: Vec<String>,
    },
    /// A follower received an entry.
    Received {
        /// The entry.
        entry: log_entry::LogEntry,
    },
    /// A follower dropped all entries after an offset.
    TailDropped {
        /// Last offset that was kept.
        after: ids::LogOffset,
        /// Position of the last dropped entry.
        dropped: log_position::LogPosition,
    },
    /// A fence promised a term.
    Fence {
        /// The term.
        term: ids::TermNumber,
    },
    /// The instance began to follow a primary, which promises its term.
    Promise {
        /// The term.
        term: ids::TermNumber,
        /// Address of the primary.
        address: String,
    },
    /// The instance became the primary.
    Promote {
        /// Its start entry.
        entry: log_entry::LogEntry,
    },
    /// A primary was demoted because it learned of a higher term.
    Demote {
        /// The higher term.
        term: ids::TermNumber,
    },
}

/// Appends events to a file, each as one line in one write.
#[derive(Debug)]
pub struct JournalFile {
    file: sync::Mutex<fs::File>,
}

impl JournalFile {
    /// Opens the journal and returns its events. An incomplete last line, left by a killed process,
    /// is removed.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or has a line that is not an event.
    pub fn open(path: &path::Path) -> io::Result<(Self, Vec<JournalEvent>)> {
        let mut file = fs::OpenOptions::new()
            .read(true)
            .append(true)
            .create(true)
            .open(path)?;
        let mut text = String::new();
        file.read_to_string(&mut text)?;
        let whole = text.rfind('\n').map_or(0, |end| end + 1);
        file.set_len(u64::try_from(whole).unwrap_or(u64::MAX))?;
        let events = parse_lines(text.get(..whole).unwrap_or_default())?;
        Ok((
            Self {
                file: sync::Mutex::new(file),
            },
            events,
        ))
    }

    /// Appends one event.
    ///
    /// # Panics
    ///
    /// Panics if the file cannot be written, since a promise must be stored before it is answered.
    pub fn append(&self, event: &JournalEvent) {
        let mut line = serde_json::to_vec(event).expect("events are plain structs");
        line.push(b'\n');
        let mut file = self
            .file
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        file.write_all(&line).expect("the journal can be written");
    }
}

/// Reads the journal of a running or stopped instance.
///
/// # Errors
///
/// Like [`JournalFile::open`]. An incomplete last line is skipped.
pub fn read(path: &path::Path) -> io::Result<Vec<JournalEvent>> {
    let text = fs::read_to_string(path)?;
    let whole = text.rfind('\n').map_or(0, |end| end + 1);
    parse_lines(text.get(..whole).unwrap_or_default())
}

fn parse_lines(text: &str) -> io::Result<Vec<JournalEvent>> {
    text.lines()
        .enumerate()
        .map(|(index, line)| {
            serde_json::from_str(line).map_err(|error| {
                io::Error::new(
                    io::ErrorKind::InvalidData,
                    format!("journal line {}: {error}", index + 1),
                )
            })
        })
        .collect()
}
