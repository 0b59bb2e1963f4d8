//! [`RunHistory`]: the requests of all clients with their outcomes, and the findings of the checks.

use std::collections;
use std::sync;
use std::time;

/// The outcome of a request as its client learnt it. The variants are printed in reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The response was complete.
    Done,
    /// An error that guarantees that the request did not run.
    NotRun(String),
    /// The request ran, and its transaction was rolled back (SQLSTATE 40001).
    Dropped(String),
    /// Any other error response, for example an error of the statement.
    Failed(String),
    /// It is unknown whether the request took effect: SQLSTATE 40003, a broken connection or a
    /// timeout.
    Unknown(String),
}

/// The kind of a request. The variants are the rows of the outcome table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A write outside a transaction.
    Write,
    /// A read or an export outside a transaction.
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

/// A request that a client sent, with its outcome.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Id in the statement's comment: `<client>.<transaction>.<step>`. A write also uses it as its
    /// key.
    pub id: String,
    /// Group whose database the client uses.
    pub group: String,
    /// Decides which checks apply, for example whether the request may run twice.
    pub kind: RequestKind,
    /// Compared with the journals when the run has ended.
    pub outcome: RequestOutcome,
    /// VM of the entry that received the request.
    pub entry_vm: String,
    /// Time since the start of the run at which the request was sent.
    pub sent_at: time::Duration,
    /// Time since the start of the run at which its outcome was known.
    pub ended_at: time::Duration,
}

/// A write whose client received a success response.
#[derive(Clone, Debug)]
pub struct AcknowledgedWrite {
    /// Unique key of the inserted row.
    pub key: String,
    /// Time at which the client received the acknowledgement. A session that starts later must
    /// see the write.
    pub acknowledged_at: time::Instant,
}

/// A violation of a guarantee.
#[derive(Clone, Debug)]
pub struct SoakFinding {
    /// Class of the violated guarantee, for example `lost`.
    pub class: &'static str,
    /// The affected ids and what was observed.
    pub text: String,
    /// Ids of the requests whose outcomes and journal lines the report prints.
    pub ids: Vec<String>,
}

/// The record of a run, shared by all clients and checks.
#[derive(Debug)]
pub struct RunHistory {
    /// Start of the run; all times in the output count from it.
    pub started_at: time::Instant,
    requests: sync::Mutex<Vec<RequestRecord>>,
    // By group, in the order of acknowledgement.
    acknowledged: sync::Mutex<collections::HashMap<String, Vec<AcknowledgedWrite>>>,
    findings: sync::Mutex<Vec<SoakFinding>>,
}

impl RunHistory {
    /// Creates an empty history that starts now.
    pub fn new() -> Self {
        Self {
            started_at: time::Instant::now(),
            requests: sync::Mutex::default(),
            acknowledged: sync::Mutex::default(),
            findings: sync::Mutex::default(),
        }
    }

    /// Prints a progress line with the time since the start of the run.
    pub fn log_progress(&self, text: &str) {
        println!("{:8.3} s  {text}", self.started_at.elapsed().as_secs_f64());
    }

    /// Adds a request whose outcome is known.
    pub fn record_request(&self, request: RequestRecord) {
        lock(&self.requests).push(request);
    }

    /// Records that a write was acknowledged now.
    pub fn record_acknowledged(&self, group: &str, key: &str) {
        let write = AcknowledgedWrite {
            key: key.to_owned(),
            acknowledged_at: time::Instant::now(),
        };
        lock(&self.acknowledged)
            .entry(group.to_owned())
            .or_default()
            .push(write);
    }

    /// Returns the key of the latest write of a group that was acknowledged before `moment`.
    pub fn latest_acknowledged_before(&self, group: &str, moment: time::Instant) -> Option<String> {
        let acknowledged = lock(&self.acknowledged);
        let writes = acknowledged.get(group)?;
        writes
            .iter()
            .rev()
            .find(|write| write.acknowledged_at < moment)
            .map(|write| write.key.clone())
    }

    /// Returns the keys of all acknowledged writes of a group.
    pub fn acknowledged_keys(&self, group: &str) -> Vec<String> {
        let acknowledged = lock(&self.acknowledged);
        let writes = acknowledged
            .get(group)
            .map(Vec::as_slice)
            .unwrap_or_default();
        writes.iter().map(|write| write.key.clone()).collect()
    }

    /// Returns all requests in the order of their outcomes.
    pub fn requests(&self) -> Vec<RequestRecord> {
        lock(&self.requests).clone()
    }

    /// Records a finding and prints it immediately.
    pub fn report_finding(&self, class: &'static str, text: String, ids: Vec<String>) {
        self.log_progress(&format!("FINDING {class}: {text}"));
        lock(&self.findings).push(SoakFinding { class, text, ids });
    }

    /// Returns all findings so far.
    pub fn findings(&self) -> Vec<SoakFinding> {
        lock(&self.findings).clone()
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
