//! Transactions of different clients never mix, even if clients disconnect, or entries and pools
//! are killed, inside them. Checked by the connection and transaction numbers in the instances'
//! journals.

use std::collections;
use std::sync;
use std::sync::atomic;

use rand::{RngExt, SeedableRng};
use standins::instance::journal;
use testenv::{env_plan, test_client, test_env, waiting};

const USER: &str = "parish";
const PASSWORD: &str = "pencil";
const DATABASE: &str = "ledger";
const CLIENTS: usize = 12;
/// Connections per upstream; fewer than the clients, so that clients constantly reuse each other's.
const CONNECTIONS: u32 = 9;
/// Transactions that end between two faults.
const TRANSACTIONS: usize = 40;

/// The transactions of all clients, by the name with which the IDs of their statements begin.
#[derive(Debug, Default)]
struct TransactionRecord {
    committed: sync::Mutex<collections::HashSet<String>>,
    disconnected: sync::Mutex<collections::HashSet<String>>,
    ended: atomic::AtomicUsize,
    stop: atomic::AtomicBool,
}

fn insert(values: &sync::Mutex<collections::HashSet<String>>, name: &str) {
    values.lock().expect("no panic").insert(name.to_owned());
}

/// Runs one client, which runs transactions until the test stops it. In a third of them, the client
/// disconnects before the COMMIT.
async fn run_client(
    addresses: Vec<std::net::SocketAddr>,
    index: usize,
    seed: u64,
    record: sync::Arc<TransactionRecord>,
) {
    let mut random = rand::rngs::StdRng::seed_from_u64(seed + index as u64);
    let mut client = None;
    for number in 0.. {
        if record.stop.load(atomic::Ordering::Acquire) {
            return;
        }
        let name = format!("c{index}t{number}");
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
        let disconnects = random.random_ratio(1, 3);
        let mut steps = vec!["BEGIN".to_owned()];
        for write in 0..random.random_range(1..4) {
            steps.push(format!(
                "INSERT INTO t (k, v) VALUES ('{name}-{write}', '{name}')"
            ));
            steps.push("SELECT count(*) FROM t".to_owned());
        }
        if !disconnects {
            steps.push("COMMIT".to_owned());
        }
        let mut outcome = test_client::RequestOutcome::Done;
        for (step, sql) in steps.iter().enumerate() {
            let id = format!("{name}/{step}");
            outcome = test_client::run(&connection, &id, sql).await.0;
            if outcome != test_client::RequestOutcome::Done {
                break;
            }
        }
        if disconnects {
            // The statement is still running on the upstream when the client closes its socket.
            let id = format!("{name}/last");
            let last = test_client::run(&connection, &id, "SELECT pg_sleep(0.05)");
            drop(tokio::time::timeout(std::time::Duration::from_millis(5), last).await);
            insert(&record.disconnected, &name);
        } else if outcome == test_client::RequestOutcome::Done {
            insert(&record.committed, &name);
            client = Some(connection);
        }
        record.ended.fetch_add(1, atomic::Ordering::AcqRel);
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
                // The ROLLBACK of a pool has no ID.
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
                assert_eq!(names.len(), 1, "a commit of several clients: {ids:?}");
                committed.extend(names.into_iter().map(str::to_owned));
            }
            _ => {}
        }
    }
    committed
}

/// Guards against a connection that is given to another client inside a transaction, and against an
/// open transaction that is committed or left open when its client, entry or pool ends.
#[tokio::test(flavor = "multi_thread")]
async fn transactions_of_different_clients_never_mix() {
    let seed = test_client::seed();
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
    let record = sync::Arc::new(TransactionRecord::default());
    let mut tasks = tokio::task::JoinSet::new();
    for index in 0..CLIENTS {
        tasks.spawn(run_client(
            addresses.clone(),
            index,
            seed,
            sync::Arc::clone(&record),
        ));
    }
    for (round, victim) in ["vm-1-1-entry", "vm-1-1-pool", "vm-1-2-pool", "vm-1-2-entry"]
        .iter()
        .enumerate()
    {
        let wanted = record.ended.load(atomic::Ordering::Acquire) + TRANSACTIONS;
        waiting::until("clients continue", || async {
            record.ended.load(atomic::Ordering::Acquire) >= wanted
        })
        .await;
        // An open transaction on each entry makes sure that the fault hits at least one.
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
                    if test_client::run(&client, &id, sql).await.0
                        != test_client::RequestOutcome::Done
                    {
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
    let wanted = record.ended.load(atomic::Ordering::Acquire) + TRANSACTIONS;
    waiting::until("clients continue after the faults", || async {
        record.ended.load(atomic::Ordering::Acquire) >= wanted
    })
    .await;
    record.stop.store(true, atomic::Ordering::Release);
    while let Some(ended) = tasks.join_next().await {
        ended.expect("a client");
    }
    let mut committed = collections::HashSet::new();
    for number in 1..=3 {
        let events = env
            .journal(&format!("{DATABASE}-{number}"))
            .expect("journal");
        committed.extend(check_journal(&events));
    }
    let acknowledged = record.committed.lock().expect("no panic").clone();
    let disconnected = record.disconnected.lock().expect("no panic").clone();
    assert!(
        acknowledged.len() >= TRANSACTIONS && !disconnected.is_empty(),
        "{} {}",
        acknowledged.len(),
        disconnected.len()
    );
    let lost: Vec<_> = acknowledged.difference(&committed).collect();
    assert!(lost.is_empty(), "acknowledged but not committed: {lost:?}");
    let kept: Vec<_> = disconnected.intersection(&committed).collect();
    assert!(kept.is_empty(), "committed without a COMMIT: {kept:?}");
}
