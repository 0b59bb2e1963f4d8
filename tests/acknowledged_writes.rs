//! Tests of acknowledged writes while primaries, keepers and the platform fail: no acknowledged
//! write may be missing from a later primary, and each answer to a caller has to agree with the
//! journals of the upstreams.

use standins::fault_link::FlowRule;
use standins::platform::fault_plan;
use testenv::{env_plan, test_env, test_support, waiting, write_load};

/// Short deadlines, so that each write gets an answer soon.
const SHORT_LIMITS: &str = "write_deadline = \"2s\"\nconfirm_deadline = \"2s\"";
/// Confirmation deadline that exceeds the duration of a test.
const LONG_CONFIRM_LIMITS: &str = "confirm_deadline = \"60s\"";

/// Plans a group with delayed replication, so that its primary always has writes that no replica
/// has received.
fn plan(limits: &str) -> env_plan::EnvPlan {
    let mut plan = test_support::plan(limits);
    for upstream in plan
        .groups
        .iter_mut()
        .flat_map(|group| &mut group.upstreams)
    {
        upstream.receive_delay_ms = 40;
    }
    plan
}

async fn start() -> (test_env::TestEnv, write_load::WriteLoad) {
    let mut env = test_support::start(plan(SHORT_LIMITS)).await;
    let load = write_load::WriteLoad::start(&mut env);
    load.wait_writes(20).await;
    (env, load)
}

/// Waits for more writes, ends the load, and checks all outcomes against the journals.
async fn finish_and_check(env: &test_env::TestEnv, load: write_load::WriteLoad) {
    load.wait_writes(20).await;
    let outcomes = load.finish().await;
    test_support::wait_settled(env, 1).await;
    test_support::GroupJournals::read(env).check_outcomes(&outcomes);
}

/// Guards against losing writes that a primary had acknowledged before it was killed.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_primary_loses_nothing() {
    let (mut env, load) = start().await;
    let (term, primary) = test_support::primary(&env);
    env.kill(&primary).expect("kill");
    test_support::wait_next_primary(&env, term).await;
    load.wait_writes(20).await;
    env.restart(&primary).await.expect("restart");
    finish_and_check(&env, load).await;
}

/// Guards against acknowledging writes that a primary commits after it was frozen, replaced and
/// resumed.
#[tokio::test(flavor = "multi_thread")]
async fn a_thawed_primary_acknowledges_nothing() {
    let (env, load) = start().await;
    let (term, primary) = test_support::primary(&env);
    env.signal(&primary, "STOP").expect("stop");
    test_support::wait_next_primary(&env, term).await;
    load.wait_writes(20).await;
    env.signal(&primary, "CONT").expect("cont");
    finish_and_check(&env, load).await;
}

/// Guards against refusing writes that were queued for a frozen primary. They were not sent to it,
/// so they have to wait for the next primary, even if they exceed the retry budget.
#[tokio::test(flavor = "multi_thread")]
async fn writes_queued_for_a_frozen_primary_wait_for_the_next_one() {
    const WRITES: usize = 60;
    let limits = "write_deadline = \"40s\"\nsilence = \"5s\"";
    let env = test_support::start(plan(limits)).await;
    let (term, primary) = test_support::primary(&env);
    let mut clients = Vec::new();
    for _ in 0..WRITES {
        clients.push(test_support::connect(&env, 1, "").await.expect("connect"));
    }
    env.signal(&primary, "STOP").expect("stop");
    let writes = clients
        .iter()
        .enumerate()
        .map(|(number, client)| async move {
            test_support::insert(client, &format!("queued-{number}")).await
        });
    let outcomes = futures::future::join_all(writes).await;
    test_support::wait_next_primary(&env, term).await;
    env.signal(&primary, "CONT").expect("cont");
    let refused: Vec<_> = outcomes
        .iter()
        .filter(|outcome| !outcome.is_done() && !outcome.failed_with("40003"))
        .collect();
    assert!(refused.is_empty(), "{refused:?}");
    // Only the writes that occupied the frozen primary's slots may have an unknown outcome.
    let unknown = outcomes
        .iter()
        .filter(|outcome| outcome.failed_with("40003"))
        .count();
    assert!(
        unknown <= 3,
        "{unknown} of {WRITES} writes have an unknown outcome"
    );
}

/// Applies `rule` to all traffic of the primary's listener until the next primary serves writes.
async fn stop_one_direction(rule: FlowRule) {
    let (env, load) = start().await;
    let (term, primary) = test_support::primary(&env);
    let link = env.link(&primary, "listen").expect("link");
    link.set_all(test_support::flow(rule));
    test_support::wait_next_primary(&env, term).await;
    load.wait_writes(20).await;
    link.heal();
    finish_and_check(&env, load).await;
}

/// Guards against losing writes when traffic to the primary stops: neither requests nor the replicas'
/// messages arrive.
#[tokio::test(flavor = "multi_thread")]
async fn a_primary_that_receives_nothing_is_replaced_without_loss() {
    stop_one_direction(FlowRule::StopToTarget).await;
}

/// Guards against losing writes when traffic from the primary stops: writes run, but neither their
/// answers nor their log entries arrive.
#[tokio::test(flavor = "multi_thread")]
async fn a_primary_whose_answers_are_lost_is_replaced_without_loss() {
    stop_one_direction(FlowRule::StopFromTarget).await;
}

/// Guards against acknowledging writes of a replaced primary that still serves the entry of its
/// own, partitioned data centre.
#[tokio::test(flavor = "multi_thread")]
async fn a_replaced_primary_with_its_own_entry_acknowledges_nothing() {
    let (env, load) = start().await;
    let (term, primary) = test_support::primary(&env);
    test_support::cut_off(&env, test_support::centre_of(&env, &primary)).expect("links");
    test_support::wait_next_primary(&env, term).await;
    load.wait_writes(40).await;
    test_support::heal(&env);
    finish_and_check(&env, load).await;
}

/// Guards against losing a write when a second failover follows immediately after the first.
#[tokio::test(flavor = "multi_thread")]
async fn two_failovers_in_a_row_lose_nothing() {
    let (mut env, load) = start().await;
    let (first_term, first) = test_support::primary(&env);
    env.kill(&first).expect("kill");
    let (term, second) = test_support::wait_next_primary(&env, first_term).await;
    load.wait_writes(5).await;
    env.restart(&first).await.expect("restart");
    env.signal(&second, "STOP").expect("stop");
    test_support::wait_next_primary(&env, term).await;
    load.wait_writes(20).await;
    env.signal(&second, "CONT").expect("cont");
    finish_and_check(&env, load).await;
}

/// Guards against a failover that depends on the platform although two of three upstreams are
/// reachable.
#[tokio::test(flavor = "multi_thread")]
async fn a_failover_needs_no_platform() {
    let (mut env, load) = start().await;
    let (term, primary) = test_support::primary(&env);
    let outage = fault_plan::FaultPlan {
        outage: fault_plan::OutageKind::Refuse,
        ..fault_plan::FaultPlan::default()
    };
    env.set_platform_faults(outage).await.expect("outage");
    env.kill(&primary).expect("kill");
    test_support::wait_next_primary(&env, term).await;
    load.wait_writes(20).await;
    env.set_platform_faults(fault_plan::FaultPlan::default())
        .await
        .expect("service");
    env.restart(&primary).await.expect("restart");
    finish_and_check(&env, load).await;
}

async fn lease_holder(env: &test_env::TestEnv) -> Option<String> {
    let shard = persimmontack::decide::lease::shard_of(test_support::GROUP);
    let key = persimmontack::decide::lease::shard_key(shard);
    let listing = env.platform().ok()?.list(&key).await.ok()?;
    listing.entries.first().map(|entry| entry.value.clone())
}

/// Guards against a keeper that acts on a lease that lapsed while the keeper was paused.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_lease_holder_loses_no_write() {
    let mut plan = plan(SHORT_LIMITS);
    let limits = format!("{}[limits]\nlease_ms = 1000\n", test_support::KEEPER_TIMES);
    plan.settings.insert("persimmon-keeper".to_owned(), limits);
    let mut env = test_support::start(plan).await;
    let load = write_load::WriteLoad::start(&mut env);
    load.wait_writes(20).await;
    let holder = waiting::until_some("a keeper holds the shard", || lease_holder(&env)).await;
    let (term, primary) = test_support::primary(&env);
    let keeper = format!("{holder}-keeper");
    env.signal(&keeper, "STOP").expect("stop");
    env.kill(&primary).expect("kill");
    waiting::until("the lease lapses", || async {
        lease_holder(&env).await.as_ref() != Some(&holder)
    })
    .await;
    env.signal(&keeper, "CONT").expect("cont");
    test_support::wait_next_primary(&env, term).await;
    load.wait_writes(20).await;
    env.restart(&primary).await.expect("restart");
    finish_and_check(&env, load).await;
}

/// Guards against two primaries in one term when all keepers start a failover at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_failovers_elect_one_primary_per_term() {
    let mut plan = plan(SHORT_LIMITS);
    let times = format!(
        "{}rank_delay_ms = 0\nsettle_ms = 0\n",
        test_support::KEEPER_TIMES
    );
    plan.settings.insert("persimmon-keeper".to_owned(), times);
    let mut env = test_support::start(plan).await;
    let load = write_load::WriteLoad::start(&mut env);
    for _ in 0..3 {
        load.wait_writes(10).await;
        let (term, primary) = test_support::primary(&env);
        env.kill(&primary).expect("kill");
        test_support::wait_next_primary(&env, term).await;
        load.wait_writes(5).await;
        env.restart(&primary).await.expect("restart");
        test_support::wait_rejoined(&env).await;
    }
    finish_and_check(&env, load).await;
}

/// Sends a write after `hold` has blocked what would confirm it, and waits until the primary has
/// committed it.
async fn commit_in_flight(
    plan: env_plan::EnvPlan,
    hold: impl AsyncFn(&test_env::TestEnv, usize),
) -> (
    test_env::TestEnv,
    String,
    tokio::task::JoinHandle<test_support::StatementOutcome>,
) {
    let env = test_support::start(plan).await;
    test_support::wait_settled(&env, 1).await;
    let (_term, primary) = test_support::primary(&env);
    let centre = test_support::centre_of(&env, &primary);
    let client = test_support::connect(&env, centre, "")
        .await
        .expect("connect");
    hold(&env, centre).await;
    let caller = tokio::spawn(async move { test_support::insert(&client, "in-flight").await });
    waiting::until("the primary commits", || async {
        test_support::GroupJournals::read(&env)
            .committed("in-flight")
            .is_some()
    })
    .await;
    (env, primary, caller)
}

/// Cuts the other data centres' connections to the primary, so that no replica receives its log.
fn block_replication(env: &test_env::TestEnv, centre: usize) {
    let primary = format!("{}-{centre}", test_support::GROUP);
    let link = env.link(&primary, "listen").expect("link");
    for other in (1..=3).filter(|other| *other != centre) {
        link.set_source(test_support::sources(other)[1], Some(test_support::CUT));
    }
}

/// Guards against reporting a commit as unknown or successful after a new primary without the
/// commit has made it certain that it is lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_commit_without_a_replica_is_reported_as_dropped() {
    let hold = async |env: &test_env::TestEnv, centre| block_replication(env, centre);
    let (env, primary, caller) = commit_in_flight(plan(LONG_CONFIRM_LIMITS), hold).await;
    let (term, _) = test_support::primary(&env);
    env.signal(&primary, "STOP").expect("stop");
    test_support::wait_next_primary(&env, term).await;
    let outcome = caller.await.expect("caller");
    assert!(outcome.failed_with("40001"), "{outcome:?}");
    env.signal(&primary, "CONT").expect("cont");
    test_support::heal(&env);
    test_support::wait_settled(&env, 1).await;
    test_support::GroupJournals::read(&env).check_outcomes(&[("in-flight".to_owned(), outcome)]);
}

/// Guards against reporting a commit as successful or dropped while neither a replica nor a later
/// term has shown its outcome.
#[tokio::test(flavor = "multi_thread")]
async fn an_unresolved_commit_is_reported_as_unknown() {
    let hold = async |env: &test_env::TestEnv, centre| block_replication(env, centre);
    let plan = plan("confirm_deadline = \"500ms\"");
    let (env, _primary, caller) = commit_in_flight(plan, hold).await;
    let outcome = caller.await.expect("caller");
    assert!(outcome.failed_with("40003"), "{outcome:?}");
    test_support::heal(&env);
    test_support::wait_settled(&env, 1).await;
    test_support::GroupJournals::read(&env).check_outcomes(&[("in-flight".to_owned(), outcome)]);
}

/// Guards against reporting a commit as lost that the next primary has: the replicas receive it,
/// but the entry cannot read the state of an upstream until a later term.
#[tokio::test(flavor = "multi_thread")]
async fn a_commit_that_the_next_primary_has_is_acknowledged() {
    let others = |centre: usize| (1..=3).filter(move |other| *other != centre);
    let hold = async |env: &test_env::TestEnv, centre| {
        for other in others(centre) {
            env.signal(&format!("vm-{other}-1-pool"), "STOP")
                .expect("stop");
        }
    };
    let (mut env, primary, caller) = commit_in_flight(plan(LONG_CONFIRM_LIMITS), hold).await;
    let (term, _) = test_support::primary(&env);
    let centre = test_support::centre_of(&env, &primary);
    let position = test_support::GroupJournals::read(&env).committed("in-flight");
    let position = position.expect("committed");
    waiting::until("both replicas receive the write", || async {
        let journals = test_support::GroupJournals::read(&env);
        others(centre).all(|other| {
            journals
                .log(&format!("{}-{other}", test_support::GROUP))
                .contains(&position)
        })
    })
    .await;
    env.kill(&primary).expect("kill");
    test_support::wait_next_primary(&env, term).await;
    for other in others(centre) {
        env.signal(&format!("vm-{other}-1-pool"), "CONT")
            .expect("cont");
    }
    let outcome = caller.await.expect("caller");
    assert!(outcome.is_done(), "{outcome:?}");
    env.restart(&primary).await.expect("restart");
    test_support::wait_settled(&env, 1).await;
    test_support::GroupJournals::read(&env).check_outcomes(&[("in-flight".to_owned(), outcome)]);
}
