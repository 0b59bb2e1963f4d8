//! Runs requests at planned times, whether or not earlier ones have been answered.

use std::sync;
use std::time;

use crate::session;
use crate::tally;

/// Sessions that are free for the next request.
#[derive(Debug)]
pub struct SessionPool {
    idle: sync::Mutex<Vec<session::CallerSession>>,
    permits: tokio::sync::Semaphore,
}

impl SessionPool {
    /// Creates a pool of `count` sessions spread over the entries.
    #[must_use]
    pub fn new(login: &session::CallerLogin, count: usize) -> Self {
        let idle = (0..count).map(|number| session::CallerSession::new(login.clone(), number));
        Self {
            idle: sync::Mutex::new(idle.collect()),
            permits: tokio::sync::Semaphore::new(count),
        }
    }

    /// Opens every session, so that a run does not start with a rush of logins.
    ///
    /// # Errors
    ///
    /// Returns how the first attempt that failed ended.
    pub async fn connect_all(&self) -> Result<(), tally::RequestEnd> {
        let mut sessions = std::mem::take(&mut *self.lock());
        let mut connects = Vec::new();
        for session in &mut sessions {
            connects.push(async { session.client().await.map(drop) });
        }
        let outcome = futures::future::try_join_all(connects).await.map(drop);
        *self.lock() = sessions;
        outcome
    }

    async fn take(&self) -> session::CallerSession {
        loop {
            // The semaphore is never closed. A permit is only added after a session was put back,
            // so a session is there for each permit.
            if let Ok(permit) = self.permits.acquire().await {
                permit.forget();
            }
            if let Some(session) = self.lock().pop() {
                return session;
            }
        }
    }

    fn put_back(&self, session: session::CallerSession) {
        self.lock().push(session);
        self.permits.add_permits(1);
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<session::CallerSession>> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// One request of a run.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    /// Number of the request in the plan.
    pub number: usize,
    /// Intended start, from the start of the run.
    pub due: time::Duration,
    /// Time from the intended start to the end. A request that waits because every session is busy
    /// is as late as its caller sees it.
    pub latency: time::Duration,
    /// How it ended.
    pub end: tally::RequestEnd,
}

/// Runs one request per planned arrival and returns all of them once the last has ended.
pub async fn run<R, F>(
    pool: sync::Arc<SessionPool>,
    plan: impl Iterator<Item = time::Duration>,
    start: time::Instant,
    request: R,
) -> Vec<RequestRecord>
where
    R: Fn(usize, session::CallerSession) -> F + Clone + Send + 'static,
    F: Future<Output = (session::CallerSession, tally::RequestEnd)> + Send,
{
    let mut tasks = tokio::task::JoinSet::new();
    let mut records = Vec::new();
    for (number, due) in plan.enumerate() {
        tokio::time::sleep_until((start + due).into()).await;
        while let Some(joined) = tasks.try_join_next() {
            records.extend(joined);
        }
        let pool = sync::Arc::clone(&pool);
        let request = request.clone();
        tasks.spawn(async move {
            let session = pool.take().await;
            let (session, end) = request(number, session).await;
            pool.put_back(session);
            RequestRecord {
                number,
                due,
                latency: start.elapsed().saturating_sub(due),
                end,
            }
        });
    }
    records.extend(tasks.join_all().await);
    records
}
