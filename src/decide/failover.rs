//! Decides when a group needs a new primary, and which upstream becomes it.
//!
//! `docs/design.md`, "Acknowledged writes survive", gives the rules and the reasons.

use std::collections;
use std::net;
use std::time;

use crate::model::{ids, log_position, upstream_state};

/// Times of a failover. `now` is always the time since the start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailoverTimes {
    /// Silence on an open probe after which an upstream counts as down, if a fresh connection
    /// fails too.
    pub silence: time::Duration,
    /// Time that each rank leaves to the one before it.
    pub rank_delay: time::Duration,
    /// Time that a candidate with enough fenced upstreams leaves to the others' answers.
    pub settle: time::Duration,
    /// Time after which a candidacy is given up.
    pub candidacy: time::Duration,
    /// Time that a candidate leaves to a competitor.
    pub back_off: time::Duration,
    /// Time after which an upstream that does not follow is told again.
    pub follow_retry: time::Duration,
    /// Time within which a planned move has to be done.
    pub planned: time::Duration,
}

/// What a probe found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The upstream reported its state.
    Answered(upstream_state::UpstreamState),
    /// The upstream answered without a state, for instance because it has no free connection.
    Alive,
    /// A connect was refused, or the connection was closed at once.
    Refused,
    /// An open probe has been silent for this long, and so has a fresh connection.
    Silent(time::Duration),
}

/// What happened in the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailoverEvent {
    /// A probe ended.
    Probed(ids::UpstreamId, ProbeResult),
    /// A fence succeeded; the state is that after it.
    Fenced(
        ids::UpstreamId,
        ids::TermNumber,
        upstream_state::UpstreamState,
    ),
    /// A promotion succeeded.
    Promoted(
        ids::UpstreamId,
        ids::TermNumber,
        upstream_state::UpstreamState,
    ),
    /// An upstream refused to be fenced or promoted, because it has promised a higher term.
    Overtaken(ids::UpstreamId, ids::TermNumber),
    /// A fence or a promotion got no answer; it may have taken effect.
    Unanswered(ids::UpstreamId, ids::TermNumber),
}

/// What the shell is to do. Every action is answered by one event, but `Follow`, whose effect the
/// next probe shows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailoverAction {
    /// Fence an upstream.
    Fence(ids::UpstreamId, ids::TermNumber),
    /// Promote an upstream.
    Promote(ids::UpstreamId, ids::TermNumber),
    /// Make an upstream follow the primary of a term at an address.
    Follow(ids::UpstreamId, ids::TermNumber, net::SocketAddr),
}

/// One member of the group, as the platform and the rules describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSpec {
    /// The upstream.
    pub upstream: ids::UpstreamId,
    /// Its address.
    pub address: net::SocketAddr,
    /// True if it leaves or is drained.
    pub leaving: bool,
    /// Data centre in which it runs.
    pub data_centre: ids::DataCentreId,
    /// Live VMs in its data centre.
    pub local_vms: usize,
}

/// State of a planned move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveOutcome {
    /// The primary is now this upstream.
    Done(ids::UpstreamId),
    /// The move was given up, and why.
    Failed(String),
}

#[derive(Clone, Debug)]
struct MemberView {
    spec: MemberSpec,
    state: Option<upstream_state::UpstreamState>,
    answered: bool,
    refused: u32,
    down: bool,
    follow_sent: Option<time::Duration>,
    follow_needed: Option<time::Duration>,
    held_moved: time::Duration,
}

#[derive(Clone, Debug)]
struct Candidacy {
    term: ids::TermNumber,
    since: time::Duration,
    waiting: collections::BTreeSet<ids::UpstreamId>,
    fenced: collections::BTreeMap<ids::UpstreamId, log_position::LogPosition>,
    promoting: Option<ids::UpstreamId>,
    wanted: Option<ids::UpstreamId>,
}

#[derive(Clone, Debug)]
struct PlannedMove {
    from: Option<ids::UpstreamId>,
    target: Option<ids::UpstreamId>,
    until: time::Duration,
}

/// Refused connects in a row after which an upstream counts as down. One alone may be a restart of
/// the listener.
const REFUSALS_TO_DOWN: u32 = 2;

/// The failover decisions of one group on one keeper.
#[derive(Clone, Debug)]
pub struct GroupFailover {
    times: FailoverTimes,
    members: collections::BTreeMap<ids::UpstreamId, MemberView>,
    rank: usize,
    candidacy: Option<Candidacy>,
    used_term: ids::TermNumber,
    seen_promise: ids::TermNumber,
    unsettled_since: Option<time::Duration>,
    not_before: time::Duration,
    planned: Option<PlannedMove>,
    move_wanted: Option<time::Duration>,
    outcome: Option<MoveOutcome>,
}

impl GroupFailover {
    /// Creates the decisions of a group of which nothing is known.
    #[must_use]
    pub const fn new(times: FailoverTimes) -> Self {
        Self {
            times,
            members: collections::BTreeMap::new(),
            rank: 0,
            candidacy: None,
            used_term: 0,
            seen_promise: 0,
            unsettled_since: None,
            not_before: time::Duration::ZERO,
            planned: None,
            move_wanted: None,
            outcome: None,
        }
    }

    /// Replaces the members and this keeper's place in the order of those that act.
    pub fn set_members(&mut self, specs: Vec<MemberSpec>, rank: usize) {
        self.rank = rank;
        let mut old = std::mem::take(&mut self.members);
        for spec in specs {
            let view = old
                .remove(&spec.upstream)
                .filter(|view| view.spec.address == spec.address);
            let view = match view {
                Some(view) => MemberView { spec, ..view },
                None => MemberView {
                    spec,
                    state: None,
                    answered: false,
                    refused: 0,
                    down: false,
                    follow_sent: None,
                    follow_needed: None,
                    held_moved: time::Duration::ZERO,
                },
            };
            self.members.insert(view.spec.upstream.clone(), view);
        }
    }

    /// Returns the primary of the highest term known, with its term.
    #[must_use]
    pub fn primary(&self) -> Option<(&ids::UpstreamId, ids::TermNumber)> {
        self.states()
            .filter_map(|(upstream, state)| state.primary_term.map(|term| (upstream, term)))
            .max_by_key(|(_, term)| *term)
    }

    /// Returns the last known state of an upstream and whether it answers.
    #[must_use]
    pub fn member(&self, upstream: &str) -> Option<(bool, Option<&upstream_state::UpstreamState>)> {
        let view = self.members.get(upstream)?;
        Some((view.answered && !view.down, view.state.as_ref()))
    }

    /// Asks for a planned move, to `target` if one is named.
    pub fn request_move(&mut self, target: Option<ids::UpstreamId>, now: time::Duration) {
        self.outcome = None;
        self.planned = Some(PlannedMove {
            from: self.primary().map(|(upstream, _)| upstream.clone()),
            target,
            until: now + self.times.planned,
        });
    }

    /// Takes the outcome of the last planned move, once it is known.
    pub fn take_outcome(&mut self) -> Option<MoveOutcome> {
        self.outcome.take()
    }

    /// Takes an event in. `jitter` is a fresh random time of at most the rank delay.
    pub fn handle(&mut self, event: FailoverEvent, now: time::Duration, jitter: time::Duration) {
        match event {
            FailoverEvent::Probed(upstream, result) => self.take_probe(&upstream, result, now),
            FailoverEvent::Fenced(upstream, term, state) => {
                let held = state.held;
                let exact = state.promised == term;
                self.take_state(&upstream, state, now);
                if let Some(candidacy) = self.own_candidacy(term) {
                    candidacy.waiting.remove(&upstream);
                    if exact {
                        candidacy.fenced.insert(upstream, held);
                    }
                }
            }
            FailoverEvent::Promoted(upstream, term, state) => {
                self.take_state(&upstream, state, now);
                if self.own_candidacy(term).is_some() {
                    self.candidacy = None;
                }
            }
            FailoverEvent::Overtaken(_, term) => {
                if self.own_candidacy(term).is_some() {
                    self.candidacy = None;
                    self.not_before = now + self.times.back_off + jitter;
                }
            }
            FailoverEvent::Unanswered(upstream, term) => {
                if let Some(candidacy) = self.own_candidacy(term) {
                    candidacy.waiting.remove(&upstream);
                }
            }
        }
        let promise = self.highest_promise();
        if promise > self.seen_promise {
            self.seen_promise = promise;
            // A promise above the own one shows another candidate at work.
            if promise > self.used_term {
                self.candidacy = None;
                self.not_before = self.not_before.max(now + self.times.back_off + jitter);
            }
        }
    }

    fn own_candidacy(&mut self, term: ids::TermNumber) -> Option<&mut Candidacy> {
        self.candidacy
            .as_mut()
            .filter(|candidacy| candidacy.term == term)
    }

    fn take_probe(&mut self, upstream: &str, result: ProbeResult, now: time::Duration) {
        let silence = self.times.silence;
        match result {
            ProbeResult::Answered(state) => self.take_state(upstream, state, now),
            ProbeResult::Alive => {
                if let Some(view) = self.members.get_mut(upstream) {
                    view.refused = 0;
                    view.down = false;
                }
            }
            ProbeResult::Refused => {
                if let Some(view) = self.members.get_mut(upstream) {
                    view.refused = view.refused.saturating_add(1);
                    view.down = view.down || view.refused >= REFUSALS_TO_DOWN;
                }
            }
            ProbeResult::Silent(lasting) => {
                if let Some(view) = self.members.get_mut(upstream) {
                    view.down = view.down || lasting >= silence;
                }
            }
        }
    }

    fn take_state(
        &mut self,
        upstream: &str,
        state: upstream_state::UpstreamState,
        now: time::Duration,
    ) {
        let Some(view) = self.members.get_mut(upstream) else {
            return;
        };
        view.refused = 0;
        view.down = false;
        view.answered = true;
        let known = view.state.as_ref();
        if known.is_some_and(|known| !state.is_newer_than(known)) {
            return;
        }
        if known.is_none_or(|known| known.held != state.held) {
            view.held_moved = now;
        }
        view.state = Some(state);
    }

    fn states(
        &self,
    ) -> impl Iterator<Item = (&ids::UpstreamId, &upstream_state::UpstreamState)> + '_ {
        self.members
            .iter()
            .filter_map(|(upstream, view)| Some((upstream, view.state.as_ref()?)))
    }

    fn highest_promise(&self) -> ids::TermNumber {
        self.states()
            .map(|(_, state)| state.promised.max(state.held.term))
            .max()
            .unwrap_or(0)
    }

    fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Tells whether a primary of the highest promised term answers.
    fn has_primary(&self) -> bool {
        let Some((upstream, term)) = self.primary() else {
            return false;
        };
        term >= self.highest_promise() && self.members.get(upstream).is_some_and(|view| !view.down)
    }

    /// Returns what is to be done now. `jitter` is a fresh random time of at most the rank delay.
    pub fn tick(&mut self, now: time::Duration, jitter: time::Duration) -> Vec<FailoverAction> {
        self.check_move(now);
        if let Some(candidacy) = &self.candidacy {
            if now > candidacy.since + self.times.candidacy {
                self.candidacy = None;
                self.not_before = now + self.times.back_off + jitter;
                return Vec::new();
            }
            return self.advance_candidacy(now, jitter);
        }
        if self.has_primary() {
            self.unsettled_since = None;
            let mut actions = self.start_planned(now);
            if actions.is_empty() {
                actions = self.order_follows(now);
            }
            return actions;
        }
        let answering: Vec<_> = self
            .members
            .iter()
            .filter(|(_, view)| view.answered && !view.down && view.state.is_some())
            .map(|(upstream, _)| upstream.clone())
            .collect();
        if answering.len() < self.majority() || self.awaits_first_look() {
            return Vec::new();
        }
        let since = *self.unsettled_since.get_or_insert(now);
        let rank = u32::try_from(self.rank).unwrap_or(u32::MAX);
        let mut act_at = since + self.times.rank_delay.saturating_mul(rank);
        if rank > 0 {
            act_at += jitter;
        }
        if now < act_at.max(self.not_before) {
            return Vec::new();
        }
        self.stand(answering, None, now)
    }

    /// Tells whether an upstream has neither answered nor failed since the start, so that the
    /// primary may still be found.
    fn awaits_first_look(&self) -> bool {
        self.members
            .values()
            .any(|view| view.state.is_none() && !view.down)
    }

    fn stand(
        &mut self,
        targets: Vec<ids::UpstreamId>,
        wanted: Option<ids::UpstreamId>,
        now: time::Duration,
    ) -> Vec<FailoverAction> {
        // A term is used by one candidacy only, also by this keeper.
        let term = self.highest_promise().max(self.used_term) + 1;
        self.used_term = term;
        self.candidacy = Some(Candidacy {
            term,
            since: now,
            waiting: targets.iter().cloned().collect(),
            fenced: collections::BTreeMap::new(),
            promoting: None,
            wanted,
        });
        targets
            .into_iter()
            .map(|upstream| FailoverAction::Fence(upstream, term))
            .collect()
    }

    fn advance_candidacy(
        &mut self,
        now: time::Duration,
        jitter: time::Duration,
    ) -> Vec<FailoverAction> {
        let majority = self.majority();
        let Some(candidacy) = &self.candidacy else {
            return Vec::new();
        };
        if candidacy.promoting.is_some() {
            return Vec::new();
        }
        if candidacy.fenced.len() < majority {
            if candidacy.fenced.len() + candidacy.waiting.len() < majority {
                self.candidacy = None;
                self.not_before = now + self.times.back_off + jitter;
            }
            return Vec::new();
        }
        if !candidacy.waiting.is_empty() && now < candidacy.since + self.times.settle {
            return Vec::new();
        }
        let term = candidacy.term;
        let old = self.primary().map(|(upstream, _)| upstream);
        let old_centre = old
            .and_then(|upstream| self.members.get(upstream))
            .map(|view| view.spec.data_centre.clone());
        let best = candidacy
            .fenced
            .iter()
            .max_by_key(|(upstream, held)| {
                let spec = self.members.get(*upstream).map(|view| &view.spec);
                (
                    **held,
                    candidacy.wanted.as_ref() == Some(*upstream),
                    spec.is_some_and(|spec| !spec.leaving),
                    spec.is_some_and(|spec| Some(&spec.data_centre) == old_centre.as_ref()),
                    spec.map_or(0, |spec| spec.local_vms),
                )
            })
            .map(|(upstream, _)| upstream.clone());
        let Some(best) = best else {
            return Vec::new();
        };
        if let Some(candidacy) = &mut self.candidacy {
            candidacy.promoting = Some(best.clone());
        }
        vec![FailoverAction::Promote(best, term)]
    }

    fn check_move(&mut self, now: time::Duration) {
        let Some(planned) = &self.planned else {
            return;
        };
        let primary = self.primary().map(|(upstream, _)| upstream.clone());
        let arrived = self.has_primary()
            && self.candidacy.is_none()
            && match &planned.target {
                Some(target) => primary.as_ref() == Some(target),
                None => primary.is_some() && primary != planned.from,
            };
        if arrived && let Some(primary) = primary {
            self.outcome = Some(MoveOutcome::Done(primary));
            self.planned = None;
        } else if now > planned.until {
            let target = planned.target.as_deref().unwrap_or("any other upstream");
            let text = format!("{target} did not catch up and become the primary in time");
            self.outcome = Some(MoveOutcome::Failed(text));
            self.planned = None;
        }
    }

    /// Starts a planned move, or one away from a primary that is leaving.
    fn start_planned(&mut self, now: time::Duration) -> Vec<FailoverAction> {
        let Some((primary, _)) = self.primary() else {
            return Vec::new();
        };
        let primary = primary.clone();
        let primary_view = self.members.get(&primary);
        let leaving = primary_view.is_some_and(|view| view.spec.leaving);
        let old_centre = primary_view.map(|view| view.spec.data_centre.clone());
        let primary_held = primary_view.and_then(|view| Some(view.state.as_ref()?.held));
        if self.planned.is_none() && !leaving {
            self.move_wanted = None;
            return Vec::new();
        }
        let wanted = *self.move_wanted.get_or_insert(now);
        let rank = u32::try_from(self.rank).unwrap_or(u32::MAX);
        // Only the keeper that was asked works on an operator's request. A primary that leaves is
        // moved by the first in rank, and by the others if that does not happen.
        let patience = match self.planned {
            Some(_) => time::Duration::ZERO,
            None => self.times.planned.saturating_mul(rank),
        };
        if now < self.not_before.max(wanted + patience) {
            return Vec::new();
        }
        let named = self
            .planned
            .as_ref()
            .and_then(|planned| planned.target.clone());
        // The old primary stays unfenced until the new one is there: it goes on accepting writes,
        // of which none can be acknowledged once both others are fenced.
        let others: Vec<(ids::UpstreamId, &MemberView, log_position::LogPosition)> = self
            .members
            .iter()
            .filter(|(upstream, view)| **upstream != primary && view.answered && !view.down)
            .filter_map(|(upstream, view)| {
                Some((upstream.clone(), view, view.state.as_ref()?.held))
            })
            .collect();
        let Some(highest) = others.iter().map(|(_, _, held)| *held).max() else {
            return Vec::new();
        };
        let target = others
            .iter()
            .filter(|(upstream, view, _)| match &named {
                Some(named) => upstream == named,
                None => !view.spec.leaving,
            })
            .max_by_key(|(_, view, held)| {
                (
                    *held,
                    Some(&view.spec.data_centre) == old_centre.as_ref(),
                    view.spec.local_vms,
                )
            });
        let Some((target, _, held)) = target else {
            return Vec::new();
        };
        // Waits for a replica that has everything, so that no unacknowledged write is dropped. A
        // primary that is written to without a pause may never show that, hence the bound.
        let lag_allowed = now >= wanted + patience + self.times.planned / 2;
        let caught_up = primary_held.is_none_or(|head| *held >= head);
        if *held < highest || !(caught_up || lag_allowed) || others.len() < self.majority() {
            return Vec::new();
        }
        let target = target.clone();
        let targets = others
            .into_iter()
            .map(|(upstream, _, _)| upstream)
            .collect();
        // A move that ends at another upstream is tried again after this time.
        self.not_before = now + self.times.follow_retry;
        self.stand(targets, Some(target), now)
    }

    /// Makes every upstream that does not follow the primary follow it.
    fn order_follows(&mut self, now: time::Duration) -> Vec<FailoverAction> {
        let Some((primary, term)) = self.primary() else {
            return Vec::new();
        };
        let primary = primary.clone();
        let Some(primary_view) = self.members.get(&primary) else {
            return Vec::new();
        };
        let address = primary_view.spec.address;
        let Some(primary_held) = primary_view.state.as_ref().map(|state| state.held) else {
            return Vec::new();
        };
        let retry = self.times.follow_retry;
        let rank = u32::try_from(self.rank).unwrap_or(u32::MAX);
        let delay = self.times.rank_delay.saturating_mul(rank);
        let mut actions = Vec::new();
        for (upstream, view) in &mut self.members {
            let Some(state) = view
                .state
                .as_ref()
                .filter(|_| *upstream != primary && !view.down)
            else {
                continue;
            };
            // A follower of the term holds its start entry and moves while the primary is ahead.
            let stalled = state.held < primary_held && now >= view.held_moved + retry;
            let behind = state.promised < term || state.held.term < term || stalled;
            if !behind || state.promised > term {
                view.follow_needed = None;
                view.follow_sent = None;
                continue;
            }
            let needed = *view.follow_needed.get_or_insert(now);
            if now < needed + delay || view.follow_sent.is_some_and(|sent| now < sent + retry) {
                continue;
            }
            view.follow_sent = Some(now);
            actions.push(FailoverAction::Follow(upstream.clone(), term, address));
        }
        actions
    }
}
