//! Tests of `persimmon-entry` with a real pool and stand-in database instances. The test itself
//! acts as the keeper.

mod entry_support;

use std::net;
use std::process;
use std::time;

use futures::TryStreamExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

fn sql_state_of(error: &tokio_postgres::Error) -> String {
    error
        .code()
        .map(|code| code.code().to_owned())
        .unwrap_or_default()
}

/// Guards against reads that miss the session's own writes, and against drivers that fail when the
/// entry rewrites prepared statements.
#[tokio::test]
async fn a_session_reads_its_own_writes_by_prepared_statements() {
    let setup = entry_support::TestSetup::start().await;
    let client = setup.connect("").await.expect("login");
    let insert = client
        .prepare("INSERT INTO t (k, v) VALUES ($1, $2)")
        .await
        .expect("prepare");
    let select = client
        .prepare("SELECT v FROM t WHERE k = $1")
        .await
        .expect("prepare");
    for number in 0..50 {
        let (key, value) = (format!("k{number}"), format!("v{number}"));
        assert_eq!(
            client
                .execute(&insert, &[&key, &value])
                .await
                .expect("insert"),
            1
        );
        let row = client.query_one(&select, &[&key]).await.expect("select");
        assert_eq!(row.get::<_, String>(0), value);
    }
    drop(select);
    let count = client
        .query("SELECT k, v FROM t", &[])
        .await
        .expect("all")
        .len();
    assert_eq!(count, 50);
    let duplicate = client
        .execute(&insert, &[&"k1", &"x"])
        .await
        .expect_err("a duplicate");
    assert_eq!(sql_state_of(&duplicate), "23505");
}

/// Guards against a position that is not reported to the client, or not accepted from it.
#[tokio::test]
async fn a_position_can_be_passed_to_another_connection() {
    let setup = entry_support::TestSetup::start().await;
    let first = setup.connect("").await.expect("login");
    first
        .simple_query("INSERT INTO t (k, v) VALUES ('a', 'b')")
        .await
        .expect("insert");
    let show = |client: tokio_postgres::Client| async move {
        let row = client
            .query_one("SHOW persimmontack.position", &[])
            .await
            .expect("show");
        row.get::<_, String>(0)
    };
    let position = show(first).await;
    assert!(position.starts_with("1/"), "{position}");
    let options = format!("-c persimmontack.position={position}");
    let second = setup.connect(&options).await.expect("login");
    let rows = second
        .query("SELECT v FROM t WHERE k = 'a'", &[])
        .await
        .expect("select");
    assert_eq!(rows.len(), 1);
    assert_eq!(show(second).await, position);
    let error = setup
        .connect("-c persimmontack.position=x")
        .await
        .expect_err("no position");
    assert_eq!(sql_state_of(&error), "22023");
}

/// Guards against transactions that leak to other sessions, and against a SET LOCAL that
/// takes effect for others.
#[tokio::test]
async fn transactions_commit_and_roll_back() {
    let setup = entry_support::TestSetup::start().await;
    let mut client = setup.connect("").await.expect("login");
    let transaction = client.transaction().await.expect("begin");
    transaction
        .execute("INSERT INTO t (k, v) VALUES ('a', '1')", &[])
        .await
        .expect("insert");
    transaction.rollback().await.expect("rollback");
    let transaction = client.transaction().await.expect("begin");
    transaction
        .execute("INSERT INTO t (k, v) VALUES ('b', '2')", &[])
        .await
        .expect("insert");
    transaction
        .batch_execute("SET LOCAL work_mem = '1MB'")
        .await
        .expect("set local");
    transaction.commit().await.expect("commit");
    let rows = client
        .query("SELECT k, v FROM t", &[])
        .await
        .expect("select");
    assert_eq!(rows.len(), 1);
    let reads = client
        .build_transaction()
        .read_only(true)
        .start()
        .await
        .expect("begin");
    assert_eq!(
        reads
            .query("SELECT k, v FROM t", &[])
            .await
            .expect("select")
            .len(),
        1
    );
    let refused = reads
        .execute("INSERT INTO t (k, v) VALUES ('c', '3')", &[])
        .await;
    assert_eq!(sql_state_of(&refused.expect_err("read only")), "25006");
    reads.rollback().await.expect("rollback");
}

/// Guards against a refused statement that leaves the transaction open on the upstream, so that a
/// later COMMIT would commit what the client takes to be rolled back.
#[tokio::test]
async fn a_refusal_fails_the_transaction() {
    let setup = entry_support::TestSetup::start().await;
    let client = setup.connect("").await.expect("login");
    client.batch_execute("BEGIN").await.expect("begin");
    client
        .batch_execute("INSERT INTO t (k, v) VALUES ('a', '1')")
        .await
        .expect("insert");
    let error = client.batch_execute("LISTEN c").await.expect_err("refused");
    assert_eq!(sql_state_of(&error), "0A000");
    let error = client
        .batch_execute("SELECT 1")
        .await
        .expect_err("failed transaction");
    assert_eq!(sql_state_of(&error), "25P02");
    client.batch_execute("COMMIT").await.expect("ends");
    assert!(
        client
            .query("SELECT v FROM t WHERE k = 'a'", &[])
            .await
            .map_or(true, |rows| rows.is_empty())
    );
}

/// Guards against session state that leaks to other sessions, and against parameters that are
/// accepted but not stored.
#[tokio::test]
async fn session_state_is_kept_by_the_entry_or_refused() {
    let setup = entry_support::TestSetup::start().await;
    let client = setup.connect("").await.expect("login");
    client
        .batch_execute("SET application_name = 'shelf'")
        .await
        .expect("set");
    client
        .execute("SET persimmontack.max_age = '2s'", &[])
        .await
        .expect("set");
    let row = client
        .query_one("SHOW application_name", &[])
        .await
        .expect("show");
    assert_eq!(row.get::<_, String>(0), "shelf");
    client.query("SELECT 1", &[]).await.expect("an aged read");
    for sql in [
        "LISTEN c",
        "SET search_path = x",
        "PREPARE p AS SELECT 1",
        "COPY t FROM STDIN",
    ] {
        let error = client.batch_execute(sql).await.expect_err(sql);
        assert_eq!(sql_state_of(&error), "0A000", "{sql}");
    }
    let error = client
        .batch_execute("SET persimmontack.max_age = 'soon'")
        .await;
    assert_eq!(sql_state_of(&error.expect_err("no time")), "22023");
    client
        .batch_execute("SELECT 1")
        .await
        .expect("still usable");
}

/// Guards against truncated answers, and against a cancel request that does not reach its session.
#[tokio::test]
async fn long_answers_arrive_whole_and_can_be_cancelled() {
    let setup = entry_support::TestSetup::start().await;
    let client = setup.connect("").await.expect("login");
    let rows = client
        .query("SELECT n FROM generate_series(1, 20000)", &[])
        .await
        .expect("rows");
    assert_eq!(rows.len(), 20_000);
    let copy = client
        .copy_out("COPY (SELECT n FROM generate_series(1, 20000)) TO STDOUT")
        .await;
    let bytes: Vec<_> = copy.expect("copy").try_collect().await.expect("copied");
    let lines = bytes.concat().iter().filter(|byte| **byte == b'\n').count();
    assert_eq!(lines, 20_000);
    let token = client.cancel_token();
    let sleep = client.batch_execute("SELECT pg_sleep(600)");
    let cancel = async {
        loop {
            token
                .cancel_query(tokio_postgres::NoTls)
                .await
                .expect("cancel");
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    };
    let ended = tokio::select! {
        ended = sleep => ended,
        () = cancel => unreachable!("cancels for ever"),
    };
    assert_eq!(sql_state_of(&ended.expect_err("cancelled")), "57014");
}

/// Guards against a login without valid credentials, and against panics on malformed input.
#[tokio::test]
async fn invalid_clients_are_refused() {
    let setup = entry_support::TestSetup::start().await;
    let address = setup.entry.addresses["listen"];
    let error = entry_support::connect_to(address, "nobody", "orders", "")
        .await
        .expect_err("unknown user");
    assert_eq!(sql_state_of(&error), "28P01");
    let error = entry_support::connect_to(address, "app", "nowhere", "")
        .await
        .expect_err("unknown database");
    assert_eq!(sql_state_of(&error), "28000");
    for garbage in [
        &b"\x00\x00\x00\x08\x00\x00\x00\x00"[..],
        &b"\xff\xff\xff\xff\xff\xff\xff\xff"[..],
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &b"\x00\x00\x00\x09\x00\x03\x00\x00x"[..],
    ] {
        let mut socket = tokio::net::TcpStream::connect(address)
            .await
            .expect("connect");
        socket.write_all(garbage).await.expect("write");
        let mut answer = Vec::new();
        let read =
            tokio::time::timeout(entry_support::WAIT_LIMIT, socket.read_to_end(&mut answer)).await;
        read.expect("the connection ends").expect("cleanly");
        assert_eq!(answer.first(), Some(&b'E'), "{garbage:?}");
    }
    let client = setup.connect("").await.expect("login");
    let long = format!("SELECT '{}'", "x".repeat(200_000));
    let error = client.batch_execute(&long).await.expect_err("too long");
    assert_eq!(sql_state_of(&error), "08P01");
    let client = setup.connect("").await.expect("login");
    client
        .batch_execute("SELECT 1")
        .await
        .expect("still serving");
}

/// Guards against writes that fail during a failover although they were never sent, and against
/// transactions that are cut off by a planned shutdown.
#[tokio::test]
async fn writes_wait_for_a_primary_and_a_stop_lets_transactions_end() {
    let mut setup = entry_support::TestSetup::start().await;
    let client = setup.connect("").await.expect("login");
    client
        .batch_execute("INSERT INTO t (k, v) VALUES ('a', '1')")
        .await
        .expect("insert");
    let mut others = Vec::new();
    for address in &setup.instances {
        others.push(
            entry_support::connect_to(*address, "pool", "orders", "")
                .await
                .expect("instance"),
        );
    }
    for other in &others[..2] {
        other
            .simple_query("SELECT group_fence(2)")
            .await
            .expect("fence");
    }
    let write = client.batch_execute("INSERT INTO t (k, v) VALUES ('b', '2')");
    let promotion = async {
        others[1]
            .simple_query("SELECT group_promote(2)")
            .await
            .expect("promote");
        for number in [0, 2] {
            let follow = format!("SELECT group_follow(2, '{}')", setup.instances[1]);
            others[number].simple_query(&follow).await.expect("follow");
        }
    };
    let (written, ()) = tokio::join!(write, promotion);
    written.expect("held until the promotion");
    client.batch_execute("BEGIN").await.expect("begin");
    let stop = process::Command::new("kill")
        .arg(setup.entry.child.id().to_string())
        .status();
    assert!(stop.expect("kill").success());
    client
        .batch_execute("INSERT INTO t (k, v) VALUES ('c', '3')")
        .await
        .expect("insert");
    client.batch_execute("COMMIT").await.expect("commit");
    let code = tokio::task::spawn_blocking(move || setup.entry.child.wait());
    let code = tokio::time::timeout(entry_support::WAIT_LIMIT, code)
        .await
        .expect("stops")
        .expect("joined");
    assert_eq!(code.expect("status").code(), Some(0));
}

/// Starts a load balancer that sends the first connection to one entry and all later ones to
/// another.
async fn start_balancer(first: net::SocketAddr, later: net::SocketAddr) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        let mut target = first;
        while let Ok((mut client, _)) = listener.accept().await {
            let mut entry = tokio::net::TcpStream::connect(target).await.expect("entry");
            target = later;
            tokio::spawn(async move {
                // Either side may close first.
                let _ended = tokio::io::copy_bidirectional(&mut client, &mut entry).await;
            });
        }
    });
    address
}

/// Guards against a cancel request that is lost because the load balancer sends it to an entry that
/// does not hold the session.
#[tokio::test]
async fn a_cancel_request_reaches_the_session_through_another_entry() {
    let setup = entry_support::TestSetup::start().await;
    let other = setup.add_entry().await;
    let balancer = start_balancer(setup.entry.addresses["listen"], other.addresses["listen"]).await;
    let client = entry_support::connect_to(balancer, "app", "orders", "")
        .await
        .expect("login");
    let token = client.cancel_token();
    // Far longer than the test may take, so that only the cancel request ends it.
    let sleep = client.simple_query("SELECT pg_sleep(600)");
    tokio::pin!(sleep);
    // The request may arrive before the statement, as in PostgreSQL, so it is repeated.
    let cancelled = async {
        loop {
            tokio::select! {
                outcome = &mut sleep => return outcome,
                () = tokio::time::sleep(time::Duration::from_millis(50)) => {}
            }
            token
                .cancel_query(tokio_postgres::NoTls)
                .await
                .expect("cancel");
        }
    };
    let error = tokio::time::timeout(entry_support::WAIT_LIMIT, cancelled)
        .await
        .expect("the statement ends")
        .expect_err("it was cancelled");
    let code = error.code().map(tokio_postgres::error::SqlState::code);
    assert_eq!(code, Some("57014"), "{error}");
    let row = client.query_one("SELECT 1", &[]).await;
    assert!(row.is_ok(), "the session goes on: {row:?}");
}
