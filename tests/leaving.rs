//! An upstream that is leaving gets no new work after 3 s, counted from the moment when the
//! platform's list or an accepted rule says so. Judged by its journal.

use std::sync;
use std::sync::atomic;
use std::time;

use standins::instance::journal;
use standins::platform::fault_plan;
use testenv::{callers, env_plan, test_env, waiting};

const USER: &str = "parish";
const PASSWORD: &str = "pencil";
const DATABASE: &str = "ledger";
/// Time within which new work has to have stopped.
const STATED_BOUND: time::Duration = time::Duration::from_secs(3);
/// Callers of statements that fill all slots, so that others wait in the queues.
const SLEEPERS: usize = 30;
const WRITERS: usize = 4;

/// Who says that the upstream leaves.
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
        if callers::run(&client, &id, &sql).await.0 == callers::Told::Done {
            load.done.fetch_add(1, atomic::Ordering::AcqRel);
        }
    }
}

fn statements(env: &test_env::TestEnv, upstream: &str) -> usize {
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
    for caller in 0..WRITERS + SLEEPERS {
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
    waiting::until("the upstream has much to do", || async {
        statements(&env, &target) > 10
    })
    .await;
    if notice == LeavingNotice::List {
        env.set_leaving(&target, true).await.expect("set");
    } else {
        let rule = format!("{login}drain upstream={target} # asked for by: tests\n");
        env.apply_rules(&rule).await.expect("apply");
    }
    let said = tokio::time::Instant::now();
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
    tokio::time::sleep_until(said + STATED_BOUND).await;
    let before = statements(&env, &target);
    let wanted = load.done.load(atomic::Ordering::Acquire) + 3 * SLEEPERS;
    waiting::until("others go on", || async {
        load.done.load(atomic::Ordering::Acquire) >= wanted
    })
    .await;
    let after = statements(&env, &target);
    load.stop.store(true, atomic::Ordering::Release);
    while let Some(ended) = tasks.join_next().await {
        ended.expect("a caller");
    }
    assert_eq!(
        after, before,
        "{target} got new work after {STATED_BOUND:?}"
    );
}

/// Guards against work that waits in a queue and starts long after the upstream began to leave.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_the_list_calls_leaving_gets_no_new_work() {
    check(0, LeavingNotice::List, Role::Replica).await;
}

/// Guards against a leaving primary that goes on with writes, because nobody moves them.
#[tokio::test(flavor = "multi_thread")]
async fn a_primary_that_the_list_calls_leaving_gets_no_new_work() {
    check(0, LeavingNotice::List, Role::Primary).await;
}

/// Guards against a drain that waits for a VM list that lags.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_rule_holds_while_the_vm_list_lags() {
    check(10_000, LeavingNotice::Rule, Role::Replica).await;
}

/// Guards against an accepted drain that stays unknown to nodes that cannot read the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_rule_holds_when_the_platform_goes_down() {
    check(0, LeavingNotice::RuleThenOutage, Role::Replica).await;
}
