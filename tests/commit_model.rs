//! Explores every order of acknowledgement, join, fence, comparison, promotion, end and its being
//! seen around one change of the primary, and checks that no VM tells a commit that the successor
//! lacks.
//!
//! The model drives the functions that the node runs: `decide::commit_evidence::judge_commit` and
//! `decide::leadership` judge, `node::decision_record::DecisionRecord` keeps what the VM saw of the
//! decision, and `node::promotion::choose_failover` chooses the successor. The VM never hears from
//! the successor itself. `docs/proofs.md` lists what the model leaves out.

use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use persimmontack::decide::commit_evidence::{self, CommitKnowledge, CommitVerdict};
use persimmontack::decide::leadership::{
    self, LeadVerdict, ListKnowledge, MemberReport, RoleReport,
};
use persimmontack::model::log_position::LogPosition;
use persimmontack::model::term_start::TermStart;
use persimmontack::node::decision_record::DecisionRecord;
use persimmontack::node::edge::ClaimPurpose;
use persimmontack::node::log_evidence::LogEvidence;
use persimmontack::node::primary_change::PrimaryChange;
use persimmontack::node::promotion::{self, PromotionChoice};
use persimmontack::node::promotion_candidate::PromotionCandidate;

/// Two replicas of the old primary, and one that joins.
const NAMES: [&str; 3] = ["b", "c", "d"];
const JOINER: usize = 2;
const OLD_TERM: u64 = 1;
const NEW_TERM: u64 = 2;
/// The log before the commit, and the commit.
const BEFORE: LogPosition = LogPosition::new(OLD_TERM, 1);
const COMMIT: LogPosition = LogPosition::new(OLD_TERM, 2);

/// A rule that is left out, to show that the check would notice.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum DroppedGuard {
    None,
    /// The VM asks for no evidence once it knows of no open decision, as it did before the fix.
    Evidence,
    /// An end leaves no doubt.
    Doubt,
    /// A fenced replica counts.
    Fence,
    /// Claims that a listing lacks leave no doubt.
    Gap,
    /// An open decision does not matter.
    OpenDecision,
}

/// A change in the store that the VM sees sooner or later, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum StoreEvent {
    JoinerListed,
    Begun,
    Ended,
    /// The end with the start of the new term.
    EndedWithStart,
    /// The end of a decision that promoted nobody.
    Kept,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum DecisionPhase {
    Idle,
    Begun,
    Called(usize),
    Promoted(usize),
    /// The decision is over, and has promoted this replica, if any.
    Over(Option<usize>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ModelReplica {
    exists: bool,
    holds: bool,
    fenced: bool,
    /// Whether it has heard of the promotion.
    heard: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    replicas: [ModelReplica; 3],
    phase: DecisionPhase,
    /// Whether the log with which the successor was promoted holds the commit.
    promoted_with: Option<bool>,
    acknowledged: bool,
    store: Vec<StoreEvent>,
    /// What the VM has seen of the store, and after how many events a proof was recorded.
    seen: usize,
    /// Events that the VM did not see one by one, since it read a listing after them.
    gap: Option<(usize, usize)>,
    proved: Option<usize>,
    joiner_early: bool,
    knows_later: bool,
    replicated: bool,
    /// The round of questions: whether the joiner is asked, and the reports.
    asked: Option<bool>,
    began: usize,
    reports: [Option<(bool, bool, bool, bool)>; 3],
    told: bool,
}

impl ModelState {
    fn new() -> Self {
        let replica = |index| ModelReplica {
            exists: index != JOINER,
            holds: false,
            fenced: false,
            heard: false,
        };
        Self {
            replicas: [0, 1, 2].map(replica),
            phase: DecisionPhase::Idle,
            promoted_with: None,
            acknowledged: false,
            store: Vec::new(),
            seen: 0,
            gap: None,
            proved: None,
            joiner_early: false,
            knows_later: false,
            replicated: false,
            asked: None,
            began: 0,
            reports: [None; 3],
            told: false,
        }
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn is_listed(&self, index: usize) -> bool {
        index != JOINER || self.store.contains(&StoreEvent::JoinerListed)
    }

    fn is_known(&self, index: usize) -> bool {
        let seen = &self.store[..self.seen];
        index != JOINER || seen.contains(&StoreEvent::JoinerListed)
    }

    fn next(&self, dropped: DroppedGuard) -> Vec<Self> {
        let mut next = self.decision_steps();
        next.extend(self.log_steps());
        if !self.told {
            next.extend(self.vm_steps(dropped));
        }
        next
    }

    /// The old primary commits until it is replaced, and a replica joins.
    fn log_steps(&self) -> Vec<Self> {
        let mut next = Vec::new();
        let joiner = self.replicas[JOINER];
        if !joiner.exists {
            next.push(self.with(|state| state.replicas[JOINER].exists = true));
        } else if !self.is_listed(JOINER) {
            next.push(self.with(|state| state.store.push(StoreEvent::JoinerListed)));
        }
        if self.promoted_with.is_none() {
            for (index, replica) in self.replicas.iter().enumerate() {
                if replica.exists && !replica.fenced && !replica.holds {
                    next.push(self.with(|state| {
                        state.replicas[index].holds = true;
                        state.acknowledged = true;
                    }));
                }
            }
        }
        next
    }

    fn decision_steps(&self) -> Vec<Self> {
        match self.phase {
            DecisionPhase::Idle => vec![self.with(|state| {
                state.phase = DecisionPhase::Begun;
                state.store.push(StoreEvent::Begun);
            })],
            DecisionPhase::Begun => {
                let mut next: Vec<_> = (0..3)
                    .filter(|index| self.replicas[*index].exists && self.is_listed(*index))
                    .filter(|index| !self.replicas[*index].fenced)
                    .map(|index| self.with(|state| state.replicas[index].fenced = true))
                    .collect();
                if let Some(target) = self.choose() {
                    next.push(self.with(|state| state.phase = DecisionPhase::Called(target)));
                }
                // Giving up lifts the fences once the end is written.
                next.push(self.with(|state| {
                    state.phase = DecisionPhase::Over(None);
                    state.store.push(StoreEvent::Kept);
                    for replica in &mut state.replicas {
                        replica.fenced = false;
                    }
                }));
                next
            }
            DecisionPhase::Called(target) => self.promote(target),
            DecisionPhase::Promoted(target) => [StoreEvent::Ended, StoreEvent::EndedWithStart]
                .map(|event| {
                    self.with(|state| {
                        state.phase = DecisionPhase::Over(Some(target));
                        state.store.push(event);
                    })
                })
                .into(),
            DecisionPhase::Over(_) => Vec::new(),
        }
    }

    fn choose(&self) -> Option<usize> {
        let listed = (0..3).filter(|index| self.replicas[*index].exists && self.is_listed(*index));
        let candidates: Vec<_> = listed
            .map(|index| PromotionCandidate {
                upstream: NAMES[index].to_owned(),
                received: Some(self.received(index)),
                fenced: self.replicas[index].fenced,
                leaving: false,
            })
            .collect();
        match promotion::choose_failover(&candidates, &LogEvidence::default()) {
            PromotionChoice::Promote(upstream) => NAMES.iter().position(|name| *name == upstream),
            _ => None,
        }
    }

    fn received(&self, index: usize) -> LogPosition {
        if self.replicas[index].holds {
            COMMIT
        } else {
            BEFORE
        }
    }

    /// Returns the states after the promotion, one for each set of replicas that hear of it. It lifts
    /// the fences of all.
    fn promote(&self, target: usize) -> Vec<Self> {
        (0..8_usize)
            .filter(|heard| heard >> target & 1 == 1)
            .map(|heard| {
                self.with(|state| {
                    state.phase = DecisionPhase::Promoted(target);
                    state.promoted_with = Some(state.replicas[target].holds);
                    for (index, replica) in state.replicas.iter_mut().enumerate() {
                        replica.fenced = false;
                        replica.heard = replica.exists && heard >> index & 1 == 1;
                    }
                })
            })
            .collect()
    }

    fn vm_steps(&self, dropped: DroppedGuard) -> Vec<Self> {
        let mut next = Vec::new();
        if self.seen < self.store.len() {
            next.push(self.with(|state| state.seen += 1));
            if self.gap.is_none() {
                next.push(self.with(|state| {
                    state.gap = Some((state.seen, state.store.len()));
                    state.seen = state.store.len();
                }));
            }
        }
        next.push(self.with(|state| {
            state.asked = Some(state.is_known(JOINER));
            state.began = state.seen;
            state.reports = [None; 3];
        }));
        if let Some(joiner) = self.asked {
            // The VM reaches all replicas but the successor.
            let successor = match self.phase {
                DecisionPhase::Promoted(target) => Some(target),
                DecisionPhase::Over(target) => target,
                DecisionPhase::Idle | DecisionPhase::Begun | DecisionPhase::Called(_) => None,
            };
            for (index, replica) in self.replicas.iter().enumerate() {
                let asked = replica.exists && (index != JOINER || joiner);
                if asked && self.reports[index].is_none() && successor != Some(index) {
                    let report = (false, replica.heard, replica.fenced, replica.holds);
                    next.push(self.with(|state| {
                        state.reports[index] = Some(report);
                        state.judge_round(dropped);
                    }));
                }
            }
        }
        if self.acknowledged && self.is_kept(dropped) {
            next.push(self.with(|state| state.told = true));
        }
        next
    }

    /// What the VM has seen of the decision, as the node keeps it.
    fn record(&self, dropped: DroppedGuard) -> DecisionRecord {
        let record = DecisionRecord::default();
        // A number that was taken in reserve before.
        record.record_claim(1, &ClaimPurpose::Reserve, Duration::ZERO);
        for (index, event) in self.store[..self.seen].iter().enumerate() {
            if self.proved == Some(index) {
                record.record_proof(record.latest(), OLD_TERM, Duration::ZERO);
            }
            let purpose = match event {
                StoreEvent::JoinerListed => continue,
                StoreEvent::Begun => ClaimPurpose::Now(PrimaryChange {
                    ends: OLD_TERM,
                    successor: None,
                }),
                StoreEvent::Ended | StoreEvent::EndedWithStart => ClaimPurpose::Ended,
                StoreEvent::Kept => ClaimPurpose::Kept(None),
            };
            let number = u64::try_from(index).expect("a small number") + 2;
            let is_claim = |event: &StoreEvent| *event != StoreEvent::JoinerListed;
            match self.gap {
                Some((from, to)) if (from..to).contains(&index) => {
                    if self.store[index + 1..to].iter().any(is_claim) {
                        continue;
                    }
                    let term = if dropped == DroppedGuard::Gap {
                        0
                    } else {
                        OLD_TERM
                    };
                    record.record_claim_after_gap(number, &purpose, term, Duration::ZERO);
                }
                _ => record.record_claim(number, &purpose, Duration::ZERO),
            }
        }
        if self.proved == Some(self.seen) {
            record.record_proof(record.latest(), OLD_TERM, Duration::ZERO);
        }
        record
    }

    fn judge_round(&mut self, dropped: DroppedGuard) {
        let joiner = self.asked == Some(true);
        let reports: Vec<_> = (0..3)
            .filter(|index| *index != JOINER || joiner)
            .map(|index| MemberReport {
                upstream: NAMES[index].to_owned(),
                leaving: false,
                early: index != JOINER || self.joiner_early,
                recent: true,
                listed: true,
                role: self.reports[index].map(|(primary, heard, fenced, holds)| RoleReport {
                    primary,
                    term: if heard { NEW_TERM } else { OLD_TERM },
                    fenced: if fenced && dropped != DroppedGuard::Fence {
                        NEW_TERM
                    } else {
                        0
                    },
                    received: if holds { COMMIT } else { BEFORE },
                }),
            })
            .collect();
        let record = self.record(dropped);
        let open = record.open_change(Duration::ZERO).is_some();
        let list = ListKnowledge {
            recent: true,
            vanished: false,
            deciding: open && dropped != DroppedGuard::OpenDecision,
            doubtful: record.is_doubtful(OLD_TERM)
                && !matches!(dropped, DroppedGuard::Doubt | DroppedGuard::OpenDecision),
        };
        let heard =
            |report: Option<(bool, bool, bool, bool)>| report.is_some_and(|report| report.1);
        self.knows_later |= self.reports.into_iter().any(heard);
        if leadership::replicated_position(OLD_TERM, &reports, list) >= Some(COMMIT) {
            self.replicated = true;
        }
        if leadership::judge_primary(OLD_TERM, &reports, list) == LeadVerdict::Leads {
            self.joiner_early |= joiner;
            if self.began == self.seen {
                self.proved = Some(self.seen);
            }
        }
    }

    fn is_kept(&self, dropped: DroppedGuard) -> bool {
        let started = self.store[..self.seen].contains(&StoreEvent::EndedWithStart);
        let position = match self.promoted_with {
            Some(true) => COMMIT,
            _ => BEFORE,
        };
        let latest_term = if started || self.knows_later {
            NEW_TERM
        } else {
            OLD_TERM
        };
        let change = self.record(dropped).open_change(Duration::ZERO);
        let open = change.filter(|_| dropped != DroppedGuard::OpenDecision);
        let knowledge = CommitKnowledge {
            latest_term,
            term_start: started.then_some(TermStart {
                term: NEW_TERM,
                position,
            }),
            successor_position: None,
            ending_term: open.map(|change| change.ends),
            leads: true,
            uninformed: false,
            reached: true,
            replicated: (self.replicated || dropped == DroppedGuard::Evidence).then_some(COMMIT),
        };
        matches!(
            commit_evidence::judge_commit(COMMIT, &knowledge),
            CommitVerdict::Kept(_)
        )
    }

    fn is_lost(&self) -> bool {
        self.told && self.promoted_with == Some(false)
    }
}

/// What the exploration of all states has found.
struct ModelResult {
    states: usize,
    told: usize,
    /// A state in which a commit that was told is lost, and the number of events that lead to it.
    lost: Option<(usize, ModelState)>,
}

/// Explores all states, those with fewer events first, until a commit that was told is lost. Only
/// digests of the states are kept, since there are millions.
fn explore(dropped: DroppedGuard) -> ModelResult {
    let digest = |state: &ModelState| {
        let mut hasher = DefaultHasher::new();
        state.hash(&mut hasher);
        hasher.finish()
    };
    let start = ModelState::new();
    let mut known = HashSet::from([digest(&start)]);
    let mut open = VecDeque::from([(0, start)]);
    let mut told = 0;
    while let Some((events, state)) = open.pop_front() {
        told += usize::from(state.told);
        if state.is_lost() {
            return ModelResult {
                states: known.len(),
                told,
                lost: Some((events, state)),
            };
        }
        for next in state.next(dropped) {
            if known.insert(digest(&next)) {
                open.push_back((events + 1, next));
            }
        }
    }
    ModelResult {
        states: known.len(),
        told,
        lost: None,
    }
}

/// Guards against a told commit that the successor lacks, in any order of the events that the model
/// has; review case 11 is one of them.
#[test]
fn no_order_of_events_loses_a_commit_that_was_told() {
    let result = explore(DroppedGuard::None);
    println!("{} states, told in {}", result.states, result.told);
    assert!(result.lost.is_none(), "{:#?}", result.lost);
    assert!(result.states > 10_000, "{} states", result.states);
    assert!(result.told > 1_000, "told in {} states", result.told);
}

/// Guards against a model that could not notice a fault: without any one of the rules it finds a
/// lost commit.
#[test]
fn each_rule_of_the_evidence_is_needed() {
    for dropped in [
        DroppedGuard::Evidence,
        DroppedGuard::Doubt,
        DroppedGuard::Fence,
        DroppedGuard::Gap,
        DroppedGuard::OpenDecision,
    ] {
        let result = explore(dropped);
        let events = result.lost.map(|(events, _)| events);
        println!("without {dropped:?}: lost after {events:?} events");
        assert!(events.is_some(), "{dropped:?} is not needed");
    }
}
