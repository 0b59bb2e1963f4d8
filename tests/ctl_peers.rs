//! `persimmonctl` against a fake keeper and a fake entry, and against real daemons.

mod ctl_support;

use std::net;
use std::sync;
use std::time;

use ctl_support::{PlatformProcess, RulesDirectory, command, run};
use persimmontack::link::{control, hello, program_report, server};
use persimmontack::model::{refusal_reason, retry_reason};
use serde_json::json;
use testenv::{env_plan, test_env, waiting};

type AnswerFn = sync::Arc<dyn Fn(control::ControlRequest) -> control::ControlReply + Send + Sync>;

/// Starts a fake peer that answers control requests with a function.
async fn start_peer(program: &str, answer: AnswerFn) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind");
    let address = listener.local_addr().expect("address");
    let server = server::PeerServer::new(listener, hello::Hello::new("vm-1", program));
    tokio::spawn(server.run(move |mut stream| {
        let answer = sync::Arc::clone(&answer);
        async move {
            let request = stream.reader.expect().await.expect("request");
            let reply = answer(request);
            stream.writer.send_last(&reply).await.expect("reply");
        }
    }));
    address
}

fn vm(name: &str, revision: u64) -> control::VmStatus {
    control::VmStatus {
        vm: name.to_owned(),
        data_centre: "a".to_owned(),
        alive: true,
        leaving: false,
        keeper_revision: revision,
        entry_revision: Some(revision),
        pool_revision: Some(revision),
    }
}

/// Guards against `apply --wait` returning before every program on every live VM has the rules.
#[tokio::test]
async fn apply_waits_for_all_live_vms() {
    let platform = PlatformProcess::start();
    let rules = RulesDirectory::new();
    let file = rules.write("rules.txt", "customer a # asked for by: x\n");
    let poll_count = sync::Arc::new(sync::Mutex::new(0_u32));
    let polls = sync::Arc::clone(&poll_count);
    // With each poll one more program is up to date. The dead VM never is.
    let keeper = start_peer(
        "persimmon-keeper",
        sync::Arc::new(move |_request| {
            let mut polls = polls.lock().expect("polls");
            *polls += 1;
            let mut first = vm("vm-1", 1);
            let mut second = vm("vm-2", 1);
            first.keeper_revision = u64::from(*polls > 1);
            second.entry_revision = (*polls > 2).then_some(1);
            second.pool_revision = Some(u64::from(*polls > 3));
            let mut dead = vm("vm-3", 0);
            dead.alive = false;
            control::ControlReply::Status(control::StatusReport {
                vms: vec![first, second, dead],
                ..control::StatusReport::default()
            })
        }),
    )
    .await
    .to_string();
    let apply = [
        "apply", &file, "--author", "a", "--wait", "--keeper", &keeper, "--limit", "1m",
    ];
    let waited = platform.ctl(&apply).await.assert_ok();
    assert!(
        waited.stdout.ends_with("revision 1 is in force on 2 VMs\n"),
        "{waited:?}"
    );
    assert_eq!(*poll_count.lock().expect("polls"), 4);
}

/// Guards against `apply --wait` ignoring its limit, and against a timeout error that does not name
/// the outdated programs.
#[tokio::test]
async fn a_wait_that_times_out_lists_the_outdated_programs() {
    let platform = PlatformProcess::start();
    let rules = RulesDirectory::new();
    let file = rules.write("rules.txt", "customer a # asked for by: x\n");
    let keeper = start_peer(
        "persimmon-keeper",
        sync::Arc::new(|_request| {
            let mut second = vm("vm-2", 1);
            second.entry_revision = Some(0);
            second.pool_revision = None;
            control::ControlReply::Status(control::StatusReport {
                vms: vec![vm("vm-1", 1), second],
                ..control::StatusReport::default()
            })
        }),
    )
    .await
    .to_string();
    let apply = [
        "apply", &file, "--author", "a", "--wait", "--keeper", &keeper, "--limit", "50ms",
    ];
    platform.ctl(&apply).await.assert_failed(
        6,
        &[
            "revision 1 was made and will not be rolled back",
            "  vm-2 entry has revision 0\n",
            "  vm-2 pool has not reported a revision\n",
        ],
    );
    let history = platform
        .ctl(&["history", "--json"])
        .await
        .assert_ok()
        .json();
    assert_eq!(history[0]["revision"], 1);
}

fn report(name: &str) -> control::StatusReport {
    let pool = program_report::ProgramReport {
        rules_revision: 7,
        sessions: 0,
        queues: vec![program_report::QueueReport {
            upstream: "ledger-1".to_owned(),
            waiting: 12,
            running: 3,
            connections: 9,
            wait: time::Duration::from_millis(40),
        }],
        refusals: vec![(refusal_reason::RefusalReason::QueueFull, 5)],
        retries: vec![(retry_reason::RetryReason::LinkBroken, 2)],
    };
    let upstream = |name: &str, reachable| control::UpstreamStatus {
        upstream: name.to_owned(),
        data_centre: "a".to_owned(),
        reachable,
        leaving: false,
        state: None,
        lag_entries: reachable.then_some(17),
    };
    control::StatusReport {
        vm: name.to_owned(),
        platform_reachable: true,
        rules_revision: 7,
        groups: vec![
            control::GroupStatus {
                group: "ledger".to_owned(),
                primary: Some("ledger-1".to_owned()),
                term: 3,
                holder: Some("vm-2".to_owned()),
                upstreams: vec![upstream("ledger-1", true), upstream("ledger-2", false)],
            },
            control::GroupStatus {
                group: "proofs".to_owned(),
                primary: None,
                term: 0,
                holder: None,
                upstreams: Vec::new(),
            },
        ],
        vms: vec![vm("vm-1", 7), vm("vm-2", 6)],
        programs: vec![("persimmon-pool".to_owned(), pool)],
    }
}

/// Guards against a status without the information that an operator needs in an incident.
#[tokio::test]
async fn status_shows_groups_vms_queues_refusals_and_retries() {
    let platform = PlatformProcess::start();
    let peer = async |name: &'static str| {
        let answer: AnswerFn = sync::Arc::new(move |request| {
            assert_eq!(request, control::ControlRequest::Status);
            control::ControlReply::Status(report(name))
        });
        start_peer("persimmon-keeper", answer).await
    };
    let (first, second) = (peer("vm-1").await, peer("vm-2").await);
    let record = |name: &str, keeper: net::SocketAddr| {
        json!({
            "vm": name, "data_centre": "a", "keeper": keeper,
            "pool": "127.0.0.1:1", "entry": "127.0.0.1:1",
        })
    };
    let down = "127.0.0.1:1".parse().expect("address");
    let vms = json!([
        record("vm-3", down),
        record("vm-1", first),
        record("vm-2", second)
    ]);
    platform.post("/admin/vms", &vms);
    let text = platform.ctl(&["status"]).await.assert_ok().stdout;
    let rows: Vec<String> = text
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>().join(" "))
        .collect();
    for row in [
        "as seen by the keeper of vm-1, rules revision 7",
        "! group proofs has no primary",
        "! upstream ledger-2 does not answer",
        "! vm-2 pool has revision 6",
        "ledger ledger-1 3 vm-2",
        "proofs none 0 none",
        "ledger ledger-1 primary a up - 17",
        "ledger ledger-2 replica a unreachable - -",
        "vm-2 a up 6 6 6",
        "vm-1 ledger-1 12 3 9 40",
        "vm-2 ledger-1 12 3 9 40",
        "vm-1 persimmon-pool refusals queue_full 5",
        "vm-2 persimmon-pool retries link_broken 2",
    ] {
        assert!(rows.iter().any(|found| found == row), "{row}: {text}");
    }
    assert!(
        rows.iter()
            .any(|row| row.starts_with("! vm-3: link failed")),
        "{text}"
    );
    let status = platform.ctl(&["--json", "status"]).await.assert_ok().json();
    assert_eq!(status["groups"][0]["primary"], "ledger-1");
    assert_eq!(status["programs"][1]["vm"], "vm-2");
    assert_eq!(status["programs"][1]["queues"][0]["wait_ms"], 40.0);
    assert_eq!(
        status["programs"][1]["refusals"],
        json!({ "queue_full": 5 })
    );
    drop(platform);
    let keeper = first.to_string();
    let alone = run(&mut command(&["status", "--keeper", &keeper]))
        .await
        .assert_ok();
    assert!(alone.stdout.contains("vm-1  persimmon-pool"), "{alone:?}");
}

/// Guards against `explain` dropping a part of the request or of the answer.
#[tokio::test]
async fn explain_prints_the_answer_of_the_entry() {
    let answer: AnswerFn = sync::Arc::new(|request| {
        let control::ControlRequest::Explain(request) = request else {
            return control::ControlReply::Failed("another request".to_owned());
        };
        if request.user != "parish" {
            return control::ControlReply::Failed("user is unknown".to_owned());
        }
        assert_eq!(request.max_age, Some(time::Duration::from_secs(2)));
        control::ControlReply::Explanation(control::RouteExplanation {
            customer: "parish-network".to_owned(),
            group: request.database,
            access: "read".to_owned(),
            upstream: None,
            pool: None,
            steps: vec![request.sql, request.position.expect("position").to_string()],
        })
    });
    let entry = start_peer("persimmon-entry", answer).await.to_string();
    let explain = async |user: &str, sql: &str| {
        let arguments = [
            "explain",
            "--entry",
            &entry,
            "--user",
            user,
            "--database",
            "ledger",
            "--position",
            "3/1042",
            "--max-age",
            "2s",
            sql,
        ];
        run(&mut command(&arguments)).await
    };
    let text = explain("parish", "SELECT 1").await.assert_ok().stdout;
    assert!(text.contains("upstream  none now\n"), "{text}");
    assert!(text.ends_with("1. SELECT 1\n2. 3/1042\n"), "{text}");
    explain("nobody", "SELECT 1")
        .await
        .assert_failed(1, &["user is unknown"]);
    let missing = ["explain", "--entry", &entry, "--user", "u", "SELECT 1"];
    run(&mut command(&missing))
        .await
        .assert_failed(2, &["--database"]);
}

/// Guards against a promotion that is requested from two keepers, or reported as successful
/// although it failed.
#[tokio::test]
async fn promote_reports_the_answer_of_the_keeper() {
    let answer: AnswerFn = sync::Arc::new(|request| match request {
        control::ControlRequest::Promote { group, upstream } if group == "ledger" => {
            control::ControlReply::Done(format!("primary is {}", upstream.unwrap_or_default()))
        }
        _ => control::ControlReply::Failed("group is unknown".to_owned()),
    });
    let keeper = start_peer("persimmon-keeper", answer).await.to_string();
    let promote = ["promote", "ledger", "ledger-2", "--keeper", &keeper];
    let done = run(&mut command(&promote)).await.assert_ok();
    assert_eq!(done.stdout, "primary is ledger-2\n");
    let promote = ["promote", "nothing", "--keeper", &keeper];
    run(&mut command(&promote))
        .await
        .assert_failed(1, &["nothing was not moved", "group is unknown"]);
    let promote = ["promote", "ledger", "--keeper", "127.0.0.1:1"];
    run(&mut command(&promote))
        .await
        .assert_failed(5, &["step=connect peer=127.0.0.1:1"]);
}

/// Guards against `persimmonctl` and the daemons disagreeing on the encoding of a message.
#[tokio::test]
async fn all_commands_work_against_real_daemons() {
    let plan = env_plan::EnvPlan::new(&[1, 1]).group("ledger", |_index, _upstream| {});
    let env = test_env::TestEnv::start(plan).await.expect("start");
    env.wait_ready().await;
    let address = |name: &str, what: &str| {
        let address = env.address_for_others(name, what).expect("address");
        address.to_string()
    };
    let platform = address(test_env::PLATFORM, "listen");
    let ctl = async |arguments: &[&str]| {
        run(command(arguments).env("PERSIMMON_PLATFORM", &platform)).await
    };
    let rules = RulesDirectory::new();
    let text = env_plan::login_rules("parish", "pencil");
    let file = rules.write("rules.txt", &text);
    // The limit only ends a failing test. Other tests check how long it takes.
    let apply = [
        "apply", &file, "--author", "anna", "--wait", "--limit", "1m",
    ];
    let applied = ctl(&apply).await.assert_ok().stdout;
    assert!(applied.ends_with("is in force on 2 VMs\n"), "{applied}");
    let status = ctl(&["status", "--json"]).await.assert_ok().json();
    assert_eq!(status["groups"][0]["group"], "ledger");
    assert_eq!(status["vms"].as_array().map(Vec::len), Some(2));
    let entry = address("vm-1-1-entry", "link");
    let explain = [
        "explain",
        "--entry",
        &entry,
        "--user",
        "parish",
        "--database",
        "ledger",
        "SELECT v FROM proofs WHERE k = 'x'",
    ];
    let route = ctl(&explain).await.assert_ok().stdout;
    assert!(
        route.contains("group     ledger\naccess    read\n"),
        "{route}"
    );
    let old = status["groups"][0]["primary"].as_str().expect("primary");
    let upstreams = status["groups"][0]["upstreams"].as_array().expect("list");
    let names = upstreams
        .iter()
        .filter_map(|upstream| upstream["upstream"].as_str());
    let new = names.clone().find(|name| *name != old).expect("a replica");
    ctl(&["promote", "ledger", new, "--limit", "1m"])
        .await
        .assert_ok();
    waiting::until("the new primary to be seen", async || {
        let status = ctl(&["status", "--json"]).await.assert_ok().json();
        status["groups"][0]["primary"] == *new
    })
    .await;
}
