//! Transactions of different callers never mix, also when callers, entries and pools die inside
//! them. Judged by the connection and transaction numbers in the instances' journals.

use std::collections;
use std::sync;
use std::sync::atomic;

use rand::{RngExt, SeedableRng};
use standins::instance::journal;
use testenv::{callers, env_plan, test_env, waiting};

const USER: &str = "parish";
const PASSWORD: &str = "pencil";
const DATABASE: &str = "ledger";
const CALLERS: usize = 12;
/// Fewer than the callers, so that connections pass from one to the next all the time.
const CONNECTIONS: u32 = 9;
/// Transactions that callers complete between two faults.
const TRANSACTIONS: usize = 40;

/// Transactions by the name that all ids of their statements begin with.
#[derive(Debug, Default)]
struct Ledger {
    committed: sync::Mutex<collections::HashSet<String>>,
    vanished: sync::Mutex<collections::HashSet<String>>,
    ended: atomic::AtomicUsize,
    stop: atomic::AtomicBool,
}

fn insert(values: &sync::Mutex<collections::HashSet<String>>, name: &str) {
    values.lock().expect("no panic").insert(name.to_owned());
}

/// Runs transactions until told to stop. A third of them ends with the caller vanishing.
async fn call(
    addresses: Vec<std::net::SocketAddr>,
    caller: usize,
    seed: u64,
    ledger: sync::Arc<Ledger>,
) {
    let mut random = rand::rngs::StdRng::seed_from_u64(seed + caller as u64);
    let mut client = None;
    for number in 0.. {
        if ledger.stop.load(atomic::Ordering::Acquire) {
            return;
        }
        let name = format!("c{caller}t{number}");
        let connection = match client.take() {
            Some(connection) => connection,
            None => {
                let address = addresses[random.random_range(0..addresses.len())];
                match test_env::connect_to(address, USER, PASSWORD, DATABASE, "").await {
                    Ok(connection) => connection,
                    Err(_) => {
                        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                        continue;
                    }
                }
            }
        };
        let vanishes = random.random_ratio(1, 3);
        let mut steps = vec!["BEGIN".to_owned()];
        for write in 0..random.random_range(1..4) {
            steps.push(format!(
                "INSERT INTO t (k, v) VALUES ('{name}-{write}', '{name}')"
            ));
            steps.push("SELECT count(*) FROM t".to_owned());
        }
        if !vanishes {
            steps.push("COMMIT".to_owned());
        }
        let mut told = callers::Told::Done;
        for (step, sql) in steps.iter().enumerate() {
            let id = format!("{name}/{step}");
            told = callers::run(&connection, &id, sql).await.0;
            if told != callers::Told::Done {
                break;
            }
        }
        if vanishes {
            // The statement is still running upstream when the caller closes its socket.
            let id = format!("{name}/last");
            let last = callers::run(&connection, &id, "SELECT pg_sleep(0.05)");
            drop(tokio::time::timeout(std::time::Duration::from_millis(5), last).await);
            insert(&ledger.vanished, &name);
        } else if told == callers::Told::Done {
            insert(&ledger.committed, &name);
            client = Some(connection);
        }
        ledger.ended.fetch_add(1, atomic::Ordering::AcqRel);
    }
}

fn name_of(id: &str) -> &str {
    id.split('/').next().unwrap_or_default()
}

/// Checks the journal of one instance and returns the transactions it committed.
fn check_journal(events: &[journal::JournalEvent]) -> collections::HashSet<String> {
    let mut owners: collections::HashMap<u64, String> = collections::HashMap::new();
    let mut open: collections::HashMap<u64, u64> = collections::HashMap::new();
    let mut committed = collections::HashSet::new();
    for event in events {
        match event {
            journal::JournalEvent::Statement {
                id,
                connection,
                transaction,
                kind,
                ..
            } => {
                let name = id.as_deref().map(name_of).unwrap_or_default().to_owned();
                // The pool's own ROLLBACK has no id.
                if kind == "ROLLBACK" && id.is_none() {
                    open.remove(connection);
                    continue;
                }
                let owner = owners.entry(*transaction).or_insert_with(|| name.clone());
                assert_eq!(
                    *owner, name,
                    "transaction {transaction} is shared: {event:?}"
                );
                if let Some(running) = open.get(connection) {
                    assert_eq!(
                        running, transaction,
                        "{event:?} ran inside another transaction"
                    );
                } else {
                    assert_ne!(kind, "COMMIT", "{event:?} has no transaction to commit");
                }
                match kind.as_str() {
                    "BEGIN" => drop(open.insert(*connection, *transaction)),
                    "COMMIT" | "ROLLBACK" => drop(open.remove(connection)),
                    _ => {}
                }
            }
            journal::JournalEvent::Commit { ids, .. } => {
                let names: collections::HashSet<_> = ids.iter().map(|id| name_of(id)).collect();
                assert_eq!(names.len(), 1, "a commit of several callers: {ids:?}");
                committed.extend(names.into_iter().map(str::to_owned));
            }
            _ => {}
        }
    }
    committed
}

/// Guards against a connection that is handed on inside a transaction, and against the end of a
/// caller, entry or pool that commits or leaves open what it had begun.
#[tokio::test(flavor = "multi_thread")]
async fn transactions_of_different_callers_never_mix() {
    let seed = callers::seed();
    let plan = env_plan::EnvPlan::new(&[2])
        .rules(&env_plan::login_rules(USER, PASSWORD))
        .group(DATABASE, |_index, upstream| {
            upstream.connections = CONNECTIONS;
        });
    let mut env = test_env::TestEnv::start(plan).await.expect("start");
    env.wait_ready().await;
    let addresses: Vec<_> = ["vm-1-1-entry", "vm-1-2-entry"]
        .iter()
        .map(|name| env.processes().address(name, "listen").expect("an entry"))
        .collect();
    let ledger = sync::Arc::new(Ledger::default());
    let mut tasks = tokio::task::JoinSet::new();
    for caller in 0..CALLERS {
        tasks.spawn(call(
            addresses.clone(),
            caller,
            seed,
            sync::Arc::clone(&ledger),
        ));
    }
    for (round, victim) in ["vm-1-1-entry", "vm-1-1-pool", "vm-1-2-pool", "vm-1-2-entry"]
        .iter()
        .enumerate()
    {
        let wanted = ledger.ended.load(atomic::Ordering::Acquire) + TRANSACTIONS;
        waiting::until("callers go on", || async {
            ledger.ended.load(atomic::Ordering::Acquire) >= wanted
        })
        .await;
        // A transaction on each entry makes sure that the fault meets one that is open.
        let mut inside = Vec::new();
        for vm in ["vm-1-1", "vm-1-2"] {
            let client = waiting::until_some("a transaction is open", || async {
                let client = env.connect(vm, USER, PASSWORD, DATABASE, "").await.ok()?;
                let name = format!("inside{round}{vm}");
                for (step, sql) in ["BEGIN", "UPDATE t SET v = 'x' WHERE k = 'none'"]
                    .iter()
                    .enumerate()
                {
                    let id = format!("{name}/{step}");
                    if callers::run(&client, &id, sql).await.0 != callers::Told::Done {
                        return None;
                    }
                }
                Some(client)
            })
            .await;
            inside.push(client);
        }
        env.kill(victim).expect("kill");
        drop(inside);
        env.restart(victim).await.expect("restart");
    }
    let wanted = ledger.ended.load(atomic::Ordering::Acquire) + TRANSACTIONS;
    waiting::until("callers go on after the faults", || async {
        ledger.ended.load(atomic::Ordering::Acquire) >= wanted
    })
    .await;
    ledger.stop.store(true, atomic::Ordering::Release);
    while let Some(ended) = tasks.join_next().await {
        ended.expect("a caller");
    }
    let mut committed = collections::HashSet::new();
    for number in 1..=3 {
        let events = env
            .journal(&format!("{DATABASE}-{number}"))
            .expect("journal");
        committed.extend(check_journal(&events));
    }
    let told = ledger.committed.lock().expect("no panic").clone();
    let vanished = ledger.vanished.lock().expect("no panic").clone();
    assert!(
        told.len() >= TRANSACTIONS && !vanished.is_empty(),
        "{} {}",
        told.len(),
        vanished.len()
    );
    let lost: Vec<_> = told.difference(&committed).collect();
    assert!(lost.is_empty(), "acknowledged but not committed: {lost:?}");
    let kept: Vec<_> = vanished.intersection(&committed).collect();
    assert!(kept.is_empty(), "committed without a COMMIT: {kept:?}");
}
