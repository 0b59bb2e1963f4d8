//! Tests of the stand-in instance and the fault link, so that failures of other tests can be
//! attributed to the proxy.

use std::net;
use std::path;
use std::time;

use futures::StreamExt;
use persimmontack::model::{log_position, upstream_state};
use standins::fault_link;
use standins::instance::{instance_server, journal, log_entry, settings};
use testenv::{env_plan, test_env};

/// Timeout of waits for a condition. Only a failing test reaches it.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(30);

fn instance_settings(
    directory: &path::Path,
    upstream: &str,
    source: Option<net::IpAddr>,
) -> settings::InstanceSettings {
    settings::InstanceSettings {
        upstream: upstream.to_owned(),
        listen: net::SocketAddr::from(([127, 0, 0, 1], 0)),
        source,
        user: "pool".to_owned(),
        password: Some("secret".to_owned()),
        slots: 3,
        max_connections: 20,
        open_delay_ms: 0,
        receive_delay_ms: 0,
        apply_delay_ms: 0,
        statement_us: 0,
        journal: directory.join(format!("{upstream}.journal")),
        journal_statements: true,
    }
}

async fn start(directory: &path::Path, upstream: &str) -> net::SocketAddr {
    let settings = instance_settings(directory, upstream, None);
    let (address, _task) = instance_server::start(settings).await.unwrap();
    address
}

async fn connect(address: net::SocketAddr) -> tokio_postgres::Client {
    let mut config = tokio_postgres::Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("pool")
        .password("secret")
        .dbname("ledger");
    let (client, connection) = config.connect(tokio_postgres::NoTls).await.unwrap();
    tokio::spawn(connection);
    client
}

async fn control(client: &tokio_postgres::Client, call: &str) -> upstream_state::UpstreamState {
    let text = first_value(client, &format!("SELECT {call}"))
        .await
        .unwrap();
    serde_json::from_str(&text).unwrap()
}

async fn first_value(client: &tokio_postgres::Client, sql: &str) -> Option<String> {
    let messages = client.simple_query(sql).await.unwrap();
    messages.iter().find_map(|message| match message {
        tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
}

async fn wait_state(
    client: &tokio_postgres::Client,
    condition: impl Fn(&upstream_state::UpstreamState) -> bool,
) -> upstream_state::UpstreamState {
    let waiting = async {
        let mut state = control(client, "group_state()").await;
        while !condition(&state) {
            state = control(client, &format!("group_wait('{}', 1000)", state.version)).await;
        }
        state
    };
    tokio::time::timeout(WAIT_TIMEOUT, waiting).await.unwrap()
}

async fn make_primary(client: &tokio_postgres::Client, term: u64) {
    control(client, &format!("group_fence({term})")).await;
    control(client, &format!("group_promote({term})")).await;
}

fn sql_state(error: &tokio_postgres::Error) -> &str {
    error
        .code()
        .map_or("none", tokio_postgres::error::SqlState::code)
}

const fn position(term: u64, offset: u64) -> log_position::LogPosition {
    log_position::LogPosition::new(term, offset)
}

/// Guards against a follower that misses entries of the primary, or whose reads see entries before
/// the apply delay is over.
#[tokio::test]
async fn follower_receives_and_applies_the_commits_of_the_primary() {
    let directory = tempfile::tempdir().unwrap();
    let primary_address = start(directory.path(), "a").await;
    let primary = connect(primary_address).await;
    let replica = connect(start(directory.path(), "b").await).await;
    make_primary(&primary, 1).await;
    first_value(&replica, "SELECT admin_set('apply_delay_ms', '3600000')").await;
    control(&replica, &format!("group_follow(1, '{primary_address}')")).await;
    for key in ["x", "y"] {
        let sql = "INSERT INTO t (k, v) VALUES ($1, $2)";
        assert_eq!(primary.execute(sql, &[&key, &"1"]).await.unwrap(), 1);
    }
    let state = wait_state(&replica, |state| state.held == position(1, 3)).await;
    assert_eq!(state.applied, log_position::LogPosition::default());
    assert!(state.confirms(position(1, 3)));
    assert_eq!(
        first_value(&replica, "SELECT count(*) FROM t")
            .await
            .unwrap(),
        "0"
    );
    first_value(&replica, "SELECT admin_set('apply_delay_ms', '0')").await;
    wait_state(&replica, |state| state.applied == position(1, 3)).await;
    primary
        .simple_query("UPDATE t SET v = '2' WHERE k = 'y'")
        .await
        .unwrap();
    wait_state(&replica, |state| state.applied == position(1, 4)).await;
    let row = replica
        .query_one("SELECT v FROM t WHERE k = $1", &[&"y"])
        .await
        .unwrap();
    assert_eq!(row.get::<_, &str>(0), "2");
    let error = replica
        .simple_query("DELETE FROM t WHERE k = 'y'")
        .await
        .unwrap_err();
    assert_eq!(sql_state(&error), "25006");
}

/// Guards against a transaction that commits on a fenced primary, and against a former primary that
/// keeps its diverging log tail when it follows the new one.
#[tokio::test]
async fn fence_aborts_open_transactions_and_a_diverging_tail_is_dropped() {
    let directory = tempfile::tempdir().unwrap();
    let first_address = start(directory.path(), "a").await;
    let second_address = start(directory.path(), "b").await;
    let first = connect(first_address).await;
    let second = connect(second_address).await;
    make_primary(&first, 1).await;
    control(&second, &format!("group_follow(1, '{first_address}')")).await;
    first
        .simple_query("INSERT INTO t (k, v) VALUES ('kept', '1')")
        .await
        .unwrap();
    wait_state(&second, |state| state.held == position(1, 2)).await;

    make_primary(&second, 2).await;
    // The old primary does not know of term 2 yet, so this write becomes its diverging tail.
    first
        .simple_query("INSERT INTO t (k, v) VALUES ('tail', '1')")
        .await
        .unwrap();
    let writer = connect(first_address).await;
    writer
        .simple_query("BEGIN; INSERT INTO t (k, v) VALUES ('open', '1')")
        .await
        .unwrap();
    assert_eq!(
        first_value(&first, "SELECT count(*) FROM t").await.unwrap(),
        "2"
    );
    control(&first, "group_fence(2)").await;
    let error = writer.simple_query("COMMIT").await.unwrap_err();
    assert_eq!(sql_state(&error), "25006");
    let error = first
        .simple_query("SELECT group_fence(2)")
        .await
        .unwrap_err();
    assert_eq!(sql_state(&error), "55000");

    control(&first, &format!("group_follow(2, '{second_address}')")).await;
    let state = wait_state(&first, |state| state.applied == position(2, 3)).await;
    assert_eq!(state.starts, vec![position(1, 1), position(2, 3)]);
    let rows = first.query("SELECT k, v FROM t", &[]).await.unwrap();
    let keys: Vec<&str> = rows.iter().map(|row| row.get(0)).collect();
    assert_eq!(keys, ["kept"]);
    let events = journal::read(&directory.path().join("a.journal")).unwrap();
    assert!(events.contains(&journal::JournalEvent::TailDropped {
        after: 2,
        dropped: position(1, 3),
    }));
}

/// Guards against wrong answers in the simple and the extended query protocol, and against an
/// instance that accepts unsupported statements.
#[tokio::test]
async fn supported_statements_return_the_expected_answers() {
    let directory = tempfile::tempdir().unwrap();
    let address = start(directory.path(), "a").await;
    let client = connect(address).await;
    make_primary(&client, 1).await;
    let insert = "/* id=w1 */ INSERT INTO t (k, v) VALUES ('a', 'it''s')";
    client.simple_query(insert).await.unwrap();
    let error = client.execute(insert, &[]).await.unwrap_err();
    assert_eq!(sql_state(&error), "23505");
    let row = client
        .query_one("SELECT count(*) FROM t", &[])
        .await
        .unwrap();
    assert_eq!(row.get::<_, i64>(0), 1);
    let row = client.query_one("SELECT 1", &[]).await.unwrap();
    assert_eq!(row.get::<_, i32>(0), 1);
    client
        .query_one("SELECT pg_sleep(0.005)", &[])
        .await
        .unwrap();
    let sql = "SELECT n FROM generate_series(1, 70000)";
    let rows = client.query(sql, &[]).await.unwrap();
    let sum: i64 = rows.iter().map(|row| i64::from(row.get::<_, i32>(0))).sum();
    assert_eq!(sum, 70_000 * 70_001 / 2);
    let mut copied = Vec::new();
    let mut stream = Box::pin(client.copy_out("COPY t TO STDOUT").await.unwrap());
    while let Some(chunk) = stream.next().await {
        copied.extend_from_slice(&chunk.unwrap());
    }
    assert_eq!(copied, b"a\tit's\n");
    client.simple_query("SET x = 'y'").await.unwrap();
    assert_eq!(first_value(&client, "SHOW x").await.unwrap(), "y");
    client.simple_query("DISCARD ALL").await.unwrap();
    assert_eq!(first_value(&client, "SHOW x").await.unwrap(), "");
    let error = client.simple_query("LISTEN x").await.unwrap_err();
    assert_eq!(sql_state(&error), "42601");

    let events = journal::read(&directory.path().join("a.journal")).unwrap();
    let commits: Vec<_> = events
        .iter()
        .filter_map(|event| match event {
            journal::JournalEvent::Commit { ids, entry, .. } => {
                Some((ids.clone(), entry.position()))
            }
            _ => None,
        })
        .collect();
    assert_eq!(commits, [(vec!["w1".to_owned()], position(1, 2))]);
    let runs = events.iter().filter(
        |event| matches!(event, journal::JournalEvent::Statement { id: Some(id), .. } if id == "w1"),
    );
    assert_eq!(runs.count(), 2);
}

/// Guards against a cancel request that is ignored, and against connections above the limit.
#[tokio::test]
async fn cancel_requests_and_the_connection_limit_take_effect() {
    let directory = tempfile::tempdir().unwrap();
    let mut settings = instance_settings(directory.path(), "a", None);
    settings.max_connections = 1;
    let (address, _task) = instance_server::start(settings).await.unwrap();
    let client = connect(address).await;
    let token = client.cancel_token();
    let sleeping = client.simple_query("SELECT pg_sleep(3600)");
    tokio::pin!(sleeping);
    let cancelling = async {
        loop {
            // The request has no effect if it arrives before the statement runs.
            token.cancel_query(tokio_postgres::NoTls).await.unwrap();
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    };
    let result = tokio::time::timeout(WAIT_TIMEOUT, async {
        tokio::select! {
            result = &mut sleeping => result,
            () = cancelling => unreachable!("the loop has no end"),
        }
    });
    assert_eq!(sql_state(&result.await.unwrap().unwrap_err()), "57014");

    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string()).port(address.port());
    config.user("pool").password("secret");
    let error = config.connect(tokio_postgres::NoTls).await.err().unwrap();
    assert_eq!(sql_state(&error), "53300");
}

/// Guards against a one-way cut that blocks both directions or closes the connection, and against
/// a silence that has no effect, or that also affects new connections or other sources.
#[tokio::test]
async fn one_way_cut_and_silence_affect_only_the_chosen_connections() {
    let directory = tempfile::tempdir().unwrap();
    let address = start(directory.path(), "a").await;
    let direct = connect(address).await;
    make_primary(&direct, 1).await;
    let here = net::IpAddr::from([127, 0, 0, 1]);
    let link = fault_link::FaultLink::start(here, address).await.unwrap();
    let client = connect(link.address()).await;

    let from_target = fault_link::LinkRule {
        flow: fault_link::FlowRule::StopFromTarget,
        ..Default::default()
    };
    link.set_source(here, Some(from_target));
    let write = client.simple_query("INSERT INTO t (k, v) VALUES ('a', '1')");
    tokio::pin!(write);
    // The write arrives although its answer does not.
    let arrived = async {
        while first_value(&direct, "SELECT count(*) FROM t")
            .await
            .as_deref()
            != Some("1")
        {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    };
    let arrived = tokio::time::timeout(WAIT_TIMEOUT, arrived);
    tokio::select! {
        arrived = arrived => arrived.unwrap(),
        answer = &mut write => panic!("the answer passed the cut: {answer:?}"),
    }
    link.heal();
    tokio::time::timeout(WAIT_TIMEOUT, write)
        .await
        .unwrap()
        .unwrap();

    link.silence_open(None);
    let silent = client.simple_query("SELECT 1");
    tokio::pin!(silent);
    let fresh = connect(link.address()).await;
    tokio::select! {
        one = first_value(&fresh, "SELECT 1") => assert_eq!(one.unwrap(), "1"),
        answer = &mut silent => panic!("the silenced connection answered: {answer:?}"),
    }

    let cut = fault_link::LinkRule {
        cut: true,
        ..Default::default()
    };
    link.set_all(cut);
    tokio::time::timeout(WAIT_TIMEOUT, silent)
        .await
        .unwrap()
        .unwrap_err();
    let mut config = tokio_postgres::Config::new();
    config
        .host("127.0.0.1")
        .port(link.address().port())
        .user("pool");
    assert!(config.connect(tokio_postgres::NoTls).await.is_err());
}

/// Guards against a killed instance that loses its log or promised term on restart, keeps its
/// incarnation or resumes as primary, and against instances whose journals disagree.
#[tokio::test]
async fn killed_instances_restart_from_their_journals() {
    let plan = env_plan::EnvPlan::new(&[0, 0])
        .group("ledger", |_index, _upstream| {})
        .with_daemons(env_plan::DaemonSet::None)
        .with_fault_links();
    let mut env = test_env::TestEnv::start(plan).await.unwrap();
    let primary = env.connect_upstream("ledger-1").await.unwrap();
    let before = control(&primary, "group_state()").await;
    make_primary(&primary, 1).await;
    let address = env.address_for_others("ledger-1", "listen").unwrap();
    for name in ["ledger-2", "ledger-3"] {
        let replica = env.connect_upstream(name).await.unwrap();
        control(&replica, &format!("group_follow(1, '{address}')")).await;
    }
    primary
        .batch_execute("BEGIN; INSERT INTO t (k, v) VALUES ('a', '1'); INSERT INTO t (k, v) VALUES ('b', '1'); COMMIT")
        .await
        .unwrap();
    let replica = env.connect_upstream("ledger-2").await.unwrap();
    wait_state(&replica, |state| state.applied == position(1, 2)).await;

    env.kill("ledger-1").unwrap();
    env.kill("ledger-2").unwrap();
    env.restart("ledger-2").await.unwrap();
    env.restart("ledger-1").await.unwrap();
    let restarted = env.connect_upstream("ledger-1").await.unwrap();
    let state = control(&restarted, "group_state()").await;
    assert!(state.incarnation > before.incarnation);
    assert_eq!(state.primary_term, None);
    assert_eq!(state.promised, 1);
    assert_eq!(state.applied, position(1, 2));
    assert_eq!(state.starts, vec![position(1, 1)]);
    let error = restarted
        .simple_query("SELECT group_fence(1)")
        .await
        .unwrap_err();
    assert_eq!(sql_state(&error), "55000");
    make_primary(&restarted, 2).await;
    restarted
        .batch_execute("DELETE FROM t WHERE k = 'a'")
        .await
        .unwrap();
    let address = env.address_for_others("ledger-1", "listen").unwrap();
    let replica = env.connect_upstream("ledger-2").await.unwrap();
    control(&replica, &format!("group_follow(2, '{address}')")).await;
    wait_state(&replica, |state| state.applied == position(2, 4)).await;
    assert_eq!(
        first_value(&replica, "SELECT count(*) FROM t")
            .await
            .unwrap(),
        "1"
    );

    let entries = |name: &str| -> Vec<_> {
        let events = env.journal(name).unwrap();
        events.into_iter().filter_map(log_entry_of).collect()
    };
    assert_eq!(entries("ledger-1"), entries("ledger-2"));
    assert_eq!(entries("ledger-1").len(), 4);
}

fn log_entry_of(event: journal::JournalEvent) -> Option<log_entry::LogEntry> {
    match event {
        journal::JournalEvent::Commit { entry, .. }
        | journal::JournalEvent::Received { entry }
        | journal::JournalEvent::Promote { entry } => Some(entry),
        _ => None,
    }
}
