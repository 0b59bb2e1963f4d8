//! Failover decisions over a small model of three upstreams, with two keepers that compete and
//! messages that are lost and reordered.

mod failover_support;

use std::time;

use arbtest::arbitrary;
use failover_support as support;
use persimmontack::decide::failover_event;

/// Guards against lost acknowledged writes and second primaries of a term while two keepers
/// compete, messages are lost, late or reordered, and probes report any upstream as down; and
/// against groups that find no primary again once all that ends.
#[test]
fn competing_keepers_lose_no_acknowledged_write() {
    arbtest::arbtest(|u| {
        let mut world = support::World::new();
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
                    let target = u.ratio(1, 2)?.then(|| support::NAMES[upstream].to_owned());
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
    let mut world = support::World::new();
    world.settle(None, 100);
    assert_eq!(world.primaries.keys().copied().collect::<Vec<_>>(), [1]);
}

/// Guards against a dead primary that stays, and against one that does not rejoin when it returns.
#[test]
fn a_replaced_primary_rejoins_as_a_replica() {
    let mut world = support::World::new();
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

/// Guards against a thawed primary of an older term that is told to follow only once, or not at all
/// while it has no free connection for probes, so that an order that fails leaves it behind.
#[test]
fn a_thawed_primary_is_told_to_follow_until_it_does() {
    let mut world = support::World::new();
    world.settle(None, 100);
    let old = world.primary().expect("a primary");
    world.settle(Some(old), 100);
    assert_ne!(world.primary().expect("a new primary"), old);
    let name = support::NAMES[old].to_owned();
    for _ in 0..3 {
        world.now += support::TIMES.follow_retry;
        for keeper in 0..2 {
            let result = failover_event::ProbeResult::Alive;
            let event = failover_event::FailoverEvent::Probed(name.clone(), result);
            world.handle(keeper, event, time::Duration::ZERO);
            world.tick(keeper, time::Duration::ZERO);
        }
        // The orders are lost.
        let ordered = std::mem::take(&mut world.actions)
            .into_iter()
            .any(|message| match message.action {
                failover_event::FailoverAction::Follow(upstream, term, _) => {
                    upstream == name && term == 2
                }
                _ => false,
            });
        assert!(ordered, "nobody tells {name} to follow");
    }
}

/// Guards against the replacement of a primary that is slow but answers, or whose connections are
/// all taken.
#[test]
fn a_slow_primary_is_not_replaced() {
    let mut world = support::World::new();
    world.settle(None, 100);
    let primary = world.primary().expect("a primary");
    let name = support::NAMES[primary].to_owned();
    for result in [
        failover_event::ProbeResult::Silent(support::TIMES.silence / 2),
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
    let mut world = support::World::new();
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
    let mut world = support::World::new();
    world.settle(None, 100);
    let old = world.primary().expect("a primary");
    let target = (old + 1) % 3;
    world.write(old);
    let now = world.now;
    world.keepers[0].request_move(Some(support::NAMES[target].to_owned()), now);
    world.settle(None, 200);
    assert_eq!(world.primary(), Some(target));
    let outcome = world.keepers[0].take_outcome();
    assert_eq!(
        outcome,
        Some(failover_event::MoveOutcome::Done(
            support::NAMES[target].to_owned()
        ))
    );
    assert!(world.upstreams[target].log.iter().any(|entry| entry.1 == 1));
}

/// Guards against a primary that stays on an upstream which is leaving.
#[test]
fn a_leaving_primary_is_moved() {
    let mut world = support::World::new();
    world.settle(None, 100);
    let old = world.primary().expect("a primary");
    for rank in 0..2 {
        world.keepers[rank].set_members(support::specs(Some(old)), rank);
    }
    world.settle(None, 200);
    assert_ne!(world.primary().expect("a primary"), old);
    assert_eq!(world.primaries.len(), 2, "one move is enough");
}

/// Guards against ranks that act at once, and split the fences of a term, when a majority returns
/// after a long time without one.
#[test]
fn a_later_rank_waits_its_turn_when_a_majority_returns() {
    let mut world = support::World::new();
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
    world.now += support::TIMES.rank_delay;
    world.tick(1, time::Duration::ZERO);
    assert_eq!(world.actions.len(), 2, "fences both that answer");
}
