//! [`WriteLoad`]: clients that write continuously and record the outcomes.

use std::sync;
use std::sync::atomic;
use std::time;

use crate::test_env;
use crate::test_support;
use crate::waiting;

/// Pause between two writes of one client, which limits the size of the journals.
const WRITE_PAUSE: time::Duration = time::Duration::from_millis(10);

type OutcomeList = sync::Arc<sync::Mutex<Vec<(String, test_support::StatementOutcome)>>>;

/// Clients that write continuously through all entries and record the outcomes.
#[derive(Debug)]
pub struct WriteLoad {
    outcomes: OutcomeList,
    stop: sync::Arc<atomic::AtomicBool>,
    tasks: tokio::task::JoinSet<()>,
}

impl WriteLoad {
    /// Starts two clients at each entry: one sends single statements, one sends transactions.
    ///
    /// # Panics
    ///
    /// Panics if an entry does not listen.
    pub fn start(env: &mut test_env::TestEnv) -> Self {
        let mut load = Self {
            outcomes: OutcomeList::default(),
            stop: sync::Arc::default(),
            tasks: tokio::task::JoinSet::new(),
        };
        for entry in env.processes().names("persimmon-entry") {
            let address = env.processes().address(&entry, "listen").expect("listens");
            for transactions in [false, true] {
                let outcomes = sync::Arc::clone(&load.outcomes);
                let stop = sync::Arc::clone(&load.stop);
                let name = format!("{entry}-{transactions}");
                load.tasks.spawn(async move {
                    let mut number = 0;
                    while !stop.load(atomic::Ordering::Relaxed) {
                        tokio::time::sleep(WRITE_PAUSE).await;
                        let connect = test_env::connect_to(
                            address,
                            test_support::USER,
                            test_support::PASSWORD,
                            test_support::GROUP,
                            "",
                        );
                        let connected = tokio::time::timeout(waiting::WAIT_LIMIT, connect).await;
                        let Ok(Ok(client)) = connected else { continue };
                        while !stop.load(atomic::Ordering::Relaxed) && !client.is_closed() {
                            number += 1;
                            let id = format!("{name}-{number}");
                            let answer = if transactions {
                                transaction(&client, &id).await
                            } else {
                                test_support::insert(&client, &id).await
                            };
                            lock(&outcomes).push((id, answer));
                            tokio::time::sleep(WRITE_PAUSE).await;
                        }
                    }
                });
            }
        }
        load
    }

    /// Waits until `count` more writes are acknowledged.
    pub async fn wait_writes(&self, count: usize) {
        let done = || {
            lock(&self.outcomes)
                .iter()
                .filter(|(_, outcome)| outcome.is_done())
                .count()
        };
        let goal = done() + count;
        waiting::until("the clients' writes are acknowledged", || async {
            done() >= goal
        })
        .await;
    }

    /// Stops the clients after their current writes and returns the outcomes by statement id.
    ///
    /// # Panics
    ///
    /// Panics if a client's task panicked.
    pub async fn finish(mut self) -> Vec<(String, test_support::StatementOutcome)> {
        self.stop.store(true, atomic::Ordering::Relaxed);
        while let Some(ended) = self.tasks.join_next().await {
            ended.expect("the task of a client");
        }
        std::mem::take(&mut *lock(&self.outcomes))
    }
}

fn lock(
    outcomes: &OutcomeList,
) -> sync::MutexGuard<'_, Vec<(String, test_support::StatementOutcome)>> {
    outcomes
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner)
}

/// Inserts a row in an explicit transaction. Any failure, other than an unknown outcome of the
/// commit, is returned as 40001, which means that the row must not be committed.
async fn transaction(client: &tokio_postgres::Client, id: &str) -> test_support::StatementOutcome {
    let rolled_back = || test_support::StatementOutcome::Failed("40001".to_owned());
    if !test_support::run(client, "begin", "BEGIN").await.is_done() {
        return rolled_back();
    }
    if !test_support::insert(client, id).await.is_done() {
        test_support::run(client, "rollback", "ROLLBACK").await;
        return rolled_back();
    }
    match test_support::run(client, "commit", "COMMIT").await {
        test_support::StatementOutcome::Failed(state) if state != "40003" => rolled_back(),
        outcome => outcome,
    }
}
