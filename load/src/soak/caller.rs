//! [`SoakCaller`]: one caller with its way of using entries.

use std::sync;
use std::sync::atomic;
use std::time;

use rand::{RngExt, SeedableRng};

use crate::soak::{caller_link, history, place};

/// Rows of an export.
const EXPORT_ROWS: std::ops::Range<usize> = 1_000..12_000;
/// Own keys that a caller remembers for reads.
const REMEMBERED_KEYS: usize = 64;
/// SQLSTATEs at login that no fault explains: the logins are part of every revision of the rules.
const LOGIN_STATES: [&str; 2] = ["28P01", "28000"];

/// How a caller uses entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerHabit {
    /// Stays on one connection.
    Stay,
    /// Goes to another entry after each write and carries its position.
    Carry,
    /// Goes to another entry after each write and carries nothing.
    Fresh,
    /// Uses two entries at once under one session name.
    Named,
    /// Reads data of a stated age.
    Aged(time::Duration),
    /// Exports.
    Export,
}

/// One caller.
#[derive(Debug)]
pub struct SoakCaller {
    number: usize,
    group: String,
    habit: CallerHabit,
    random: rand::rngs::StdRng,
    history: sync::Arc<history::RunHistory>,
    book: sync::Arc<caller_link::EntryBook>,
    vms: Vec<String>,
    links: Vec<caller_link::CallerLink>,
    position: Option<String>,
    own_keys: Vec<String>,
    unit: u64,
}

/// What a read has to show.
struct ReadDemand {
    key: String,
    why: String,
}

impl SoakCaller {
    /// Creates a caller whose choices follow from the seed and its number.
    pub fn new(
        seed: u64,
        number: usize,
        group: &str,
        habit: CallerHabit,
        history: &sync::Arc<history::RunHistory>,
        book: &sync::Arc<caller_link::EntryBook>,
        vms: &[String],
    ) -> Self {
        let mixed = seed.wrapping_mul(1_000_003).wrapping_add(number as u64);
        Self {
            number,
            group: group.to_owned(),
            habit,
            random: rand::rngs::StdRng::seed_from_u64(mixed),
            history: sync::Arc::clone(history),
            book: sync::Arc::clone(book),
            vms: vms.to_vec(),
            links: Vec::new(),
            position: None,
            own_keys: Vec::new(),
            unit: 0,
        }
    }

    /// Works until it is told to stop.
    pub async fn run(mut self, stop: sync::Arc<atomic::AtomicBool>) {
        while !stop.load(atomic::Ordering::Acquire) {
            self.round().await;
            let pause = match self.habit {
                CallerHabit::Stay | CallerHabit::Named => 2..25,
                CallerHabit::Carry | CallerHabit::Fresh => 20..80,
                CallerHabit::Aged(_) => 5..40,
                CallerHabit::Export => 30..200,
            };
            let pause = self.random.random_range(pause);
            tokio::time::sleep(time::Duration::from_millis(pause)).await;
        }
    }

    async fn round(&mut self) {
        match self.habit {
            CallerHabit::Stay => {
                let Some(link) = self.take_link("").await else {
                    return;
                };
                match self.random.random_range(0..100) {
                    0..40 => self.write(&link).await,
                    40..60 => self.transact(&link).await,
                    60..97 => self.read_own(&link).await,
                    _ => self.doze(&link).await,
                }
                // Now and then it moves without its position.
                if !self.random.random_bool(0.02) {
                    self.keep(link);
                }
            }
            CallerHabit::Carry => {
                let options = match &self.position {
                    Some(position) => format!("-c persimmontack.position={position}"),
                    None => String::new(),
                };
                self.links.clear();
                let Some(link) = self.take_link(&options).await else {
                    return;
                };
                self.read_own(&link).await;
                self.write_some(&link).await;
                self.read_own(&link).await;
                let (outcome, rows) = link
                    .ask(
                        "SHOW persimmontack.position",
                        &[],
                        caller_link::SendMode::Simple,
                    )
                    .await;
                // Without a position the next connection starts like a new session.
                self.position = match outcome {
                    history::ToldOutcome::Done => {
                        rows.into_iter().next().filter(|text| !text.is_empty())
                    }
                    _ => None,
                };
            }
            CallerHabit::Fresh => {
                self.links.clear();
                let before = time::Instant::now();
                let Some(link) = self.take_link("").await else {
                    return;
                };
                if let Some(key) = self.history.newest_before(&self.group, before) {
                    let why = "a session that arrived after the acknowledgement".to_owned();
                    self.read(&link, ReadDemand { key, why }).await;
                }
                self.read_own(&link).await;
                self.write_some(&link).await;
            }
            CallerHabit::Named => self.named_round().await,
            CallerHabit::Aged(age) => {
                let options = format!("-c persimmontack.max_age={}ms", age.as_millis());
                let Some(link) = self.take_link(&options).await else {
                    return;
                };
                if self.random.random_bool(0.1) {
                    self.write(&link).await;
                    self.read_own(&link).await;
                }
                let moment = time::Instant::now().checked_sub(age);
                let key = moment.and_then(|moment| self.history.newest_before(&self.group, moment));
                if let Some(key) = key {
                    let why = format!("a read that accepts an age of {age:?}");
                    self.read(&link, ReadDemand { key, why }).await;
                }
                if !self.random.random_bool(0.01) {
                    self.keep(link);
                }
            }
            CallerHabit::Export => {
                if let Some(link) = self.take_link("").await {
                    self.export(&link).await;
                    self.keep(link);
                }
            }
        }
    }

    /// Writes on one connection and reads on another one of the same session.
    async fn named_round(&mut self) {
        let options = format!("-c persimmontack.session=caller-{}", self.number);
        self.links.retain(caller_link::CallerLink::is_open);
        while self.links.len() < 2 {
            let Some(link) = self.open(&options).await else {
                return;
            };
            self.links.push(link);
        }
        let other = self.links.remove(0);
        let link = self.links.remove(0);
        self.write_some(&link).await;
        self.read_own(&other).await;
        // The roles change in the next round.
        self.keep(link);
        self.keep(other);
        if self.random.random_bool(0.02) {
            self.links.clear();
        }
    }

    async fn take_link(&mut self, options: &str) -> Option<caller_link::CallerLink> {
        while let Some(link) = self.links.pop() {
            if link.is_open() {
                return Some(link);
            }
        }
        self.open(options).await
    }

    async fn open(&mut self, options: &str) -> Option<caller_link::CallerLink> {
        let used: Vec<&str> = self.links.iter().map(|link| link.vm.as_str()).collect();
        let free: Vec<String> = self
            .vms
            .iter()
            .filter(|vm| !used.contains(&vm.as_str()))
            .cloned()
            .collect();
        let vm = free.get(self.random.random_range(0..free.len().max(1)))?;
        let user = place::USERS.get(self.number % place::USERS.len())?;
        match caller_link::CallerLink::open(&self.book, vm, user, &self.group, options).await {
            Ok(link) => Some(link),
            Err((state, text)) => {
                if state.is_some_and(|state| LOGIN_STATES.contains(&state.as_str())) {
                    let text = format!("caller {} at {vm}: {text}", self.number);
                    self.history.find("login", text, Vec::new());
                }
                tokio::time::sleep(time::Duration::from_millis(100)).await;
                None
            }
        }
    }

    fn keep(&mut self, link: caller_link::CallerLink) {
        if link.is_open() {
            self.links.push(link);
        }
    }

    fn next_unit(&mut self) -> String {
        self.unit += 1;
        format!("c{}.{}", self.number, self.unit)
    }

    /// Sends a request with its id and records the outcome.
    async fn ask(
        &mut self,
        link: &caller_link::CallerLink,
        kind: history::RequestKind,
        id: &str,
        sql: &str,
        parameters: &[&str],
        mode: caller_link::SendMode,
    ) -> (history::ToldOutcome, Vec<String>) {
        let sent = self.history.started.elapsed();
        let text = format!("/* id={id} */ {sql}");
        let (outcome, rows) = link.ask(&text, parameters, mode).await;
        if outcome == history::ToldOutcome::Unknown(caller_link::NO_ANSWER.to_owned()) {
            let text = format!("{id} at {} got no outcome: {sql}", link.vm);
            self.history.find("hang", text, vec![id.to_owned()]);
        }
        self.history.record(history::ToldRequest {
            id: id.to_owned(),
            group: self.group.clone(),
            kind,
            outcome: outcome.clone(),
            entry: link.vm.clone(),
            sent,
            ended: self.history.started.elapsed(),
        });
        (outcome, rows)
    }

    async fn insert(
        &mut self,
        link: &caller_link::CallerLink,
        kind: history::RequestKind,
        id: &str,
    ) -> history::ToldOutcome {
        let value = value_of(id);
        if self.random.random_bool(0.4) {
            let sql = "INSERT INTO proofs (k, v) VALUES ($1, $2)";
            let mode = caller_link::SendMode::Extended;
            return self.ask(link, kind, id, sql, &[id, &value], mode).await.0;
        }
        let sql = format!("INSERT INTO proofs (k, v) VALUES ('{id}', '{value}')");
        self.ask(link, kind, id, &sql, &[], caller_link::SendMode::Simple)
            .await
            .0
    }

    async fn write_some(&mut self, link: &caller_link::CallerLink) {
        if self.random.random_bool(0.3) {
            self.transact(link).await;
        } else {
            self.write(link).await;
        }
    }

    async fn write(&mut self, link: &caller_link::CallerLink) {
        let id = format!("{}.0", self.next_unit());
        let outcome = self.insert(link, history::RequestKind::Write, &id).await;
        if outcome == history::ToldOutcome::Done {
            self.acknowledge(vec![id]);
        }
    }

    fn acknowledge(&mut self, keys: Vec<String>) {
        for key in keys {
            self.history.acknowledge(&self.group, &key);
            self.own_keys.push(key);
        }
        if self.own_keys.len() > REMEMBERED_KEYS {
            self.own_keys.remove(0);
        }
    }

    async fn transact(&mut self, link: &caller_link::CallerLink) {
        let unit = self.next_unit();
        let simple = caller_link::SendMode::Simple;
        let id = format!("{unit}.0");
        let begin = history::RequestKind::Begin;
        let (outcome, _rows) = self.ask(link, begin, &id, "BEGIN", &[], simple).await;
        if outcome != history::ToldOutcome::Done {
            return;
        }
        let mut keys = Vec::new();
        let steps = self.random.random_range(1..4);
        for step in 1..=steps {
            let id = format!("{unit}.{step}");
            let inside = history::RequestKind::Inside;
            if self.insert(link, inside, &id).await != history::ToldOutcome::Done {
                return self.roll_back(link, &unit).await;
            }
            keys.push(id);
            let pause = self.random.random_range(0..15);
            tokio::time::sleep(time::Duration::from_millis(pause)).await;
        }
        if let Some(key) = keys.first().cloned() {
            let id = format!("{unit}.7");
            let sql = format!("SELECT v FROM proofs WHERE k = '{key}'");
            let inside = history::RequestKind::Inside;
            let (outcome, rows) = self.ask(link, inside, &id, &sql, &[], simple).await;
            if outcome != history::ToldOutcome::Done {
                return self.roll_back(link, &unit).await;
            }
            let why = "a read inside the transaction that wrote the key".to_owned();
            self.judge(&id, &rows, &ReadDemand { key, why });
        }
        if self.random.random_bool(0.1) {
            return self.roll_back(link, &unit).await;
        }
        let id = format!("{unit}.8");
        let commit = history::RequestKind::Commit;
        let (outcome, _rows) = self.ask(link, commit, &id, "COMMIT", &[], simple).await;
        if outcome == history::ToldOutcome::Done {
            self.acknowledge(keys);
        }
    }

    async fn roll_back(&mut self, link: &caller_link::CallerLink, unit: &str) {
        let id = format!("{unit}.9");
        let rollback = history::RequestKind::Rollback;
        let simple = caller_link::SendMode::Simple;
        self.ask(link, rollback, &id, "ROLLBACK", &[], simple).await;
    }

    async fn read_own(&mut self, link: &caller_link::CallerLink) {
        let last = self.own_keys.len();
        if last == 0 {
            return;
        }
        let index = match self.random.random_bool(0.7) {
            true => last - 1,
            false => self.random.random_range(0..last),
        };
        if let Some(key) = self.own_keys.get(index).cloned() {
            let why = format!("the caller's own write, habit {:?}", self.habit);
            self.read(link, ReadDemand { key, why }).await;
        }
    }

    async fn read(&mut self, link: &caller_link::CallerLink, demand: ReadDemand) {
        let id = format!("{}.0", self.next_unit());
        let read = history::RequestKind::Read;
        let (outcome, rows) = if self.random.random_bool(0.4) {
            let sql = "SELECT v FROM proofs WHERE k = $1";
            let mode = caller_link::SendMode::Extended;
            self.ask(link, read, &id, sql, &[&demand.key], mode).await
        } else {
            let sql = format!("SELECT v FROM proofs WHERE k = '{}'", demand.key);
            let mode = caller_link::SendMode::Simple;
            self.ask(link, read, &id, &sql, &[], mode).await
        };
        if outcome == history::ToldOutcome::Done {
            self.judge(&id, &rows, &demand);
        }
    }

    fn judge(&self, id: &str, rows: &[String], demand: &ReadDemand) {
        let value = value_of(&demand.key);
        let ids = || vec![id.to_owned(), demand.key.clone()];
        match rows {
            [found] if *found == value => {}
            [] => {
                let text = format!("read {id} misses {}: {}", demand.key, demand.why);
                self.history.find("stale", text, ids());
            }
            found => {
                let text = format!("read {id} of {} got {found:?}", demand.key);
                self.history.find("foreign", text, ids());
            }
        }
    }

    async fn doze(&mut self, link: &caller_link::CallerLink) {
        let id = format!("{}.0", self.next_unit());
        let read = history::RequestKind::Read;
        let sql = "SELECT pg_sleep(0.03)";
        let mode = caller_link::SendMode::Simple;
        self.ask(link, read, &id, sql, &[], mode).await;
    }

    async fn export(&mut self, link: &caller_link::CallerLink) {
        let id = format!("{}.0", self.next_unit());
        let last = self.random.random_range(EXPORT_ROWS);
        let series = format!("SELECT n FROM generate_series(1, {last})");
        let (sql, mode) = match self.random.random_bool(0.5) {
            true => (series, caller_link::SendMode::Simple),
            false => (
                format!("COPY ({series}) TO STDOUT"),
                caller_link::SendMode::Copy,
            ),
        };
        let read = history::RequestKind::Read;
        let (outcome, rows) = self.ask(link, read, &id, &sql, &[], mode).await;
        if outcome == history::ToldOutcome::Done {
            let whole = rows.len() == last
                && rows
                    .iter()
                    .zip(1..)
                    .all(|(row, number): (_, usize)| *row == number.to_string());
            if !whole {
                let text = format!("export {id} of {last} rows got {} rows", rows.len());
                self.history.find("foreign", text, vec![id]);
            }
        }
    }
}

/// Returns the only value that is ever written under a key.
pub fn value_of(key: &str) -> String {
    format!("value of {key}")
}
