//! Each client gets the complete answer to its own request or an error, even with late answers,
//! silent connections, cancel requests and upstreams that violate the protocol.

use std::pin;
use std::sync;
use std::sync::atomic;
use std::time;

use futures::{StreamExt, TryStreamExt};
use standins::fault_link;
use testenv::{env_plan, tampering, test_client, test_env, waiting};

const USER: &str = "parish";
const PASSWORD: &str = "pencil";
const DATABASE: &str = "ledger";
const CLIENTS: usize = 10;
/// Length of the streamed answer. A process that buffered all of it would exceed the memory bound
/// many times over.
const ANSWER_BYTES: u64 = 200 * 1024 * 1024;
/// Maximum growth of a process's memory by one streamed answer. A stream's window is 256 KB; the
/// rest allows for memory that the allocator retains.
const MEMORY_BOUND_KB: u64 = 64 * 256;

async fn start(settings: &str) -> test_env::TestEnv {
    let mut plan = env_plan::EnvPlan::new(&[1])
        .rules(&env_plan::login_rules(USER, PASSWORD))
        .group(DATABASE, |_index, _upstream| {})
        .with_fault_links();
    plan.settings.insert(
        "persimmon-entry".to_owned(),
        format!("[limits]\n{settings}"),
    );
    let env = test_env::TestEnv::start(plan).await.expect("start");
    env.wait_ready().await;
    env
}

async fn connect(env: &test_env::TestEnv) -> tokio_postgres::Client {
    waiting::until_some("a client connects", || async {
        env.connect("vm-1-1", USER, PASSWORD, DATABASE, "")
            .await
            .ok()
    })
    .await
}

/// Counts of the clients' requests by outcome.
#[derive(Debug, Default)]
struct OutcomeCounts {
    done: atomic::AtomicU64,
    failed: atomic::AtomicU64,
    stop: atomic::AtomicBool,
}

impl OutcomeCounts {
    async fn wait_done(&self, what: &str, more: u64) {
        let wanted = self.done.load(atomic::Ordering::Acquire) + more;
        let enough = || async { self.done.load(atomic::Ordering::Acquire) >= wanted };
        waiting::until(what, enough).await;
    }

    async fn wait_failed(&self, what: &str) {
        let before = self.failed.load(atomic::Ordering::Acquire);
        let more = || async { self.failed.load(atomic::Ordering::Acquire) > before };
        waiting::until(what, more).await;
    }
}

/// Runs one client until the test stops it. The client writes and reads its own row, and reads a
/// series whose length no other client uses, so that an answer to another client is detected.
async fn run_client(address: std::net::SocketAddr, index: usize, counts: sync::Arc<OutcomeCounts>) {
    let mut client = None;
    let series = 50 + index;
    for number in 0.. {
        if counts.stop.load(atomic::Ordering::Acquire) {
            return;
        }
        let connection = match client.take() {
            Some(connection) => connection,
            None => match test_env::connect_to(address, USER, PASSWORD, DATABASE, "").await {
                Ok(connection) => connection,
                Err(_) => {
                    tokio::time::sleep(time::Duration::from_millis(20)).await;
                    continue;
                }
            },
        };
        let (sql, rows) = match number % 4 {
            0 => (
                format!("INSERT INTO t (k, v) VALUES ('k{index}', 'k{index}')"),
                0,
            ),
            1 | 2 => (format!("SELECT v FROM t WHERE k = 'k{index}'"), 1),
            _ => (
                format!("SELECT n FROM generate_series(1, {series})"),
                series,
            ),
        };
        let (outcome, answer) =
            test_client::run(&connection, &format!("c{index}-{number}"), &sql).await;
        let whole = match (&outcome, number % 4) {
            // The row exists since the first round.
            (test_client::RequestOutcome::Failed(state, _), 0) if state == "23505" => true,
            (test_client::RequestOutcome::Done, 1 | 2) => {
                answer.iter().all(|value| *value == format!("k{index}"))
            }
            (test_client::RequestOutcome::Done, _) => answer.len() == rows,
            _ => false,
        };
        if whole {
            counts.done.fetch_add(1, atomic::Ordering::AcqRel);
        } else {
            assert_ne!(
                outcome,
                test_client::RequestOutcome::Done,
                "client {index} got {answer:?} for {sql}"
            );
            counts.failed.fetch_add(1, atomic::Ordering::AcqRel);
        }
        if !matches!(outcome, test_client::RequestOutcome::Gone(_)) {
            client = Some(connection);
        }
    }
}

/// The concurrent clients of a test.
struct ClientSet {
    counts: sync::Arc<OutcomeCounts>,
    tasks: tokio::task::JoinSet<()>,
}

impl ClientSet {
    fn start(env: &mut test_env::TestEnv) -> Self {
        let address = env
            .processes()
            .address("vm-1-1-entry", "listen")
            .expect("an entry");
        let counts = sync::Arc::new(OutcomeCounts::default());
        let mut tasks = tokio::task::JoinSet::new();
        for index in 0..CLIENTS {
            tasks.spawn(run_client(address, index, sync::Arc::clone(&counts)));
        }
        Self { counts, tasks }
    }

    async fn end(mut self) {
        self.counts.stop.store(true, atomic::Ordering::Release);
        while let Some(ended) = self.tasks.join_next().await {
            ended.expect("a client");
        }
    }
}

fn log_lines(env: &mut test_env::TestEnv, event: &str) -> usize {
    let pool = env.processes().get("vm-1-1-pool").expect("a pool");
    pool.stderr_text().expect("stderr").matches(event).count()
}

/// Guards against a late answer that is taken for the answer to a later request on the same
/// connection or stream, and against an answer that reaches another client.
#[tokio::test(flavor = "multi_thread")]
async fn late_answers_reach_no_other_client() {
    let mut env =
        start("silence = \"300ms\"\nread_deadline = \"1s\"\nwrite_deadline = \"1s\"").await;
    let clients = ClientSet::start(&mut env);
    for (name, what) in [
        ("ledger-1", "listen"),
        ("vm-1-1-pool", "link"),
        ("ledger-2", "listen"),
        ("vm-1-1-pool", "link"),
        ("ledger-3", "listen"),
    ] {
        clients.counts.wait_done("clients continue", 200).await;
        let link = env.link(name, what).expect("a link");
        link.set_all(fault_link::LinkRule {
            flow: fault_link::FlowRule::StopFromTarget,
            ..fault_link::LinkRule::default()
        });
        if what == "link" {
            clients.counts.wait_failed("clients see the fault").await;
        } else {
            // An answer is only late if its batch has been abandoned.
            let given_up = format!("event=batch_broken upstream={name} ");
            let before = log_lines(&mut env, &given_up);
            waiting::until("batches are abandoned", || {
                let more = log_lines(&mut env, &given_up) > before;
                async move { more }
            })
            .await;
        }
        let link = env.link(name, what).expect("a link");
        link.heal();
    }
    clients
        .counts
        .wait_done("clients continue after the faults", 200)
        .await;
    clients.end().await;
}

/// Guards against an answer that ends early without an error when its connection goes silent, and
/// against a session or pool that keeps using the silent connection although new ones work.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_goes_silent_in_an_answer_ends_it_with_an_error() {
    let env = start("silence = \"1s\"").await;
    let between_pool_and_instance =
        ["ledger-1", "ledger-2", "ledger-3"].map(|name| (name, "listen"));
    let between_entry_and_pool = [("vm-1-1-pool", "link")];
    for links in [&between_pool_and_instance[..], &between_entry_and_pool[..]] {
        let client = connect(&env).await;
        let rows = client
            .query_raw(
                "SELECT n FROM generate_series(1, 3000000)",
                Vec::<String>::new(),
            )
            .await
            .expect("rows");
        let mut rows = pin::pin!(rows);
        let mut expected = 0;
        let ended = loop {
            let next = tokio::time::timeout(waiting::WAIT_LIMIT, rows.next()).await;
            match next.expect("the answer goes on or ends") {
                Some(Ok(row)) => {
                    expected += 1;
                    assert_eq!(row.get::<_, i32>(0), expected);
                    if expected == 1000 {
                        for (name, what) in links {
                            env.link(name, what).expect("a link").silence_open(None);
                        }
                    }
                }
                Some(Err(error)) => break Err(error),
                None => break Ok(()),
            }
        };
        assert!(
            ended.is_err(),
            "the answer ended after {expected} rows without an error"
        );
        let fresh = connect(&env).await;
        waiting::until("new connections work", || async {
            test_client::run(&fresh, "after", "SELECT 1").await.0
                == test_client::RequestOutcome::Done
        })
        .await;
    }
}

/// Guards against a cancel request that ends the statement of another client, to which the upstream
/// connection has passed in the meantime.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_ends_no_statement_of_another_client() {
    let env = start("").await;
    let stop = atomic::AtomicBool::new(false);
    let cancelling = async {
        let client = connect(&env).await;
        let token = client.cancel_token();
        let (mut cancelled, mut done) = (0, 0);
        while cancelled < 30 || done < 30 {
            let statement = client.batch_execute("SELECT pg_sleep(0.004)");
            let cancel = async {
                // Spreads the cancel requests over the run time of a statement and a little more.
                let wait = time::Duration::from_micros(rand::random_range(0..9000));
                tokio::time::sleep(wait).await;
                token.cancel_query(tokio_postgres::NoTls).await
            };
            match tokio::join!(statement, cancel).0 {
                Ok(()) => done += 1,
                Err(error) => {
                    assert_eq!(error.code().map(|code| code.code()), Some("57014"));
                    cancelled += 1;
                }
            }
        }
        stop.store(true, atomic::Ordering::Release);
    };
    let others = (0..6).map(|index| {
        let (env, stop) = (&env, &stop);
        async move {
            let client = connect(env).await;
            for number in 0.. {
                if stop.load(atomic::Ordering::Acquire) {
                    return;
                }
                let id = format!("other{index}-{number}");
                let outcome = test_client::run(&client, &id, "SELECT pg_sleep(0.004)")
                    .await
                    .0;
                assert_eq!(
                    outcome,
                    test_client::RequestOutcome::Done,
                    "a statement that nobody cancelled"
                );
            }
        }
    });
    tokio::join!(cancelling, futures::future::join_all(others));
}

/// Puts a tampering link in front of each instance and closes the connections that bypass it.
async fn tamper(env: &mut test_env::TestEnv, huge_bytes: u64) -> Vec<tampering::TamperingLink> {
    let mut tampered = Vec::new();
    for name in ["ledger-1", "ledger-2", "ledger-3"] {
        let target = env
            .processes()
            .address(name, "listen")
            .expect("an instance");
        let link = tampering::TamperingLink::start(target, huge_bytes)
            .await
            .expect("a link");
        let outer = env.link(name, "listen").expect("a link");
        outer.set_target(link.address());
        outer.set_all(fault_link::LinkRule {
            cut: true,
            ..fault_link::LinkRule::default()
        });
        tokio::task::yield_now().await;
        tampered.push(link);
    }
    for name in ["ledger-1", "ledger-2", "ledger-3"] {
        env.link(name, "listen").expect("a link").heal();
    }
    let client = connect(env).await;
    waiting::until("reads and writes work again", || async {
        let read = test_client::run(&client, "read", "SELECT 1").await.0;
        let write = test_client::run(&client, "write", "UPDATE t SET v = 'b' WHERE k = 'a'")
            .await
            .0;
        read == test_client::RequestOutcome::Done && write == test_client::RequestOutcome::Done
    })
    .await;
    tampered
}

/// Guards against a truncated or malformed answer that is forwarded as a complete one, against an
/// error that the client takes as the rest of a row, and against reuse of the broken connection.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_break_the_protocol_end_with_an_error() {
    let mut env = start("silence = \"500ms\"").await;
    let _links = tamper(&mut env, 0).await;
    let clients = ClientSet::start(&mut env);
    for (mark, kind) in tampering::TamperedAnswer::ALL {
        if kind == tampering::TamperedAnswer::Huge {
            continue;
        }
        for sql in [
            format!("SELECT v FROM t WHERE k = 'tamper={mark}'"),
            format!("UPDATE t SET v = 'b' WHERE k = 'tamper={mark}'"),
        ] {
            let client = connect(&env).await;
            let run = test_client::run(&client, mark, &sql);
            let (outcome, rows) = tokio::time::timeout(waiting::WAIT_LIMIT, run)
                .await
                .unwrap_or_else(|_elapsed| panic!("{mark}: no end of the answer to {sql}"));
            if kind == tampering::TamperedAnswer::TwoAnswers {
                assert_eq!(
                    (outcome, rows),
                    (test_client::RequestOutcome::Done, vec!["first".to_owned()]),
                    "{sql}"
                );
            } else {
                assert_ne!(outcome, test_client::RequestOutcome::Done, "{mark}: {sql}");
                assert!(
                    !outcome.says_not_run(),
                    "{mark}: {sql} was sent: {outcome:?}"
                );
            }
        }
        clients.counts.wait_done("other clients continue", 50).await;
    }
    clients.end().await;
}

fn peak_kb(env: &mut test_env::TestEnv, name: &str) -> u64 {
    let id = env.processes().get(name).expect("a process").id();
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kb = line.and_then(|text| text.trim().strip_suffix(" kB")?.parse().ok());
    kb.expect("a peak of the memory")
}

/// Guards against an answer that is buffered in memory because its reader is slow.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_answer_with_a_slow_reader_leaves_memory_flat() {
    let mut env = start("").await;
    let links = tamper(&mut env, ANSWER_BYTES).await;
    let written = || {
        links
            .iter()
            .map(tampering::TamperingLink::written)
            .sum::<u64>()
    };
    let client = connect(&env).await;
    let processes = ["vm-1-1-entry", "vm-1-1-pool"];
    let before = processes.map(|name| peak_kb(&mut env, name));
    let rows = client
        .simple_query_raw("SELECT v FROM t WHERE k = 'tamper=huge'")
        .await
        .expect("an answer");
    let mut rows = pin::pin!(rows);
    // The client does not read until backpressure stops the instance's writes.
    let mut last = 0;
    waiting::until("the instance is blocked", || {
        let now = written();
        let held = now > 0 && now == last;
        last = now;
        async move {
            tokio::time::sleep(time::Duration::from_millis(200)).await;
            held
        }
    })
    .await;
    assert!(
        written() < ANSWER_BYTES,
        "the whole answer went into buffers"
    );
    let mut bytes = 0;
    while let Some(message) = rows.try_next().await.expect("a whole answer") {
        if let tokio_postgres::SimpleQueryMessage::Row(row) = message {
            bytes += row.get(0).map_or(0, str::len) as u64;
        }
    }
    assert_eq!(bytes, ANSWER_BYTES);
    for (name, before) in processes.iter().zip(before) {
        let added = peak_kb(&mut env, name).saturating_sub(before);
        println!("{name}: peak memory grew by {added} kB from {before} kB");
        assert!(added < MEMORY_BOUND_KB, "{name} grew by {added} kB");
    }
}
