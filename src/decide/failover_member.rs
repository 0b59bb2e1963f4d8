//! [`MemberView`]: what a keeper knows about one upstream of a group.

use std::time;

use crate::decide::failover_event;
use crate::model::upstream_state;

/// Refused connects in a row after which an upstream counts as down. One alone may be a restart of
/// the listener.
const REFUSALS_TO_DOWN: u32 = 2;

/// What a keeper knows about one upstream of a group.
#[derive(Clone, Debug)]
pub(super) struct MemberView {
    pub(super) spec: failover_event::MemberSpec,
    pub(super) state: Option<upstream_state::UpstreamState>,
    pub(super) answered: bool,
    refused: u32,
    pub(super) down: bool,
    pub(super) follow_sent: Option<time::Duration>,
    pub(super) follow_needed: Option<time::Duration>,
    pub(super) held_moved: time::Duration,
}

impl MemberView {
    /// Creates the view of an upstream that was never probed.
    pub(super) const fn new(spec: failover_event::MemberSpec) -> Self {
        Self {
            spec,
            state: None,
            answered: false,
            refused: 0,
            down: false,
            follow_sent: None,
            follow_needed: None,
            held_moved: time::Duration::ZERO,
        }
    }

    /// Takes the result of a probe; `silence` is how long the upstream has to be silent to count
    /// as down.
    pub(super) fn take_probe(
        &mut self,
        result: failover_event::ProbeResult,
        now: time::Duration,
        silence: time::Duration,
    ) {
        match result {
            failover_event::ProbeResult::Answered(state) => self.take_state(state, now),
            failover_event::ProbeResult::Alive => {
                self.refused = 0;
                self.down = false;
            }
            failover_event::ProbeResult::Refused => {
                self.refused = self.refused.saturating_add(1);
                self.down = self.down || self.refused >= REFUSALS_TO_DOWN;
            }
            failover_event::ProbeResult::Silent(lasting) => {
                self.down = self.down || lasting >= silence;
            }
        }
    }

    /// Takes a state that the upstream has just reported, if it is newer than the known one.
    pub(super) fn take_state(&mut self, state: upstream_state::UpstreamState, now: time::Duration) {
        self.refused = 0;
        self.down = false;
        self.answered = true;
        let known = self.state.as_ref();
        if known.is_some_and(|known| !state.is_newer_than(known)) {
            return;
        }
        if known.is_none_or(|known| known.held != state.held) {
            self.held_moved = now;
        }
        self.state = Some(state);
    }
}
