//! [`DecisionRecord`]: what a VM knows of the decisions on the primary of a group.

use std::cell;
use std::time;

use crate::model::{ids, log_position};
use crate::node::{edge, limits, primary_change};

/// A decision that may still be in progress.
#[derive(Debug)]
struct OpenDecision {
    change: primary_change::PrimaryChange,
    seen: time::Duration,
    /// Last term that this decision ends, or an earlier one that it took over.
    ends: ids::TermNumber,
}

/// What a VM knows of the decisions on the primary of a group. Times are those of the monotonic
/// clock.
///
/// An end says that a decision is over, not what it did. Unless it says that the primary was kept,
/// the primary may have been replaced, and the VM may see the end before it hears of the successor.
/// See `docs/node.md`, "Acknowledgements while the primary changes".
#[derive(Debug, Default)]
pub struct DecisionRecord {
    latest: cell::Cell<edge::RevisionNumber>,
    seen_at: cell::Cell<Option<time::Duration>>,
    open: cell::RefCell<Option<OpenDecision>>,
    /// Last term that a decision may have ended which is over, and whose outcome is not known.
    doubtful: cell::Cell<ids::TermNumber>,
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
            edge::ClaimPurpose::Kept(_) => *self.open.borrow_mut() = None,
            edge::ClaimPurpose::Reserve
            | edge::ClaimPurpose::Ended
            | edge::ClaimPurpose::Promoted(_) => {
                if let Some(open) = self.open.take() {
                    self.add_doubt(open.ends);
                }
            }
        }
    }

    /// Records a claimed decision number that does not follow the latest known one for certain. A
    /// decision that ended `term` may have been made in between.
    pub fn record_claim_after_gap(
        &self,
        number: edge::RevisionNumber,
        purpose: &edge::ClaimPurpose,
        term: ids::TermNumber,
        now: time::Duration,
    ) {
        // A VM that knows no decision at all has just started, and has told no caller of a commit.
        if number > self.latest.get() && self.latest.get() > 0 {
            self.add_doubt(term);
        }
        self.record_claim(number, purpose, now);
    }

    /// Records the latest claimed number that another VM knows, and up to which term that VM does not
    /// know the outcome of decisions that are over.
    pub fn record_claim_of_peer(
        &self,
        number: edge::RevisionNumber,
        purpose: &edge::ClaimPurpose,
        doubtful: ids::TermNumber,
        now: time::Duration,
    ) {
        if number > self.latest.get() {
            self.add_doubt(doubtful);
        }
        self.record_claim(number, purpose, now);
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

    /// The VM that makes a decision rules out the one that it takes over, so their outcome is one.
    fn begin(&self, change: primary_change::PrimaryChange, now: time::Duration) {
        self.seen_at.set(Some(now));
        let mut open = self.open.borrow_mut();
        let earlier = open.as_ref().map_or(0, |open| open.ends);
        *open = Some(OpenDecision {
            ends: change.ends.max(earlier),
            change,
            seen: now,
        });
    }

    fn add_doubt(&self, term: ids::TermNumber) {
        self.doubtful.set(self.doubtful.get().max(term));
    }

    /// Returns the change made by the decision that may still be in progress. A decision is closed
    /// by the VM that made it, so if that VM has died it counts as in progress until it expires.
    #[must_use]
    pub fn open_change(&self, now: time::Duration) -> Option<primary_change::PrimaryChange> {
        let open = self.open.borrow();
        let open = open.as_ref()?;
        (now.saturating_sub(open.seen) < limits::DECISION_EXPIRY).then(|| open.change.clone())
    }

    /// Returns whether a decision may have ended `term` that is over or has expired, and whose
    /// outcome is not known.
    #[must_use]
    pub fn is_doubtful(&self, term: ids::TermNumber) -> bool {
        self.doubtful_term() >= term
    }

    /// Returns the last such term; 0 if there is none.
    #[must_use]
    pub fn doubtful_term(&self) -> ids::TermNumber {
        let open = self.open.borrow();
        let unsettled = open.as_ref().map_or(0, |open| open.ends);
        self.doubtful.get().max(unsettled)
    }

    /// Records that the primary of `term` was proved to lead by questions that were sent after the
    /// decision `latest` had become known: no decision that is over has replaced it.
    pub fn record_proof(
        &self,
        latest: edge::RevisionNumber,
        term: ids::TermNumber,
        now: time::Duration,
    ) {
        if latest != self.latest.get() || self.open_change(now).is_some() {
            return;
        }
        if self.doubtful.get() <= term {
            self.doubtful.set(0);
        }
        self.open.borrow_mut().take_if(|open| open.ends <= term);
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

    /// Returns the highest position that the next primary is known to hold.
    #[must_use]
    pub const fn successor_position(&self) -> Option<log_position::LogPosition> {
        self.successor_position.get()
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
