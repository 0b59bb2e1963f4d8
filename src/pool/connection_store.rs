//! [`ConnectionStore`]: the connections to one upstream that run units of work.

use std::sync;
use std::time;

use crate::model::upstream_spec;
use crate::pool::{upstream_connection, upstream_edge, upstream_error};

/// Shortest and longest pause after the upstream refused a connection or could not be reached.
const BACK_OFF: (time::Duration, time::Duration) = (
    time::Duration::from_millis(20),
    time::Duration::from_millis(500),
);

#[derive(Debug, Default)]
struct StoreState {
    idle: Vec<upstream_connection::UpstreamConnection>,
    open: u32,
    limit: u32,
    pause: time::Duration,
    paused_until: Option<tokio::time::Instant>,
}

/// The connections to one upstream that run units of work. They are opened on demand up to a
/// limit, and a few are kept open ahead of demand.
#[derive(Debug)]
pub struct ConnectionStore {
    state: sync::Mutex<StoreState>,
    changed: tokio::sync::Notify,
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub struct OpenPermit {
    store: sync::Arc<ConnectionStore>,
}

/// A connection that a unit holds. Dropping it closes the connection.
#[derive(Debug)]
pub struct HeldConnection {
    /// The connection.
    pub connection: upstream_connection::UpstreamConnection,
    permit: OpenPermit,
}

enum Choice {
    Idle(Box<upstream_connection::UpstreamConnection>),
    Open,
    Wait,
}

impl ConnectionStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self {
            state: sync::Mutex::new(StoreState {
                limit,
                pause: BACK_OFF.0,
                ..StoreState::default()
            }),
            changed: tokio::sync::Notify::new(),
        }
    }

    /// Takes an idle connection to `database`, or opens one.
    ///
    /// # Errors
    ///
    /// Fails if the upstream cannot be reached or has no connection left.
    pub async fn acquire(
        self: &sync::Arc<Self>,
        edge: &dyn upstream_edge::UpstreamEdge,
        spec: &upstream_spec::UpstreamSpec,
        database: &str,
    ) -> Result<HeldConnection, upstream_error::UpstreamError> {
        loop {
            let changed = self.changed.notified();
            match self.choose(database) {
                Choice::Idle(connection) => {
                    return Ok(HeldConnection {
                        connection: *connection,
                        permit: OpenPermit {
                            store: sync::Arc::clone(self),
                        },
                    });
                }
                Choice::Open => return self.open(edge, spec, database).await,
                Choice::Wait => {
                    // A pause ends without a notification, so the wait is bounded.
                    drop(tokio::time::timeout(BACK_OFF.0, changed).await);
                }
            }
        }
    }

    fn choose(&self, database: &str) -> Choice {
        let mut state = self.lock();
        let place = state
            .idle
            .iter()
            .rposition(|connection| connection.database == database);
        if let Some(place) = place {
            return Choice::Idle(Box::new(state.idle.remove(place)));
        }
        let paused = state
            .paused_until
            .is_some_and(|until| until > tokio::time::Instant::now());
        if paused {
            return Choice::Wait;
        }
        if state.open >= state.limit {
            if state.idle.is_empty() {
                return Choice::Wait;
            }
            // An idle connection to another database makes room.
            state.idle.remove(0);
            state.open = state.open.saturating_sub(1);
        }
        state.open += 1;
        Choice::Open
    }

    async fn open(
        self: &sync::Arc<Self>,
        edge: &dyn upstream_edge::UpstreamEdge,
        spec: &upstream_spec::UpstreamSpec,
        database: &str,
    ) -> Result<HeldConnection, upstream_error::UpstreamError> {
        let permit = OpenPermit {
            store: sync::Arc::clone(self),
        };
        let opened = edge.connect(spec, database).await;
        let mut state = self.lock();
        match opened {
            Ok(connection) => {
                state.pause = BACK_OFF.0;
                drop(state);
                Ok(HeldConnection { connection, permit })
            }
            Err(error) => {
                state.paused_until = Some(tokio::time::Instant::now() + state.pause);
                state.pause = (state.pause * 2).min(BACK_OFF.1);
                drop(state);
                Err(error)
            }
        }
    }

    /// Opens a connection ahead of demand while fewer than `wanted` are idle. Returns whether one
    /// was opened.
    pub async fn warm(
        self: &sync::Arc<Self>,
        edge: &dyn upstream_edge::UpstreamEdge,
        spec: &upstream_spec::UpstreamSpec,
        database: &str,
        wanted: usize,
    ) -> bool {
        {
            let mut state = self.lock();
            let paused = state
                .paused_until
                .is_some_and(|until| until > tokio::time::Instant::now());
            if paused || state.idle.len() >= wanted || state.open >= state.limit {
                return false;
            }
            state.open += 1;
        }
        match self.open(edge, spec, database).await {
            Ok(held) => {
                held.give_back();
                true
            }
            Err(_) => false,
        }
    }

    /// Checks the connections that have been idle for `age`, and closes those that do not answer
    /// within `limit`, so that no unit starts on a connection that went silent.
    pub async fn check_idle(self: &sync::Arc<Self>, age: time::Duration, limit: time::Duration) {
        let stale: Vec<_> = self
            .lock()
            .idle
            .extract_if(.., |connection| connection.idle_since.elapsed() >= age)
            .map(|connection| HeldConnection {
                connection,
                permit: OpenPermit {
                    store: sync::Arc::clone(self),
                },
            })
            .collect();
        futures::future::join_all(stale.into_iter().map(|mut held| async move {
            if let Ok(Ok(())) = tokio::time::timeout(limit, held.connection.check()).await {
                held.give_back();
            }
        }))
        .await;
    }

    /// Sets how many connections may be open.
    pub fn set_limit(&self, limit: u32) {
        self.lock().limit = limit;
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        let mut state = self.lock();
        let closed = u32::try_from(state.idle.len()).unwrap_or(u32::MAX);
        state.open = state.open.saturating_sub(closed);
        state.idle.clear();
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_count(&self) -> u32 {
        self.lock().open
    }

    /// Completes when a connection was closed or given back.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    fn lock(&self) -> sync::MutexGuard<'_, StoreState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl HeldConnection {
    /// Makes the connection available to other units. It has to be idle and without session state.
    pub fn give_back(self) {
        let Self {
            mut connection,
            permit,
        } = self;
        connection.idle_since = tokio::time::Instant::now();
        let store = sync::Arc::clone(&permit.store);
        {
            let mut state = store.lock();
            if state.open <= state.limit {
                state.idle.push(connection);
                // The idle connection stays counted, which dropping the permit would undo.
                state.open += 1;
            }
        }
        drop(permit);
        store.changed.notify_waiters();
    }
}

impl Drop for OpenPermit {
    fn drop(&mut self) {
        {
            let mut state = self.store.lock();
            state.open = state.open.saturating_sub(1);
        }
        self.store.changed.notify_waiters();
    }
}
