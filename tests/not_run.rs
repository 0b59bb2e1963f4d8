//! A request that is refused as "not run" has not run. Every request has a unique ID; its outcome
//! at the client is compared with the journals of the database instances.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use rand::{RngExt, SeedableRng};
use standins::fault_link;
use standins::instance::journal;
use testenv::{env_plan, http_call, test_client, test_env, waiting};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const USER: &str = "parish";
const PASSWORD: &str = "pencil";
const DATABASE: &str = "ledger";
const CLIENTS: usize = 24;
const INSTANCES: [&str; 3] = ["ledger-1", "ledger-2", "ledger-3"];
const ENTRY_LIMITS: &str = "[limits]\nread_deadline = \"700ms\"\nwrite_deadline = \"700ms\"\n\
    silence = \"500ms\"\nmessage_bytes = 100000\ndrain_time = \"100ms\"\nstop_time = \"2s\"";

/// The outcomes of the clients' requests, with their request IDs.
#[derive(Debug, Default)]
struct RequestOutcomes {
    by_id: sync::Mutex<Vec<(String, test_client::RequestOutcome)>>,
    stop: atomic::AtomicBool,
}

impl RequestOutcomes {
    fn count(&self, wanted: impl Fn(&test_client::RequestOutcome) -> bool) -> usize {
        let by_id = self.by_id.lock().expect("no panic");
        by_id.iter().filter(|(_, outcome)| wanted(outcome)).count()
    }

    /// Waits for `more` further requests whose outcome `wanted` accepts.
    async fn wait(
        &self,
        what: &str,
        more: usize,
        wanted: impl Fn(&test_client::RequestOutcome) -> bool,
    ) {
        let limit = self.count(&wanted) + more;
        waiting::until(what, || async { self.count(&wanted) >= limit }).await;
    }
}

fn is_done(outcome: &test_client::RequestOutcome) -> bool {
    *outcome == test_client::RequestOutcome::Done
}

fn is_refused(state: &str) -> impl Fn(&test_client::RequestOutcome) -> bool {
    move |outcome| {
        outcome.state() == state && outcome.says_not_run() && !is_refused_as_lagging(outcome)
    }
}

/// Returns whether the request was refused because no upstream has applied the position that the
/// session requires.
fn is_refused_as_lagging(outcome: &test_client::RequestOutcome) -> bool {
    matches!(outcome, test_client::RequestOutcome::Failed(_, text) if text.contains("fresh enough"))
}

/// Runs one client, which sends random statements and records their outcomes until the test stops
/// it. Some statements are cancelled.
async fn run_client(
    address: std::net::SocketAddr,
    index: usize,
    seed: u64,
    outcomes: sync::Arc<RequestOutcomes>,
) {
    let mut random = rand::rngs::StdRng::seed_from_u64(seed + index as u64);
    let mut client = None;
    for number in 0.. {
        if outcomes.stop.load(atomic::Ordering::Acquire) {
            return;
        }
        let options = match index {
            0 => "-c persimmontack.position=9/999999999",
            _ => "",
        };
        let connection = match client.take() {
            Some(connection) => connection,
            None => match test_env::connect_to(address, USER, PASSWORD, DATABASE, options).await {
                Ok(connection) => connection,
                Err(_) => {
                    tokio::time::sleep(time::Duration::from_millis(20)).await;
                    continue;
                }
            },
        };
        let id = format!("c{index}-{number}");
        let write = format!("INSERT INTO t (k, v) VALUES ('{id}', 'v')");
        let steps: Vec<&str> = match random.random_range(0..8) {
            0 | 1 => vec![&write],
            2 => vec!["SELECT count(*) FROM t"],
            3 => vec!["LISTEN c"],
            4 => vec!["BEGIN", &write, "COMMIT"],
            _ => vec!["SELECT pg_sleep(0.1)"],
        };
        let mut last = test_client::RequestOutcome::Done;
        for (step, sql) in steps.iter().enumerate() {
            let id = format!("{id}/{step}");
            let token = connection.cancel_token();
            let run = test_client::run(&connection, &id, sql);
            last = if random.random_ratio(1, 6) {
                let pause = time::Duration::from_millis(random.random_range(0..60));
                let cancel = async {
                    tokio::time::sleep(pause).await;
                    // This fails if the entry has stopped.
                    drop(token.cancel_query(tokio_postgres::NoTls).await);
                };
                tokio::join!(run, cancel).0.0
            } else {
                run.await.0
            };
            outcomes
                .by_id
                .lock()
                .expect("no panic")
                .push((id, last.clone()));
            if last != test_client::RequestOutcome::Done {
                break;
            }
        }
        // A transaction that fails in the middle is ended by closing its connection.
        if steps.len() == 1 && !matches!(last, test_client::RequestOutcome::Gone(_))
            || is_done(&last)
        {
            client = Some(connection);
        }
    }
}

fn cut() -> fault_link::LinkRule {
    fault_link::LinkRule {
        cut: true,
        ..fault_link::LinkRule::default()
    }
}

fn primary(env: &test_env::TestEnv) -> String {
    let promotions = env.journals().expect("journals").into_iter();
    let newest = promotions
        .filter_map(|(upstream, event)| match event {
            journal::JournalEvent::Promote { entry } => Some((entry.position(), upstream)),
            _ => None,
        })
        .max();
    newest.expect("a primary was promoted").1
}

/// Guards against a refusal as "not run" of a statement that has run or is still running.
#[tokio::test(flavor = "multi_thread")]
async fn requests_refused_as_not_run_have_not_run() {
    let seed = test_client::seed();
    let login = env_plan::login_rules(USER, PASSWORD);
    let mut plan = env_plan::EnvPlan::new(&[1])
        .rules(&login)
        // An instance keeps connections that went silent, so there is room for twice as many.
        .group(DATABASE, |_index, upstream| upstream.connections = 100)
        .with_fault_links();
    for (program, text) in [
        ("persimmon-entry", ENTRY_LIMITS),
        (
            "persimmon-pool",
            "[limits]\nmax_waiting = 3\nstop_ms = 2000",
        ),
    ] {
        plan.settings.insert(program.to_owned(), text.to_owned());
    }
    let mut env = test_env::TestEnv::start(plan).await.expect("start");
    env.wait_ready().await;
    let address = env
        .processes()
        .address("vm-1-1-entry", "listen")
        .expect("an entry");
    let outcomes = sync::Arc::new(RequestOutcomes::default());
    let mut tasks = tokio::task::JoinSet::new();
    for index in 0..CLIENTS {
        tasks.spawn(run_client(
            address,
            index,
            seed,
            sync::Arc::clone(&outcomes),
        ));
    }
    // Without faults: full queues, deadlines, cancel requests, unsupported statements, and reads
    // that require a position which no upstream has.
    outcomes.wait("requests are answered", 100, is_done).await;
    outcomes
        .wait("lagging refusals", 3, is_refused_as_lagging)
        .await;
    for state in ["53300", "0A000", "57014"] {
        outcomes
            .wait(&format!("refusals with {state}"), 3, is_refused(state))
            .await;
    }
    // The pool cannot be reached; then it is stopped; then killed.
    let link = env.link("vm-1-1-pool", "link").expect("a link");
    link.set_all(cut());
    outcomes
        .wait("refusals without a pool", 20, is_refused("57P03"))
        .await;
    link.heal();
    outcomes.wait("requests are answered", 50, is_done).await;
    env.signal("vm-1-1-pool", "TERM").expect("signal");
    outcomes
        .wait("refusals by a leaving pool", 20, is_refused("57P03"))
        .await;
    env.restart("vm-1-1-pool").await.expect("restart");
    outcomes.wait("requests are answered", 50, is_done).await;
    env.kill("vm-1-1-pool").expect("kill");
    env.restart("vm-1-1-pool").await.expect("restart");
    outcomes.wait("requests are answered", 50, is_done).await;
    // Two instances go silent one after the other, then all of them together.
    for names in [&INSTANCES[..1], &INSTANCES[1..2], &INSTANCES[..]] {
        for name in names {
            env.link(name, "listen").expect("a link").silence_open(None);
        }
        outcomes.wait("requests are answered", 50, is_done).await;
    }
    // No primary, and no keeper to promote one.
    env.kill("vm-1-1-keeper").expect("kill");
    let lost = primary(&env);
    env.kill(&lost).expect("kill");
    outcomes
        .wait("refusals without a primary", 20, is_refused("57P03"))
        .await;
    env.restart(&lost).await.expect("restart");
    env.restart("vm-1-1-keeper").await.expect("restart");
    outcomes.wait("requests are answered", 50, is_done).await;
    // All upstreams leave.
    let drains = INSTANCES.map(|name| format!("drain upstream={name} # asked for by: tests\n"));
    env.apply_rules(&format!("{login}{}", drains.concat()))
        .await
        .expect("apply");
    outcomes
        .wait("refusals by leaving upstreams", 40, is_refused("57P03"))
        .await;
    env.apply_rules(&login).await.expect("apply");
    outcomes.wait("requests are answered", 50, is_done).await;
    // The entry stops.
    env.signal("vm-1-1-entry", "TERM").expect("signal");
    let process = env.processes().get_mut("vm-1-1-entry").expect("an entry");
    waiting::until("the entry stops", || {
        let ended = process.try_wait().expect("a status").is_some();
        async move { ended }
    })
    .await;
    outcomes.stop.store(true, atomic::Ordering::Release);
    while let Some(ended) = tasks.join_next().await {
        ended.expect("a client");
    }

    let ran: collections::HashSet<String> = env
        .ran()
        .expect("journals")
        .into_iter()
        .map(|(_, id)| id)
        .collect();
    let outcomes = outcomes.by_id.lock().expect("no panic").clone();
    let mut states: collections::BTreeMap<&str, usize> = collections::BTreeMap::new();
    for (id, outcome) in &outcomes {
        if outcome.says_not_run() {
            *states.entry(outcome.state()).or_default() += 1;
            assert!(
                !ran.contains(id),
                "{id} has run, but the client was told {outcome:?}"
            );
        } else if is_done(outcome) {
            assert!(ran.contains(id), "{id} was answered, but no journal has it");
        }
    }
    println!("{} requests, refusals: {states:?}", outcomes.len());
}

/// Sends bytes to the entry and returns the SQLSTATE of its answer.
async fn sql_state_of(address: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut socket = tokio::net::TcpStream::connect(address)
        .await
        .expect("connect");
    socket.write_all(bytes).await.expect("write");
    let mut answer = Vec::new();
    let read = tokio::time::timeout(waiting::WAIT_LIMIT, socket.read_to_end(&mut answer)).await;
    read.expect("the connection ends").expect("an orderly end");
    assert_eq!(answer.first(), Some(&b'E'), "no error: {answer:?}");
    let fields = String::from_utf8_lossy(answer.get(5..).unwrap_or_default()).into_owned();
    let state = fields.split('\0').find_map(|field| field.strip_prefix('C'));
    state.unwrap_or_default().to_owned()
}

/// Guards against malformed or unauthorised start-ups that make the entry panic or stop serving, or
/// that are refused without an error or without being counted.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_clients_get_an_error_and_are_counted() {
    let mut plan = env_plan::EnvPlan::new(&[1])
        .rules(&env_plan::login_rules(USER, PASSWORD))
        .group(DATABASE, |_index, _upstream| {});
    plan.settings
        .insert("persimmon-entry".to_owned(), ENTRY_LIMITS.to_owned());
    let mut env = test_env::TestEnv::start(plan).await.expect("start");
    env.wait_ready().await;
    let address = env
        .processes()
        .address("vm-1-1-entry", "listen")
        .expect("an entry");
    let health = env
        .processes()
        .address("vm-1-1-entry", "health")
        .expect("an entry");
    let count = |reason: &'static str| async move {
        let (_status, body) = http_call::call(health, "GET", "/metrics", "")
            .await
            .expect("metrics");
        let name = format!("persimmontack_refusals_total{{reason=\"{reason}\"}} ");
        let line = body.lines().find_map(|line| line.strip_prefix(&name));
        line.and_then(|count| count.parse::<u64>().ok())
            .unwrap_or_default()
    };
    let login = |user: &'static str, password: &'static str, database: &'static str| async move {
        let error = test_env::connect_to(address, user, password, database, "").await;
        test_client::RequestOutcome::from(&error.expect_err("a refusal"))
            .state()
            .to_owned()
    };
    let before = (count("protocol").await, count("message_too_long").await);
    for garbage in [
        &b"\x00\x00\x00\x08\x00\x00\x00\x00"[..],
        &b"\xff\xff\xff\xff\xff\xff\xff\xff"[..],
        &b"\x00\x00\x00\x03"[..],
        &b"\x00\x00\x00\x09\x00\x03\x00\x00x"[..],
        &b"\x00\x00\x00\x10\x00\x03\x00\x00\xff\xfe\x00\xff\xfe\x00\x00\x00"[..],
    ] {
        assert_eq!(sql_state_of(address, garbage).await, "08P01", "{garbage:?}");
    }
    for long in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &b"\x7f\xff\xff\xff\x00\x03\x00\x00"[..],
    ] {
        assert_eq!(sql_state_of(address, long).await, "08P01", "{long:?}");
    }
    assert_eq!(count("protocol").await - before.0, 5);
    assert_eq!(count("message_too_long").await - before.1, 2);
    assert_eq!(login(USER, "wrong", DATABASE).await, "28P01");
    assert_eq!(login("nobody", PASSWORD, DATABASE).await, "28P01");
    assert_eq!(count("login").await, 2);
    assert_eq!(login(USER, PASSWORD, "nowhere").await, "28000");
    assert_eq!(count("unknown_customer").await, 1);
    let client = env
        .connect("vm-1-1", USER, PASSWORD, DATABASE, "")
        .await
        .expect("login");
    let long = format!(
        "INSERT INTO t (k, v) VALUES ('long', '{}')",
        "x".repeat(200_000)
    );
    let (outcome, _rows) = test_client::run(&client, "long", &long).await;
    assert!(
        outcome.state() == "08P01" && outcome.says_not_run(),
        "{outcome:?}"
    );
    let client = env
        .connect("vm-1-1", USER, PASSWORD, DATABASE, "")
        .await
        .expect("login");
    assert_eq!(
        test_client::run(&client, "after", "SELECT 1").await.0,
        test_client::RequestOutcome::Done
    );
    let ran = env.ran().expect("journals");
    assert!(!ran.iter().any(|(_, id)| id == "long"), "{ran:?}");
    let entry = env.processes().get_mut("vm-1-1-entry").expect("an entry");
    assert!(entry.try_wait().expect("a status").is_none());
    assert!(!entry.stderr_text().expect("stderr").contains("panicked"));
}
