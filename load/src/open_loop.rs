//! Open-loop load: issues each request when it is due, whether or not earlier ones have been
//! answered.

use std::sync;
use std::time;

use crate::request_stats;
use crate::session;

/// Pool of client sessions; a request that finds none idle waits for one.
#[derive(Debug)]
pub struct SessionPool {
    idle: sync::Mutex<Vec<session::ClientSession>>,
    permits: tokio::sync::Semaphore,
}

impl SessionPool {
    /// Creates a pool of `count` sessions spread over the entries.
    #[must_use]
    pub fn new(login: &session::ClientLogin, count: usize) -> Self {
        let idle = (0..count).map(|number| session::ClientSession::new(login.clone(), number));
        Self {
            idle: sync::Mutex::new(idle.collect()),
            permits: tokio::sync::Semaphore::new(count),
        }
    }

    /// Connects every session, so that logins do not fall into the measured time.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the first login that failed.
    pub async fn connect_all(&self) -> Result<(), request_stats::RequestOutcome> {
        let mut sessions = std::mem::take(&mut *self.lock());
        let mut logins = Vec::new();
        for session in &mut sessions {
            logins.push(async { session.connection().await.map(drop) });
        }
        let outcome = futures::future::try_join_all(logins).await.map(drop);
        *self.lock() = sessions;
        outcome
    }

    async fn acquire(&self) -> session::ClientSession {
        loop {
            // The semaphore is never closed, and a permit is added only after a session was
            // returned, so each permit stands for an idle session.
            if let Ok(permit) = self.permits.acquire().await {
                permit.forget();
            }
            if let Some(session) = self.lock().pop() {
                return session;
            }
        }
    }

    fn release(&self, session: session::ClientSession) {
        self.lock().push(session);
        self.permits.add_permits(1);
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<session::ClientSession>> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Timing and outcome of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    /// Position of the request in the arrival schedule, from 0.
    pub number: usize,
    /// Time at which the request was due, from the start of the run.
    pub due: time::Duration,
    /// Time from when the request was due until it ended, which includes the wait for a session if
    /// all are busy.
    pub latency: time::Duration,
    /// Outcome of the request.
    pub outcome: request_stats::RequestOutcome,
}

/// Runs one request for each time of the schedule, counted from `start`, and returns all records
/// once the last request has ended.
pub async fn run<R, F>(
    pool: sync::Arc<SessionPool>,
    schedule: impl Iterator<Item = time::Duration>,
    start: time::Instant,
    request: R,
) -> Vec<RequestRecord>
where
    R: Fn(usize, session::ClientSession) -> F + Clone + Send + 'static,
    F: Future<Output = (session::ClientSession, request_stats::RequestOutcome)> + Send,
{
    let mut tasks = tokio::task::JoinSet::new();
    let mut records = Vec::new();
    for (number, due) in schedule.enumerate() {
        tokio::time::sleep_until((start + due).into()).await;
        while let Some(finished) = tasks.try_join_next() {
            records.extend(finished);
        }
        let pool = sync::Arc::clone(&pool);
        let request = request.clone();
        tasks.spawn(async move {
            let session = pool.acquire().await;
            let (session, outcome) = request(number, session).await;
            pool.release(session);
            RequestRecord {
                number,
                due,
                latency: start.elapsed().saturating_sub(due),
                outcome,
            }
        });
    }
    records.extend(tasks.join_all().await);
    records
}
