//! [`SoakClient`]: a client that sends requests to entries with a fixed access pattern.

use std::sync;
use std::sync::atomic;
use std::time;

use rand::{RngExt, SeedableRng};

use crate::soak::{connection, history, topology};

/// Range of the number of rows in an export.
const EXPORT_ROWS: std::ops::Range<usize> = 1_000..12_000;
/// Number of own keys that a client keeps for later reads.
const MAX_OWN_KEYS: usize = 64;
/// SQLSTATEs at login that no fault may cause, since every revision of the rules contains the
/// logins.
const LOGIN_FAILURE_STATES: [&str; 2] = ["28P01", "28000"];

/// How a client uses connections and entries. The variants are printed in findings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessPattern {
    /// Uses one connection for most of the run.
    Stay,
    /// Reconnects to a random entry in each iteration and passes its session position.
    Carry,
    /// Reconnects to a random entry in each iteration without a session position.
    Fresh,
    /// Uses connections to two entries with the same session name.
    Named,
    /// Accepts data that is up to this old.
    Aged(time::Duration),
    /// Reads many rows, by SELECT or COPY.
    Export,
}

/// A client of one group. Each runs as a task until the end of the run.
#[derive(Debug)]
pub struct SoakClient {
    number: usize,
    group: String,
    pattern: AccessPattern,
    random: rand::rngs::StdRng,
    history: sync::Arc<history::RunHistory>,
    entry_addresses: sync::Arc<connection::EntryAddresses>,
    vms: Vec<String>,
    connections: Vec<connection::EntryConnection>,
    position: Option<String>,
    own_keys: Vec<String>,
    transactions: u64,
}

/// A write that a read must return, and why.
struct ExpectedRead {
    key: String,
    reason: String,
}

impl SoakClient {
    /// Creates a client whose random generator is seeded from the run's seed and its number.
    pub fn new(
        seed: u64,
        number: usize,
        group: &str,
        pattern: AccessPattern,
        history: &sync::Arc<history::RunHistory>,
        entry_addresses: &sync::Arc<connection::EntryAddresses>,
        vms: &[String],
    ) -> Self {
        let client_seed = seed.wrapping_mul(1_000_003).wrapping_add(number as u64);
        Self {
            number,
            group: group.to_owned(),
            pattern,
            random: rand::rngs::StdRng::seed_from_u64(client_seed),
            history: sync::Arc::clone(history),
            entry_addresses: sync::Arc::clone(entry_addresses),
            vms: vms.to_vec(),
            connections: Vec::new(),
            position: None,
            own_keys: Vec::new(),
            transactions: 0,
        }
    }

    /// Sends requests until `stop` is set.
    pub async fn run(mut self, stop: sync::Arc<atomic::AtomicBool>) {
        while !stop.load(atomic::Ordering::Acquire) {
            self.run_iteration().await;
            let pause = match self.pattern {
                AccessPattern::Stay | AccessPattern::Named => 2..25,
                AccessPattern::Carry | AccessPattern::Fresh => 20..80,
                AccessPattern::Aged(_) => 5..40,
                AccessPattern::Export => 30..200,
            };
            let pause = self.random.random_range(pause);
            tokio::time::sleep(time::Duration::from_millis(pause)).await;
        }
    }

    async fn run_iteration(&mut self) {
        match self.pattern {
            AccessPattern::Stay => {
                let Some(conn) = self.take_connection("").await else {
                    return;
                };
                match self.random.random_range(0..100) {
                    0..40 => self.write(&conn).await,
                    40..60 => self.run_transaction(&conn).await,
                    60..97 => self.read_own_write(&conn).await,
                    _ => self.send_sleep(&conn).await,
                }
                // Occasionally drops the connection, so that the next one has no session position.
                if !self.random.random_bool(0.02) {
                    self.return_connection(conn);
                }
            }
            AccessPattern::Carry => {
                let options = match &self.position {
                    Some(position) => format!("-c persimmontack.position={position}"),
                    None => String::new(),
                };
                self.connections.clear();
                let Some(conn) = self.take_connection(&options).await else {
                    return;
                };
                self.read_own_write(&conn).await;
                self.write_or_transact(&conn).await;
                self.read_own_write(&conn).await;
                let (outcome, rows) = conn
                    .send(
                        "SHOW persimmontack.position",
                        &[],
                        connection::QueryProtocol::Simple,
                    )
                    .await;
                // Without a position the next connection starts a new session.
                self.position = match outcome {
                    history::RequestOutcome::Done => {
                        rows.into_iter().next().filter(|text| !text.is_empty())
                    }
                    _ => None,
                };
            }
            AccessPattern::Fresh => {
                self.connections.clear();
                let before = time::Instant::now();
                let Some(conn) = self.take_connection("").await else {
                    return;
                };
                if let Some(key) = self.history.latest_acknowledged_before(&self.group, before) {
                    let reason = "the session started after the write was acknowledged".to_owned();
                    self.read_expected(&conn, ExpectedRead { key, reason })
                        .await;
                }
                self.read_own_write(&conn).await;
                self.write_or_transact(&conn).await;
            }
            AccessPattern::Named => self.run_named_iteration().await,
            AccessPattern::Aged(age) => {
                let options = format!("-c persimmontack.max_age={}ms", age.as_millis());
                let Some(conn) = self.take_connection(&options).await else {
                    return;
                };
                if self.random.random_bool(0.1) {
                    self.write(&conn).await;
                    self.read_own_write(&conn).await;
                }
                let moment = time::Instant::now().checked_sub(age);
                let key = moment.and_then(|moment| {
                    self.history.latest_acknowledged_before(&self.group, moment)
                });
                if let Some(key) = key {
                    let reason = format!("the read accepts a staleness of {age:?}");
                    self.read_expected(&conn, ExpectedRead { key, reason })
                        .await;
                }
                if !self.random.random_bool(0.01) {
                    self.return_connection(conn);
                }
            }
            AccessPattern::Export => {
                if let Some(conn) = self.take_connection("").await {
                    self.export(&conn).await;
                    self.return_connection(conn);
                }
            }
        }
    }

    /// Writes on one connection and reads on another connection of the same session.
    async fn run_named_iteration(&mut self) {
        let options = format!("-c persimmontack.session=caller-{}", self.number);
        self.connections
            .retain(connection::EntryConnection::is_open);
        while self.connections.len() < 2 {
            let Some(conn) = self.connect(&options).await else {
                return;
            };
            self.connections.push(conn);
        }
        let reader = self.connections.remove(0);
        let writer = self.connections.remove(0);
        self.write_or_transact(&writer).await;
        self.read_own_write(&reader).await;
        // The connections swap their roles in the next iteration.
        self.return_connection(writer);
        self.return_connection(reader);
        if self.random.random_bool(0.02) {
            self.connections.clear();
        }
    }

    /// Returns an open connection of this client or a new one.
    async fn take_connection(&mut self, options: &str) -> Option<connection::EntryConnection> {
        while let Some(conn) = self.connections.pop() {
            if conn.is_open() {
                return Some(conn);
            }
        }
        self.connect(options).await
    }

    /// Connects to a random entry to which this client has no connection.
    async fn connect(&mut self, options: &str) -> Option<connection::EntryConnection> {
        let used: Vec<&str> = self
            .connections
            .iter()
            .map(|conn| conn.vm.as_str())
            .collect();
        let unused: Vec<String> = self
            .vms
            .iter()
            .filter(|vm| !used.contains(&vm.as_str()))
            .cloned()
            .collect();
        let vm = unused.get(self.random.random_range(0..unused.len().max(1)))?;
        let user = topology::USERS.get(self.number % topology::USERS.len())?;
        match connection::EntryConnection::open(
            &self.entry_addresses,
            vm,
            user,
            &self.group,
            options,
        )
        .await
        {
            Ok(conn) => Some(conn),
            Err((state, text)) => {
                if state.is_some_and(|state| LOGIN_FAILURE_STATES.contains(&state.as_str())) {
                    let text = format!("client {} at {vm}: {text}", self.number);
                    self.history.report_finding("login", text, Vec::new());
                }
                tokio::time::sleep(time::Duration::from_millis(100)).await;
                None
            }
        }
    }

    /// Keeps a connection for the next iteration if it is still open.
    fn return_connection(&mut self, conn: connection::EntryConnection) {
        if conn.is_open() {
            self.connections.push(conn);
        }
    }

    fn next_transaction_id(&mut self) -> String {
        self.transactions += 1;
        format!("c{}.{}", self.number, self.transactions)
    }

    /// Sends a request with its id in a comment and records its outcome.
    async fn send(
        &mut self,
        conn: &connection::EntryConnection,
        kind: history::RequestKind,
        id: &str,
        sql: &str,
        parameters: &[&str],
        protocol: connection::QueryProtocol,
    ) -> (history::RequestOutcome, Vec<String>) {
        let sent_at = self.history.started_at.elapsed();
        let text = format!("/* id={id} */ {sql}");
        let (outcome, rows) = conn.send(&text, parameters, protocol).await;
        if outcome == history::RequestOutcome::Unknown(connection::NO_RESPONSE.to_owned()) {
            let text = format!("{id} at {} got no response: {sql}", conn.vm);
            self.history
                .report_finding("hang", text, vec![id.to_owned()]);
        }
        self.history.record_request(history::RequestRecord {
            id: id.to_owned(),
            group: self.group.clone(),
            kind,
            outcome: outcome.clone(),
            entry_vm: conn.vm.clone(),
            sent_at,
            ended_at: self.history.started_at.elapsed(),
        });
        (outcome, rows)
    }

    async fn insert(
        &mut self,
        conn: &connection::EntryConnection,
        kind: history::RequestKind,
        id: &str,
    ) -> history::RequestOutcome {
        let value = value_of(id);
        if self.random.random_bool(0.4) {
            let sql = "INSERT INTO proofs (k, v) VALUES ($1, $2)";
            let protocol = connection::QueryProtocol::Extended;
            return self
                .send(conn, kind, id, sql, &[id, &value], protocol)
                .await
                .0;
        }
        let sql = format!("INSERT INTO proofs (k, v) VALUES ('{id}', '{value}')");
        self.send(conn, kind, id, &sql, &[], connection::QueryProtocol::Simple)
            .await
            .0
    }

    async fn write_or_transact(&mut self, conn: &connection::EntryConnection) {
        if self.random.random_bool(0.3) {
            self.run_transaction(conn).await;
        } else {
            self.write(conn).await;
        }
    }

    async fn write(&mut self, conn: &connection::EntryConnection) {
        let id = format!("{}.0", self.next_transaction_id());
        let outcome = self.insert(conn, history::RequestKind::Write, &id).await;
        if outcome == history::RequestOutcome::Done {
            self.record_acknowledged(vec![id]);
        }
    }

    fn record_acknowledged(&mut self, keys: Vec<String>) {
        for key in keys {
            self.history.record_acknowledged(&self.group, &key);
            self.own_keys.push(key);
        }
        if self.own_keys.len() > MAX_OWN_KEYS {
            self.own_keys.remove(0);
        }
    }

    /// Runs a transaction of a few writes and a read. The steps of its ids are 0 for BEGIN, 1 to 3
    /// for writes, 7 for the read, 8 for COMMIT and 9 for ROLLBACK.
    async fn run_transaction(&mut self, conn: &connection::EntryConnection) {
        let transaction_id = self.next_transaction_id();
        let simple = connection::QueryProtocol::Simple;
        let id = format!("{transaction_id}.0");
        let begin = history::RequestKind::Begin;
        let (outcome, _rows) = self.send(conn, begin, &id, "BEGIN", &[], simple).await;
        if outcome != history::RequestOutcome::Done {
            return;
        }
        let mut keys = Vec::new();
        let steps = self.random.random_range(1..4);
        for step in 1..=steps {
            let id = format!("{transaction_id}.{step}");
            let inside = history::RequestKind::Inside;
            if self.insert(conn, inside, &id).await != history::RequestOutcome::Done {
                return self.roll_back(conn, &transaction_id).await;
            }
            keys.push(id);
            let pause = self.random.random_range(0..15);
            tokio::time::sleep(time::Duration::from_millis(pause)).await;
        }
        if let Some(key) = keys.first().cloned() {
            let id = format!("{transaction_id}.7");
            let sql = format!("SELECT v FROM proofs WHERE k = '{key}'");
            let inside = history::RequestKind::Inside;
            let (outcome, rows) = self.send(conn, inside, &id, &sql, &[], simple).await;
            if outcome != history::RequestOutcome::Done {
                return self.roll_back(conn, &transaction_id).await;
            }
            let reason = "the read is in the transaction that wrote the key".to_owned();
            self.check_read(&id, &rows, &ExpectedRead { key, reason });
        }
        if self.random.random_bool(0.1) {
            return self.roll_back(conn, &transaction_id).await;
        }
        let id = format!("{transaction_id}.8");
        let commit = history::RequestKind::Commit;
        let (outcome, _rows) = self.send(conn, commit, &id, "COMMIT", &[], simple).await;
        if outcome == history::RequestOutcome::Done {
            self.record_acknowledged(keys);
        }
    }

    async fn roll_back(&mut self, conn: &connection::EntryConnection, transaction_id: &str) {
        let id = format!("{transaction_id}.9");
        let rollback = history::RequestKind::Rollback;
        let simple = connection::QueryProtocol::Simple;
        self.send(conn, rollback, &id, "ROLLBACK", &[], simple)
            .await;
    }

    /// Reads an own key, in most cases the last one.
    async fn read_own_write(&mut self, conn: &connection::EntryConnection) {
        let last = self.own_keys.len();
        if last == 0 {
            return;
        }
        let index = match self.random.random_bool(0.7) {
            true => last - 1,
            false => self.random.random_range(0..last),
        };
        if let Some(key) = self.own_keys.get(index).cloned() {
            let reason = format!("the client's own write, access pattern {:?}", self.pattern);
            self.read_expected(conn, ExpectedRead { key, reason }).await;
        }
    }

    async fn read_expected(&mut self, conn: &connection::EntryConnection, expected: ExpectedRead) {
        let id = format!("{}.0", self.next_transaction_id());
        let read = history::RequestKind::Read;
        let (outcome, rows) = if self.random.random_bool(0.4) {
            let sql = "SELECT v FROM proofs WHERE k = $1";
            let protocol = connection::QueryProtocol::Extended;
            self.send(conn, read, &id, sql, &[&expected.key], protocol)
                .await
        } else {
            let sql = format!("SELECT v FROM proofs WHERE k = '{}'", expected.key);
            let protocol = connection::QueryProtocol::Simple;
            self.send(conn, read, &id, &sql, &[], protocol).await
        };
        if outcome == history::RequestOutcome::Done {
            self.check_read(&id, &rows, &expected);
        }
    }

    /// Reports a finding if a read does not return the expected write.
    fn check_read(&self, id: &str, rows: &[String], expected: &ExpectedRead) {
        let value = value_of(&expected.key);
        let ids = || vec![id.to_owned(), expected.key.clone()];
        match rows {
            [found] if *found == value => {}
            [] => {
                let text = format!(
                    "read {id} does not return {}: {}",
                    expected.key, expected.reason
                );
                self.history.report_finding("stale", text, ids());
            }
            found => {
                let text = format!("read {id} of {} returned {found:?}", expected.key);
                self.history.report_finding("foreign", text, ids());
            }
        }
    }

    /// Sends a read that takes 30 ms.
    async fn send_sleep(&mut self, conn: &connection::EntryConnection) {
        let id = format!("{}.0", self.next_transaction_id());
        let read = history::RequestKind::Read;
        let sql = "SELECT pg_sleep(0.03)";
        let protocol = connection::QueryProtocol::Simple;
        self.send(conn, read, &id, sql, &[], protocol).await;
    }

    async fn export(&mut self, conn: &connection::EntryConnection) {
        let id = format!("{}.0", self.next_transaction_id());
        let last = self.random.random_range(EXPORT_ROWS);
        let series = format!("SELECT n FROM generate_series(1, {last})");
        let (sql, protocol) = match self.random.random_bool(0.5) {
            true => (series, connection::QueryProtocol::Simple),
            false => (
                format!("COPY ({series}) TO STDOUT"),
                connection::QueryProtocol::Copy,
            ),
        };
        let read = history::RequestKind::Read;
        let (outcome, rows) = self.send(conn, read, &id, &sql, &[], protocol).await;
        if outcome == history::RequestOutcome::Done {
            let complete = rows.len() == last
                && rows
                    .iter()
                    .zip(1..)
                    .all(|(row, number): (_, usize)| *row == number.to_string());
            if !complete {
                let text = format!(
                    "export {id} of {last} rows returned {} rows or wrong values",
                    rows.len()
                );
                self.history.report_finding("foreign", text, vec![id]);
            }
        }
    }
}

/// Returns the value that belongs to a key; no other value is ever written for it.
pub fn value_of(key: &str) -> String {
    format!("value of {key}")
}
