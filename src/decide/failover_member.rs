//! [`MemberView`]: state and reachability of one upstream of a group, as a keeper observes them.

use std::time;

use crate::decide::failover_event;
use crate::model::upstream_state;

/// Consecutive refused connections after which an upstream counts as down. A single one may be a
/// restart of the listener.
const REFUSALS_TO_DOWN: u32 = 2;

/// State and reachability of one upstream of a group, as a keeper observes them.
#[derive(Clone, Debug)]
pub(super) struct MemberView {
    pub(super) spec: failover_event::MemberSpec,
    pub(super) state: Option<upstream_state::UpstreamState>,
    pub(super) answered: bool,
    refusals: u32,
    pub(super) down: bool,
    pub(super) follow_sent_at: Option<time::Duration>,
    pub(super) follow_needed_since: Option<time::Duration>,
    pub(super) held_changed_at: time::Duration,
}

impl MemberView {
    /// Creates the view of an upstream that has not been probed yet.
    pub(super) const fn new(spec: failover_event::MemberSpec) -> Self {
        Self {
            spec,
            state: None,
            answered: false,
            refusals: 0,
            down: false,
            follow_sent_at: None,
            follow_needed_since: None,
            held_changed_at: time::Duration::ZERO,
        }
    }

    /// Records the result of a probe. An upstream counts as down after `silence` without an answer.
    pub(super) fn record_probe(
        &mut self,
        result: failover_event::ProbeResult,
        now: time::Duration,
        silence: time::Duration,
    ) {
        match result {
            failover_event::ProbeResult::Answered(state) => self.record_state(state, now),
            failover_event::ProbeResult::Alive => {
                self.refusals = 0;
                self.down = false;
            }
            failover_event::ProbeResult::Refused => {
                self.refusals = self.refusals.saturating_add(1);
                self.down = self.down || self.refusals >= REFUSALS_TO_DOWN;
            }
            failover_event::ProbeResult::Silent(elapsed) => {
                self.down = self.down || elapsed >= silence;
            }
        }
    }

    /// Records a state that the upstream has just reported, if it is newer than the known one.
    pub(super) fn record_state(
        &mut self,
        state: upstream_state::UpstreamState,
        now: time::Duration,
    ) {
        self.refusals = 0;
        self.down = false;
        self.answered = true;
        let known = self.state.as_ref();
        if known.is_some_and(|known| !state.is_newer_than(known)) {
            return;
        }
        if known.is_none_or(|known| known.held != state.held) {
            self.held_changed_at = now;
        }
        self.state = Some(state);
    }
}
