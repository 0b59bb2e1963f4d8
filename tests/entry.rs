//! The entry with a real pool and stand-in instances. The test plays the keeper.

use std::io::BufRead;
use std::net;
use std::process;
use std::sync;
use std::time;

use futures::TryStreamExt;
use persimmontack::link::{hello, program_report, server, stream_kind};
use persimmontack::model::{control_tables, group_spec, upstream_spec, vm_record};
use persimmontack::rules::scram_verifier;
use standins::instance::{instance_server, settings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const PASSWORD: &str = "quince";
/// Bound on any wait; reached only when something hangs.
const PATIENCE: time::Duration = time::Duration::from_secs(60);

struct Daemon {
    child: process::Child,
    addresses: std::collections::HashMap<String, net::SocketAddr>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

impl Daemon {
    fn start(program: &str, directory: &std::path::Path, name: &str, text: &str) -> Self {
        let file = directory.join(name);
        std::fs::write(&file, text).expect("settings");
        // The guard is built first, so that a failed start ends the process too.
        let mut daemon = Self {
            child: process::Command::new(program)
                .arg("--config")
                .arg(&file)
                .stderr(process::Stdio::piped())
                .spawn()
                .expect("start"),
            addresses: std::collections::HashMap::new(),
        };
        let stderr = daemon.child.stderr.take().expect("stderr");
        let (sender, receiver) = sync::mpsc::channel();
        std::thread::spawn(move || {
            for line in std::io::BufReader::new(stderr)
                .lines()
                .map_while(Result::ok)
            {
                eprintln!("{line}");
                // Lines after the start interest nobody but the reader of the test's output.
                let _unread = sender.send(line);
            }
        });
        loop {
            let line = receiver.recv_timeout(PATIENCE).expect("the daemon starts");
            if line.contains("event=started") {
                return daemon;
            }
            let value = |key: &str| {
                line.split_whitespace()
                    .find_map(|word| word.strip_prefix(key))
                    .map(str::to_owned)
            };
            if let (Some(what), Some(address)) = (value("what="), value("address=")) {
                daemon
                    .addresses
                    .insert(what, address.parse().expect("an address"));
            }
        }
    }
}

struct Stage {
    entry: Daemon,
    _pool: Daemon,
    _directory: tempfile::TempDir,
    instances: Vec<net::SocketAddr>,
}

impl Stage {
    async fn start() -> Self {
        let directory = tempfile::tempdir().expect("directory");
        let mut instances = Vec::new();
        for number in 0..3 {
            let text = format!(
                "upstream = \"u-{number}\"\nlisten = \"127.0.0.1:0\"\nuser = \"pool\"\njournal = {:?}\n",
                directory.path().join(format!("journal-{number}"))
            );
            let settings: settings::InstanceSettings = toml::from_str(&text).expect("settings");
            instances.push(instance_server::start(settings).await.expect("instance").0);
        }
        promote(&instances).await;
        let (tables, updates) =
            tokio::sync::watch::channel(control_tables::ControlTables::default());
        let keeper = start_keeper(updates).await;
        let common = format!(
            "vm = \"vm-1\"\ndata_centre = \"dc-1\"\nlink = \"127.0.0.1:0\"\nhealth = \"127.0.0.1:0\"\nkeeper = \"{keeper}\"\n"
        );
        let pool = Daemon::start(
            env!("CARGO_BIN_EXE_persimmon-pool"),
            directory.path(),
            "pool.toml",
            &format!("{common}[upstream]\nuser = \"pool\"\npassword = \"x\"\n"),
        );
        let entry = Daemon::start(
            env!("CARGO_BIN_EXE_persimmon-entry"),
            directory.path(),
            "entry.toml",
            &format!(
                "{common}listen = \"127.0.0.1:0\"\n[limits]\ndrain_time = \"10ms\"\nmessage_bytes = 100000\n"
            ),
        );
        let verifier = scram_verifier::ScramVerifier::derive(PASSWORD, b"0123456789abcdef", 4096);
        tables.send_replace(control_tables::ControlTables {
            vms: vec![vm_record::VmRecord {
                vm: "vm-1".into(),
                data_centre: "dc-1".into(),
                leaving: false,
                keeper,
                pool: pool.addresses["link"],
                entry: entry.addresses["link"],
            }],
            groups: vec![group_spec::GroupSpec {
                group: "g".into(),
                databases: vec!["orders".into()],
                upstreams: (0..3)
                    .map(|number| upstream_spec::UpstreamSpec {
                        upstream: format!("u-{number}"),
                        data_centre: "dc-1".into(),
                        address: instances[number],
                        slots: 3,
                        connections: 20,
                        leaving: false,
                    })
                    .collect(),
            }],
            rules_revision: 1,
            rules_text: format!(
                "customer c # asked for by: test\nlogin app customer=c verifier={verifier} # asked for by: test\n"
            ),
        });
        let stage = Self {
            entry,
            _pool: pool,
            _directory: directory,
            instances,
        };
        tokio::time::timeout(PATIENCE, stage.wait_ready())
            .await
            .expect("ready");
        stage
    }

    async fn wait_ready(&self) {
        let address = self.entry.addresses["health"];
        loop {
            let mut socket = tokio::net::TcpStream::connect(address)
                .await
                .expect("health");
            let request = b"GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
            socket.write_all(request).await.expect("request");
            let mut answer = String::new();
            socket.read_to_string(&mut answer).await.expect("answer");
            if answer.starts_with("HTTP/1.1 200") {
                return;
            }
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    }

    async fn connect(
        &self,
        options: &str,
    ) -> Result<tokio_postgres::Client, tokio_postgres::Error> {
        connect_to(self.entry.addresses["listen"], "app", "orders", options).await
    }
}

async fn connect_to(
    address: net::SocketAddr,
    user: &str,
    database: &str,
    options: &str,
) -> Result<tokio_postgres::Client, tokio_postgres::Error> {
    let mut config = tokio_postgres::Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user(user)
        .password(PASSWORD)
        .dbname(database);
    if !options.is_empty() {
        config.options(options);
    }
    let (client, connection) = config.connect(tokio_postgres::NoTls).await?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            eprintln!("connection ended: {error}");
        }
    });
    Ok(client)
}

/// Makes the first instance the primary of term 1, as a keeper would.
async fn promote(instances: &[net::SocketAddr]) {
    let mut clients = Vec::new();
    for address in instances {
        clients.push(
            connect_to(*address, "pool", "orders", "")
                .await
                .expect("instance"),
        );
    }
    for client in &clients[..2] {
        client
            .simple_query("SELECT group_fence(1)")
            .await
            .expect("fence");
    }
    clients[0]
        .simple_query("SELECT group_promote(1)")
        .await
        .expect("promote");
    for client in &clients[1..] {
        let follow = format!("SELECT group_follow(1, '{}')", instances[0]);
        client.simple_query(&follow).await.expect("follow");
    }
}

async fn start_keeper(
    updates: tokio::sync::watch::Receiver<control_tables::ControlTables>,
) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind");
    let address = listener.local_addr().expect("address");
    let server = server::PeerServer::new(listener, hello::Hello::new("vm-1", "keeper"));
    tokio::spawn(server.run(move |mut stream| {
        let mut updates = updates.clone();
        async move {
            assert_eq!(stream.kind, stream_kind::StreamKind::Tables);
            loop {
                let tables = updates.borrow_and_update().clone();
                if !tables.vms.is_empty() && stream.writer.send(&tables).await.is_err() {
                    return;
                }
                loop {
                    tokio::select! {
                        changed = updates.changed() => {
                            if changed.is_err() { return; }
                            break;
                        }
                        report = stream.reader.next::<program_report::ProgramReport>() => {
                            if !matches!(report, Ok(Some(_))) { return; }
                        }
                    }
                }
            }
        }
    }));
    address
}

fn state_of(error: &tokio_postgres::Error) -> String {
    error
        .code()
        .map(|code| code.code().to_owned())
        .unwrap_or_default()
}

/// Guards against reads that miss the session's own writes, and against drivers that trip over
/// rewritten prepared statements.
#[tokio::test]
async fn a_session_reads_its_own_writes_by_prepared_statements() {
    let stage = Stage::start().await;
    let client = stage.connect("").await.expect("login");
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
    assert_eq!(state_of(&duplicate), "23505");
}

/// Guards against a position that is not handed to the caller or not taken from it.
#[tokio::test]
async fn a_position_roams_with_the_caller() {
    let stage = Stage::start().await;
    let first = stage.connect("").await.expect("login");
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
    let second = stage.connect(&options).await.expect("login");
    let rows = second
        .query("SELECT v FROM t WHERE k = 'a'", &[])
        .await
        .expect("select");
    assert_eq!(rows.len(), 1);
    assert_eq!(show(second).await, position);
    let error = stage
        .connect("-c persimmontack.position=x")
        .await
        .expect_err("no position");
    assert_eq!(state_of(&error), "22023");
}

/// Guards against transactions that leak, and against SET that takes effect for others.
#[tokio::test]
async fn transactions_commit_and_roll_back() {
    let stage = Stage::start().await;
    let mut client = stage.connect("").await.expect("login");
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
    assert_eq!(state_of(&refused.expect_err("read only")), "25006");
    reads.rollback().await.expect("rollback");
}

/// Guards against a refused statement that leaves the transaction open upstream, so that a later
/// COMMIT would keep what the caller believes to be rolled back.
#[tokio::test]
async fn a_refusal_fails_the_transaction() {
    let stage = Stage::start().await;
    let client = stage.connect("").await.expect("login");
    client.batch_execute("BEGIN").await.expect("begin");
    client
        .batch_execute("INSERT INTO t (k, v) VALUES ('a', '1')")
        .await
        .expect("insert");
    let error = client.batch_execute("LISTEN c").await.expect_err("refused");
    assert_eq!(state_of(&error), "0A000");
    let error = client
        .batch_execute("SELECT 1")
        .await
        .expect_err("failed transaction");
    assert_eq!(state_of(&error), "25P02");
    client.batch_execute("COMMIT").await.expect("ends");
    assert!(
        client
            .query("SELECT v FROM t WHERE k = 'a'", &[])
            .await
            .map_or(true, |rows| rows.is_empty())
    );
}

/// Guards against session state that leaks, and against parameters that no one keeps.
#[tokio::test]
async fn session_state_is_kept_by_the_entry_or_refused() {
    let stage = Stage::start().await;
    let client = stage.connect("").await.expect("login");
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
        assert_eq!(state_of(&error), "0A000", "{sql}");
    }
    let error = client
        .batch_execute("SET persimmontack.max_age = 'soon'")
        .await;
    assert_eq!(state_of(&error.expect_err("no time")), "22023");
    client
        .batch_execute("SELECT 1")
        .await
        .expect("still usable");
}

/// Guards against answers that are cut, and against a cancel request that finds nobody.
#[tokio::test]
async fn long_answers_arrive_whole_and_can_be_cancelled() {
    let stage = Stage::start().await;
    let client = stage.connect("").await.expect("login");
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
    assert_eq!(state_of(&ended.expect_err("cancelled")), "57014");
}

/// Guards against a login without the right password, and against panics on garbage.
#[tokio::test]
async fn bad_callers_are_refused() {
    let stage = Stage::start().await;
    let address = stage.entry.addresses["listen"];
    let error = connect_to(address, "nobody", "orders", "")
        .await
        .expect_err("unknown user");
    assert_eq!(state_of(&error), "28P01");
    let error = connect_to(address, "app", "nowhere", "")
        .await
        .expect_err("unknown database");
    assert_eq!(state_of(&error), "28000");
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
        let read = tokio::time::timeout(PATIENCE, socket.read_to_end(&mut answer)).await;
        read.expect("the connection ends").expect("cleanly");
        assert_eq!(answer.first(), Some(&b'E'), "{garbage:?}");
    }
    let client = stage.connect("").await.expect("login");
    let long = format!("SELECT '{}'", "x".repeat(200_000));
    let error = client.batch_execute(&long).await.expect_err("too long");
    assert_eq!(state_of(&error), "08P01");
    let client = stage.connect("").await.expect("login");
    client
        .batch_execute("SELECT 1")
        .await
        .expect("still serving");
}

/// Guards against writes that fail during a failover although they were never sent, and against
/// sessions cut off at a planned stop.
#[tokio::test]
async fn writes_wait_for_a_primary_and_a_stop_lets_transactions_end() {
    let mut stage = Stage::start().await;
    let client = stage.connect("").await.expect("login");
    client
        .batch_execute("INSERT INTO t (k, v) VALUES ('a', '1')")
        .await
        .expect("insert");
    let mut others = Vec::new();
    for address in &stage.instances {
        others.push(
            connect_to(*address, "pool", "orders", "")
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
            let follow = format!("SELECT group_follow(2, '{}')", stage.instances[1]);
            others[number].simple_query(&follow).await.expect("follow");
        }
    };
    let (written, ()) = tokio::join!(write, promotion);
    written.expect("held until the promotion");
    client.batch_execute("BEGIN").await.expect("begin");
    let stop = process::Command::new("kill")
        .arg(stage.entry.child.id().to_string())
        .status();
    assert!(stop.expect("kill").success());
    client
        .batch_execute("INSERT INTO t (k, v) VALUES ('c', '3')")
        .await
        .expect("insert");
    client.batch_execute("COMMIT").await.expect("commit");
    let code = tokio::task::spawn_blocking(move || stage.entry.child.wait());
    let code = tokio::time::timeout(PATIENCE, code)
        .await
        .expect("stops")
        .expect("joined");
    assert_eq!(code.expect("status").code(), Some(0));
}
