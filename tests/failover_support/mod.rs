//! Model of a group of three upstreams with two competing keepers and the messages between them.

use std::collections;
use std::time;

use persimmontack::decide::{failover, failover_event};
use persimmontack::model::{log_position, upstream_state};

pub const TIMES: failover_event::FailoverTimes = failover_event::FailoverTimes {
    silence: time::Duration::from_millis(600),
    rank_delay: time::Duration::from_millis(250),
    settle: time::Duration::from_millis(60),
    candidacy: time::Duration::from_millis(600),
    back_off: time::Duration::from_millis(200),
    follow_retry: time::Duration::from_millis(1_000),
    planned: time::Duration::from_millis(5_000),
};
pub const NAMES: [&str; 3] = ["a", "b", "c"];

/// A log entry: its term and the number of the write, which is 0 for a start entry.
pub type Entry = (u64, u64);

/// Model of an upstream: how it handles control statements, as `docs/design.md` specifies.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
    pub name: usize,
    pub version: u64,
    pub promised: u64,
    pub fenced: bool,
    pub primary: Option<u64>,
    pub follows: Option<(u64, usize)>,
    pub log: Vec<Entry>,
}

impl Upstream {
    pub fn held(&self) -> log_position::LogPosition {
        let term = self.log.last().map_or(0, |entry| entry.0);
        log_position::LogPosition::new(term, self.log.len() as u64)
    }

    pub fn state(&self) -> upstream_state::UpstreamState {
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

    pub fn fence(&mut self, term: u64) -> bool {
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

    pub fn promote(&mut self, term: u64) -> bool {
        if self.promised != term || !self.fenced {
            return false;
        }
        self.fenced = false;
        self.primary = Some(term);
        self.log.push((term, 0));
        self.version += 1;
        true
    }

    pub fn follow(&mut self, term: u64, primary: usize) {
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
pub struct Message {
    pub keeper: usize,
    pub action: failover_event::FailoverAction,
}

pub struct GroupModel {
    pub upstreams: Vec<Upstream>,
    pub keepers: Vec<failover::GroupFailover>,
    pub actions: Vec<Message>,
    pub answers: Vec<(usize, failover_event::FailoverEvent)>,
    pub acknowledged: collections::BTreeMap<u64, (u64, usize)>,
    pub primaries: collections::BTreeMap<u64, usize>,
    pub writes: u64,
    pub now: time::Duration,
}

pub fn index_of(name: &str) -> usize {
    NAMES
        .iter()
        .position(|known| *known == name)
        .expect("known upstream")
}

pub fn specs(leaving: Option<usize>) -> Vec<failover_event::MemberSpec> {
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

impl GroupModel {
    pub fn new() -> Self {
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

    pub fn probe(&mut self, keeper: usize, upstream: usize) {
        let state = self.upstreams[upstream].state();
        let result = failover_event::ProbeResult::Answered(state);
        let event = failover_event::FailoverEvent::Probed(NAMES[upstream].to_owned(), result);
        self.answers.push((keeper, event));
    }

    pub fn report_down(&mut self, keeper: usize, upstream: usize) {
        let result = failover_event::ProbeResult::Silent(TIMES.silence);
        let event = failover_event::FailoverEvent::Probed(NAMES[upstream].to_owned(), result);
        self.answers.push((keeper, event));
    }

    /// Delivers an action to its upstream and queues the answer.
    pub fn deliver(&mut self, message: Message) {
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
                    self.check_durable(index, term);
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
                    "the order names no primary"
                );
                self.upstreams[index_of(&name)].follow(term, primary);
            }
        }
    }

    /// Checks that the log of a new primary has all acknowledged writes of lower terms.
    pub fn check_durable(&self, primary: usize, term: u64) {
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

    pub fn write(&mut self, index: usize) {
        if let Some(term) = self.upstreams[index].primary {
            self.writes += 1;
            self.upstreams[index].log.push((term, self.writes));
            self.upstreams[index].version += 1;
        }
    }

    /// Appends one more entry of the primary to a follower, after dropping the tail that differs.
    pub fn replicate(&mut self, index: usize) {
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

    /// Acknowledges all writes that the second upstream holds and confirms.
    pub fn acknowledge(&mut self, second: usize) {
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

    pub fn tick(&mut self, keeper: usize, jitter: time::Duration) {
        for action in self.keepers[keeper].tick(self.now, jitter) {
            self.actions.push(Message { keeper, action });
        }
    }

    pub fn handle(
        &mut self,
        keeper: usize,
        event: failover_event::FailoverEvent,
        jitter: time::Duration,
    ) {
        self.keepers[keeper].handle(event, self.now, jitter);
    }

    /// Runs `rounds` rounds without message loss; the upstream `down` gives no answers.
    pub fn settle(&mut self, down: Option<usize>, rounds: u32) {
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

    pub fn primary(&self) -> Option<usize> {
        let (_, primary) = self.primaries.last_key_value()?;
        self.upstreams[*primary].primary.map(|_| *primary)
    }
}
