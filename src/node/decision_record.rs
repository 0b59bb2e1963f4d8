//! [`DecisionRecord`]: what a VM knows of the decisions on the primary of a group.

use std::cell;
use std::time;

use crate::model::log_position;
use crate::node::{edge, limits, primary_change};

/// A decision that may still be in progress.
#[derive(Debug)]
struct OpenDecision {
    change: primary_change::PrimaryChange,
    seen: time::Duration,
}

/// What a VM knows of the decisions on the primary of a group. Times are those of the monotonic
/// clock.
#[derive(Debug, Default)]
pub struct DecisionRecord {
    latest: cell::Cell<edge::RevisionNumber>,
    seen_at: cell::Cell<Option<time::Duration>>,
    open: cell::RefCell<Option<OpenDecision>>,
    /// Number of this VM's latest decision.
    own: cell::Cell<edge::RevisionNumber>,
    ended_at: cell::Cell<Option<time::Duration>>,
    deciding: cell::Cell<bool>,
    reserved: cell::Cell<Option<edge::RevisionNumber>>,
    /// Highest position that the successor of the latest decision is known to hold.
    successor_position: cell::Cell<Option<log_position::LogPosition>>,
}

impl DecisionRecord {
    /// Records a claimed decision number and its purpose, unless a later number is known.
    pub fn record_claim(
        &self,
        number: edge::RevisionNumber,
        purpose: &edge::ClaimPurpose,
        now: time::Duration,
    ) {
        if number <= self.latest.get() {
            return;
        }
        self.set_latest(number);
        match purpose {
            edge::ClaimPurpose::Now(change) => self.begin(change.clone(), now),
            edge::ClaimPurpose::Reserve
            | edge::ClaimPurpose::Ended
            | edge::ClaimPurpose::Promoted(_) => *self.open.borrow_mut() = None,
        }
    }

    /// Records a decision that this VM did not learn of from the store. Its number may already be
    /// known as a reserved one. Returns `false` if a later number is known.
    pub fn open_decision(
        &self,
        number: edge::RevisionNumber,
        change: primary_change::PrimaryChange,
        now: time::Duration,
    ) -> bool {
        if number < self.latest.get() {
            return false;
        }
        if number > self.latest.get() {
            self.set_latest(number);
        }
        self.reserved.set(None);
        self.begin(change, now);
        true
    }

    fn set_latest(&self, number: edge::RevisionNumber) {
        self.latest.set(number);
        self.successor_position.set(None);
        // A reserved number is valid only until a later one is claimed.
        self.reserved.set(None);
    }

    fn begin(&self, change: primary_change::PrimaryChange, now: time::Duration) {
        self.seen_at.set(Some(now));
        *self.open.borrow_mut() = Some(OpenDecision { change, seen: now });
    }

    /// Returns the change made by the decision that may still be in progress. A decision is closed
    /// by the VM that made it, so if that VM has died it counts as in progress until it expires.
    #[must_use]
    pub fn open_change(&self, now: time::Duration) -> Option<primary_change::PrimaryChange> {
        let open = self.open.borrow();
        let open = open.as_ref()?;
        (now.saturating_sub(open.seen) < limits::DECISION_EXPIRY).then(|| open.change.clone())
    }

    /// Returns whether the primary may be about to change: a decision is in progress.
    #[must_use]
    pub fn is_changing(&self, now: time::Duration) -> bool {
        self.is_deciding() || self.open_change(now).is_some()
    }

    /// Returns whether a decision has been open for longer than a decision can take: its VM has
    /// died or could not close it.
    #[must_use]
    pub fn is_abandoned(&self, now: time::Duration) -> bool {
        let open = self.open.borrow();
        open.as_ref().is_some_and(|open| {
            let age = now.saturating_sub(open.seen);
            age > limits::DECISION_ABANDONED && age < limits::DECISION_EXPIRY
        })
    }

    /// Records the number of the decision that this VM makes.
    pub fn set_own(&self, number: edge::RevisionNumber) {
        self.own.set(number);
    }

    /// Returns the number of this VM's latest decision.
    #[must_use]
    pub const fn own(&self) -> edge::RevisionNumber {
        self.own.get()
    }

    /// Records that the next primary holds a position, and with it all earlier ones of its term.
    pub fn record_successor_position(&self, position: log_position::LogPosition) {
        self.successor_position
            .set(self.successor_position.get().max(Some(position)));
    }

    /// Returns whether the next primary is known to hold a position.
    #[must_use]
    pub fn successor_holds(&self, position: log_position::LogPosition) -> bool {
        self.successor_position
            .get()
            .is_some_and(|kept| kept.term == position.term && kept.offset >= position.offset)
    }

    /// Stores a number that this VM claimed in reserve, if it is still the latest one.
    pub fn set_reserved(&self, number: edge::RevisionNumber) {
        if number == self.latest.get() {
            self.reserved.set(Some(number));
        }
    }

    /// Gives up the reserved number, since the store no longer has its claim.
    pub fn drop_reserved(&self) {
        self.reserved.set(None);
    }

    /// Returns whether this VM has a reserved number.
    #[must_use]
    pub const fn has_reserved(&self) -> bool {
        self.reserved.get().is_some()
    }

    /// Takes the reserved number. It can be used for one decision only: a delayed promotion call
    /// with the same number for another upstream could otherwise undo the newer promotion.
    pub fn take_reserved(&self) -> Option<edge::RevisionNumber> {
        self.reserved.take()
    }

    /// Returns the number of the latest known decision.
    #[must_use]
    pub const fn latest(&self) -> edge::RevisionNumber {
        self.latest.get()
    }

    /// Returns when the latest decision became known.
    #[must_use]
    pub const fn seen_at(&self) -> Option<time::Duration> {
        self.seen_at.get()
    }

    /// Records that a decision of this VM ended at `now`; the next one is due only after a
    /// cooldown.
    pub fn record_ended(&self, now: time::Duration) {
        self.ended_at.set(Some(now));
    }

    /// Returns when the last decision of this VM ended.
    #[must_use]
    pub const fn ended_at(&self) -> Option<time::Duration> {
        self.ended_at.get()
    }

    /// Sets whether a decision of this VM is running.
    pub fn set_deciding(&self, deciding: bool) {
        self.deciding.set(deciding);
    }

    /// Returns whether a decision of this VM is running.
    #[must_use]
    pub const fn is_deciding(&self) -> bool {
        self.deciding.get()
    }
}
