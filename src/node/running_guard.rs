//! [`RunningGuard`]: a request to an upstream, until it is answered or lost.

use std::rc;
use std::time;

use crate::node::{edge, node_tables, pool};

/// What the answer to a request says about the load of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// The time of a statement.
    Statement,
    /// The round trip: the request takes no slot.
    RoundTrip,
    /// That no slot was free.
    Busy,
    /// Nothing.
    Other,
}

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

    /// Records that the whole answer arrived, with rows of `bytes`. Its duration updates what is
    /// known of the upstream's load, as far as the `kind` of the request says something about it.
    pub fn finish(mut self, kind: AnswerKind, bytes: usize) {
        self.ended = true;
        let now = node_tables::monotonic_now();
        let duration = now.saturating_sub(self.started);
        let elapsed = (kind == AnswerKind::Statement).then_some(duration);
        let sent = self.started;
        self.pool.update_health(|health| {
            health.record_answer(now, elapsed);
            health.record_reached(sent);
            match kind {
                AnswerKind::Statement => health.load.record_size(now, duration, bytes),
                AnswerKind::RoundTrip => health.load.record_round_trip(now, duration),
                AnswerKind::Busy => health.load.record_refused(now),
                AnswerKind::Other => {}
            }
        });
        if elapsed.is_some() {
            self.pool.record_load(elapsed);
        }
    }
}

impl<E: edge::NodeEdge> Drop for RunningGuard<E> {
    fn drop(&mut self) {
        if !self.ended {
            let now = node_tables::monotonic_now();
            self.pool.update_health(|health| {
                health.record_lost();
                health.load.record_broken(now);
            });
        }
    }
}
