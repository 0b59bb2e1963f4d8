//! [`RunHistory`]: what callers asked for, and what they were told.

use std::collections;
use std::sync;
use std::time;

/// What a caller was told about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ToldOutcome {
    /// A whole answer.
    Done,
    /// It has not run.
    NotRun(String),
    /// It ran and its transaction was dropped.
    Dropped(String),
    /// An error of the statement.
    Failed(String),
    /// Nobody knows.
    Unknown(String),
}

/// What a request was.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A write outside a transaction.
    Write,
    /// A read outside a transaction, or an export.
    Read,
    /// `BEGIN`.
    Begin,
    /// A statement inside a transaction.
    Inside,
    /// `COMMIT`.
    Commit,
    /// `ROLLBACK`.
    Rollback,
}

/// A request and its outcome.
#[derive(Clone, Debug)]
pub struct ToldRequest {
    /// Id in the statement's comment: `<caller>.<unit>.<step>`; also the key of a write.
    pub id: String,
    /// Group.
    pub group: String,
    /// What it was.
    pub kind: RequestKind,
    /// What the caller was told.
    pub outcome: ToldOutcome,
    /// VM of the entry.
    pub entry: String,
    /// When it was sent, since the start of the run.
    pub sent: time::Duration,
    /// When its outcome came.
    pub ended: time::Duration,
}

/// A write that was acknowledged.
#[derive(Clone, Debug)]
pub struct AckedWrite {
    /// Key.
    pub key: String,
    /// When the caller knew.
    pub at: time::Instant,
}

/// A violation of a guarantee.
#[derive(Clone, Debug)]
pub struct Finding {
    /// Short name of the class, e.g. `lost`.
    pub class: &'static str,
    /// Ids and what was seen.
    pub text: String,
    /// Ids whose journal lines are printed with it.
    pub ids: Vec<String>,
}

/// Everything that callers share.
#[derive(Debug)]
pub struct RunHistory {
    /// Start of the run.
    pub started: time::Instant,
    requests: sync::Mutex<Vec<ToldRequest>>,
    // Keys of writes by unit, with whether COMMIT was sent.
    acked: sync::Mutex<collections::HashMap<String, Vec<AckedWrite>>>,
    findings: sync::Mutex<Vec<Finding>>,
}

impl RunHistory {
    /// Starts a history.
    pub fn new() -> Self {
        Self {
            started: time::Instant::now(),
            requests: sync::Mutex::default(),
            acked: sync::Mutex::default(),
            findings: sync::Mutex::default(),
        }
    }

    /// Prints a line with the time of the run.
    pub fn say(&self, text: &str) {
        println!("{:8.3} s  {text}", self.started.elapsed().as_secs_f64());
    }

    /// Records an outcome.
    pub fn record(&self, request: ToldRequest) {
        lock(&self.requests).push(request);
    }

    /// Records an acknowledged write.
    pub fn acknowledge(&self, group: &str, key: &str) {
        let write = AckedWrite {
            key: key.to_owned(),
            at: time::Instant::now(),
        };
        lock(&self.acked)
            .entry(group.to_owned())
            .or_default()
            .push(write);
    }

    /// Returns the newest write of a group that was acknowledged before a moment.
    pub fn newest_before(&self, group: &str, moment: time::Instant) -> Option<String> {
        let acked = lock(&self.acked);
        let writes = acked.get(group)?;
        writes
            .iter()
            .rev()
            .find(|write| write.at < moment)
            .map(|write| write.key.clone())
    }

    /// Returns the acknowledged keys of a group.
    pub fn acked_keys(&self, group: &str) -> Vec<String> {
        let acked = lock(&self.acked);
        let writes = acked.get(group).map(Vec::as_slice).unwrap_or_default();
        writes.iter().map(|write| write.key.clone()).collect()
    }

    /// Returns all requests.
    pub fn requests(&self) -> Vec<ToldRequest> {
        lock(&self.requests).clone()
    }

    /// Adds a finding and prints it at once.
    pub fn find(&self, class: &'static str, text: String, ids: Vec<String>) {
        self.say(&format!("FINDING {class}: {text}"));
        lock(&self.findings).push(Finding { class, text, ids });
    }

    /// Returns the findings.
    pub fn findings(&self) -> Vec<Finding> {
        lock(&self.findings).clone()
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
