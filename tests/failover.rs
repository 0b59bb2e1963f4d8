//! Tests of the failover decisions on a model of three upstreams, with two competing keepers and
//! messages that are lost and reordered.

mod failover_support;

use std::time;

use arbtest::arbitrary;
use failover_support as support;
use persimmontack::decide::failover_event;

/// Guards against lost acknowledged writes and a second primary of a term while two keepers
/// compete, messages are lost, late or reordered, and probes report any upstream as down; and
/// against groups that get no primary again after these faults have ended.
#[test]
fn competing_keepers_lose_no_acknowledged_write() {
    arbtest::arbtest(|u| {
        let mut model = support::GroupModel::new();
        model.settle(None, 100);
        let steps = u.arbitrary_len::<u16>()?.min(400);
        for _ in 0..steps {
            let jitter = time::Duration::from_millis(u.int_in_range(0..=125)?);
            let (keeper, upstream) = (u.int_in_range(0..=1_usize)?, u.int_in_range(0..=2_usize)?);
            match u.int_in_range(0..=11_u8)? {
                0 => model.write(upstream),
                1 => model.replicate(upstream),
                2 => model.acknowledge(upstream),
                3 => model.probe(keeper, upstream),
                4 => model.report_down(keeper, upstream),
                5 | 6 => {
                    model.now += time::Duration::from_millis(u.int_in_range(0..=400)?);
                    model.tick(keeper, jitter);
                }
                7 | 8 => {
                    if let Some(index) = draw_index(u, model.actions.len())? {
                        let message = model.actions.swap_remove(index);
                        if u.ratio(7, 8)? {
                            model.deliver(message);
                        }
                    }
                }
                9 | 10 => {
                    if let Some(index) = draw_index(u, model.answers.len())? {
                        let (keeper, event) = model.answers.swap_remove(index);
                        if u.ratio(7, 8)? {
                            model.handle(keeper, event, jitter);
                        }
                    }
                }
                _ => {
                    let target = u.ratio(1, 2)?.then(|| support::NAMES[upstream].to_owned());
                    let now = model.now;
                    model.keepers[keeper].request_move(target, now);
                }
            }
        }
        model.settle(None, 600);
        let primary = model.primary().expect("the group has a primary");
        let log = model.upstreams[primary].log.clone();
        for upstream in &model.upstreams {
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

/// Guards against a new group that gets no primary, or whose first term is not 1.
#[test]
fn a_new_group_gets_its_primary_at_term_one() {
    let mut model = support::GroupModel::new();
    model.settle(None, 100);
    assert_eq!(model.primaries.keys().copied().collect::<Vec<_>>(), [1]);
}

/// Guards against a dead primary that is not replaced, or that does not rejoin when it returns.
#[test]
fn a_replaced_primary_rejoins_as_a_replica() {
    let mut model = support::GroupModel::new();
    model.settle(None, 100);
    let old = model.primary().expect("a primary");
    model.write(old);
    model.settle(Some(old), 100);
    let new = model.primary().expect("a new primary");
    assert_ne!(new, old);
    model.settle(None, 200);
    assert_eq!(model.upstreams[old].log, model.upstreams[new].log);
    assert_eq!(model.primaries.len(), 2, "one failure makes one promotion");
}

/// Guards against a resumed primary of an older term that never follows, because the order to
/// follow is sent only once and lost, or is not sent while probes find no free connection.
#[test]
fn a_resumed_primary_is_ordered_to_follow_until_it_does() {
    let mut model = support::GroupModel::new();
    model.settle(None, 100);
    let old = model.primary().expect("a primary");
    model.settle(Some(old), 100);
    assert_ne!(model.primary().expect("a new primary"), old);
    let name = support::NAMES[old].to_owned();
    for _ in 0..3 {
        model.now += support::TIMES.follow_retry;
        for keeper in 0..2 {
            let result = failover_event::ProbeResult::Alive;
            let event = failover_event::FailoverEvent::Probed(name.clone(), result);
            model.handle(keeper, event, time::Duration::ZERO);
            model.tick(keeper, time::Duration::ZERO);
        }
        // The orders are lost.
        let ordered = std::mem::take(&mut model.actions)
            .into_iter()
            .any(|message| match message.action {
                failover_event::FailoverAction::Follow(upstream, term, _) => {
                    upstream == name && term == 2
                }
                _ => false,
            });
        assert!(ordered, "no keeper orders {name} to follow");
    }
}

/// Guards against replacing a primary that is slow but answers, or whose connections are all in
/// use.
#[test]
fn a_slow_primary_is_not_replaced() {
    let mut model = support::GroupModel::new();
    model.settle(None, 100);
    let primary = model.primary().expect("a primary");
    let name = support::NAMES[primary].to_owned();
    for result in [
        failover_event::ProbeResult::Silent(support::TIMES.silence / 2),
        failover_event::ProbeResult::Refused,
        failover_event::ProbeResult::Alive,
        failover_event::ProbeResult::Refused,
    ] {
        let event = failover_event::FailoverEvent::Probed(name.clone(), result);
        model.handle(0, event, time::Duration::ZERO);
        model.now += time::Duration::from_secs(1);
        model.tick(0, time::Duration::ZERO);
        assert!(model.actions.is_empty(), "{:?}", model.actions);
    }
}

/// Guards against a promotion by a keeper that reaches only one upstream.
#[test]
fn a_keeper_that_reaches_a_minority_does_nothing() {
    let mut model = support::GroupModel::new();
    model.settle(None, 100);
    for upstream in [0, 1] {
        model.report_down(0, upstream);
    }
    for (keeper, event) in std::mem::take(&mut model.answers) {
        model.handle(keeper, event, time::Duration::ZERO);
    }
    for _ in 0..100 {
        model.now += time::Duration::from_millis(100);
        model.tick(0, time::Duration::ZERO);
    }
    assert!(model.actions.is_empty(), "{:?}", model.actions);
}

/// Guards against a planned move that ends at another upstream, or drops a write.
#[test]
fn a_planned_move_ends_at_the_named_upstream() {
    let mut model = support::GroupModel::new();
    model.settle(None, 100);
    let old = model.primary().expect("a primary");
    let target = (old + 1) % 3;
    model.write(old);
    let now = model.now;
    model.keepers[0].request_move(Some(support::NAMES[target].to_owned()), now);
    model.settle(None, 200);
    assert_eq!(model.primary(), Some(target));
    let outcome = model.keepers[0].take_outcome();
    assert_eq!(
        outcome,
        Some(failover_event::MoveOutcome::Done(
            support::NAMES[target].to_owned()
        ))
    );
    assert!(model.upstreams[target].log.iter().any(|entry| entry.1 == 1));
}

/// Guards against a primary that stays on a leaving upstream.
#[test]
fn a_leaving_primary_is_moved() {
    let mut model = support::GroupModel::new();
    model.settle(None, 100);
    let old = model.primary().expect("a primary");
    for rank in 0..2 {
        model.keepers[rank].set_members(support::specs(Some(old)), rank);
    }
    model.settle(None, 200);
    assert_ne!(model.primary().expect("a primary"), old);
    assert_eq!(model.primaries.len(), 2, "one move is enough");
}

/// Guards against keepers of all ranks that act at once when a majority returns after a long time.
/// Each of them would fence a part of the upstreams, and none would get a majority.
#[test]
fn a_later_rank_waits_for_its_delay_when_a_majority_returns() {
    let mut model = support::GroupModel::new();
    model.settle(None, 100);
    let old = model.primary().expect("a primary");
    let (second, last) = ((old + 1) % 3, (old + 2) % 3);
    for down in [old, second] {
        model.report_down(1, down);
        for (keeper, event) in std::mem::take(&mut model.answers) {
            model.handle(keeper, event, time::Duration::ZERO);
        }
        model.tick(1, time::Duration::ZERO);
    }
    for _ in 0..100 {
        model.now += time::Duration::from_millis(100);
        model.tick(1, time::Duration::ZERO);
    }
    for upstream in [second, last] {
        model.probe(1, upstream);
    }
    for (keeper, event) in std::mem::take(&mut model.answers) {
        model.handle(keeper, event, time::Duration::ZERO);
    }
    model.tick(1, time::Duration::ZERO);
    assert!(
        model.actions.is_empty(),
        "acted at once: {:?}",
        model.actions
    );
    model.now += support::TIMES.rank_delay;
    model.tick(1, time::Duration::ZERO);
    assert_eq!(model.actions.len(), 2, "fences both upstreams that answer");
}
