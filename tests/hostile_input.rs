//! No input makes a daemon panic or stop: invalid settings, an unavailable platform, a peer with
//! another link version, and random bytes on the listeners.

use std::net;
use std::process;

use persimmontack::link::{hello, stream_kind};
use rand::{RngExt, SeedableRng};
use testenv::{child_process, env_plan, process_set, test_env, waiting};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const DAEMONS: [&str; 3] = ["entry", "pool", "keeper"];

fn sample(daemon: &str) -> String {
    let path = format!("{}/samples/{daemon}.toml", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).expect("sample")
}

/// Runs `persimmon-<daemon> --config FILE --check`.
fn check(daemon: &str, text: &str) -> process::Output {
    let directory = tempfile::tempdir().expect("directory");
    let path = directory.path().join("settings.toml");
    std::fs::write(&path, text).expect("settings");
    let program = child_process::program_path(&format!("persimmon-{daemon}")).expect("program");
    process::Command::new(program)
        .arg("--config")
        .arg(&path)
        .arg("--check")
        .output()
        .expect("run")
}

/// Guards against a sample settings file that its daemon refuses, and against errors that do not
/// say which key is wrong, what was found and what was expected.
#[test]
fn settings_errors_name_the_key_the_value_and_what_was_expected() {
    for daemon in DAEMONS {
        let text = sample(daemon);
        let valid = check(daemon, &text);
        assert!(valid.status.success(), "{daemon}: {valid:?}");
        // Replaces the line of one key; every daemon has the keys that are used here.
        let with = |key: &str, line: &str| {
            let start = format!("{key} = ");
            let lines = text
                .lines()
                .map(|old| if old.starts_with(&start) { line } else { old });
            lines.collect::<Vec<_>>().join("\n")
        };
        for (changed, parts) in [
            (
                with("vm", "vm = \"vm-1\"\nlimt = 3"),
                ["limt", "3", "expected"],
            ),
            (with("vm", "vm = 17"), ["vm", "17", "string"]),
            (with("vm", ""), ["vm", "missing", "missing"]),
            (
                with("health", "health = \"there\""),
                ["health", "there", "address"],
            ),
            (with("vm", "vm = \"\""), ["vm", "", "name"]),
            (with("vm", "vm = "), ["vm", "", "expected"]),
        ] {
            let refused = check(daemon, &changed);
            let error = String::from_utf8_lossy(&refused.stderr).into_owned();
            assert!(!refused.status.success(), "{daemon}: {changed}");
            assert!(
                error.starts_with(&format!("persimmon-{daemon}: ")),
                "{error}"
            );
            assert!(!error.contains("panicked"), "{error}");
            for part in parts {
                assert!(
                    error.contains(part),
                    "{daemon}: {error:?} does not name {part:?}"
                );
            }
        }
    }
}

/// Guards against a keeper that exits, or logs nothing, when the platform cannot be reached at its
/// start, and against programs that exit when their keeper cannot be reached.
#[tokio::test]
async fn daemons_start_without_the_platform_and_find_it_later() {
    let directory = tempfile::tempdir().expect("directory");
    let mut set = process_set::ProcessSet::new(directory.path(), "info");
    // Bound and dropped again, so that nothing listens on the address.
    let free = net::TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    let platform = free.expect("port").to_string();
    let base = |extra: &[(&str, &str)]| {
        let pairs = [
            ("vm", "vm-1"),
            ("data_centre", "dc-1"),
            ("link", "127.0.0.1:0"),
            ("health", "127.0.0.1:0"),
        ];
        let pairs = pairs.iter().chain(extra);
        pairs
            .map(|(key, text)| ((*key).to_owned(), toml::Value::from(*text)))
            .collect::<toml::Table>()
    };
    let account = "[upstream]\nuser = \"pool\"\npassword = \"pool-secret\"\n";
    set.add(
        "keeper",
        "persimmon-keeper",
        base(&[("platform", &platform)]),
        account,
    )
    .await
    .expect("keeper");
    let unused = [("keeper", platform.as_str())];
    set.add("pool", "persimmon-pool", base(&unused), account)
        .await
        .expect("pool");
    let listen = [("keeper", platform.as_str()), ("listen", "127.0.0.1:0")];
    set.add("entry", "persimmon-entry", base(&listen), "")
        .await
        .expect("entry");
    for (name, event, place) in [
        ("keeper", "event=platform_unreachable", &platform),
        ("pool", "event=keeper_lost", &platform),
        ("entry", "event=tables_lost", &platform),
    ] {
        let child = set.get(name).expect("child");
        waiting::until(&format!("{name} logs {event}"), async || {
            let text = child.stderr_text().expect("stderr");
            text.lines()
                .any(|line| line.contains(event) && line.contains(place.as_str()))
        })
        .await;
    }
    let settings = base(&[]);
    let mut settings: toml::Table = settings.into_iter().filter(|_| false).collect();
    settings.insert("listen".to_owned(), platform.clone().into());
    set.add("platform", "standin-platform", settings, "")
        .await
        .expect("platform");
    let keeper = set.get("keeper").expect("keeper");
    waiting::until("the keeper finds the platform", async || {
        let text = keeper.stderr_text().expect("stderr");
        text.contains("event=platform_reachable")
    })
    .await;
}

/// Sends bytes, closes the sending side and reads until the peer closes the connection.
async fn send_bytes(address: net::SocketAddr, bytes: &[u8]) {
    let Ok(mut socket) = tokio::net::TcpStream::connect(address).await else {
        return;
    };
    // The peer may close at any point.
    if socket.write_all(bytes).await.is_ok() && socket.shutdown().await.is_ok() {
        let mut answer = Vec::new();
        let _read = socket.read_to_end(&mut answer).await;
    }
}

/// Guards against a daemon that panics or stops serving after bytes that no valid peer sends.
#[tokio::test]
async fn random_bytes_and_other_versions_stop_no_daemon() {
    let seed = std::env::var("PERSIMMON_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(20_261_204);
    println!("PERSIMMON_SEED={seed}");
    let mut random = rand::rngs::StdRng::seed_from_u64(seed);
    let plan = env_plan::EnvPlan::new(&[1])
        .group("proofs", |_index, _upstream| {})
        .rules(&env_plan::login_rules("clerk", "pencil"));
    let mut env = test_env::TestEnv::start(plan).await.expect("start");
    env.wait_ready().await;
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
    for daemon in DAEMONS {
        let name = format!("vm-1-1-{daemon}");
        let mut targets = vec!["link", "health"];
        if daemon == "entry" {
            targets.push("listen");
        }
        for what in targets {
            let address = env.processes().address(&name, what).expect("address");
            let prefixes: [&[u8]; 4] = [
                b"",
                preface,
                b"GET /metrics HTTP/1.1\r\n",
                b"\0\0\0\x50\0\x03\0\0",
            ];
            for prefix in prefixes {
                for _ in 0..8 {
                    let mut bytes = prefix.to_vec();
                    let length = random.random_range(0..2_000);
                    bytes.extend((0..length).map(|_| random.random::<u8>()));
                    send_bytes(address, &bytes).await;
                }
            }
        }
        // Well-formed streams with random bytes in their frames, after a valid handshake.
        let kinds = [
            stream_kind::StreamKind::Work,
            stream_kind::StreamKind::Feed,
            stream_kind::StreamKind::Observe,
            stream_kind::StreamKind::Tables,
            stream_kind::StreamKind::Gossip,
            stream_kind::StreamKind::Control,
        ];
        for kind in kinds {
            for _ in 0..8 {
                let peer = env.link_client(&name, "vm-x", "persimmon-keeper").await;
                let (mut writer, mut reader) = peer.expect("link").open(kind).await.expect("open");
                let length = random.random_range(0..200);
                let bytes: Vec<u8> = (0..length).map(|_| random.random()).collect();
                // This fails if the daemon has already rejected the stream.
                let _sent = writer.send_last(&bytes).await;
                let _answer = tokio::time::timeout(
                    std::time::Duration::from_millis(20),
                    reader.next::<Vec<u8>>(),
                )
                .await;
            }
        }
        let address = env.processes().address(&name, "link").expect("address");
        let other = hello::Hello {
            protocol_version: hello::PROTOCOL_VERSION + 1,
            ..hello::Hello::new("vm-x", "persimmon-keeper")
        };
        let dialer = persimmontack::dial::TcpDialer {
            source: None,
            timeout: std::time::Duration::from_secs(5),
        };
        let refused =
            persimmontack::link::client::PeerClient::connect(&dialer, address, &other).await;
        let cause = refused.expect_err("another version").to_string();
        for version in [hello::PROTOCOL_VERSION, hello::PROTOCOL_VERSION + 1] {
            assert!(cause.contains(&format!("version {version}")), "{cause}");
        }
    }
    env.wait_ready().await;
    let session = env.connect("vm-1-1", "clerk", "pencil", "proofs", "").await;
    let session = session.expect("login");
    let insert = "INSERT INTO proofs (k, v) VALUES ('a', 'b')";
    session.batch_execute(insert).await.expect("write");
    for daemon in DAEMONS {
        let child = env
            .processes()
            .get_mut(&format!("vm-1-1-{daemon}"))
            .expect("child");
        let text = child.stderr_text().expect("stderr");
        assert!(!text.contains("panicked"), "{daemon} panicked:\n{text}");
        assert_eq!(child.try_wait().expect("state"), None, "{daemon} ended");
    }
}
