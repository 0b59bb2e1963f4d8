//! Shared parts of tests that check acknowledged writes: the standard environment, statements with
//! their outcomes, faults, and the check of the outcomes against the upstreams' journals.

use std::collections;
use std::io;
use std::net;
use std::sync::atomic;
use std::time;

use persimmontack::model::{ids, log_position};
use standins::fault_link;
use standins::instance::journal;

use crate::env_plan;
use crate::test_env;
use crate::waiting;

/// Login user of the clients.
pub const USER: &str = "parish";
/// Password of [`USER`].
pub const PASSWORD: &str = "pencil";
/// Group and database of the standard environment.
pub const GROUP: &str = "ledger";
/// SQLSTATEs that report that the statement was not run.
const NOT_RUN: [&str; 4] = ["57P03", "53300", "53400", "57P01"];

/// Settings of the keepers: a longer silence than the default before a failover.
pub const KEEPER_TIMES: &str = "[failover]\nsilence_ms = 2000\n";

/// Link rule that cuts a link. The flow is frozen too, so that buffered bytes do not pass while the
/// link closes.
pub const CUT: fault_link::LinkRule = fault_link::LinkRule {
    cut: true,
    flow: fault_link::FlowRule::Freeze,
    delay: time::Duration::ZERO,
};

/// Returns a link rule that only changes the flow.
#[must_use]
pub const fn flow(flow: fault_link::FlowRule) -> fault_link::LinkRule {
    fault_link::LinkRule {
        cut: false,
        flow,
        delay: time::Duration::ZERO,
    }
}

/// Plans three data centres with one VM and one upstream each, and a fault link in front of each
/// listener. `limits` is TOML for the entries' `[limits]`. A failover starts after a longer silence
/// than by default, because a busy test machine can stall for a second, and a test must know its
/// primary.
#[must_use]
pub fn plan(limits: &str) -> env_plan::EnvPlan {
    let mut plan = env_plan::EnvPlan::new(&[1, 1, 1])
        .group(GROUP, |_index, _upstream| {})
        .rules(&env_plan::login_rules(USER, PASSWORD))
        .with_fault_links();
    let limits = format!("[limits]\n{limits}\n");
    plan.settings.insert("persimmon-entry".to_owned(), limits);
    plan.settings
        .insert("persimmon-keeper".to_owned(), KEEPER_TIMES.to_owned());
    plan
}

/// Starts an environment and waits until a write to its group is acknowledged.
///
/// # Panics
///
/// Panics if the environment does not start or no write is acknowledged in time.
pub async fn start(plan: env_plan::EnvPlan) -> test_env::TestEnv {
    let env = test_env::TestEnv::start(plan).await.expect("start");
    env.wait_ready().await;
    waiting::until("a write is acknowledged", || async {
        let Ok(client) = connect(&env, 1, "").await else {
            return false;
        };
        probe(&client).await.is_done()
    })
    .await;
    env
}

/// Connects to the entry in data centre `centre`, counted from 1.
///
/// # Errors
///
/// Fails if the entry refuses or does not answer.
pub async fn connect(
    env: &test_env::TestEnv,
    centre: usize,
    options: &str,
) -> Result<tokio_postgres::Client, String> {
    let vm = format!("vm-{centre}-1");
    let connect = env.connect(&vm, USER, PASSWORD, GROUP, options);
    match tokio::time::timeout(waiting::WAIT_LIMIT, connect).await {
        Ok(connected) => connected.map_err(|error| error.to_string()),
        Err(elapsed) => Err(elapsed.to_string()),
    }
}

/// The outcome of a statement, as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementOutcome {
    /// The statement succeeded; holds the first column of the first row, if any.
    Done(Option<String>),
    /// The statement failed with this SQLSTATE.
    Failed(String),
    /// The connection ended before an answer.
    Lost,
}

impl StatementOutcome {
    /// Tells whether the statement succeeded.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        matches!(self, Self::Done(_))
    }

    /// Tells whether the statement failed with this SQLSTATE.
    #[must_use]
    pub fn failed_with(&self, state: &str) -> bool {
        matches!(self, Self::Failed(found) if found == state)
    }
}

/// Runs a statement with an id that the upstreams write to their journals.
///
/// # Panics
///
/// Panics if no answer comes within [`waiting::WAIT_LIMIT`].
pub async fn run(client: &tokio_postgres::Client, id: &str, sql: &str) -> StatementOutcome {
    let text = format!("/* id={id} */ {sql}");
    let answer = tokio::time::timeout(waiting::WAIT_LIMIT, client.simple_query(&text))
        .await
        .unwrap_or_else(|_elapsed| panic!("no answer to {id}: {sql}"));
    match answer {
        Ok(messages) => StatementOutcome::Done(messages.iter().find_map(|message| match message {
            tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
            _ => None,
        })),
        Err(error) => match error.code() {
            Some(state) => StatementOutcome::Failed(state.code().to_owned()),
            None => StatementOutcome::Lost,
        },
    }
}

/// Inserts a row with a new key into table `probes`, to test whether writes are acknowledged.
async fn probe(client: &tokio_postgres::Client) -> StatementOutcome {
    static NEXT: atomic::AtomicU64 = atomic::AtomicU64::new(0);
    let number = NEXT.fetch_add(1, atomic::Ordering::Relaxed);
    let sql = format!("INSERT INTO probes (k, v) VALUES ('{number}', 'x')");
    run(client, "probe", &sql).await
}

/// Inserts row `id` into table `t`.
pub async fn insert(client: &tokio_postgres::Client, id: &str) -> StatementOutcome {
    run(
        client,
        id,
        &format!("INSERT INTO t (k, v) VALUES ('{id}', 'x')"),
    )
    .await
}

/// A snapshot of the journals of all upstreams.
#[derive(Debug)]
pub struct GroupJournals {
    events: collections::BTreeMap<ids::UpstreamId, Vec<journal::JournalEvent>>,
}

impl GroupJournals {
    /// Reads the journals of all upstreams.
    ///
    /// # Panics
    ///
    /// Panics if a journal cannot be read.
    #[must_use]
    pub fn read(env: &test_env::TestEnv) -> Self {
        let names = env.plan().groups.iter().flat_map(|group| &group.upstreams);
        let events = names
            .map(|upstream| {
                let name = upstream.upstream.clone();
                let events = env.journal(&name).expect("journal");
                (name, events)
            })
            .collect();
        Self { events }
    }

    /// Returns the promoted upstreams by term. More than one upstream in a term is a fault.
    #[must_use]
    pub fn primaries(&self) -> collections::BTreeMap<ids::TermNumber, Vec<ids::UpstreamId>> {
        let mut primaries: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
        for (upstream, event) in self.all_events() {
            if let journal::JournalEvent::Promote { entry } = event {
                primaries
                    .entry(entry.term)
                    .or_default()
                    .push(upstream.clone());
            }
        }
        primaries
    }

    /// Returns the highest term and its primary.
    #[must_use]
    pub fn primary(&self) -> Option<(ids::TermNumber, ids::UpstreamId)> {
        let (term, upstreams) = self.primaries().into_iter().next_back()?;
        Some((term, upstreams.into_iter().next()?))
    }

    /// Returns the journal events of each run of a statement, with the upstream.
    pub fn statements<'a>(
        &'a self,
        id: &'a str,
    ) -> impl Iterator<Item = (&'a ids::UpstreamId, &'a journal::JournalEvent)> {
        self.all_events().filter(move |(_, event)| {
            matches!(event, journal::JournalEvent::Statement { id: Some(ran), .. } if ran == id)
        })
    }

    /// Returns the upstreams on which the statement ran, one for each run.
    #[must_use]
    pub fn runs(&self, id: &str) -> Vec<ids::UpstreamId> {
        let runs = self.statements(id);
        runs.map(|(upstream, _)| upstream.clone()).collect()
    }

    /// Returns the log position at which a write's transaction was committed, on any upstream.
    #[must_use]
    pub fn committed(&self, id: &str) -> Option<log_position::LogPosition> {
        self.all_events().find_map(|(_, event)| match event {
            journal::JournalEvent::Commit { ids, entry, .. } if ids.iter().any(|i| i == id) => {
                Some(entry.position())
            }
            _ => None,
        })
    }

    /// Returns the log positions of the entries in an upstream's log.
    #[must_use]
    pub fn log(&self, upstream: &str) -> Vec<log_position::LogPosition> {
        let mut log = Vec::new();
        for event in self.events.get(upstream).into_iter().flatten() {
            match event {
                journal::JournalEvent::Commit { entry, .. }
                | journal::JournalEvent::Received { entry }
                | journal::JournalEvent::Promote { entry } => log.push(entry.position()),
                journal::JournalEvent::TailDropped { after, .. } => {
                    log.truncate(usize::try_from(*after).unwrap_or(usize::MAX));
                }
                _ => {}
            }
        }
        log
    }

    /// Tells whether the logs of all upstreams equal the log of the latest primary.
    #[must_use]
    pub fn logs_agree(&self) -> bool {
        let Some((_, primary)) = self.primary() else {
            return false;
        };
        let log = self.log(&primary);
        self.events.keys().all(|upstream| self.log(upstream) == log)
    }

    fn all_events(&self) -> impl Iterator<Item = (&ids::UpstreamId, &journal::JournalEvent)> {
        let journals = self.events.iter();
        journals.flat_map(|(upstream, events)| events.iter().map(move |event| (upstream, event)))
    }

    /// Checks the outcomes of writes against the log of the latest primary.
    ///
    /// # Panics
    ///
    /// Panics if an acknowledged write is missing, a write that was reported as not run or rolled
    /// back took effect, a write ran twice, an error has an unexpected SQLSTATE, or a term
    /// has two primaries.
    pub fn check_outcomes(&self, outcomes: &[(String, StatementOutcome)]) {
        for (term, upstreams) in self.primaries() {
            assert_eq!(
                upstreams.len(),
                1,
                "term {term} has primaries {upstreams:?}"
            );
        }
        let (term, primary) = self.primary().expect("a primary");
        let log = self.log(&primary);
        for (id, outcome) in outcomes {
            let runs = self.runs(id);
            let committed = self
                .committed(id)
                .is_some_and(|position| log.contains(&position));
            assert!(
                runs.len() <= 1,
                "{id} ran on {runs:?}, the outcome was {outcome:?}"
            );
            match outcome {
                StatementOutcome::Done(_) => assert!(
                    committed,
                    "{id} is acknowledged but not in the log of term {term}"
                ),
                StatementOutcome::Failed(state) if NOT_RUN.contains(&state.as_str()) => {
                    assert!(
                        runs.is_empty(),
                        "{id} ran on {runs:?}, the error was {state}"
                    );
                }
                StatementOutcome::Failed(state) if state == "40001" => {
                    assert!(!committed, "{id} is committed, the error was {state}");
                }
                StatementOutcome::Failed(state) => assert_eq!(state, "40003", "{id}"),
                StatementOutcome::Lost => {}
            }
        }
    }
}

/// Reads the journals and returns the highest term and its primary.
///
/// # Panics
///
/// Panics if no upstream was promoted.
#[must_use]
pub fn primary(env: &test_env::TestEnv) -> (ids::TermNumber, ids::UpstreamId) {
    GroupJournals::read(env).primary().expect("a primary")
}

/// Waits until an upstream has become the primary of a term above `term`.
pub async fn wait_next_primary(
    env: &test_env::TestEnv,
    term: ids::TermNumber,
) -> (ids::TermNumber, ids::UpstreamId) {
    waiting::until_some("a higher term has a primary", || async {
        GroupJournals::read(env)
            .primary()
            .filter(|(found, _)| *found > term)
    })
    .await
}

/// Waits until the entry of a data centre acknowledges a write and the logs of all upstreams are
/// equal.
pub async fn wait_settled(env: &test_env::TestEnv, centre: usize) {
    waiting::until("the group takes writes and its logs agree", || async {
        let Ok(client) = connect(env, centre, "").await else {
            return false;
        };
        probe(&client).await.is_done() && GroupJournals::read(env).logs_agree()
    })
    .await;
}

/// Waits until all upstreams hold the first entry of the latest term. Unlike [`wait_settled`], this
/// also works while clients write.
pub async fn wait_rejoined(env: &test_env::TestEnv) {
    waiting::until("all upstreams follow the primary", || async {
        let journals = GroupJournals::read(env);
        let Some((term, primary)) = journals.primary() else {
            return false;
        };
        let log = journals.log(&primary);
        let start = log.iter().find(|position| position.term == term);
        start.is_some_and(|start| {
            let mut upstreams = journals.events.keys();
            upstreams.all(|upstream| journals.log(upstream).contains(start))
        })
    })
    .await;
}

/// Returns the number of an upstream's data centre, counted from 1.
///
/// # Panics
///
/// Panics if the plan has no such upstream.
#[must_use]
pub fn centre_of(env: &test_env::TestEnv, upstream: &str) -> usize {
    let mut plans = env.plan().groups.iter().flat_map(|group| &group.upstreams);
    let plan = plans
        .find(|plan| plan.upstream == upstream)
        .expect("planned");
    plan.data_centre + 1
}

/// Returns the loopback addresses of the VM and of the upstream in a data centre.
#[must_use]
pub fn sources(centre: usize) -> [net::IpAddr; 2] {
    let centre = u8::try_from(centre).unwrap_or(u8::MAX);
    [1, 101].map(|host| net::IpAddr::from([127, 0, centre, host]))
}

/// Cuts the links between a data centre and the others, in both directions. Clients still reach its
/// entry.
///
/// # Errors
///
/// Fails if a fault link is missing.
pub fn cut_off(env: &test_env::TestEnv, centre: usize) -> io::Result<()> {
    for other in (1..=3).filter(|other| *other != centre) {
        for (owner, from) in [(centre, other), (other, centre)] {
            for (name, what) in [
                (format!("{GROUP}-{owner}"), "listen"),
                (format!("vm-{owner}-1-keeper"), "link"),
                (format!("vm-{owner}-1-pool"), "link"),
                (format!("vm-{owner}-1-entry"), "link"),
            ] {
                for source in sources(from) {
                    env.link(&name, what)?.set_source(source, Some(CUT));
                }
            }
        }
    }
    Ok(())
}

/// Removes the faults of all links.
pub fn heal(env: &test_env::TestEnv) {
    for link in env.links().values() {
        link.heal();
    }
}
