//! The system sends no write twice, tells a lost answer as unknown, and lets a caller repeat safely by a
//! request key.

use std::io::Write;
use std::time;

use rand::{RngExt, SeedableRng};
use standins::fault_link;
use standins::fault_link::FlowRule;
use testenv::{caller_load, proof, test_env, waiting};

const LIMITS: &str = "write_deadline = \"2s\"\nconfirm_deadline = \"2s\"";
/// Faults that one run of the random test plays.
const FAULTS: usize = 8;

/// Guards against a write that runs twice, or ran although it was refused as not run, while pools,
/// entries, upstreams and links fail at random moments.
#[tokio::test(flavor = "multi_thread")]
async fn random_faults_repeat_no_write() {
    let seed = match std::env::var("PERSIMMON_SEED") {
        Ok(text) => text.parse().expect("a number"),
        Err(_unset) => rand::random::<u64>(),
    };
    // Printed at once, also when the test hangs.
    writeln!(std::io::stderr(), "PERSIMMON_SEED={seed}").expect("stderr");
    let mut random = rand::rngs::StdRng::seed_from_u64(seed);
    let mut env = proof::start(proof::plan(LIMITS)).await;
    let load = caller_load::CallerLoad::start(&mut env);
    for _ in 0..FAULTS {
        let centre = random.random_range(1..=3);
        let (name, what) = match random.random_range(0..3) {
            0 => (format!("{}-{centre}", proof::GROUP), "listen"),
            1 => (format!("vm-{centre}-1-pool"), "link"),
            _ => (format!("vm-{centre}-1-entry"), "link"),
        };
        let fault = random.random_range(0..5);
        writeln!(std::io::stderr(), "fault {fault} at {name}").expect("stderr");
        load.more(random.random_range(1..=20)).await;
        let link = |env: &test_env::TestEnv, rule| {
            env.link(&name, what).expect("link").set_all(rule);
        };
        match fault {
            0 => env.kill(&name).expect("kill"),
            1 => env.signal(&name, "STOP").expect("stop"),
            2 => link(&env, proof::CUT),
            3 => link(&env, proof::flow(FlowRule::StopToTarget)),
            _ => link(&env, proof::flow(FlowRule::StopFromTarget)),
        }
        // Long enough for requests to meet the fault; what follows does not depend on it.
        tokio::time::sleep(time::Duration::from_millis(random.random_range(0..1_500))).await;
        match fault {
            0 => env.restart(&name).await.expect("restart"),
            1 => env.signal(&name, "CONT").expect("cont"),
            _ => link(&env, fault_link::LinkRule::default()),
        }
        env.wait_ready().await;
        proof::rejoin(&env).await;
        load.more(5).await;
    }
    let told = load.finish().await;
    proof::settle(&env, 1).await;
    proof::GroupJournals::read(&env).judge(&told);
}

struct Stage {
    env: test_env::TestEnv,
    primary: String,
    /// Pool that owns the primary.
    pool: String,
    /// Data centre of an entry elsewhere.
    far: usize,
}

async fn stage(limits: &str) -> Stage {
    let env = proof::start(proof::plan(limits)).await;
    proof::settle(&env, 1).await;
    let (_term, primary) = proof::primary(&env);
    let centre = proof::centre_of(&env, &primary);
    Stage {
        pool: format!("vm-{centre}-1-pool"),
        far: centre % 3 + 1,
        env,
        primary,
    }
}

async fn wait_committed(env: &test_env::TestEnv, id: &str) {
    waiting::until("the write commits", || async {
        proof::GroupJournals::read(env).committed(id).is_some()
    })
    .await;
}

/// Sends a write whose answer stops on the way at a listener; then kills a process or cuts the link.
async fn lose_answer(mut stage: Stage, name: &str, what: &str, killed: Option<&str>) {
    let client = proof::connect(&stage.env, stage.far, "")
        .await
        .expect("connect");
    let link = stage.env.link(name, what).expect("link");
    // Only bytes from the target stop, so the request still arrives.
    link.set_all(proof::flow(FlowRule::StopFromTarget));
    let caller = tokio::spawn(async move { proof::insert(&client, "lost").await });
    wait_committed(&stage.env, "lost").await;
    match killed {
        Some(process) => stage.env.kill(process).expect("kill"),
        None => link.set_all(proof::CUT),
    }
    let told = caller.await.expect("caller");
    let expected = match killed {
        Some(process) if process.ends_with("-entry") => proof::Told::Lost,
        _ => proof::Told::Failed("40003".to_owned()),
    };
    assert_eq!(told, expected);
    proof::heal(&stage.env);
    if let Some(process) = killed {
        stage.env.restart(process).await.expect("restart");
        stage.env.wait_ready().await;
    }
    judge(&stage, told).await;
}

async fn judge(stage: &Stage, told: proof::Told) {
    proof::settle(&stage.env, stage.far).await;
    proof::GroupJournals::read(&stage.env).judge(&[("lost".to_owned(), told)]);
}

/// Guards against a repeat of a write whose answer is lost between upstream and pool.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_lost_by_the_upstream_link_is_unknown() {
    let stage = stage(LIMITS).await;
    let primary = stage.primary.clone();
    lose_answer(stage, &primary, "listen", None).await;
}

/// Guards against a repeat of a write whose upstream died after it committed.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_lost_with_the_upstream_is_unknown() {
    let stage = stage(LIMITS).await;
    let primary = stage.primary.clone();
    lose_answer(stage, &primary, "listen", Some(&primary)).await;
}

/// Guards against a repeat of a write whose answer is lost between pool and entry.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_lost_by_the_pool_link_is_unknown() {
    let stage = stage(LIMITS).await;
    let pool = stage.pool.clone();
    lose_answer(stage, &pool, "link", None).await;
}

/// Guards against a repeat through another pool of a write whose answer a pool took with it.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_lost_with_the_pool_is_unknown() {
    let stage = stage(LIMITS).await;
    let pool = stage.pool.clone();
    lose_answer(stage, &pool, "link", Some(&pool)).await;
}

/// Guards against a second run of a write whose entry died before it answered.
#[tokio::test(flavor = "multi_thread")]
async fn a_write_whose_entry_dies_runs_once() {
    let stage = stage(LIMITS).await;
    let (pool, entry) = (stage.pool.clone(), format!("vm-{}-1-entry", stage.far));
    lose_answer(stage, &pool, "link", Some(&entry)).await;
}

/// Guards against a refusal as not run for a write that a frozen pool runs once it is thawed.
#[tokio::test(flavor = "multi_thread")]
async fn a_write_to_a_frozen_pool_is_never_refused_and_run() {
    let stage = stage(LIMITS).await;
    let client = proof::connect(&stage.env, stage.far, "")
        .await
        .expect("connect");
    stage.env.signal(&stage.pool, "STOP").expect("stop");
    let told = proof::insert(&client, "lost").await;
    stage.env.signal(&stage.pool, "CONT").expect("cont");
    stage.env.wait_ready().await;
    judge(&stage, told).await;
}

const KEYED: &str = "INSERT INTO requests (k, v) VALUES ('request-1', 'x')";

/// Runs a keyed transaction: the request key and the work in one transaction.
async fn keyed(client: &tokio_postgres::Client, id: &str) -> proof::Told {
    for (step, sql) in [("begin", "BEGIN"), (id, KEYED)] {
        let told = proof::run(client, step, sql).await;
        if !told.is_done() {
            proof::run(client, "rollback", "ROLLBACK").await;
            return told;
        }
    }
    let work = proof::insert(client, &format!("{id}-work")).await;
    assert!(work.is_done(), "{work:?}");
    proof::run(client, "commit", "COMMIT").await
}

/// Guards against a repeat that takes effect twice, or fails although the first had no effect.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_key_makes_a_repeat_safe() {
    let stage = stage(LIMITS).await;
    let env = &stage.env;
    // The first attempt takes effect and its answer is lost.
    let client = proof::connect(env, stage.far, "").await.expect("connect");
    let link = env.link(&stage.pool, "link").expect("link");
    let caller = {
        let begin = proof::run(&client, "begin", "BEGIN").await;
        assert!(begin.is_done(), "{begin:?}");
        assert!(proof::run(&client, "first", KEYED).await.is_done());
        link.set_all(proof::flow(FlowRule::StopFromTarget));
        tokio::spawn(async move { proof::run(&client, "commit", "COMMIT").await })
    };
    wait_committed(env, "first").await;
    link.set_all(proof::CUT);
    let told = caller.await.expect("caller");
    assert!(told.is("40003"), "{told:?}");
    proof::heal(env);
    proof::settle(env, stage.far).await;
    let client = proof::connect(env, stage.far, "").await.expect("connect");
    let told = keyed(&client, "repeat").await;
    assert!(told.is("23505"), "{told:?}");
    let journals = proof::GroupJournals::read(env);
    assert!(journals.committed("first").is_some());
    assert!(journals.committed("repeat-work").is_none());
    // An attempt that was rolled back leaves no key behind.
    let sql = KEYED.replace("request-1", "request-2");
    for (id, end) in [("given-up", "ROLLBACK"), ("second", "COMMIT")] {
        for (step, sql) in [("begin", "BEGIN"), (id, sql.as_str()), ("end", end)] {
            let told = proof::run(&client, step, sql).await;
            assert!(told.is_done(), "{step}: {told:?}");
        }
    }
    assert!(
        proof::GroupJournals::read(env)
            .committed("second")
            .is_some()
    );
}

/// Guards against a unique violation that is told while the row it names may still be dropped: the caller
/// takes it for proof that its first attempt took effect.
async fn repeat_beside_an_unconfirmed_row(in_transaction: bool) {
    let stage = stage("confirm_deadline = \"500ms\"").await;
    let env = &stage.env;
    let centre = proof::centre_of(env, &stage.primary);
    let link = env.link(&stage.primary, "listen").expect("link");
    for other in (1..=3).filter(|other| *other != centre) {
        link.set_source(proof::sources(other)[1], Some(proof::CUT));
    }
    let client = proof::connect(env, stage.far, "").await.expect("connect");
    let told = proof::run(&client, "first", KEYED).await;
    assert!(told.is("40003"), "{told:?}");
    let repeated = if in_transaction {
        keyed(&client, "repeat").await
    } else {
        proof::run(&client, "repeat", KEYED).await
    };
    let (term, _) = proof::primary(env);
    env.signal(&stage.primary, "STOP").expect("stop");
    proof::next_primary(env, term).await;
    env.signal(&stage.primary, "CONT").expect("cont");
    proof::heal(env);
    proof::settle(env, stage.far).await;
    let journals = proof::GroupJournals::read(env);
    let (_term, primary) = proof::primary(env);
    let first = journals.committed("first").expect("committed");
    let kept = journals.log(&primary).contains(&first);
    assert!(
        kept || !repeated.is("23505"),
        "the repeat was told 23505, and {first} was dropped"
    );
    // Once the failover has settled it, the repeat takes effect.
    let client = proof::connect(env, stage.far, "").await.expect("connect");
    let told = keyed(&client, "third").await;
    assert!(told.is_done(), "{told:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_unique_violation_of_a_statement_is_told_once_its_row_is_kept() {
    repeat_beside_an_unconfirmed_row(false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_unique_violation_in_a_transaction_is_told_once_its_row_is_kept() {
    repeat_beside_an_unconfirmed_row(true).await;
}
