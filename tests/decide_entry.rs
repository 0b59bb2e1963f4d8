//! Property tests of the decisions of the entry: read positions, commit outcomes, routing and the
//! retry budget.

use std::time;

use persimmontack::decide::{commit_outcome, read_position, retry_budget, routing};
use persimmontack::model::log_position::LogPosition;
use persimmontack::model::{upstream_spec, upstream_state::UpstreamState};

type Source<'a> = arbtest::arbitrary::Unstructured<'a>;

fn any_position(u: &mut Source<'_>) -> arbtest::arbitrary::Result<LogPosition> {
    Ok(LogPosition::new(
        u.int_in_range(1..=3)?,
        u.int_in_range(1..=6)?,
    ))
}

/// Model of a replication group that follows the protocol of `docs/design.md`: it fences two
/// upstreams, promotes the one with the longest log, and copies logs in order. The tests compare
/// the decisions with it.
struct GroupModel {
    states: [UpstreamState; 3],
    logs: [Vec<LogPosition>; 3],
}

impl GroupModel {
    fn new() -> Self {
        let states = ["a", "b", "c"].map(|upstream| UpstreamState {
            upstream: upstream.into(),
            ..UpstreamState::default()
        });
        let mut model = Self {
            states,
            logs: Default::default(),
        };
        model.promote([0, 1]);
        model
    }

    fn refresh(&mut self, number: usize) {
        let log = &self.logs[number];
        let state = &mut self.states[number];
        state.version += 1;
        state.held = log.last().copied().unwrap_or_default();
        state.applied = state.held;
        state.starts = (1..=9)
            .filter_map(|term| log.iter().copied().find(|entry| entry.term == term))
            .collect();
    }

    fn promote(&mut self, fenced: [usize; 2]) {
        let term = self
            .states
            .iter()
            .map(|state| state.promised)
            .max()
            .unwrap_or(0)
            + 1;
        for number in fenced {
            self.states[number].promised = term;
            self.states[number].primary_term = None;
            self.refresh(number);
        }
        let best = fenced
            .into_iter()
            .max_by_key(|number| self.states[*number].held)
            .expect("two fenced");
        self.states[best].primary_term = Some(term);
        let offset = self.logs[best].len() as u64 + 1;
        self.logs[best].push(LogPosition::new(term, offset));
        self.refresh(best);
    }

    fn commit(&mut self, number: usize) -> Option<LogPosition> {
        let term = self.states[number].primary_term?;
        let position = LogPosition::new(term, self.logs[number].len() as u64 + 1);
        self.logs[number].push(position);
        self.refresh(number);
        Some(position)
    }

    /// Tells whether an upstream has applied the position `reached`, but its log lacks the write at
    /// `position`.
    fn lacks_write(&self, position: LogPosition, reached: LogPosition) -> bool {
        self.states
            .iter()
            .zip(&self.logs)
            .any(|(state, log)| state.applied >= reached && !log.contains(&position))
    }

    /// Copies the log of a primary to a follower that has promised no higher term. The result has
    /// at most `length` entries, or the common prefix of the two logs if that is longer.
    fn follow(&mut self, follower: usize, primary: usize, length: usize) {
        let Some(term) = self.states[primary].primary_term else {
            return;
        };
        if follower == primary || self.states[follower].promised > term {
            return;
        }
        self.states[follower].promised = term;
        self.states[follower].primary_term = None;
        let same = self.logs[primary]
            .iter()
            .zip(&self.logs[follower])
            .take_while(|(one, other)| one == other)
            .count();
        let length = length.max(same).min(self.logs[primary].len());
        self.logs[follower] = self.logs[primary][..length].to_vec();
        self.refresh(follower);
    }
}

/// Guards against acknowledging a write that a failover drops, reporting a durable write as
/// dropped, confirming a position below an acknowledged write, and returning a position that a log
/// without the write can reach.
#[test]
fn commit_outcomes_and_confirmed_positions_hold_in_all_later_terms() {
    arbtest::arbtest(|u| {
        let mut model = GroupModel::new();
        let mut commits: Vec<(usize, LogPosition)> = Vec::new();
        let mut durable: Vec<LogPosition> = Vec::new();
        let mut positions: Vec<(LogPosition, LogPosition)> = Vec::new();
        let mut dropped: Vec<LogPosition> = Vec::new();
        // Feeds lag: the known state of each upstream is one that it had at some time.
        let mut known = model.states.clone();
        for _ in 0..u.int_in_range(1..=40)? {
            let first = u.int_in_range(0..=2)?;
            let second = (first + u.int_in_range(1..=2)?) % 3;
            match u.int_in_range(0..=5)? {
                0 if model.states.iter().all(|state| state.promised < 6) => {
                    model.promote([first, second]);
                }
                1 | 2 => commits.extend(model.commit(first).map(|position| (first, position))),
                3 => model.follow(first, second, u.int_in_range(0..=12)?),
                _ => known[first] = model.states[first].clone(),
            }
            for (committer, position) in &commits {
                let name = &model.states[*committer].upstream;
                match commit_outcome::resolve_commit(name, *position, known.iter()) {
                    commit_outcome::CommitOutcome::Durable(reached) => {
                        durable.push(*position);
                        positions.push((*position, reached));
                    }
                    commit_outcome::CommitOutcome::Dropped => dropped.push(*position),
                    commit_outcome::CommitOutcome::Pending => {}
                }
            }
            for position in &durable {
                assert!(
                    !dropped.contains(position),
                    "{position} is durable and dropped"
                );
            }
            for (position, reached) in &positions {
                let missing = model.lacks_write(*position, *reached);
                assert!(!missing, "a log at {reached} lacks {position}");
            }
            // These states are current, so a confirmed position has to cover all acknowledged
            // writes.
            let observed = [model.states[first].clone(), model.states[second].clone()];
            if let Some(confirmed) = read_position::confirm_position(&observed) {
                for position in &durable {
                    assert!(*position <= confirmed, "{position} is above {confirmed}");
                    let missing = model.lacks_write(*position, confirmed);
                    assert!(!missing, "a log at {confirmed} lacks {position}");
                }
            }
        }
        model.promote([0, 1]);
        let primary = model
            .states
            .iter()
            .position(|state| {
                state
                    .primary_term
                    .is_some_and(|term| term == state.promised && term == model.states[0].promised)
            })
            .expect("just promoted");
        for position in &durable {
            assert!(model.logs[primary].contains(position), "{position} is lost");
        }
        for position in &dropped {
            assert!(
                !model.logs[primary].contains(position),
                "{position} is not dropped"
            );
        }
        Ok(())
    });
}

/// Guards against counting the committer's own copy, or an entry of another term, as the second
/// copy.
#[test]
fn the_second_copy_is_another_upstream_of_the_same_term() {
    let position = LogPosition::new(2, 5);
    let state = |upstream: &str, promised, held| UpstreamState {
        upstream: upstream.into(),
        promised,
        held,
        ..UpstreamState::default()
    };
    let resolve =
        |states: &[UpstreamState]| commit_outcome::resolve_commit("a", position, states.iter());
    assert_eq!(
        resolve(&[state("a", 2, position)]),
        commit_outcome::CommitOutcome::Pending
    );
    assert_eq!(
        resolve(&[state("b", 3, position)]),
        commit_outcome::CommitOutcome::Pending
    );
    assert_eq!(
        resolve(&[state("b", 2, LogPosition::new(1, 9))]),
        commit_outcome::CommitOutcome::Pending
    );
    assert_eq!(
        resolve(&[state("b", 2, position)]),
        commit_outcome::CommitOutcome::Durable(position)
    );
}

/// Guards against deciding a commit by a start entry that only one upstream holds, and against
/// returning a position below that entry, which an upstream without the commit can reach if it was
/// the primary of a term in between that no quorum followed.
#[test]
fn a_later_term_decides_a_commit_once_two_upstreams_hold_its_start() {
    let start = LogPosition::new(3, 4);
    let state = |upstream: &str| UpstreamState {
        upstream: upstream.into(),
        promised: 3,
        held: start,
        starts: vec![LogPosition::new(2, 1), start],
        ..UpstreamState::default()
    };
    let one = [state("b")];
    let two = [state("b"), state("c")];
    let resolve = |offset, states: &[UpstreamState]| {
        commit_outcome::resolve_commit("a", LogPosition::new(2, offset), states.iter())
    };
    assert_eq!(resolve(3, &one), commit_outcome::CommitOutcome::Pending);
    assert_eq!(
        resolve(3, &two),
        commit_outcome::CommitOutcome::Durable(start)
    );
    assert_eq!(resolve(4, &two), commit_outcome::CommitOutcome::Dropped);
}

/// Guards against a session that reads data older than its own writes or than the position that it
/// sent.
#[test]
fn a_session_never_reads_below_its_own_position() {
    arbtest::arbtest(|u| {
        let mut session = read_position::SessionPositions::default();
        let mut own = None;
        let named = u.arbitrary()?;
        session.set_named(named);
        assert_eq!(
            session.requirement(false),
            read_position::ReadRequirement::Confirm
        );
        for _ in 0..u.int_in_range(0..=12)? {
            let position = any_position(u)?;
            if u.arbitrary()? {
                session.record_own(position);
                own = own.max(Some(position));
            } else {
                session.record_observed(position);
            }
            assert!(Some(session.min_position(position)) >= own);
            match session.requirement(false) {
                read_position::ReadRequirement::At(min_position) => {
                    assert!(!named && Some(min_position) >= own);
                }
                read_position::ReadRequirement::Confirm => assert!(named),
            }
        }
        Ok(())
    });
}

/// Guards against a read with a maximum age that gets older data.
#[test]
fn the_position_of_an_aged_read_is_never_older_than_its_age() {
    arbtest::arbtest(|u| {
        let mut history = read_position::ConfirmedHistory::default();
        let mut now = time::Duration::ZERO;
        let mut position = LogPosition::new(1, 1);
        let mut records = Vec::new();
        for _ in 0..u.int_in_range(0..=20)? {
            now += time::Duration::from_millis(u.int_in_range(0..=500)?);
            position.offset += u.int_in_range(0..=3)?;
            history.record(now, position);
            records.push((now, position));
        }
        now += time::Duration::from_millis(u.int_in_range(0..=2000)?);
        let age = time::Duration::from_millis(u.int_in_range(0..=2000)?);
        let expected = records
            .iter()
            .find(|(began, _)| now - *began <= age)
            .map(|(_, position)| *position);
        assert_eq!(history.min_position(now, age), expected);
        Ok(())
    });
}

fn any_view(
    u: &mut Source<'_>,
    number: usize,
) -> arbtest::arbitrary::Result<routing::UpstreamView> {
    let upstream = format!("upstream-{number}");
    let state = if u.ratio(4, 5)? {
        Some(UpstreamState {
            upstream: upstream.clone(),
            primary_term: if u.ratio(1, 3)? {
                Some(u.int_in_range(1..=3)?)
            } else {
                None
            },
            applied: any_position(u)?,
            ..UpstreamState::default()
        })
    } else {
        None
    };
    Ok(routing::UpstreamView {
        spec: upstream_spec::UpstreamSpec {
            upstream,
            data_centre: (*u.choose(&["here", "there"])?).into(),
            address: ([127, 0, 0, 1], 1).into(),
            slots: 3,
            connections: 20,
            leaving: false,
        },
        state,
        reach: *u.choose(&[
            routing::UpstreamReach::Reported,
            routing::UpstreamReach::Assumed,
            routing::UpstreamReach::Lost,
        ])?,
        leaving: u.ratio(1, 4)?,
        wait: time::Duration::from_millis(u.int_in_range(0..=9)?),
    })
}

/// Guards against routing a unit of work to an upstream that is leaving, unreachable, stale or
/// replaced.
#[test]
fn routes_lead_to_usable_upstreams_only() {
    arbtest::arbtest(|u| {
        let views = (0..3)
            .map(|number| any_view(u, number))
            .collect::<Result<Vec<_>, _>>()?;
        let min_position = any_position(u)?;
        let view_of = |choice: &routing::RouteChoice| {
            views
                .iter()
                .find(|view| view.spec.upstream == choice.upstream)
                .expect("a known upstream")
        };
        let usable = |view: &routing::UpstreamView| {
            !view.leaving && view.reach != routing::UpstreamReach::Lost
        };
        let fresh = |view: &routing::UpstreamView| {
            view.state
                .as_ref()
                .is_some_and(|state| state.applied >= min_position)
        };
        let is_primary = |view: &routing::UpstreamView| {
            view.state
                .as_ref()
                .is_some_and(|state| state.primary_term.is_some())
        };
        let highest = views
            .iter()
            .filter_map(|view| view.state.as_ref()?.primary_term)
            .max();
        if let Some(choice) = routing::route_write(&views, min_position.term) {
            assert!(usable(view_of(&choice)));
            // A transaction must not start on a primary that the session has seen replaced.
            assert!(choice.term >= Some(min_position.term));
            assert_eq!(choice.term, highest);
        }
        let qualifying = views
            .iter()
            .filter(|view| usable(view) && fresh(view) && !is_primary(view))
            .count();
        match routing::route_read(&views, min_position, "here", &[]) {
            Some(choice) => {
                let view = view_of(&choice);
                assert!(usable(view) && fresh(view) && !is_primary(view));
                let cost = |view: &routing::UpstreamView| {
                    let remote = view.spec.data_centre != "here";
                    let cost = u32::from(remote) * routing::REMOTE_COST;
                    (view.reach, view.wait + cost)
                };
                let better = views.iter().any(|other| {
                    usable(other) && fresh(other) && !is_primary(other) && cost(other) < cost(view)
                });
                assert!(
                    !better,
                    "a nearer upstream or a shorter queue was not chosen"
                );
            }
            None => assert_eq!(qualifying, 0),
        }
        if let Some(choice) = routing::route_fallback(&views, min_position, &[]) {
            let view = view_of(&choice);
            assert!(usable(view) && fresh(view) && is_primary(view));
        }
        Ok(())
    });
}

/// Guards against retries that multiply the load.
#[test]
fn retries_stay_within_a_fifth_of_the_requests() {
    arbtest::arbtest(|u| {
        let mut budget = retry_budget::RetryBudget::default();
        let mut now = time::Duration::ZERO;
        let (mut requests, mut retries) = (0_u64, 0_u64);
        for _ in 0..u.int_in_range(0..=200)? {
            now += time::Duration::from_millis(u.int_in_range(0..=5)?);
            if u.arbitrary()? {
                budget.record_request(now);
                requests += 1;
            } else if budget.take_retry(now) {
                retries += 1;
            }
            // All events lie within one window, so the bound is exact.
            assert!(retries <= 3 + requests / 5, "{retries} of {requests}");
        }
        Ok(())
    });
}

/// Guards against a budget that stays used up, and against backoffs without an upper bound.
#[test]
fn the_budget_recovers_and_backoffs_are_bounded() {
    let mut budget = retry_budget::RetryBudget::default();
    let start = time::Duration::ZERO;
    while budget.take_retry(start) {}
    assert!(budget.take_retry(time::Duration::from_secs(60)));
    for attempt in 1..100 {
        let pause = retry_budget::back_off(attempt, 1.0);
        assert!(pause > time::Duration::ZERO && pause <= time::Duration::from_millis(200));
    }
}
