//! `persimmonctl` against `standin-platform`: rule changes, conflicts, lost answers and outages.

mod ctl_support;

use std::ffi;
use std::io;
use std::net;
use std::os::unix::ffi::OsStrExt;
use std::process;

use ctl_support::{CtlRun, PlatformProcess, RulesDirectory, command, run};
use persimmontack::rules::scram_verifier;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const PARISH: &str = "customer parish weight=2 # asked for by: Parish office\n";
const PRESS: &str = "customer press # asked for by: Press office\n";

/// Fault that a relay injects at the first `PUT`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PutFault {
    /// Holds the request until the test releases it.
    Hold,
    /// Forwards the request, and then nothing more in either direction on any connection.
    SilenceAfter,
}

/// A TCP relay in front of the platform that injects a fault.
struct PutRelay {
    address: net::SocketAddr,
    seen: tokio::sync::watch::Receiver<bool>,
    release: tokio::sync::watch::Sender<bool>,
}

impl PutRelay {
    async fn start(platform: net::SocketAddr, fault: PutFault) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("bind");
        let address = listener.local_addr().expect("address");
        let (seen_sender, seen) = tokio::sync::watch::channel(false);
        let (release, released) = tokio::sync::watch::channel(false);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let (seen, released) = (seen_sender.clone(), released.clone());
                tokio::spawn(relay(client, platform, fault, seen, released));
            }
        });
        Self {
            address,
            seen,
            release,
        }
    }

    /// Waits until the fault is injected.
    async fn wait_for_put(&mut self) {
        self.seen.wait_for(|seen| *seen).await.expect("relay");
    }
}

/// Forwards requests and replies of one connection, until it closes or the fault stops it.
async fn relay(
    mut client: tokio::net::TcpStream,
    platform: net::SocketAddr,
    fault: PutFault,
    seen: tokio::sync::watch::Sender<bool>,
    mut released: tokio::sync::watch::Receiver<bool>,
) {
    let mut server = tokio::net::TcpStream::connect(platform)
        .await
        .expect("platform");
    let (mut request, mut reply) = (vec![0; 65_536], vec![0; 65_536]);
    loop {
        tokio::select! {
            read = client.read(&mut request) => {
                let Ok(length @ 1..) = read else { return };
                let is_put = request.starts_with(b"PUT ");
                if fault == PutFault::SilenceAfter && *seen.borrow() {
                    std::future::pending::<()>().await;
                }
                if is_put && fault == PutFault::Hold {
                    seen.send_replace(true);
                    released.wait_for(|released| *released).await.expect("test");
                }
                server.write_all(&request[..length]).await.expect("platform");
                if is_put && fault == PutFault::SilenceAfter {
                    // The platform's answer shows that the change took effect.
                    assert_ne!(server.read(&mut reply).await.expect("platform"), 0);
                    seen.send_replace(true);
                    std::future::pending::<()>().await;
                }
            }
            read = server.read(&mut reply) => {
                let Ok(length @ 1..) = read else { return };
                if client.write_all(&reply[..length]).await.is_err() {
                    return;
                }
            }
        }
    }
}

/// Guards against rules file errors reported without line and column or with a wrong exit code.
#[tokio::test]
async fn check_reports_every_error_with_line_and_column() {
    let rules = RulesDirectory::new();
    let good = rules.write("good.txt", PARISH);
    let checked = run(&mut command(&["check", &good])).await.assert_ok();
    assert_eq!(checked.stdout, format!("{good}: 1 rules are valid\n"));
    let bad = rules.write("bad.txt", &format!("{PARISH}read t max-age=2h\nbogus\n"));
    let checked = run(&mut command(&["check", &bad, "--json"])).await;
    checked.assert_failed(
        3,
        &[
            &format!("persimmonctl: {bad}:2:16: found \"2h\", expected a time"),
            &format!("persimmonctl: {bad}:2:18: found the end of the line"),
            &format!("persimmonctl: {bad}:3:1: found the unknown kind \"bogus\""),
        ],
    );
    let errors = checked.json();
    assert_eq!(errors["valid"], false);
    assert_eq!(errors["errors"][0]["line"], 2);
    assert_eq!(errors["errors"][0]["column"], 16);
    let binary = format!("{good}.latin1");
    std::fs::write(&binary, b"# a\n# \xe9\n").expect("rules");
    run(&mut command(&["check", &binary]))
        .await
        .assert_failed(3, &[":2: ", "UTF-8"]);
    run(&mut command(&["check", "/nowhere/rules"]))
        .await
        .assert_failed(3, &["/nowhere/rules"]);
}

/// Guards against an invalid command line that is executed, or rejected without an explanation.
#[tokio::test]
async fn invalid_arguments_fail_with_the_usage_exit_code() {
    let cases: [&[&str]; 16] = [
        &[],
        &["frob"],
        &["check"],
        &["check", "a", "b"],
        &["apply", "a"],
        &["show", "--revision", "x"],
        &["show", "extra"],
        &["history", "--last", "-1"],
        &["status", "--keeper", "nonsense"],
        &["status"],
        &["history"],
        &["history", "--platform", "localhost:1"],
        &["history", "--platform"],
        &["drain", "disk=a", "--requester", "x", "--author", "a"],
        &["drain", "vm=a", "--author", "a"],
        &[
            "drain",
            "vm=a",
            "--requester",
            "x\ndrain vm=b # asked for by: y",
            "--author",
            "a",
        ],
    ];
    for arguments in cases {
        let failed = run(&mut command(arguments)).await;
        failed.assert_failed(2, &[]);
        assert_eq!(failed.stderr.lines().count(), 1, "{failed:?}");
        assert_eq!(failed.stdout, "", "{failed:?}");
    }
    let raw = ffi::OsStr::from_bytes(b"caf\xe9");
    run(&mut command(&[raw])).await.assert_failed(2, &["UTF-8"]);
    let failed = run(command(&["status"]).env("PERSIMMON_KEEPER", "there")).await;
    failed.assert_failed(2, &["PERSIMMON_KEEPER", "\"there\""]);
}

/// Guards against a command without help or without examples.
#[tokio::test]
async fn help_starts_with_examples() {
    let general = run(&mut command(&["--help"])).await.assert_ok().stdout;
    for cmd in [
        "check", "apply", "show", "history", "status", "explain", "drain", "undrain", "promote",
        "verifier",
    ] {
        assert!(general.contains(&format!("\n  {cmd} ")), "{general}");
        let help = run(&mut command(&[cmd, "--help"])).await.assert_ok().stdout;
        let example = format!("Examples:\n  persimmonctl {cmd}");
        assert!(help.starts_with(&example), "{help}");
    }
}

/// Guards against an applied change that is lost, or that `show` or `history` prints wrongly.
#[tokio::test]
async fn applied_rules_are_shown_and_listed_in_the_history() {
    let platform = PlatformProcess::start();
    let rules = RulesDirectory::new();
    assert_eq!(platform.ctl(&["history"]).await.assert_ok().stdout, "");
    let first = rules.write("first.txt", PARISH);
    let second = rules.write("second.txt", PRESS);
    let apply = ["apply", &first, "--author", "anna"];
    let out = platform.ctl(&apply).await.assert_ok();
    assert_eq!(out.stdout, format!("revision 1 made by anna\n  + {PARISH}"));
    let again = platform.ctl(&apply).await.assert_ok();
    assert_eq!(again.stdout, "revision 1 already holds these rules\n");
    let change = ["apply", &second, "--author", "bert", "--json"];
    let made = platform.ctl(&change).await.assert_ok().json();
    assert_eq!(made["revision"], 2);
    assert_eq!(platform.ctl(&["show"]).await.assert_ok().stdout, PRESS);
    let old = platform.ctl(&["show", "--revision", "1"]).await.assert_ok();
    assert_eq!(old.stdout, PARISH);
    let none = platform.ctl(&["show", "--revision", "0"]).await.assert_ok();
    assert_eq!(none.stdout, "");
    let missing = platform.ctl(&["show", "--revision", "3"]).await;
    missing.assert_failed(1, &["revision 3 does not exist", "the newest is 2"]);
    let history = platform.ctl(&["history"]).await.assert_ok().stdout;
    let lines: Vec<_> = history.lines().collect();
    assert!(lines[0].starts_with("revision 2  20"), "{history}");
    assert!(lines[0].contains("Z  bert  "), "{history}");
    assert_eq!(lines[1], format!("  - {}", PARISH.trim_end()));
    assert_eq!(lines[2], format!("  + {}", PRESS.trim_end()));
    assert!(lines[3].starts_with("revision 1  20"), "{history}");
    let last = platform.ctl(&["history", "--last", "1", "--json"]).await;
    let last = last.assert_ok().json();
    assert_eq!(last.as_array().map(Vec::len), Some(1));
    assert_eq!(last[0]["id"], made["change"]["id"]);
    let invalid = rules.write("invalid.txt", "bogus\n");
    let refused = platform.ctl(&["apply", &invalid, "--author", "a"]).await;
    refused.assert_failed(3, &["bogus"]);
    assert_eq!(platform.ctl(&["show"]).await.assert_ok().stdout, PRESS);
}

/// Guards against an operator who overwrites a concurrent change: another change takes the revision
/// while the first operator's write is on its way. The error names the other change.
#[tokio::test]
async fn a_conflict_reports_the_change_that_came_first() {
    let platform = PlatformProcess::start();
    let rules = RulesDirectory::new();
    let base = rules.write("base.txt", PARISH);
    platform
        .ctl(&["apply", &base, "--author", "anna"])
        .await
        .assert_ok();
    let mut relay = PutRelay::start(platform.address, PutFault::Hold).await;
    let mine = rules.write("mine.txt", &format!("{PARISH}{PRESS}"));
    let theirs = rules.write("theirs.txt", PRESS);
    let mut first_apply = command(&["apply", &mine, "--author", "bert", "--json"]);
    first_apply.env("PERSIMMON_PLATFORM", relay.address.to_string());
    let conflict = async {
        relay.wait_for_put().await;
        let apply = ["apply", &theirs, "--author", "cleo"];
        platform.ctl(&apply).await.assert_ok();
        relay.release.send_replace(true);
    };
    let (refused, ()) = futures::join!(run(&mut first_apply), conflict);
    refused.assert_failed(
        4,
        &[
            "revision 2 was made first by cleo",
            &format!("  - {PARISH}"),
            &format!("  + {PRESS}"),
        ],
    );
    assert_eq!(refused.json()["came_first"][0]["author"], "cleo");
    assert_eq!(platform.ctl(&["show"]).await.assert_ok().stdout, PRESS);
}

/// Guards against a rules file that was copied before another change and silently reverts it.
#[tokio::test]
async fn a_file_with_an_outdated_base_is_refused() {
    let platform = PlatformProcess::start();
    let rules = RulesDirectory::new();
    let first = rules.write("first.txt", PARISH);
    let second = rules.write("second.txt", PRESS);
    platform
        .ctl(&["apply", &first, "--author", "anna", "--base", "0"])
        .await
        .assert_ok();
    let late = ["apply", &second, "--author", "bert", "--base", "0"];
    platform.ctl(&late).await.assert_failed(
        4,
        &["revision 1 was made first by anna", "  + customer parish"],
    );
    let ahead = ["apply", &second, "--author", "bert", "--base", "7"];
    platform
        .ctl(&ahead)
        .await
        .assert_failed(1, &["revision 7 does not exist"]);
    assert_eq!(platform.ctl(&["show"]).await.assert_ok().stdout, PARISH);
}

/// Guards against a change that took effect but is reported as failed or stored twice, when the
/// store's answer is lost.
#[tokio::test]
async fn a_change_with_a_lost_answer_is_recognised_by_its_id() {
    let platform = PlatformProcess::start();
    let rules = RulesDirectory::new();
    let file = rules.write("rules.txt", PARISH);
    platform.post("/admin/faults", &json!({ "lost_answers": 1 }));
    let made = platform
        .ctl(&["apply", &file, "--author", "anna", "--json"])
        .await
        .assert_ok()
        .json();
    assert_eq!(made["revision"], 1);
    let history = platform
        .ctl(&["history", "--json"])
        .await
        .assert_ok()
        .json();
    assert_eq!(history.as_array().map(Vec::len), Some(1));
    assert_eq!(history[0]["id"], made["change"]["id"]);
}

/// Guards against a change that may have taken effect being reported as not made, when the store
/// becomes unreachable after the write.
#[tokio::test]
async fn an_unconfirmed_change_is_reported_with_its_id() {
    let platform = PlatformProcess::start();
    let rules = RulesDirectory::new();
    let file = rules.write("rules.txt", PARISH);
    let mut relay = PutRelay::start(platform.address, PutFault::SilenceAfter).await;
    let mut apply = command(&["apply", &file, "--author", "anna", "--limit", "100ms"]);
    apply.env("PERSIMMON_PLATFORM", relay.address.to_string());
    let failed = run(&mut apply).await;
    relay.wait_for_put().await;
    let history = platform
        .ctl(&["history", "--json"])
        .await
        .assert_ok()
        .json();
    let id = history[0]["id"].as_str().expect("the change took effect");
    failed.assert_failed(6, &["revision 1 may have been made", id]);
}

/// Guards against a partial change, or a wrong exit code, during a platform outage.
#[tokio::test]
async fn an_apply_during_an_outage_changes_nothing() {
    let platform = PlatformProcess::start();
    let rules = RulesDirectory::new();
    let file = rules.write("rules.txt", PARISH);
    platform.post("/admin/faults", &json!({ "outage": "refuse" }));
    let apply = ["apply", &file, "--author", "anna"];
    platform
        .ctl(&apply)
        .await
        .assert_failed(5, &["status=503", "nothing was changed"]);
    platform.post("/admin/faults", &json!({}));
    assert_eq!(platform.ctl(&["history"]).await.assert_ok().stdout, "");
    drop(platform);
    let history = ["history", "--platform", "127.0.0.1:1"];
    run(&mut command(&history))
        .await
        .assert_failed(5, &["peer=127.0.0.1:1"]);
}

fn groups() -> serde_json::Value {
    let upstreams: Vec<_> = (1..=3)
        .map(|number| {
            json!({
                "upstream": format!("ledger-{number}"), "data_centre": "a",
                "address": "127.0.0.1:1", "slots": 3, "connections": 20,
            })
        })
        .collect();
    json!([{ "group": "ledger", "databases": ["ledger"], "upstreams": upstreams }])
}

/// Guards against concurrent drains that overwrite each other, and drains of a misspelt name.
#[tokio::test]
async fn concurrent_drains_are_all_applied() {
    let platform = PlatformProcess::start();
    platform.post("/admin/groups", &groups());
    let targets = [
        "upstream=ledger-1",
        "upstream=ledger-2",
        "upstream=ledger-3",
    ];
    let drain = async |target: &str| {
        let arguments = ["drain", target, "--requester", "Desk", "--author", "anna"];
        platform.ctl(&arguments).await
    };
    let runs: Vec<CtlRun> = futures::future::join_all(targets.map(drain)).await;
    for drained in runs {
        drained.assert_ok();
    }
    let text = platform.ctl(&["show"]).await.assert_ok().stdout;
    for target in targets {
        assert!(
            text.contains(&format!("drain {target} # asked for by: Desk\n")),
            "{text}"
        );
    }
    let again = drain("upstream=ledger-1").await.assert_ok();
    assert_eq!(again.stdout, "revision 3 already holds these rules\n");
    drain("upstream=ledger-9")
        .await
        .assert_failed(1, &["does not list upstream=ledger-9", "  ledger-2\n"]);
    let undrain = ["undrain", "upstream=ledger-2", "--author", "bert"];
    platform.ctl(&undrain).await.assert_ok();
    let text = platform.ctl(&["show"]).await.assert_ok().stdout;
    assert_eq!(text.lines().count(), 2);
    assert!(!text.contains("ledger-2"), "{text}");
    platform
        .ctl(&undrain)
        .await
        .assert_failed(1, &["no rule drains upstream=ledger-2"]);
}

/// Guards against a drain that fails because of a conflicting change instead of being retried.
#[tokio::test]
async fn a_drain_is_retried_after_a_conflict() {
    let platform = PlatformProcess::start();
    platform.post("/admin/groups", &groups());
    let mut relay = PutRelay::start(platform.address, PutFault::Hold).await;
    let drain = |target| ["drain", target, "--requester", "Desk", "--author", "anna"];
    let mut first = command(&drain("upstream=ledger-1"));
    first.env("PERSIMMON_PLATFORM", relay.address.to_string());
    let conflict = async {
        relay.wait_for_put().await;
        platform.ctl(&drain("upstream=ledger-2")).await.assert_ok();
        relay.release.send_replace(true);
    };
    let (drained, ()) = futures::join!(run(&mut first), conflict);
    let stdout = drained.assert_ok().stdout;
    assert!(stdout.starts_with("revision 2 made by anna\n"), "{stdout}");
    let text = platform.ctl(&["show"]).await.assert_ok().stdout;
    assert_eq!(text.lines().count(), 2, "{text}");
}

/// Guards against a log that can be read only from its first change, and against a listing that
/// ends with the first block of 100 revisions.
#[tokio::test]
async fn the_snapshot_is_rewritten_every_64_changes() {
    let platform = PlatformProcess::start();
    let rules = RulesDirectory::new();
    let files = [rules.write("a.txt", PARISH), rules.write("b.txt", PRESS)];
    for (revision, file) in (1..=130_u64).zip(files.iter().cycle()) {
        let apply = ["apply", file, "--author", "anna", "--json"];
        let made = platform.ctl(&apply).await.assert_ok().json();
        assert_eq!(made["revision"], revision);
        assert_eq!(made["warnings"], json!([]));
    }
    let client = persimmontack::platform::client::PlatformClient::new(
        platform.address,
        "test",
        persimmontack::dial::TcpDialer {
            source: None,
            timeout: std::time::Duration::from_secs(10),
        },
    );
    let entry = client.get("rules/snapshot").await.expect("platform");
    let snapshot: serde_json::Value =
        serde_json::from_str(&entry.expect("a snapshot").value).expect("JSON");
    assert_eq!(snapshot, json!({ "revision": 128, "text": PRESS }));
    let old = platform
        .ctl(&["show", "--revision", "63"])
        .await
        .assert_ok();
    assert_eq!(old.stdout, PARISH);
    let all = ["history", "--last", "1000", "--json"];
    let all = platform.ctl(&all).await.assert_ok().json();
    assert_eq!(all.as_array().map(Vec::len), Some(130));
}

/// Guards against a panic or an error when the reader of the output closes the pipe.
#[tokio::test]
async fn a_closed_pipe_is_not_an_error() {
    let (reader, writer) = io::pipe().expect("pipe");
    drop(reader);
    let mut help = command(&["--help"]);
    help.stdout(writer);
    let closed = run(&mut help).await;
    assert_eq!((closed.code, closed.stderr.as_str()), (0, ""));
}

/// Guards against a verifier that does not match the password.
#[tokio::test]
async fn verifier_reads_the_password_from_standard_input() {
    for (input, password) in [("pencil\n", "pencil"), ("two words\r\nmore", "two words")] {
        let mut child = command(&["verifier", "parish"])
            .stdin(process::Stdio::piped())
            .spawn()
            .expect("persimmonctl runs");
        let mut stdin = child.stdin.take().expect("input");
        stdin.write_all(input.as_bytes()).await.expect("input");
        drop(stdin);
        let output = child.wait_with_output().await.expect("output");
        let text = String::from_utf8(output.stdout).expect("UTF-8");
        let verifier: scram_verifier::ScramVerifier = text.trim_end().parse().expect("verifier");
        let derived =
            scram_verifier::ScramVerifier::derive(password, &verifier.salt, verifier.iterations);
        assert_eq!(verifier, derived);
    }
    run(&mut command(&["verifier", "parish"]))
        .await
        .assert_failed(2, &["no password"]);
}
