//! Accepted rules come into force on every VM and are never replaced by older ones, in spite of
//! outages, restarts and races. The tests check the logins that the entries accept and the
//! revisions that the VMs report.

mod configuration_support;

use std::collections;
use std::time;

use axum::routing;
use configuration_support as support;
use persimmontack::decide::{ownership, rule_log};
use persimmontack::dial;
use persimmontack::link::{client, gossip, hello, program_report, server, stream_kind};
use persimmontack::model::{control_tables, group_spec};
use persimmontack::platform::kv_entry;
use standins::fault_link;
use standins::platform::fault_plan;
use testenv::{http_call, process_set, test_env, waiting};

/// Guards against two changes that are both accepted as the same revision, and against an entry
/// that applies the rejected one.
#[tokio::test]
async fn of_two_racing_operators_one_wins_everywhere() {
    let env = support::start(&[1, 1], false).await;
    let mut files = Vec::new();
    for user in ["anna", "ben"] {
        let path = env.directory().join(user);
        std::fs::write(&path, support::rules(&["clerk", user])).expect("rules");
        files.push(path.to_str().expect("UTF-8").to_owned());
    }
    let apply = async |file: &str, author: &str| {
        env.ctl(&[
            "apply", file, "--author", author, "--base", "1", "--limit", "1m",
        ])
        .await
        .expect("persimmonctl")
    };
    let (anna, ben) = tokio::join!(apply(&files[0], "anna"), apply(&files[1], "ben"));
    let (winner, loser, lost) = match (anna.status.success(), ben.status.success()) {
        (true, false) => ("anna", "ben", ben),
        (false, true) => ("ben", "anna", anna),
        _ => panic!("not one winner: {anna:?} {ben:?}"),
    };
    let message = String::from_utf8_lossy(&lost.stderr).into_owned();
    assert!(
        message.contains(winner),
        "{loser}'s error does not name {winner}: {message:?}"
    );
    let watch = support::LoginWatch::start(&env, winner, true);
    env.wait_in_force(&["vm-1-1", "vm-2-1"], 2).await;
    support::wait_login(&env, &env.vm_names(), winner, true).await;
    support::wait_login(&env, &env.vm_names(), loser, false).await;
    watch.finish().await;
}

/// Guards against a change that is reported as failed or applied twice although the store accepted
/// it, because the store's answer was lost and the request is retried.
#[tokio::test]
async fn a_change_whose_answer_is_lost_is_in_force_once() {
    let env = support::start(&[1, 1], false).await;
    let path = env.directory().join("rules");
    std::fs::write(&path, support::rules(&["clerk", "anna"])).expect("rules");
    // All answers to writes are lost, also to those of the daemons: a plan for a single lost answer
    // could hit one of theirs instead.
    let plan = fault_plan::FaultPlan {
        lost_answers: 1_000_000,
        ..fault_plan::FaultPlan::default()
    };
    env.set_platform_faults(plan).await.expect("faults");
    let file = path.to_str().expect("UTF-8");
    let apply = ["apply", file, "--author", "anna", "--wait", "--limit", "1m"];
    let applied = env.ctl(&apply).await.expect("persimmonctl");
    assert!(applied.status.success(), "{applied:?}");
    env.set_platform_faults(fault_plan::FaultPlan::default())
        .await
        .expect("faults");
    let platform = env.platform().expect("platform");
    let log = platform.list(rule_log::LOG_PREFIX).await.expect("log");
    assert_eq!(log.entries.len(), 2, "{log:?}");
    // `--wait` has returned, so the change has to be in force already.
    for vm in env.vm_names() {
        assert_eq!(
            support::accepts_login(support::entry_address(&env, &vm), "anna").await,
            Some(true)
        );
    }
}

/// Guards against a VM that cannot start during an outage of the platform. The keeper alone, and
/// then all daemons of a VM, are restarted and have to receive the tables from a peer, and no older
/// rules may come into force anywhere meanwhile. The first VM's keeper has no peers in its settings
/// and is contacted by the others.
#[tokio::test]
async fn a_vm_restarted_in_an_outage_takes_its_tables_from_a_peer() {
    let mut env = support::start(&[2, 1], false).await;
    env.apply_rules(&support::rules(&["clerk", "anna"]))
        .await
        .expect("rules");
    env.wait_in_force(&["vm-1-1", "vm-1-2", "vm-2-1"], 2).await;
    env.set_platform_faults(support::OUTAGE)
        .await
        .expect("faults");
    let watch = support::LoginWatch::start(&env, "anna", true);
    for vm in ["vm-1-1", "vm-1-2"] {
        env.restart(&format!("{vm}-keeper")).await.expect("keeper");
        env.wait_in_force(&[vm], 2).await;
        for daemon in ["keeper", "pool", "entry"] {
            env.kill(&format!("{vm}-{daemon}")).expect("kill");
        }
        for daemon in ["keeper", "pool", "entry"] {
            env.restart(&format!("{vm}-{daemon}")).await.expect(daemon);
        }
        env.wait_in_force(&[vm], 2).await;
        support::wait_login(&env, &[vm.to_owned()], "anna", true).await;
    }
    env.wait_ready().await;
    for vm in ["vm-1-1", "vm-1-2"] {
        let report = env.status(vm).await.expect("status");
        assert!(!report.platform_reachable, "{vm} was not cut off");
    }
    watch.finish().await;
}

/// Guards against a data centre that keeps old rules after a network partition, or spreads them to
/// the others.
#[tokio::test]
async fn a_data_centre_catches_up_after_a_partition() {
    let env = support::start(&[1, 1, 1], true).await;
    let sources = |name: &str| {
        let places = env
            .vms()
            .iter()
            .filter(move |place| place.data_centre == name);
        places.map(|place| place.source).collect::<Vec<_>>()
    };
    let cut = fault_link::LinkRule {
        cut: true,
        ..fault_link::LinkRule::default()
    };
    let inside = sources("dc-3");
    for (name, link) in env.links() {
        if name.starts_with("vm-3-") {
            link.set_all(cut);
            for source in &inside {
                link.set_source(*source, Some(fault_link::LinkRule::default()));
            }
        } else if name != "proofs-3/listen" {
            for source in &inside {
                link.set_source(*source, Some(cut));
            }
        }
    }
    let watch = support::LoginWatch::start(&env, "clerk", false);
    env.apply_rules(&support::rules(&["anna"]))
        .await
        .expect("rules");
    env.wait_in_force(&["vm-1-1", "vm-2-1"], 2).await;
    let (near, far) = (
        ["vm-1-1", "vm-2-1"].map(str::to_owned),
        ["vm-3-1".to_owned()],
    );
    support::wait_login(&env, &near, "clerk", false).await;
    assert_eq!(
        support::accepts_login(support::entry_address(&env, "vm-3-1"), "clerk").await,
        Some(true)
    );
    for link in env.links().values() {
        link.heal();
    }
    env.wait_in_force(&["vm-3-1"], 2).await;
    support::wait_login(&env, &far, "clerk", false).await;
    support::wait_login(&env, &far, "anna", true).await;
    watch.finish().await;
}

/// Guards against older rules that come into force again from an outdated peer or from the store.
#[tokio::test]
async fn older_rules_are_not_accepted_from_a_peer_or_the_store() {
    let mut env = support::start(&[1, 1], false).await;
    env.apply_rules(&support::rules(&["anna"]))
        .await
        .expect("rules");
    let vms = env.vm_names();
    env.wait_in_force(&["vm-1-1", "vm-2-1"], 2).await;
    let watch = support::LoginWatch::start(&env, "clerk", false);
    support::wait_login(&env, &vms, "clerk", false).await;

    let old = rule_log::RuleSnapshot {
        revision: 1,
        text: support::rules(&["clerk"]),
    };
    let (removed, added) = rule_log::diff(&support::rules(&["anna"]), &support::rules(&["clerk"]));
    let replayed = rule_log::RuleChange {
        id: "replayed".to_owned(),
        revision: 2,
        author: "nobody".to_owned(),
        at: 0,
        removed,
        added,
    };
    for update in [
        rule_log::RuleUpdate::Snapshot(old.clone()),
        rule_log::RuleUpdate::Changes(vec![replayed.clone()]),
    ] {
        let frame = gossip::GossipFrame {
            rules_revision: 2,
            rules: Some(update),
            ..gossip::GossipFrame::default()
        };
        for vm in &vms {
            let keeper = format!("{vm}-keeper");
            // A keeper aborts an exchange that takes longer than 400 ms, which happens on a busy
            // machine, so the exchange is retried.
            let answer = waiting::until_some("a whole exchange", async || {
                let peer = env.link_client(&keeper, "vm-old", "persimmon-keeper").await;
                let opened = peer.ok()?.open(stream_kind::StreamKind::Gossip).await;
                let (mut writer, mut reader) = opened.ok()?;
                writer.send_last(&frame).await.ok()?;
                // The answer is sent after the frame was processed.
                reader.expect::<gossip::GossipFrame>().await.ok()
            })
            .await;
            assert_eq!(answer.rules_revision, 2);
        }
    }
    let platform = env.platform().expect("platform");
    for (key, value) in [
        (
            rule_log::SNAPSHOT_KEY.to_owned(),
            serde_json::to_string(&old),
        ),
        (rule_log::log_key(2), serde_json::to_string(&replayed)),
    ] {
        let body = kv_entry::PutBody {
            value: value.expect("JSON"),
            expected: None,
            lease: None,
        };
        platform.put(&key, &body).await.expect("put");
    }
    // Once a later change is in force, the keepers have read the outdated values from the store.
    let (removed, added) = rule_log::diff(
        &support::rules(&["anna"]),
        &support::rules(&["anna", "ben"]),
    );
    let body = kv_entry::PutBody {
        value: serde_json::to_string(&rule_log::RuleChange {
            id: "next".to_owned(),
            revision: 3,
            removed,
            added,
            ..replayed
        })
        .expect("JSON"),
        expected: Some(0),
        lease: None,
    };
    platform
        .put(&rule_log::log_key(3), &body)
        .await
        .expect("put");
    env.wait_in_force(&["vm-1-1", "vm-2-1"], 3).await;
    support::wait_login(&env, &vms, "ben", true).await;
    // A restarted keeper has to take the current rules from its peer, not the old ones from the
    // store.
    env.restart("vm-2-1-keeper").await.expect("keeper");
    env.wait_in_force(&["vm-2-1"], 3).await;
    support::wait_login(&env, &vms, "clerk", false).await;
    watch.finish().await;
}

/// Guards against a data centre that receives no changes after the keepers that watch the store for
/// it have been killed.
#[tokio::test]
async fn other_keepers_watch_when_the_watchers_are_killed() {
    let mut env = support::start(&[3], false).await;
    let mut ranked = env.vm_names();
    ranked.sort_by_key(|vm| std::cmp::Reverse(ownership::score(rule_log::RULES_PREFIX, vm)));
    let last = ranked.pop().expect("three VMs");
    for vm in &ranked {
        env.kill(&format!("{vm}-keeper")).expect("kill");
    }
    env.apply_rules(&support::rules(&["anna"]))
        .await
        .expect("rules");
    env.wait_in_force(&[&last], 2).await;
    support::wait_login(&env, &[last], "anna", true).await;
    for vm in &ranked {
        env.restart(&format!("{vm}-keeper")).await.expect("restart");
    }
    env.wait_in_force(&["vm-1-1", "vm-1-2", "vm-1-3"], 2).await;
    support::wait_login(&env, &env.vm_names(), "clerk", false).await;
}

/// Guards against an entry or a pool that goes back to older rules because the keeper on its VM was
/// restarted and knows only the older ones.
#[tokio::test]
async fn entry_and_pool_keep_their_rules_when_their_keeper_has_older_ones() {
    let mut env = support::start(&[1], false).await;
    env.apply_rules(&support::rules(&["anna"]))
        .await
        .expect("rules");
    env.wait_in_force(&["vm-1-1"], 2).await;
    let platform = env.platform().expect("platform");
    let mut groups = platform.groups().await.expect("groups");
    // Logins to this database succeed once the entry has applied these tables.
    groups[0].databases.push("drafts".to_owned());
    let old = control_tables::ControlTables {
        vms: platform.vms().await.expect("VMs"),
        groups,
        rules_revision: 1,
        rules_text: support::rules(&["clerk"]),
    };
    let keeper = env.processes().address("vm-1-1-keeper", "link");
    env.kill("vm-1-1-keeper").expect("kill");
    let listener = tokio::net::TcpListener::bind(keeper.expect("address")).await;
    let hello = hello::Hello::new("vm-1-1", "persimmon-keeper");
    let (sender, mut reports) = tokio::sync::mpsc::unbounded_channel();
    let server = server::PeerServer::new(listener.expect("bind"), hello);
    tokio::spawn(server.run(move |mut stream| {
        let (old, sender) = (old.clone(), sender.clone());
        async move {
            stream.writer.send(&old).await.expect("send");
            while let Ok(Some(report)) = stream.reader.next::<program_report::ProgramReport>().await
            {
                let program = stream.peer_hello.program.clone();
                let _sent = sender.send((program, report.rules_revision));
            }
        }
    }));
    let address = support::entry_address(&env, "vm-1-1");
    waiting::until("the tables to be applied", async || {
        let drafts = test_env::connect_to(address, "anna", "pencil", "drafts", "").await;
        drafts.is_ok() || support::accepts_login(address, "clerk").await == Some(true)
    })
    .await;
    assert_eq!(support::accepts_login(address, "clerk").await, Some(false));
    assert_eq!(support::accepts_login(address, "anna").await, Some(true));
    // The pool reports after each tables message that it has applied.
    let mut reported = collections::BTreeSet::new();
    while reported.len() < 2 {
        let (program, revision) = reports.recv().await.expect("report");
        assert_eq!(revision, 2, "{program}");
        reported.insert(program);
    }
}

/// Guards against a VM that rejects all logins as unknown because its keeper sent the groups before
/// it had received any rules.
#[tokio::test]
async fn a_keeper_sends_no_tables_before_it_knows_the_rules() {
    let (open, opened) = tokio::sync::watch::channel(false);
    let log = kv_entry::KvListing {
        revision: 1,
        entries: vec![kv_entry::KvEntry {
            key: rule_log::log_key(1),
            value: serde_json::to_string(&rule_log::RuleChange {
                id: "first".to_owned(),
                revision: 1,
                author: "test".to_owned(),
                at: 0,
                removed: Vec::new(),
                added: rule_log::diff("", &support::rules(&["clerk"])).1,
            })
            .expect("JSON"),
            revision: 1,
        }],
    };
    let group = group_spec::GroupSpec {
        group: "proofs".to_owned(),
        databases: vec!["proofs".to_owned()],
        upstreams: Vec::new(),
    };
    let app = axum::Router::new()
        .route("/vms", routing::get(async || "[]"))
        .route(
            "/groups",
            routing::get(async move || axum::Json(vec![group])),
        )
        .route("/kv/rules/snapshot", {
            let opened = opened.clone();
            routing::get(async move || {
                let mut opened = opened;
                let _opened = opened.wait_for(|open| *open).await;
                axum::http::StatusCode::NOT_FOUND
            })
        })
        .fallback(async move || {
            // The store does not answer at first, while the lists of VMs and groups are answered.
            let mut opened = opened;
            let _opened = opened.wait_for(|open| *open).await;
            axum::Json(log)
        });
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind");
    let platform = listener.local_addr().expect("address").to_string();
    tokio::spawn(async move { axum::serve(listener, app).await });
    let directory = tempfile::tempdir().expect("directory");
    let mut set = process_set::ProcessSet::new(directory.path(), "info");
    let settings = [
        ("vm", "vm-1"),
        ("data_centre", "dc-1"),
        ("link", "127.0.0.1:0"),
        ("health", "127.0.0.1:0"),
        ("platform", &platform),
    ];
    let settings = settings.map(|(key, text)| (key.to_owned(), toml::Value::from(text)));
    let account = "[upstream]\nuser = \"pool\"\npassword = \"pool-secret\"\n";
    let settings = settings.into_iter().collect();
    set.add("keeper", "persimmon-keeper", settings, account)
        .await
        .expect("keeper");
    let child = set.get("keeper").expect("keeper");
    let dialer = dial::TcpDialer {
        source: None,
        timeout: time::Duration::from_secs(5),
    };
    let link = child.address("link").expect("link");
    let hello = hello::Hello::new("vm-1", "persimmon-entry");
    let keeper = client::PeerClient::connect(&dialer, link, &hello)
        .await
        .expect("link");
    let (_writer, mut reader) = keeper
        .open(stream_kind::StreamKind::Tables)
        .await
        .expect("stream");
    waiting::until("the lists to be read", async || {
        let text = child.stderr_text().expect("stderr");
        text.contains("event=platform_reachable")
    })
    .await;
    let health = child.address("health").expect("health");
    let ready = async || {
        http_call::call(health, "GET", "/ready", "")
            .await
            .expect("ready")
            .0
    };
    assert_eq!(ready().await, 503, "ready without rules");
    open.send_replace(true);
    let tables: control_tables::ControlTables = reader.expect().await.expect("tables");
    assert_eq!(tables.rules_revision, 1, "tables were sent without rules");
    waiting::until("readiness", async || ready().await == 200).await;
}
