//! [`RunningGuard`]: a request to an upstream, until it is answered or lost.

use std::rc;
use std::time;

use crate::node::{edge, node_tables, pool};

/// Tracks a request to an upstream until it is answered or lost.
#[derive(Debug)]
pub struct RunningGuard<E: edge::NodeEdge> {
    pool: rc::Rc<pool::UpstreamPool<E>>,
    started: time::Duration,
    ended: bool,
}

impl<E: edge::NodeEdge> RunningGuard<E> {
    /// Records that a request was sent.
    #[must_use]
    pub fn new(pool: rc::Rc<pool::UpstreamPool<E>>) -> Self {
        let started = node_tables::monotonic_now();
        pool.update_health(|health| health.record_sent(started));
        Self {
            pool,
            started,
            ended: false,
        }
    }

    /// Records that a part of the answer arrived.
    pub fn record_progress(&self) {
        let now = node_tables::monotonic_now();
        self.pool.update_health(|health| {
            health.record_answer(now, None);
            health.record_sent(now);
        });
    }

    /// Records that the whole answer arrived. Its duration updates the mean answer time if the
    /// request was a statement.
    pub fn finish(mut self, statement: bool) {
        self.ended = true;
        let now = node_tables::monotonic_now();
        let elapsed = statement.then(|| now.saturating_sub(self.started));
        let sent = self.started;
        self.pool.update_health(|health| {
            health.record_answer(now, elapsed);
            health.record_reached(sent);
        });
        if elapsed.is_some() {
            self.pool.record_load(elapsed);
        }
    }
}

impl<E: edge::NodeEdge> Drop for RunningGuard<E> {
    fn drop(&mut self) {
        if !self.ended {
            self.pool.update_health(|health| health.record_lost());
        }
    }
}
