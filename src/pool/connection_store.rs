//! [`ConnectionStore`]: the connections to one upstream on which units of work run.

use std::sync;
use std::time;

use crate::model::upstream_spec;
use crate::pool::{upstream_connection, upstream_edge, upstream_error};

/// Shortest and longest backoff after the upstream refused a connection or could not be reached.
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

/// The connections to one upstream on which units of work run. They are opened on demand up to a
/// limit, and a few are opened in advance.
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

/// A connection held by a unit. Dropping it closes the connection; [`HeldConnection::release`]
/// makes it available to other units.
#[derive(Debug)]
pub struct HeldConnection {
    /// The connection.
    pub connection: upstream_connection::UpstreamConnection,
    permit: OpenPermit,
}

/// How a request for a connection can be served.
enum AcquireChoice {
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

    /// Takes an idle connection to `database` or opens a new one, and waits while neither is
    /// possible.
    ///
    /// # Errors
    ///
    /// Fails if the upstream cannot be reached or refuses the connection.
    pub async fn acquire(
        self: &sync::Arc<Self>,
        edge: &dyn upstream_edge::UpstreamEdge,
        spec: &upstream_spec::UpstreamSpec,
        database: &str,
    ) -> Result<HeldConnection, upstream_error::UpstreamError> {
        loop {
            let changed = self.changed.notified();
            match self.choose_connection(database) {
                AcquireChoice::Idle(connection) => {
                    return Ok(HeldConnection {
                        connection: *connection,
                        permit: OpenPermit {
                            store: sync::Arc::clone(self),
                        },
                    });
                }
                AcquireChoice::Open => return self.open(edge, spec, database).await,
                AcquireChoice::Wait => {
                    // The backoff ends without a notification, so the wait has a timeout.
                    drop(tokio::time::timeout(BACK_OFF.0, changed).await);
                }
            }
        }
    }

    /// Takes an idle connection, or reserves a new one within the limit.
    fn choose_connection(&self, database: &str) -> AcquireChoice {
        let mut state = self.lock();
        let place = state
            .idle
            .iter()
            .rposition(|connection| connection.database == database);
        if let Some(place) = place {
            return AcquireChoice::Idle(Box::new(state.idle.remove(place)));
        }
        let paused = state
            .paused_until
            .is_some_and(|until| until > tokio::time::Instant::now());
        if paused {
            return AcquireChoice::Wait;
        }
        if state.open >= state.limit {
            if state.idle.is_empty() {
                return AcquireChoice::Wait;
            }
            // Closes an idle connection to another database to stay within the limit.
            state.idle.remove(0);
            state.open = state.open.saturating_sub(1);
        }
        state.open += 1;
        AcquireChoice::Open
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

    /// Opens a connection in advance if fewer than `wanted` are idle. Returns whether one was
    /// opened.
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
                held.release();
                true
            }
            Err(_) => false,
        }
    }

    /// Checks the connections that have been idle for at least `age` and closes those that do not
    /// answer within `limit`, so that no unit starts on a dead connection.
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
                held.release();
            }
        }))
        .await;
    }

    /// Sets the limit of open connections.
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

    /// Completes when a connection is closed or released.
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
    /// Returns the connection to the store, for other units. It must be idle and have no session
    /// state.
    pub fn release(self) {
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
                // An idle connection counts as open; this offsets the drop of the permit below.
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
