//! Failover decisions over a small model of three upstreams, with two keepers that compete and
//! messages that are lost and reordered.

use std::collections;
use std::time;

use arbtest::arbitrary;
use persimmontack::decide::{failover, failover_event};
use persimmontack::model::{log_position, upstream_state};

const TIMES: failover_event::FailoverTimes = failover_event::FailoverTimes {
    silence: time::Duration::from_millis(600),
    rank_delay: time::Duration::from_millis(250),
    settle: time::Duration::from_millis(60),
    candidacy: time::Duration::from_millis(600),
    back_off: time::Duration::from_millis(200),
    follow_retry: time::Duration::from_millis(1_000),
    planned: time::Duration::from_millis(5_000),
};
const NAMES: [&str; 3] = ["a", "b", "c"];

/// An entry of a log: its term, and the number of the write, or 0 for a start entry.
type Entry = (u64, u64);

/// What an upstream does on control statements, as `docs/design.md` states it.
#[derive(Clone, Debug, Default)]
struct Upstream {
    name: usize,
    version: u64,
    promised: u64,
    fenced: bool,
    primary: Option<u64>,
    follows: Option<(u64, usize)>,
    log: Vec<Entry>,
}

impl Upstream {
    fn held(&self) -> log_position::LogPosition {
        let term = self.log.last().map_or(0, |entry| entry.0);
        log_position::LogPosition::new(term, self.log.len() as u64)
    }

    fn state(&self) -> upstream_state::UpstreamState {
        upstream_state::UpstreamState {
            upstream: NAMES[self.name].to_owned(),
            incarnation: 1,
            version: self.version,
            promised: self.promised,
            primary_term: self.primary,
            held: self.held(),
            applied: self.held(),
            starts: Vec::new(),
        }
    }

    fn fence(&mut self, term: u64) -> bool {
        if term <= self.promised {
            return false;
        }
        *self = Self {
            promised: term,
            fenced: true,
            primary: None,
            follows: None,
            version: self.version + 1,
            ..self.clone()
        };
        true
    }

    fn promote(&mut self, term: u64) -> bool {
        if self.promised != term || !self.fenced {
            return false;
        }
        self.fenced = false;
        self.primary = Some(term);
        self.log.push((term, 0));
        self.version += 1;
        true
    }

    fn follow(&mut self, term: u64, primary: usize) {
        if self.promised <= term && self.primary != Some(term) && primary != self.name {
            self.promised = term;
            self.fenced = false;
            self.primary = None;
            self.follows = Some((term, primary));
            self.version += 1;
        }
    }
}

#[derive(Clone, Debug)]
struct Message {
    keeper: usize,
    action: failover_event::FailoverAction,
}

struct World {
    upstreams: Vec<Upstream>,
    keepers: Vec<failover::GroupFailover>,
    actions: Vec<Message>,
    answers: Vec<(usize, failover_event::FailoverEvent)>,
    acknowledged: collections::BTreeMap<u64, (u64, usize)>,
    primaries: collections::BTreeMap<u64, usize>,
    writes: u64,
    now: time::Duration,
}

fn index_of(name: &str) -> usize {
    NAMES
        .iter()
        .position(|known| *known == name)
        .expect("known upstream")
}

fn specs(leaving: Option<usize>) -> Vec<failover_event::MemberSpec> {
    (0..3)
        .map(|index| failover_event::MemberSpec {
            upstream: NAMES[index].to_owned(),
            address: ([127, 0, 0, 1], 5_000 + index as u16).into(),
            leaving: leaving == Some(index),
            data_centre: format!("dc-{index}"),
            local_vms: 2,
        })
        .collect()
}

impl World {
    fn new() -> Self {
        let keepers = (0..2)
            .map(|rank| {
                let mut keeper = failover::GroupFailover::new(TIMES);
                keeper.set_members(specs(None), rank);
                keeper
            })
            .collect();
        Self {
            upstreams: (0..3)
                .map(|name| Upstream {
                    name,
                    ..Upstream::default()
                })
                .collect(),
            keepers,
            actions: Vec::new(),
            answers: Vec::new(),
            acknowledged: collections::BTreeMap::new(),
            primaries: collections::BTreeMap::new(),
            writes: 0,
            now: time::Duration::ZERO,
        }
    }

    fn probe(&mut self, keeper: usize, upstream: usize) {
        let state = self.upstreams[upstream].state();
        let result = failover_event::ProbeResult::Answered(state);
        let event = failover_event::FailoverEvent::Probed(NAMES[upstream].to_owned(), result);
        self.answers.push((keeper, event));
    }

    fn report_down(&mut self, keeper: usize, upstream: usize) {
        let result = failover_event::ProbeResult::Silent(TIMES.silence);
        let event = failover_event::FailoverEvent::Probed(NAMES[upstream].to_owned(), result);
        self.answers.push((keeper, event));
    }

    /// An upstream carries out an action; the answer sets out.
    fn deliver(&mut self, message: Message) {
        let keeper = message.keeper;
        match message.action {
            failover_event::FailoverAction::Fence(name, term) => {
                let upstream = &mut self.upstreams[index_of(&name)];
                let done = upstream.fence(term);
                let state = upstream.state();
                self.answers.push((
                    keeper,
                    if done {
                        failover_event::FailoverEvent::Fenced(name, term, state)
                    } else {
                        failover_event::FailoverEvent::Overtaken(name, term)
                    },
                ));
            }
            failover_event::FailoverAction::Promote(name, term) => {
                let index = index_of(&name);
                let upstream = &mut self.upstreams[index];
                let done = upstream.promote(term);
                let state = upstream.state();
                if done {
                    let before = self.primaries.insert(term, index);
                    assert_eq!(before, None, "two primaries of term {term}");
                    self.check_kept(index, term);
                }
                self.answers.push((
                    keeper,
                    if done {
                        failover_event::FailoverEvent::Promoted(name, term, state)
                    } else {
                        failover_event::FailoverEvent::Overtaken(name, term)
                    },
                ));
            }
            failover_event::FailoverAction::Follow(name, term, address) => {
                let primary = usize::from(address.port() - 5_000);
                assert_eq!(
                    self.primaries.get(&term),
                    Some(&primary),
                    "follows no primary"
                );
                self.upstreams[index_of(&name)].follow(term, primary);
            }
        }
    }

    /// Every acknowledged write of a lower term has to be in the log of a new primary.
    fn check_kept(&self, primary: usize, term: u64) {
        let log = &self.upstreams[primary].log;
        for (write, (written, offset)) in &self.acknowledged {
            assert!(
                *written < term,
                "write {write} of term {written} acknowledged after {term}"
            );
            assert_eq!(
                log.get(*offset - 1),
                Some(&(*written, *write)),
                "write {write} is lost on the primary of term {term}"
            );
        }
    }

    fn write(&mut self, index: usize) {
        if let Some(term) = self.upstreams[index].primary {
            self.writes += 1;
            self.upstreams[index].log.push((term, self.writes));
            self.upstreams[index].version += 1;
        }
    }

    /// A follower takes one more entry, or drops the tail that differs.
    fn replicate(&mut self, index: usize) {
        let Some((term, source)) = self.upstreams[index].follows else {
            return;
        };
        if self.upstreams[source].primary != Some(term) {
            return;
        }
        let source = self.upstreams[source].log.clone();
        let log = &mut self.upstreams[index].log;
        let same = log
            .iter()
            .zip(&source)
            .take_while(|(left, right)| left == right)
            .count();
        log.truncate(same);
        log.extend(source.get(same));
        self.upstreams[index].version += 1;
    }

    /// Acknowledges every write that a second upstream holds and may confirm.
    fn acknowledge(&mut self, second: usize) {
        let state = self.upstreams[second].state();
        for (offset, (term, write)) in self.upstreams[second].log.clone().into_iter().enumerate() {
            let offset = offset + 1;
            let position = log_position::LogPosition::new(term, offset as u64);
            let other = self
                .primaries
                .get(&term)
                .is_some_and(|primary| *primary != second);
            if write > 0 && other && state.confirms(position) {
                self.acknowledged.entry(write).or_insert((term, offset));
            }
        }
    }

    fn tick(&mut self, keeper: usize, jitter: time::Duration) {
        for action in self.keepers[keeper].tick(self.now, jitter) {
            self.actions.push(Message { keeper, action });
        }
    }

    fn handle(
        &mut self,
        keeper: usize,
        event: failover_event::FailoverEvent,
        jitter: time::Duration,
    ) {
        self.keepers[keeper].handle(event, self.now, jitter);
    }

    /// Lets everything work for a while, with `down` silent, and returns whether there is a
    /// primary that both others follow at the end.
    fn settle(&mut self, down: Option<usize>, rounds: u32) {
        self.actions.clear();
        self.answers.clear();
        for round in 0..rounds {
            self.now += time::Duration::from_millis(20);
            for keeper in 0..2 {
                for upstream in 0..3 {
                    if Some(upstream) == down {
                        self.report_down(keeper, upstream);
                    } else {
                        self.probe(keeper, upstream);
                    }
                }
                let jitter = time::Duration::from_millis(u64::from(round * 37 % 125));
                for (keeper, event) in std::mem::take(&mut self.answers) {
                    self.handle(keeper, event, jitter);
                }
                self.tick(keeper, jitter);
            }
            for message in std::mem::take(&mut self.actions) {
                let (failover_event::FailoverAction::Fence(name, _)
                | failover_event::FailoverAction::Promote(name, _)
                | failover_event::FailoverAction::Follow(name, _, _)) = &message.action;
                if Some(index_of(name)) != down {
                    self.deliver(message);
                }
            }
            for upstream in (0..3).filter(|upstream| Some(*upstream) != down) {
                self.replicate(upstream);
            }
        }
    }

    fn primary(&self) -> Option<usize> {
        let (_, primary) = self.primaries.last_key_value()?;
        self.upstreams[*primary].primary.map(|_| *primary)
    }
}

/// Guards against lost acknowledged writes and second primaries of a term while two keepers
/// compete, messages are lost, late or reordered, and probes report any upstream as down; and
/// against groups that find no primary again once all that ends.
#[test]
fn competing_keepers_lose_no_acknowledged_write() {
    arbtest::arbtest(|u| {
        let mut world = World::new();
        world.settle(None, 100);
        let steps = u.arbitrary_len::<u16>()?.min(400);
        for _ in 0..steps {
            let jitter = time::Duration::from_millis(u.int_in_range(0..=125)?);
            let (keeper, upstream) = (u.int_in_range(0..=1_usize)?, u.int_in_range(0..=2_usize)?);
            match u.int_in_range(0..=11_u8)? {
                0 => world.write(upstream),
                1 => world.replicate(upstream),
                2 => world.acknowledge(upstream),
                3 => world.probe(keeper, upstream),
                4 => world.report_down(keeper, upstream),
                5 | 6 => {
                    world.now += time::Duration::from_millis(u.int_in_range(0..=400)?);
                    world.tick(keeper, jitter);
                }
                7 | 8 => {
                    if let Some(index) = draw_index(u, world.actions.len())? {
                        let message = world.actions.swap_remove(index);
                        if u.ratio(7, 8)? {
                            world.deliver(message);
                        }
                    }
                }
                9 | 10 => {
                    if let Some(index) = draw_index(u, world.answers.len())? {
                        let (keeper, event) = world.answers.swap_remove(index);
                        if u.ratio(7, 8)? {
                            world.handle(keeper, event, jitter);
                        }
                    }
                }
                _ => {
                    let target = u.ratio(1, 2)?.then(|| NAMES[upstream].to_owned());
                    let now = world.now;
                    world.keepers[keeper].request_move(target, now);
                }
            }
        }
        world.settle(None, 600);
        let primary = world.primary().expect("a primary is found");
        let log = world.upstreams[primary].log.clone();
        for upstream in &world.upstreams {
            assert_eq!(
                upstream.log, log,
                "an upstream does not follow: {upstream:?}"
            );
        }
        Ok(())
    })
    .budget_ms(4_000);
}

fn draw_index(
    u: &mut arbitrary::Unstructured<'_>,
    length: usize,
) -> arbitrary::Result<Option<usize>> {
    if length == 0 {
        return Ok(None);
    }
    u.int_in_range(0..=length - 1).map(Some)
}

/// Guards against a group that gets no primary at its start, and against a lower first term.
#[test]
fn a_new_group_gets_its_primary_at_term_one() {
    let mut world = World::new();
    world.settle(None, 100);
    assert_eq!(world.primaries.keys().copied().collect::<Vec<_>>(), [1]);
}

/// Guards against a dead primary that stays, and against one that does not rejoin when it returns.
#[test]
fn a_replaced_primary_rejoins_as_a_replica() {
    let mut world = World::new();
    world.settle(None, 100);
    let old = world.primary().expect("a primary");
    world.write(old);
    world.settle(Some(old), 100);
    let new = world.primary().expect("a new primary");
    assert_ne!(new, old);
    world.settle(None, 200);
    assert_eq!(world.upstreams[old].log, world.upstreams[new].log);
    assert_eq!(world.primaries.len(), 2, "one failure makes one promotion");
}

/// Guards against the replacement of a primary that is slow but answers, or whose connections are
/// all taken.
#[test]
fn a_slow_primary_is_not_replaced() {
    let mut world = World::new();
    world.settle(None, 100);
    let primary = world.primary().expect("a primary");
    let name = NAMES[primary].to_owned();
    for result in [
        failover_event::ProbeResult::Silent(TIMES.silence / 2),
        failover_event::ProbeResult::Refused,
        failover_event::ProbeResult::Alive,
        failover_event::ProbeResult::Refused,
    ] {
        let event = failover_event::FailoverEvent::Probed(name.clone(), result);
        world.handle(0, event, time::Duration::ZERO);
        world.now += time::Duration::from_secs(1);
        world.tick(0, time::Duration::ZERO);
        assert!(world.actions.is_empty(), "{:?}", world.actions);
    }
}

/// Guards against promotion by a keeper that sees only one upstream.
#[test]
fn a_keeper_that_sees_a_minority_does_nothing() {
    let mut world = World::new();
    world.settle(None, 100);
    for upstream in [0, 1] {
        world.report_down(0, upstream);
    }
    for (keeper, event) in std::mem::take(&mut world.answers) {
        world.handle(keeper, event, time::Duration::ZERO);
    }
    for _ in 0..100 {
        world.now += time::Duration::from_millis(100);
        world.tick(0, time::Duration::ZERO);
    }
    assert!(world.actions.is_empty(), "{:?}", world.actions);
}

/// Guards against a planned move that ends elsewhere, or drops a write that a replica held.
#[test]
fn a_planned_move_ends_at_the_named_upstream() {
    let mut world = World::new();
    world.settle(None, 100);
    let old = world.primary().expect("a primary");
    let target = (old + 1) % 3;
    world.write(old);
    let now = world.now;
    world.keepers[0].request_move(Some(NAMES[target].to_owned()), now);
    world.settle(None, 200);
    assert_eq!(world.primary(), Some(target));
    let outcome = world.keepers[0].take_outcome();
    assert_eq!(
        outcome,
        Some(failover_event::MoveOutcome::Done(NAMES[target].to_owned()))
    );
    assert!(world.upstreams[target].log.iter().any(|entry| entry.1 == 1));
}

/// Guards against a primary that stays on an upstream which is leaving.
#[test]
fn a_leaving_primary_is_moved() {
    let mut world = World::new();
    world.settle(None, 100);
    let old = world.primary().expect("a primary");
    for rank in 0..2 {
        world.keepers[rank].set_members(specs(Some(old)), rank);
    }
    world.settle(None, 200);
    assert_ne!(world.primary().expect("a primary"), old);
    assert_eq!(world.primaries.len(), 2, "one move is enough");
}

/// Guards against ranks that act at once, and split the fences of a term, when a majority returns
/// after a long time without one.
#[test]
fn a_later_rank_waits_its_turn_when_a_majority_returns() {
    let mut world = World::new();
    world.settle(None, 100);
    let old = world.primary().expect("a primary");
    let (second, last) = ((old + 1) % 3, (old + 2) % 3);
    for down in [old, second] {
        world.report_down(1, down);
        for (keeper, event) in std::mem::take(&mut world.answers) {
            world.handle(keeper, event, time::Duration::ZERO);
        }
        world.tick(1, time::Duration::ZERO);
    }
    for _ in 0..100 {
        world.now += time::Duration::from_millis(100);
        world.tick(1, time::Duration::ZERO);
    }
    for upstream in [second, last] {
        world.probe(1, upstream);
    }
    for (keeper, event) in std::mem::take(&mut world.answers) {
        world.handle(keeper, event, time::Duration::ZERO);
    }
    world.tick(1, time::Duration::ZERO);
    assert!(
        world.actions.is_empty(),
        "acted at once: {:?}",
        world.actions
    );
    world.now += TIMES.rank_delay;
    world.tick(1, time::Duration::ZERO);
    assert_eq!(world.actions.len(), 2, "fences both that answer");
}
