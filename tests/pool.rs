//! Runs the pool program against a stand-in instance and a simulated keeper with fixed tables.

use std::net;
use std::path;
use std::process;
use std::time;

use persimmontack::dial;
use persimmontack::link::{
    batch_request, client, feed_update, frame_reader, frame_writer, hello, observe, server,
    stream_kind, work_frame, work_reply, work_request,
};
use persimmontack::model::{
    control_tables, group_spec, log_position, refusal_reason, upstream_spec, vm_record,
};
use postgres_protocol::message::frontend;
use standins::instance::{instance_server, settings};
use tokio::io::AsyncBufReadExt;

const DIALER: dial::TcpDialer = dial::TcpDialer {
    source: None,
    timeout: time::Duration::from_secs(10),
};
const UPSTREAM: &str = "ledger-1";

/// A running pool with an instance, a keeper and a link client. The pool is killed on drop.
struct PoolFixture {
    child: tokio::process::Child,
    client: client::PeerClient,
    _directory: tempfile::TempDir,
}

impl PoolFixture {
    async fn start() -> Self {
        let directory = tempfile::tempdir().expect("directory");
        let instance = start_instance(directory.path()).await;
        let keeper = start_keeper(instance).await;
        let (child, link) = start_pool(directory.path(), keeper).await;
        let own_hello = hello::Hello::new("vm-2", "test");
        let client = client::PeerClient::connect(&DIALER, link, &own_hello)
            .await
            .expect("connect");
        let this = Self {
            child,
            client,
            _directory: directory,
        };
        // A feed reports the upstream once the pool has the tables and the upstream's state.
        let (_writer, mut reader) = this.open(stream_kind::StreamKind::Feed).await;
        loop {
            let update: feed_update::FeedUpdate = reader.expect().await.expect("feed");
            if update.reports.iter().any(|report| report.reachable) {
                return this;
            }
        }
    }

    async fn open(
        &self,
        kind: stream_kind::StreamKind,
    ) -> (frame_writer::FrameWriter, frame_reader::FrameReader) {
        self.client.open(kind).await.expect("open")
    }

    async fn begin(&self, request: work_request::WorkRequest) -> Unit {
        let (mut writer, reader) = self.open(stream_kind::StreamKind::Work).await;
        let open = work_frame::WorkFrame::Open(request);
        writer.send(&open).await.expect("send");
        Unit { writer, reader }
    }

    /// Runs one statement as a unit of its own.
    async fn run(&self, sql: &str) -> Answer {
        let mut unit = self.begin(request()).await;
        unit.send(batch(sql)).await;
        unit.answer().await
    }
}

struct Unit {
    writer: frame_writer::FrameWriter,
    reader: frame_reader::FrameReader,
}

struct Answer {
    rows: Vec<u8>,
    done: work_reply::BatchDone,
}

impl Answer {
    fn contains(&self, text: &str) -> bool {
        let whole = [self.rows.as_slice(), &self.done.tail].concat();
        whole
            .windows(text.len())
            .any(|window| window == text.as_bytes())
    }
}

impl Unit {
    async fn send(&mut self, batch: batch_request::BatchRequest) {
        let frame = work_frame::WorkFrame::Batch(batch);
        self.writer.send(&frame).await.expect("send");
    }

    async fn answer(&mut self) -> Answer {
        let mut rows = Vec::new();
        loop {
            match self.reader.expect().await.expect("reply") {
                work_reply::WorkReply::Rows(bytes) => rows.extend_from_slice(&bytes),
                work_reply::WorkReply::BatchDone(done) => return Answer { rows, done },
                other => panic!("unexpected reply {other:?}"),
            }
        }
    }

    async fn refusal(&mut self) -> refusal_reason::RefusalReason {
        match self.reader.expect().await.expect("reply") {
            work_reply::WorkReply::Refused(refusal) => refusal.reason,
            other => panic!("unexpected reply {other:?}"),
        }
    }
}

fn request() -> work_request::WorkRequest {
    work_request::WorkRequest {
        request: 1,
        upstream: UPSTREAM.to_owned(),
        database: "ledger".to_owned(),
        customer: "parish".to_owned(),
        access: work_request::WorkAccess::Write,
        min_applied: None,
        term: None,
    }
}

fn batch(sql: &str) -> batch_request::BatchRequest {
    let mut messages = bytes::BytesMut::new();
    frontend::query(sql, &mut messages).expect("query");
    batch_request::BatchRequest {
        request: 1,
        messages: messages.freeze(),
        fingerprint: 7,
        long: Some(false),
        start_within: time::Duration::from_secs(60),
        silence_limit: time::Duration::from_secs(60),
        hold_completion: false,
        hidden_parses: Vec::new(),
    }
}

async fn start_instance(directory: &path::Path) -> net::SocketAddr {
    let text = format!(
        "upstream = {UPSTREAM:?}\nlisten = \"127.0.0.1:0\"\nuser = \"pool\"\npassword = \"secret\"\n\
         journal = {:?}\n",
        directory.join("journal")
    );
    let settings: settings::InstanceSettings = toml::from_str(&text).expect("settings");
    let (address, _task) = instance_server::start(settings).await.expect("instance");
    let login = format!(
        "host={} port={} user=pool password=secret dbname=ledger",
        address.ip(),
        address.port()
    );
    let (client, connection) = tokio_postgres::connect(&login, tokio_postgres::NoTls)
        .await
        .expect("login");
    let driver = tokio::spawn(connection);
    for sql in ["SELECT group_fence(1)", "SELECT group_promote(1)"] {
        client.simple_query(sql).await.expect(sql);
    }
    driver.abort();
    address
}

async fn start_keeper(instance: net::SocketAddr) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind");
    let address = listener.local_addr().expect("address");
    let tables = control_tables::ControlTables {
        vms: vec![vm_record::VmRecord {
            vm: "vm-1".to_owned(),
            data_centre: "south-1".to_owned(),
            leaving: false,
            keeper: address,
            pool: address,
            entry: address,
        }],
        groups: vec![group_spec::GroupSpec {
            group: "ledger".to_owned(),
            databases: vec!["ledger".to_owned()],
            upstreams: vec![upstream_spec::UpstreamSpec {
                upstream: UPSTREAM.to_owned(),
                data_centre: "south-1".to_owned(),
                address: instance,
                slots: 3,
                connections: 20,
                leaving: false,
            }],
        }],
        ..control_tables::ControlTables::default()
    };
    let server = server::PeerServer::new(listener, hello::Hello::new("vm-1", "keeper"));
    tokio::spawn(server.run(move |mut stream| {
        let tables = tables.clone();
        async move {
            stream.writer.send(&tables).await.expect("send tables");
            stream.writer.closed().await;
        }
    }));
    address
}

async fn start_pool(
    directory: &path::Path,
    keeper: net::SocketAddr,
) -> (tokio::process::Child, net::SocketAddr) {
    let config = directory.join("pool.toml");
    let text = format!(
        "vm = \"vm-1\"\ndata_centre = \"south-1\"\nlink = \"127.0.0.1:0\"\n\
         health = \"127.0.0.1:0\"\nkeeper = \"{keeper}\"\n\
         [upstream]\nuser = \"pool\"\npassword = \"secret\"\n"
    );
    std::fs::write(&config, text).expect("write settings");
    let mut child = tokio::process::Command::new(env!("CARGO_BIN_EXE_persimmon-pool"))
        .arg("--config")
        .arg(&config)
        .stderr(process::Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("start the pool");
    let stderr = child.stderr.take().expect("stderr");
    let mut lines = tokio::io::BufReader::new(stderr).lines();
    let address = loop {
        let line = lines.next_line().await.expect("read").expect("pool ended");
        if let Some((_, address)) = line.split_once("what=link address=") {
            break address.parse().expect("address");
        }
    };
    // The rest of the log is read, so that the pool never blocks on a full pipe.
    tokio::spawn(async move {
        while let Ok(Some(line)) = lines.next_line().await {
            println!("{line}");
        }
    });
    (child, address)
}

/// Guards against an answer that is truncated or changed, and against a commit without a log
/// position.
#[tokio::test]
async fn statements_are_answered_whole_and_commits_carry_their_position() {
    let pool = PoolFixture::start().await;
    let mut unit = pool.begin(request()).await;
    let insert = batch_request::BatchRequest {
        hold_completion: true,
        ..batch("INSERT INTO proofs (k, v) VALUES ('a', 'first')")
    };
    unit.send(insert).await;
    let inserted = unit.answer().await;
    assert_eq!(inserted.done.sql_state, None);
    assert!(inserted.contains("INSERT 0 1"));
    assert!(inserted.rows.is_empty(), "completion was sent early");
    assert!(
        inserted
            .done
            .position
            .is_some_and(|position| position.term == 1)
    );
    let read = pool.run("SELECT v FROM proofs WHERE k = 'a'").await;
    assert!(read.contains("first"));
    assert_eq!(read.done.status, work_reply::TransactionStatus::Idle);
    let repeated = pool
        .run("INSERT INTO proofs (k, v) VALUES ('a', 'again')")
        .await;
    assert_eq!(repeated.done.sql_state.as_deref(), Some("23505"));
}

/// Guards against a transaction that stays open after its client has disconnected, so that another
/// unit on the same connection would continue it.
#[tokio::test]
async fn a_transaction_whose_stream_ends_is_rolled_back() {
    let pool = PoolFixture::start().await;
    for abort in [false, true] {
        let mut unit = pool.begin(request()).await;
        unit.send(batch("BEGIN")).await;
        let begun = unit.answer().await;
        assert_eq!(begun.done.status, work_reply::TransactionStatus::Open);
        unit.send(batch("INSERT INTO proofs (k, v) VALUES ('b', 'lost')"))
            .await;
        unit.answer().await;
        if abort {
            unit.writer.abort();
        } else {
            unit.writer.finish().expect("finish");
            // The pool ends the stream once the transaction is rolled back.
            assert!(unit.reader.expect::<work_reply::WorkReply>().await.is_err());
        }
    }
    for _ in 0..20 {
        let answer = pool.run("SELECT v FROM proofs WHERE k = 'b'").await;
        assert_eq!(answer.done.status, work_reply::TransactionStatus::Idle);
        assert!(!answer.contains("lost"), "a rolled back write is visible");
    }
}

/// Guards against rows that are lost under flow control, and against a pool that buffers a whole
/// answer in memory.
#[tokio::test]
async fn a_large_answer_is_streamed() {
    let pool = PoolFixture::start().await;
    let answer = pool.run("SELECT n FROM generate_series(1, 200000)").await;
    assert!(answer.contains("200000"));
    // Each row is at least a message head, a column count, a length and a digit.
    assert!(answer.rows.len() + answer.done.tail.len() > 200_000 * 12);
    assert!(answer.done.tail.len() <= 32 * 1024);
}

/// Guards against batches that run on an upstream that lags or is not the expected primary.
#[tokio::test]
async fn batches_that_need_another_upstream_state_are_refused() {
    let pool = PoolFixture::start().await;
    let wrong_term = work_request::WorkRequest {
        term: Some(2),
        ..request()
    };
    let mut unit = pool.begin(wrong_term).await;
    unit.send(batch("DELETE FROM proofs WHERE k = 'a'")).await;
    assert_eq!(
        unit.refusal().await,
        refusal_reason::RefusalReason::NotPrimary
    );
    let far = work_request::WorkRequest {
        access: work_request::WorkAccess::Read,
        min_applied: Some(log_position::LogPosition::new(1, 1_000_000)),
        ..request()
    };
    let mut unit = pool.begin(far).await;
    unit.send(batch("SELECT 1")).await;
    assert_eq!(unit.refusal().await, refusal_reason::RefusalReason::Lagging);
    let right = work_request::WorkRequest {
        term: Some(1),
        ..request()
    };
    let mut unit = pool.begin(right).await;
    unit.send(batch("SELECT 1")).await;
    assert_eq!(unit.answer().await.done.sql_state, None);
}

/// Guards against a cancel request that is lost or after which the batch is not answered.
#[tokio::test]
async fn a_running_batch_can_be_cancelled() {
    let pool = PoolFixture::start().await;
    let mut unit = pool.begin(request()).await;
    unit.send(batch("SELECT pg_sleep(600)")).await;
    let answer = {
        let answer = unit.reader.expect::<work_reply::WorkReply>();
        tokio::pin!(answer);
        loop {
            // A cancel request that arrives before the statement has no effect, so it is repeated.
            let cancel = work_frame::WorkFrame::Cancel;
            unit.writer.send(&cancel).await.expect("send");
            let pause = tokio::time::sleep(time::Duration::from_millis(20));
            tokio::select! {
                answer = &mut answer => break answer.expect("reply"),
                () = pause => {}
            }
        }
    };
    match answer {
        work_reply::WorkReply::BatchDone(done) => {
            assert_eq!(done.sql_state.as_deref(), Some("57014"));
        }
        work_reply::WorkReply::Refused(refusal) => {
            assert_eq!(refusal.reason, refusal_reason::RefusalReason::Cancelled);
        }
        other => panic!("unexpected reply {other:?}"),
    }
}

/// Guards against a stale observation, which misses a write that was committed before the request.
#[tokio::test]
async fn an_observation_sees_what_was_committed_before() {
    let pool = PoolFixture::start().await;
    for number in 0..20 {
        let sql = format!("INSERT INTO proofs (k, v) VALUES ('k{number}', 'v')");
        let position = pool.run(&sql).await.done.position.expect("position");
        let (mut writer, mut reader) = pool.open(stream_kind::StreamKind::Observe).await;
        let upstreams = vec![UPSTREAM.to_owned()];
        let request = observe::ObserveRequest { upstreams };
        writer.send_last(&request).await.expect("send");
        let reply: observe::ObserveReply = reader.expect().await.expect("reply");
        assert!(reply.state.held >= position);
    }
}

/// Guards against a shutdown that aborts an open transaction or still accepts new units.
#[tokio::test]
async fn a_shutdown_finishes_open_units_and_refuses_new_ones() {
    let mut pool = PoolFixture::start().await;
    let mut unit = pool.begin(request()).await;
    unit.send(batch("BEGIN")).await;
    unit.answer().await;
    let (_feed_writer, mut feed) = pool.open(stream_kind::StreamKind::Feed).await;
    let id = pool.child.id().expect("the pool runs").to_string();
    let status = process::Command::new("kill").arg(&id).status();
    assert!(status.expect("kill").success());
    loop {
        let update: feed_update::FeedUpdate = feed.expect().await.expect("feed");
        if update.leaving {
            break;
        }
    }
    let mut refused = pool.begin(request()).await;
    refused.send(batch("SELECT 1")).await;
    assert_eq!(
        refused.refusal().await,
        refusal_reason::RefusalReason::Leaving
    );
    unit.send(batch("INSERT INTO proofs (k, v) VALUES ('c', 'kept')"))
        .await;
    unit.answer().await;
    unit.send(batch("COMMIT")).await;
    let committed = unit.answer().await;
    assert!(committed.done.position.is_some());
    let status = pool.child.wait().await.expect("wait");
    assert!(status.success(), "{status}");
}
