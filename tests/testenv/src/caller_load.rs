//! [`WriteLoad`]: clients that write continuously and record the outcomes.

use std::sync;
use std::sync::atomic;
use std::time;

use crate::proof;
use crate::test_env;
use crate::waiting;

/// Pause between two writes of one client, which limits the size of the journals.
const WRITE_PAUSE: time::Duration = time::Duration::from_millis(10);

type ToldList = sync::Arc<sync::Mutex<Vec<(String, proof::Told)>>>;

/// Clients that write continuously through all entries and record the outcomes.
#[derive(Debug)]
pub struct CallerLoad {
    told: ToldList,
    stop: sync::Arc<atomic::AtomicBool>,
    tasks: tokio::task::JoinSet<()>,
}

impl CallerLoad {
    /// Starts two clients at each entry: one sends single statements, one sends transactions.
    ///
    /// # Panics
    ///
    /// Panics if an entry does not listen.
    pub fn start(env: &mut test_env::TestEnv) -> Self {
        let mut load = Self {
            told: ToldList::default(),
            stop: sync::Arc::default(),
            tasks: tokio::task::JoinSet::new(),
        };
        for entry in env.processes().names("persimmon-entry") {
            let address = env.processes().address(&entry, "listen").expect("listens");
            for transactions in [false, true] {
                let told = sync::Arc::clone(&load.told);
                let stop = sync::Arc::clone(&load.stop);
                let name = format!("{entry}-{transactions}");
                load.tasks.spawn(async move {
                    let mut number = 0;
                    while !stop.load(atomic::Ordering::Relaxed) {
                        tokio::time::sleep(WRITE_PAUSE).await;
                        let connect = test_env::connect_to(
                            address,
                            proof::USER,
                            proof::PASSWORD,
                            proof::GROUP,
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
                                proof::insert(&client, &id).await
                            };
                            lock(&told).push((id, answer));
                            tokio::time::sleep(WRITE_PAUSE).await;
                        }
                    }
                });
            }
        }
        load
    }

    /// Waits until `count` more writes are acknowledged.
    pub async fn more(&self, count: usize) {
        let done = || {
            lock(&self.told)
                .iter()
                .filter(|(_, told)| told.is_done())
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
    pub async fn finish(mut self) -> Vec<(String, proof::Told)> {
        self.stop.store(true, atomic::Ordering::Relaxed);
        while let Some(ended) = self.tasks.join_next().await {
            ended.expect("the task of a client");
        }
        std::mem::take(&mut *lock(&self.told))
    }
}

fn lock(told: &ToldList) -> sync::MutexGuard<'_, Vec<(String, proof::Told)>> {
    told.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Inserts a row in an explicit transaction. Any failure, other than an unknown outcome of the
/// commit, is returned as 40001, which means that the row must not be committed.
async fn transaction(client: &tokio_postgres::Client, id: &str) -> proof::Told {
    let rolled_back = || proof::Told::Failed("40001".to_owned());
    if !proof::run(client, "begin", "BEGIN").await.is_done() {
        return rolled_back();
    }
    if !proof::insert(client, id).await.is_done() {
        proof::run(client, "rollback", "ROLLBACK").await;
        return rolled_back();
    }
    match proof::run(client, "commit", "COMMIT").await {
        proof::Told::Failed(state) if state != "40003" => rolled_back(),
        told => told,
    }
}
