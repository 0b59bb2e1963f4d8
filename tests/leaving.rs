//! Tests that an upstream that is leaving gets no new work after 3 s, counted from the moment when
//! the platform's list or an accepted rule marks it as leaving. Its journal shows which statements
//! ran.

use std::sync;
use std::sync::atomic;
use std::time;

use standins::instance::journal;
use standins::platform::fault_plan;
use testenv::{env_plan, test_client, test_env, waiting};

const USER: &str = "parish";
const PASSWORD: &str = "pencil";
const DATABASE: &str = "ledger";
/// Time within which new work has to stop.
const LEAVING_BOUND: time::Duration = time::Duration::from_secs(3);
/// Callers of slow reads that occupy all slots, so that other statements wait in the queues.
const SLOW_READERS: usize = 30;
const WRITERS: usize = 4;

/// How the upstream is marked as leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeavingNotice {
    List,
    Rule,
    RuleThenOutage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Primary,
    Replica,
}

#[derive(Debug, Default)]
struct Load {
    done: atomic::AtomicUsize,
    stop: atomic::AtomicBool,
}

async fn call(client: tokio_postgres::Client, caller: usize, load: sync::Arc<Load>) {
    for number in 0.. {
        if load.stop.load(atomic::Ordering::Acquire) {
            return;
        }
        let id = format!("c{caller}-{number}");
        let sql = if caller < WRITERS {
            format!("INSERT INTO t (k, v) VALUES ('{id}', 'v')")
        } else {
            "SELECT pg_sleep(0.3)".to_owned()
        };
        if test_client::run(&client, &id, &sql).await.0 == test_client::RequestOutcome::Done {
            load.done.fetch_add(1, atomic::Ordering::AcqRel);
        }
    }
}

/// Returns how many statements an upstream has run.
fn count_statements(env: &test_env::TestEnv, upstream: &str) -> usize {
    let ran = env.ran().expect("journals");
    ran.iter().filter(|(name, _)| name == upstream).count()
}

async fn check(vm_lag_ms: u64, notice: LeavingNotice, role: Role) {
    let login = env_plan::login_rules(USER, PASSWORD);
    let mut plan = env_plan::EnvPlan::new(&[2])
        .rules(&login)
        .group(DATABASE, |_index, _upstream| {});
    plan.vm_lag_ms = vm_lag_ms;
    let mut env = test_env::TestEnv::start(plan).await.expect("start");
    env.wait_ready().await;
    let load = sync::Arc::new(Load::default());
    let mut tasks = tokio::task::JoinSet::new();
    for caller in 0..WRITERS + SLOW_READERS {
        let vm = ["vm-1-1", "vm-1-2"][caller % 2];
        let client = env
            .connect(vm, USER, PASSWORD, DATABASE, "")
            .await
            .expect("login");
        tasks.spawn(call(client, caller, sync::Arc::clone(&load)));
    }
    let primary = waiting::until_some("a primary runs writes", || async {
        let events = env.journals().ok()?;
        events.into_iter().find_map(|(upstream, event)| {
            matches!(event, journal::JournalEvent::Commit { .. }).then_some(upstream)
        })
    })
    .await;
    let target = ["ledger-1", "ledger-2", "ledger-3"]
        .into_iter()
        .find(|name| (*name == primary) == (role == Role::Primary))
        .expect("three upstreams")
        .to_owned();
    waiting::until("the upstream has run several statements", || async {
        count_statements(&env, &target) > 10
    })
    .await;
    if notice == LeavingNotice::List {
        env.set_leaving(&target, true).await.expect("set");
    } else {
        let rule = format!("{login}drain upstream={target} # asked for by: tests\n");
        env.apply_rules(&rule).await.expect("apply");
    }
    let marked_at = tokio::time::Instant::now();
    if notice == LeavingNotice::RuleThenOutage {
        let keepers = ["vm-1-1-keeper", "vm-1-2-keeper"];
        let processes = env.processes();
        waiting::until("one keeper knows the rule", || {
            let knows = keepers.iter().any(|name| {
                let log = processes.get(name).and_then(|keeper| keeper.stderr_text());
                log.is_ok_and(|text| text.contains("event=rules_in_force revision=2"))
            });
            async move { knows }
        })
        .await;
        let plan = fault_plan::FaultPlan {
            outage: fault_plan::OutageKind::Refuse,
            ..fault_plan::FaultPlan::default()
        };
        env.set_platform_faults(plan).await.expect("outage");
    }
    tokio::time::sleep_until(marked_at + LEAVING_BOUND).await;
    let before = count_statements(&env, &target);
    let wanted = load.done.load(atomic::Ordering::Acquire) + 3 * SLOW_READERS;
    waiting::until("the other upstreams serve requests", || async {
        load.done.load(atomic::Ordering::Acquire) >= wanted
    })
    .await;
    let after = count_statements(&env, &target);
    load.stop.store(true, atomic::Ordering::Release);
    while let Some(ended) = tasks.join_next().await {
        ended.expect("a caller");
    }
    assert_eq!(
        after, before,
        "{target} got new work after {LEAVING_BOUND:?}"
    );
}

/// Guards against work that is queued for the upstream and starts long after it was marked as
/// leaving.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_listed_as_leaving_gets_no_new_work() {
    check(0, LeavingNotice::List, Role::Replica).await;
}

/// Guards against a leaving primary that keeps running writes because no other primary is promoted.
#[tokio::test(flavor = "multi_thread")]
async fn a_primary_listed_as_leaving_gets_no_new_work() {
    check(0, LeavingNotice::List, Role::Primary).await;
}

/// Guards against a drain rule that takes effect only once an outdated VM list has caught up.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_rule_takes_effect_while_the_vm_list_lags() {
    check(10_000, LeavingNotice::Rule, Role::Replica).await;
}

/// Guards against an accepted drain rule that does not reach nodes that cannot read the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_rule_takes_effect_while_the_platform_is_down() {
    check(0, LeavingNotice::RuleThenOutage, Role::Replica).await;
}
