//! [`StopState`]: the graceful shutdown of a node.

use std::cell;
use std::rc;
use std::time;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::node::{edge, limits, node_tables};

/// Progress of a node's graceful shutdown.
#[derive(Debug, Default)]
pub struct StopState {
    started: cell::Cell<Option<Instant>>,
    grace: cell::Cell<time::Duration>,
    begun: Notify,
}

impl StopState {
    /// Begins the shutdown, which has to be complete after `grace`.
    pub fn begin(&self, grace: time::Duration) {
        self.started.set(Some(Instant::now()));
        self.grace.set(grace);
        self.begun.notify_waiters();
    }

    /// Returns whether the shutdown has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.started.get().is_some()
    }

    /// Completes when the shutdown begins, and returns when that was.
    pub async fn wait_for_stop(&self) -> Instant {
        loop {
            let begun = self.begun.notified();
            if let Some(started) = self.started.get() {
                return started;
            }
            begun.await;
        }
    }

    /// Completes when a session that waits for a request has to be closed: soon after the load
    /// balancer has stopped sending callers, or later if a transaction is open.
    pub async fn wait_idle_close(&self, in_transaction: bool) {
        let started = self.wait_for_stop().await;
        let transaction_time = self.grace.get().mul_f64(limits::STOP_TRANSACTION_SHARE);
        let delay = if in_transaction {
            transaction_time
        } else {
            limits::STOP_LINGER.min(transaction_time)
        };
        tokio::time::sleep_until(started + delay).await;
    }

    /// Completes when the process has to exit: when no session is left or the grace period ends.
    pub async fn wait_finished<E: edge::NodeEdge>(&self, tables: &node_tables::NodeTables<E>) {
        let started = self.started.get().unwrap_or_else(Instant::now);
        let end = started + self.grace.get().saturating_sub(limits::STOP_MARGIN);
        let linger = started + limits::STOP_LINGER.min(self.grace.get());
        tokio::time::sleep_until(linger).await;
        while tables.sessions.get() > 0 && Instant::now() < end {
            tokio::time::sleep(limits::ROUTE_PAUSE).await;
        }
    }
}

/// Guard that counts a session while it is open.
#[derive(Debug)]
pub struct SessionCount<E: edge::NodeEdge> {
    tables: rc::Rc<node_tables::NodeTables<E>>,
}

impl<E: edge::NodeEdge> SessionCount<E> {
    /// Counts a session that has started.
    #[must_use]
    pub fn new(tables: rc::Rc<node_tables::NodeTables<E>>) -> Self {
        tables.sessions.set(tables.sessions.get() + 1);
        Self { tables }
    }
}

impl<E: edge::NodeEdge> Drop for SessionCount<E> {
    fn drop(&mut self) {
        let sessions = self.tables.sessions.get();
        self.tables.sessions.set(sessions.saturating_sub(1));
    }
}
