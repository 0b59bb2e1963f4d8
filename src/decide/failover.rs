//! [`GroupFailover`]: decides when a group needs a new primary, and which upstream is promoted.
//!
//! `docs/design.md`, "Acknowledged writes survive", gives the rules and the reasons.

use std::collections;
use std::time;

use crate::decide::{failover_event, failover_member};
use crate::model::{ids, log_position, upstream_state};

#[derive(Clone, Debug)]
struct Candidacy {
    term: ids::TermNumber,
    started_at: time::Duration,
    pending: collections::BTreeSet<ids::UpstreamId>,
    fenced: collections::BTreeMap<ids::UpstreamId, log_position::LogPosition>,
    promoting: Option<ids::UpstreamId>,
    preferred: Option<ids::UpstreamId>,
}

#[derive(Clone, Debug)]
struct PlannedMove {
    from: Option<ids::UpstreamId>,
    target: Option<ids::UpstreamId>,
    until: time::Duration,
}

/// Failover state machine for one group on one keeper.
#[derive(Clone, Debug)]
pub struct GroupFailover {
    times: failover_event::FailoverTimes,
    members: collections::BTreeMap<ids::UpstreamId, failover_member::MemberView>,
    rank: usize,
    candidacy: Option<Candidacy>,
    last_own_term: ids::TermNumber,
    highest_seen_promise: ids::TermNumber,
    no_primary_since: Option<time::Duration>,
    not_before: time::Duration,
    next_move: time::Duration,
    planned: Option<PlannedMove>,
    move_requested_at: Option<time::Duration>,
    outcome: Option<failover_event::MoveOutcome>,
}

impl GroupFailover {
    /// Creates the state of a group without members.
    #[must_use]
    pub const fn new(times: failover_event::FailoverTimes) -> Self {
        Self {
            times,
            members: collections::BTreeMap::new(),
            rank: 0,
            candidacy: None,
            last_own_term: 0,
            highest_seen_promise: 0,
            no_primary_since: None,
            not_before: time::Duration::ZERO,
            next_move: time::Duration::ZERO,
            planned: None,
            move_requested_at: None,
            outcome: None,
        }
    }

    /// Replaces the members and the rank of this keeper. Keepers act in the order of their ranks.
    pub fn set_members(&mut self, specs: Vec<failover_event::MemberSpec>, rank: usize) {
        self.rank = rank;
        let mut old = std::mem::take(&mut self.members);
        for spec in specs {
            let view = old
                .remove(&spec.upstream)
                .filter(|view| view.spec.address == spec.address);
            let view = match view {
                Some(mut view) => {
                    view.spec = spec;
                    view
                }
                None => failover_member::MemberView::new(spec),
            };
            self.members.insert(view.spec.upstream.clone(), view);
        }
    }

    /// Returns the primary of the highest known term, with its term.
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

    /// Returns whether an upstream counts as down. Such an upstream gets no order to follow the
    /// primary.
    #[must_use]
    pub fn is_down(&self, upstream: &str) -> bool {
        self.members.get(upstream).is_some_and(|view| view.down)
    }

    /// Requests a planned move of the primary, to `target` if one is named.
    pub fn request_move(&mut self, target: Option<ids::UpstreamId>, now: time::Duration) {
        self.outcome = None;
        self.planned = Some(PlannedMove {
            from: self.primary().map(|(upstream, _)| upstream.clone()),
            target,
            until: now + self.times.planned,
        });
    }

    /// Removes and returns the outcome of the last planned move, once it is known.
    pub fn take_outcome(&mut self) -> Option<failover_event::MoveOutcome> {
        self.outcome.take()
    }

    /// Handles an event. `jitter` is a new random time of at most the rank delay.
    pub fn handle(
        &mut self,
        event: failover_event::FailoverEvent,
        now: time::Duration,
        jitter: time::Duration,
    ) {
        match event {
            failover_event::FailoverEvent::Probed(upstream, result) => {
                if let Some(view) = self.members.get_mut(&upstream) {
                    view.record_probe(result, now, self.times.silence);
                }
            }
            failover_event::FailoverEvent::Fenced(upstream, term, state) => {
                let held = state.held;
                let exact = state.promised == term;
                self.record_state(&upstream, state, now);
                if let Some(candidacy) = self.own_candidacy(term) {
                    candidacy.pending.remove(&upstream);
                    if exact {
                        candidacy.fenced.insert(upstream, held);
                    }
                }
            }
            failover_event::FailoverEvent::Promoted(upstream, term, state) => {
                self.record_state(&upstream, state, now);
                if self.own_candidacy(term).is_some() {
                    self.candidacy = None;
                }
            }
            failover_event::FailoverEvent::Overtaken(_, term) => {
                if self.own_candidacy(term).is_some() {
                    self.candidacy = None;
                    self.not_before = now + self.times.back_off + jitter;
                }
            }
            failover_event::FailoverEvent::Unanswered(upstream, term) => {
                if let Some(candidacy) = self.own_candidacy(term) {
                    candidacy.pending.remove(&upstream);
                }
            }
        }
        let promise = self.highest_promise();
        if promise > self.highest_seen_promise {
            self.highest_seen_promise = promise;
            // A promise above the term of the own candidacy shows that another candidate is active.
            if promise > self.last_own_term {
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

    fn record_state(
        &mut self,
        upstream: &str,
        state: upstream_state::UpstreamState,
        now: time::Duration,
    ) {
        if let Some(view) = self.members.get_mut(upstream) {
            view.record_state(state, now);
        }
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

    /// Returns whether the primary of the highest promised term is up.
    fn has_primary(&self) -> bool {
        let Some((upstream, term)) = self.primary() else {
            return false;
        };
        term >= self.highest_promise() && self.members.get(upstream).is_some_and(|view| !view.down)
    }

    /// Returns the actions that are due. `jitter` is a new random time of at most the rank delay.
    pub fn tick(
        &mut self,
        now: time::Duration,
        jitter: time::Duration,
    ) -> Vec<failover_event::FailoverAction> {
        self.check_planned_move(now);
        if let Some(candidacy) = &self.candidacy {
            if now > candidacy.started_at + self.times.candidacy {
                self.candidacy = None;
                self.not_before = now + self.times.back_off + jitter;
                return Vec::new();
            }
            return self.advance_candidacy(now, jitter);
        }
        if self.has_primary() {
            self.no_primary_since = None;
            let mut actions = self.start_planned(now);
            if actions.is_empty() {
                actions = self.order_to_follow(now);
            }
            return actions;
        }
        let answering: Vec<_> = self
            .members
            .iter()
            .filter(|(_, view)| view.answered && !view.down && view.state.is_some())
            .map(|(upstream, _)| upstream.clone())
            .collect();
        if answering.len() < self.majority() || self.awaits_first_probe() {
            // The rank delays start once a majority answers. If they started before, they would all
            // have passed by then, and all keepers would act at once.
            self.no_primary_since = None;
            return Vec::new();
        }
        let since = *self.no_primary_since.get_or_insert(now);
        let rank = u32::try_from(self.rank).unwrap_or(u32::MAX);
        let mut act_at = since + self.times.rank_delay.saturating_mul(rank);
        if rank > 0 {
            act_at += jitter;
        }
        if now < act_at.max(self.not_before) {
            return Vec::new();
        }
        self.start_candidacy(answering, None, now)
    }

    /// Returns whether an upstream has neither answered nor failed since the start. It may turn out
    /// to be the primary.
    fn awaits_first_probe(&self) -> bool {
        self.members
            .values()
            .any(|view| view.state.is_none() && !view.down)
    }

    fn start_candidacy(
        &mut self,
        targets: Vec<ids::UpstreamId>,
        preferred: Option<ids::UpstreamId>,
        now: time::Duration,
    ) -> Vec<failover_event::FailoverAction> {
        // Each candidacy uses a new term, also those of the same keeper.
        let term = self.highest_promise().max(self.last_own_term) + 1;
        self.last_own_term = term;
        self.candidacy = Some(Candidacy {
            term,
            started_at: now,
            pending: targets.iter().cloned().collect(),
            fenced: collections::BTreeMap::new(),
            promoting: None,
            preferred,
        });
        targets
            .into_iter()
            .map(|upstream| failover_event::FailoverAction::Fence(upstream, term))
            .collect()
    }

    fn advance_candidacy(
        &mut self,
        now: time::Duration,
        jitter: time::Duration,
    ) -> Vec<failover_event::FailoverAction> {
        let majority = self.majority();
        let Some(candidacy) = &self.candidacy else {
            return Vec::new();
        };
        if candidacy.promoting.is_some() {
            return Vec::new();
        }
        if candidacy.fenced.len() < majority {
            if candidacy.fenced.len() + candidacy.pending.len() < majority {
                self.candidacy = None;
                self.not_before = now + self.times.back_off + jitter;
            }
            return Vec::new();
        }
        if !candidacy.pending.is_empty() && now < candidacy.started_at + self.times.settle {
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
                    candidacy.preferred.as_ref() == Some(*upstream),
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
        vec![failover_event::FailoverAction::Promote(best, term)]
    }

    fn check_planned_move(&mut self, now: time::Duration) {
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
            self.outcome = Some(failover_event::MoveOutcome::Done(primary));
            self.planned = None;
        } else if now > planned.until {
            let target = planned.target.as_deref().unwrap_or("any other upstream");
            let text = format!("{target} did not catch up and become the primary in time");
            self.outcome = Some(failover_event::MoveOutcome::Failed(text));
            self.planned = None;
        }
    }

    /// Starts a planned move that was requested, or one away from a primary that is leaving.
    fn start_planned(&mut self, now: time::Duration) -> Vec<failover_event::FailoverAction> {
        let Some((primary, _)) = self.primary() else {
            return Vec::new();
        };
        let primary = primary.clone();
        let primary_view = self.members.get(&primary);
        let leaving = primary_view.is_some_and(|view| view.spec.leaving);
        let old_centre = primary_view.map(|view| view.spec.data_centre.clone());
        let primary_held = primary_view.and_then(|view| Some(view.state.as_ref()?.held));
        if self.planned.is_none() && !leaving {
            self.move_requested_at = None;
            return Vec::new();
        }
        let requested = *self.move_requested_at.get_or_insert(now);
        let rank = u32::try_from(self.rank).unwrap_or(u32::MAX);
        // Only the keeper that received an operator's request acts on it. A leaving primary is
        // moved by the keeper of the first rank, and by the others if that one does not do so in
        // time.
        let delay = match self.planned {
            Some(_) => time::Duration::ZERO,
            None => self.times.planned.saturating_mul(rank),
        };
        if now < self.next_move.max(self.not_before).max(requested + delay) {
            return Vec::new();
        }
        let named = self
            .planned
            .as_ref()
            .and_then(|planned| planned.target.clone());
        // The old primary is not fenced before the promotion. It still accepts writes, but none can
        // be acknowledged once both other upstreams are fenced.
        let others: Vec<(
            ids::UpstreamId,
            &failover_member::MemberView,
            log_position::LogPosition,
        )> = self
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
        // Waits for a replica that has the whole log, so that no unacknowledged write is dropped.
        // Under continuous writes no replica may ever appear to have it, so the wait is bounded.
        let lag_allowed = now >= requested + delay + self.times.planned / 2;
        let caught_up = primary_held.is_none_or(|head| *held >= head);
        if *held < highest || !(caught_up || lag_allowed) || others.len() < self.majority() {
            return Vec::new();
        }
        let target = target.clone();
        let targets = others
            .into_iter()
            .map(|(upstream, _, _)| upstream)
            .collect();
        // A move that ends at another upstream is retried after this time. A failover is not
        // delayed by it.
        self.next_move = now + self.times.follow_retry;
        self.start_candidacy(targets, Some(target), now)
    }

    /// Orders each upstream that does not follow the primary to do so.
    fn order_to_follow(&mut self, now: time::Duration) -> Vec<failover_event::FailoverAction> {
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
            // A follower holds the start entry of the term, and its log grows while it is behind.
            let stalled = state.held < primary_held && now >= view.held_changed_at + retry;
            let behind = state.promised < term || state.held.term < term || stalled;
            if !behind || state.promised > term {
                view.follow_needed_since = None;
                view.follow_sent_at = None;
                continue;
            }
            let needed = *view.follow_needed_since.get_or_insert(now);
            if now < needed + delay || view.follow_sent_at.is_some_and(|sent| now < sent + retry) {
                continue;
            }
            view.follow_sent_at = Some(now);
            actions.push(failover_event::FailoverAction::Follow(
                upstream.clone(),
                term,
                address,
            ));
        }
        actions
    }
}
