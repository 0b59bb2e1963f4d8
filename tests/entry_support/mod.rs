//! A test setup with an entry, a pool and three stand-in database instances, and a stub of the
//! keeper that sends them the control tables.

use std::io::BufRead;
use std::net;
use std::process;
use std::sync;
use std::time;

use persimmontack::link::{hello, program_report, server, stream_kind};
use persimmontack::model::{control_tables, group_spec, upstream_spec, vm_record};
use persimmontack::rules::scram_verifier;
use standins::instance::{instance_server, settings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const PASSWORD: &str = "quince";
/// Timeout of every wait; reached only when something hangs.
pub const WAIT_LIMIT: time::Duration = time::Duration::from_secs(60);

/// A daemon process, which is killed on drop, and the addresses that it listens on.
pub struct DaemonProcess {
    pub child: process::Child,
    pub addresses: std::collections::HashMap<String, net::SocketAddr>,
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

impl DaemonProcess {
    fn start(program: &str, directory: &std::path::Path, name: &str, text: &str) -> Self {
        let file = directory.join(name);
        std::fs::write(&file, text).expect("settings");
        // Created first, so that the process is killed if the start fails.
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
                // Nobody receives the lines after the start; they are only printed.
                let _unread = sender.send(line);
            }
        });
        loop {
            let line = receiver
                .recv_timeout(WAIT_LIMIT)
                .expect("the daemon starts");
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

/// The running processes of a test and their control tables.
pub struct TestSetup {
    pub entry: DaemonProcess,
    _pool: DaemonProcess,
    directory: tempfile::TempDir,
    keeper: net::SocketAddr,
    tables: tokio::sync::watch::Sender<control_tables::ControlTables>,
    pub instances: Vec<net::SocketAddr>,
}

impl TestSetup {
    pub async fn start() -> Self {
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
        let pool = DaemonProcess::start(
            env!("CARGO_BIN_EXE_persimmon-pool"),
            directory.path(),
            "pool.toml",
            &format!("{common}[upstream]\nuser = \"pool\"\npassword = \"x\"\n"),
        );
        let entry = DaemonProcess::start(
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
        let setup = Self {
            entry,
            _pool: pool,
            directory,
            keeper,
            tables,
            instances,
        };
        tokio::time::timeout(WAIT_LIMIT, setup.wait_ready())
            .await
            .expect("ready");
        setup
    }

    /// Starts an entry on a second VM, which is marked as leaving so that its pool gets no work.
    pub async fn add_entry(&self) -> DaemonProcess {
        let entry = DaemonProcess::start(
            env!("CARGO_BIN_EXE_persimmon-entry"),
            self.directory.path(),
            "entry-2.toml",
            &format!(
                "vm = \"vm-2\"\ndata_centre = \"dc-1\"\nlink = \"127.0.0.1:0\"\nhealth = \"127.0.0.1:0\"\nkeeper = \"{}\"\nlisten = \"127.0.0.1:0\"\n",
                self.keeper
            ),
        );
        self.tables.send_modify(|tables| {
            let mut vm = tables.vms[0].clone();
            vm.vm = "vm-2".into();
            vm.leaving = true;
            vm.entry = entry.addresses["link"];
            tables.vms.push(vm);
        });
        let ready = wait_ready(entry.addresses["health"]);
        tokio::time::timeout(WAIT_LIMIT, ready)
            .await
            .expect("ready");
        entry
    }

    async fn wait_ready(&self) {
        wait_ready(self.entry.addresses["health"]).await;
    }

    pub async fn connect(
        &self,
        options: &str,
    ) -> Result<tokio_postgres::Client, tokio_postgres::Error> {
        connect_to(self.entry.addresses["listen"], "app", "orders", options).await
    }
}

async fn wait_ready(address: net::SocketAddr) {
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

pub async fn connect_to(
    address: net::SocketAddr,
    user: &str,
    database: &str,
    options: &str,
) -> Result<tokio_postgres::Client, tokio_postgres::Error> {
    testenv::test_env::connect_to(address, user, PASSWORD, database, options).await
}

/// Promotes the first instance to primary of term 1, as a keeper would.
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
