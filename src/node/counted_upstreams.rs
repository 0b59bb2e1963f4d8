//! [`CountedUpstreams`]: upstreams that every decision on the primary counts.

use std::cell;
use std::collections;
use std::time;

use crate::model::ids;
use crate::node::limits;

/// Upstreams of a group that every decision on its primary counts. All times are of
/// [`crate::node::edge::NodeEdge::boot_time`].
#[derive(Debug, Default)]
pub struct CountedUpstreams {
    /// Upstreams besides the primary that were listed when it was last proved to lead, or became known.
    /// One that was listed later may have joined after a decision that this VM has missed.
    early: cell::RefCell<collections::BTreeSet<ids::UpstreamId>>,
    /// Whether one of these has vanished from the list since.
    vanished: cell::Cell<bool>,
    /// Upstreams that other VMs have in their lists, and until when that counts.
    until: cell::RefCell<collections::BTreeMap<ids::UpstreamId, time::Duration>>,
    asking: cell::Cell<bool>,
    asked_at: cell::Cell<Option<time::Duration>>,
}

impl CountedUpstreams {
    /// Records an upstream that was listed when the primary was proved to lead.
    pub fn add_early(&self, upstream: &str) {
        if !self.is_early(upstream) {
            self.early.borrow_mut().insert(upstream.to_owned());
        }
    }

    /// Records an upstream that has just been listed, if it is the first one: without any other, no
    /// decision can have been made that this VM has missed.
    pub fn add_listed(&self, upstream: &str) {
        if self.early.borrow().is_empty() && !self.vanished.get() {
            self.add_early(upstream);
        }
    }

    /// Forgets an upstream that has left or restarted, which lifts its fence.
    pub fn remove_early(&self, upstream: &str) {
        self.early.borrow_mut().remove(upstream);
    }

    /// Records that one of these upstreams has vanished from the list.
    pub fn record_vanished(&self) {
        self.vanished.set(true);
    }

    /// Forgets which upstreams have vanished, since the primary was proved to lead.
    pub fn clear_vanished(&self) {
        self.vanished.set(false);
    }

    /// Returns whether one of these upstreams has vanished from the list.
    #[must_use]
    pub fn has_vanished(&self) -> bool {
        self.vanished.get()
    }

    /// Returns whether an upstream was listed when the primary was last proved to lead.
    #[must_use]
    pub fn is_early(&self, upstream: &str) -> bool {
        self.early.borrow().contains(upstream)
    }

    /// Records that other VMs list an upstream, which counts until a time.
    pub fn record(&self, upstream: &str, until: time::Duration) {
        self.until.borrow_mut().insert(upstream.to_owned(), until);
    }

    /// Returns whether other VMs are known to list an upstream now.
    #[must_use]
    pub fn contains(&self, upstream: &str, now: time::Duration) -> bool {
        let until = self.until.borrow();
        until.get(upstream).is_some_and(|until| now < *until)
    }

    /// Returns whether other VMs may be asked now: nobody else is asking, and the last question is
    /// older than [`limits::LIST_QUERY_INTERVAL`].
    pub fn begin_query(&self, now: time::Duration) -> bool {
        let is_recent = |at: time::Duration| now.saturating_sub(at) < limits::LIST_QUERY_INTERVAL;
        if self.asking.get() || self.asked_at.get().is_some_and(is_recent) {
            return false;
        }
        let mut until = self.until.borrow_mut();
        until.retain(|_, until| now < *until);
        self.asked_at.set(Some(now));
        self.asking.set(true);
        true
    }

    /// Records that the other VMs have answered.
    pub fn end_query(&self) {
        self.asking.set(false);
    }
}
