//! The queue of an upstream, driven without sockets or a clock.

use std::collections;
use std::time;

use arbtest::arbitrary;
use persimmontack::decide::{customer_queue, schedule_event, schedule_limits, slot_scheduler};
use persimmontack::model::refusal_reason;
use persimmontack::rules::rule_set;

const LONG_AFTER: time::Duration = time::Duration::from_millis(50);
const PATIENT: time::Duration = time::Duration::from_secs(3_600);

type Ticket = customer_queue::QueueTicket;

fn limits(slots: u32, units: u32) -> schedule_limits::ScheduleLimits {
    schedule_limits::ScheduleLimits {
        policy: schedule_limits::QueuePolicy::Fair,
        slots,
        units,
        max_waiting: 1_000,
        long_after: LONG_AFTER,
    }
}

fn rules_with_priority(reserve: u32) -> rule_set::RuleSet {
    rule_set::RuleSet {
        customers: vec![rule_set::CustomerRule {
            customer: "high".to_owned(),
            priority: rule_set::CustomerPriority::High,
            reserve,
            weight: 1,
            requester: "test".to_owned(),
        }],
        ..rule_set::RuleSet::default()
    }
}

fn arrival(ticket: Ticket, customer: &str, fingerprint: u64) -> schedule_event::BatchArrival {
    schedule_event::BatchArrival {
        ticket,
        customer: customer.to_owned(),
        fingerprint,
        long: None,
        in_transaction: false,
        start_within: PATIENT,
    }
}

/// Teaches the queue that a fingerprint is short.
fn teach(
    scheduler: &mut slot_scheduler::SlotScheduler,
    fingerprint: u64,
    slot_time: time::Duration,
) {
    let ticket = u64::MAX - fingerprint;
    let actions = scheduler.arrive(
        arrival(ticket, "teacher", fingerprint),
        time::Duration::ZERO,
    );
    assert_eq!(actions, [schedule_event::ScheduleAction::Grant(ticket)]);
    scheduler.finish(ticket, false, slot_time);
}

/// Follows every batch from its arrival to its end.
#[derive(Default)]
struct Ledger {
    waiting: collections::BTreeMap<Ticket, schedule_event::BatchArrival>,
    running: collections::BTreeMap<Ticket, schedule_event::BatchArrival>,
    ended: collections::BTreeSet<Ticket>,
    open_units: u32,
}

impl Ledger {
    fn apply(&mut self, actions: Vec<schedule_event::ScheduleAction>) {
        for action in actions {
            match action {
                schedule_event::ScheduleAction::Grant(ticket) => {
                    let arrival = self.waiting.remove(&ticket);
                    let arrival = arrival.expect("granted batch was not waiting");
                    if arrival.in_transaction {
                        self.open_units -= 1;
                    }
                    self.running.insert(ticket, arrival);
                }
                schedule_event::ScheduleAction::Refuse(ticket, _) => {
                    let arrival = self.waiting.remove(&ticket);
                    let arrival = arrival.expect("refused batch was not waiting");
                    // Like the shell, the ledger ends the unit of a refused batch at once.
                    assert!(!arrival.in_transaction || self.open_units > 0);
                    assert!(self.ended.insert(ticket), "batch ended twice");
                }
            }
        }
    }

    fn check(
        &self,
        scheduler: &slot_scheduler::SlotScheduler,
        limits: &schedule_limits::ScheduleLimits,
    ) {
        assert_eq!(scheduler.waiting(), self.waiting.len());
        assert_eq!(scheduler.running(), self.running.len());
        assert!(
            self.running.len() <= limits.slots as usize,
            "slots exceeded"
        );
        let units = self.running.len() + self.open_units as usize;
        assert!(units <= limits.units as usize, "units exceeded");
        let long = self
            .running
            .values()
            .filter(|arrival| arrival.long == Some(true))
            .count();
        let most = limits.slots.saturating_sub(1).max(1) as usize;
        if limits.policy == schedule_limits::QueuePolicy::Fair {
            assert!(long <= most, "long work holds all slots");
        }
    }
}

fn pick<'a>(
    source: &mut arbitrary::Unstructured<'_>,
    table: &'a collections::BTreeMap<Ticket, schedule_event::BatchArrival>,
) -> arbitrary::Result<Option<(&'a Ticket, &'a schedule_event::BatchArrival)>> {
    if table.is_empty() {
        return Ok(None);
    }
    let place = source.choose_index(table.len())?;
    Ok(table.iter().nth(place))
}

fn run_interleaving(
    source: &mut arbitrary::Unstructured<'_>,
    policy: schedule_limits::QueuePolicy,
) -> arbitrary::Result<()> {
    let slots = source.int_in_range(1..=4)?;
    let limits = schedule_limits::ScheduleLimits {
        policy,
        max_waiting: source.int_in_range(2..=30)?,
        ..limits(slots, slots + source.int_in_range(0..=4)?)
    };
    let mut scheduler = slot_scheduler::SlotScheduler::new(limits);
    scheduler.set_rules(&rules_with_priority(source.int_in_range(0..=3)?));
    let mut ledger = Ledger::default();
    let mut now = time::Duration::ZERO;
    let mut last = 0;
    while !source.is_empty() {
        now += time::Duration::from_millis(source.int_in_range(0..=30)?);
        match source.int_in_range(0..=9)? {
            0..=4 => {
                last += 1;
                // Batches of open transactions that already wait have taken their unit along.
                let queued = ledger
                    .waiting
                    .values()
                    .filter(|arrival| arrival.in_transaction)
                    .count();
                let free_units = ledger.open_units as usize > queued;
                let customers = ["high", "a", "b", "c"];
                let new = schedule_event::BatchArrival {
                    customer: (*source.choose(&customers)?).to_owned(),
                    fingerprint: source.int_in_range(0..=5)?,
                    long: *source.choose(&[None, Some(true), Some(false)])?,
                    in_transaction: free_units && source.arbitrary()?,
                    start_within: time::Duration::from_millis(source.int_in_range(0..=2_000)?),
                    ..arrival(last, "", 0)
                };
                ledger.waiting.insert(last, new.clone());
                let actions = scheduler.arrive(new, now);
                settle(&mut scheduler, &mut ledger, actions, now);
            }
            5..=7 => {
                if let Some((ticket, _)) = pick(source, &ledger.running)? {
                    let ticket = *ticket;
                    let keeps_unit = source.arbitrary()?;
                    ledger.running.remove(&ticket);
                    assert!(ledger.ended.insert(ticket), "batch ended twice");
                    ledger.open_units += u32::from(keeps_unit);
                    let actions = scheduler.finish(ticket, keeps_unit, now);
                    settle(&mut scheduler, &mut ledger, actions, now);
                }
            }
            8 => {
                if let Some((ticket, arrival)) = pick(source, &ledger.waiting)? {
                    let (ticket, keeps_unit) = (*ticket, arrival.in_transaction);
                    ledger.waiting.remove(&ticket);
                    assert!(ledger.ended.insert(ticket), "batch ended twice");
                    let actions = scheduler.cancel(ticket, keeps_unit, now);
                    settle(&mut scheduler, &mut ledger, actions, now);
                }
            }
            _ => {
                let actions = scheduler.advance(now);
                settle(&mut scheduler, &mut ledger, actions, now);
            }
        }
        ledger.check(&scheduler, &limits);
    }
    // Whatever is left has to be granted or refused once everything finishes and units close.
    for _ in 0..10_000 {
        if ledger.waiting.is_empty() && ledger.running.is_empty() {
            break;
        }
        now += time::Duration::from_millis(1);
        if let Some(ticket) = ledger.running.keys().next().copied() {
            ledger.running.remove(&ticket);
            assert!(ledger.ended.insert(ticket), "batch ended twice");
            let actions = scheduler.finish(ticket, false, now);
            settle(&mut scheduler, &mut ledger, actions, now);
        } else if ledger.open_units > 0 {
            ledger.open_units -= 1;
            let actions = scheduler.release_unit(now);
            settle(&mut scheduler, &mut ledger, actions, now);
        }
        ledger.check(&scheduler, &limits);
    }
    assert!(
        ledger.waiting.is_empty(),
        "batches are left: {:?}",
        ledger.waiting
    );
    assert_eq!(ledger.ended.len() as u64, last, "a batch has no end");
    Ok(())
}

/// Applies actions and, like the shell, ends the unit of a refused batch.
fn settle(
    scheduler: &mut slot_scheduler::SlotScheduler,
    ledger: &mut Ledger,
    actions: Vec<schedule_event::ScheduleAction>,
    now: time::Duration,
) {
    let mut pending = collections::VecDeque::from(actions);
    while let Some(action) = pending.pop_front() {
        let ends_unit = match &action {
            schedule_event::ScheduleAction::Refuse(ticket, _) => ledger
                .waiting
                .get(ticket)
                .is_some_and(|arrival| arrival.in_transaction),
            schedule_event::ScheduleAction::Grant(_) => false,
        };
        ledger.apply(vec![action]);
        if ends_unit {
            ledger.open_units -= 1;
            pending.extend(scheduler.release_unit(now));
        }
    }
}

/// Guards against slots or connections granted twice, long work in all slots, and batches that
/// end twice, never end or are forgotten.
#[test]
fn every_arrival_ends_once_and_no_limit_is_exceeded() {
    arbtest::arbtest(|source| run_interleaving(source, schedule_limits::QueuePolicy::Fair));
}

/// Guards against the same faults in the baseline policy.
#[test]
fn first_come_ends_every_arrival_once() {
    arbtest::arbtest(|source| {
        run_interleaving(source, schedule_limits::QueuePolicy::FirstComeFirstServed)
    });
}

/// Guards against a priority customer that waits behind others at its first request.
#[test]
fn the_first_request_of_the_priority_customer_goes_first() {
    arbtest::arbtest(|source| {
        let mut scheduler = slot_scheduler::SlotScheduler::new(limits(3, 20));
        scheduler.set_rules(&rules_with_priority(1));
        teach(&mut scheduler, 1, time::Duration::from_millis(5));
        let mut running = collections::VecDeque::new();
        let mut now = time::Duration::from_secs(1);
        let mut collect = |actions: Vec<schedule_event::ScheduleAction>| {
            for action in actions {
                if let schedule_event::ScheduleAction::Grant(ticket) = action {
                    running.push_back(ticket);
                }
            }
            running.clone()
        };
        let mut granted = collections::VecDeque::new();
        for ticket in 0..source.int_in_range(4..=40)? {
            let customer = *source.choose(&["a", "b", "c"])?;
            granted = collect(scheduler.arrive(arrival(ticket, customer, 1), now));
        }
        // Some of it runs before the priority customer arrives.
        let mut next = 0;
        for _ in 0..source.int_in_range(0..=10)? {
            now += time::Duration::from_millis(source.int_in_range(1..=20)?);
            let Some(ticket) = granted.get(next).copied() else {
                break;
            };
            next += 1;
            granted = collect(scheduler.finish(ticket, false, now));
        }
        let actions = scheduler.arrive(arrival(1_000, "high", 1), now);
        if scheduler.waiting() == 0 {
            return Ok(());
        }
        if actions.is_empty() {
            let ticket = granted[next];
            let actions = scheduler.finish(ticket, false, now);
            assert_eq!(actions, [schedule_event::ScheduleAction::Grant(1_000)]);
        }
        Ok(())
    });
}

/// One customer of a simulated load.
struct Demand {
    customer: &'static str,
    fingerprint: u64,
    slot_time: time::Duration,
    /// Batches that wait or run at any time.
    depth: u64,
}

#[derive(Default)]
struct Usage {
    slot_time: time::Duration,
    finished: u64,
    longest_wait: time::Duration,
}

/// Runs a closed load for a simulated time in steps of 1 ms, and returns what each customer got.
/// The first `warm_up` does not count.
fn simulate(
    scheduler: &mut slot_scheduler::SlotScheduler,
    demands: &[Demand],
    total: time::Duration,
    warm_up: time::Duration,
) -> Vec<Usage> {
    let step = time::Duration::from_millis(1);
    let mut usages: Vec<Usage> = demands.iter().map(|_| Usage::default()).collect();
    let mut arrived = collections::BTreeMap::new();
    let mut running: Vec<(Ticket, time::Duration)> = Vec::new();
    let mut depth = vec![0; demands.len()];
    let mut last = 0;
    let mut now = time::Duration::from_secs(1);
    let end = now + total;
    let counted_from = now + warm_up;
    while now < end {
        let mut actions = scheduler.advance(now);
        let mut done: Vec<_> = running.iter().copied().filter(|run| run.1 <= now).collect();
        done.sort_by_key(|run| run.1);
        running.retain(|run| run.1 > now);
        for (ticket, _) in done {
            let (number, _): (usize, time::Duration) = arrived[&ticket];
            if now >= counted_from {
                usages[number].slot_time += demands[number].slot_time;
                usages[number].finished += 1;
            }
            depth[number] -= 1;
            actions.extend(scheduler.finish(ticket, false, now));
        }
        for (number, demand) in demands.iter().enumerate() {
            while depth[number] < demand.depth {
                last += 1;
                depth[number] += 1;
                arrived.insert(last, (number, now));
                let new = arrival(last, demand.customer, demand.fingerprint);
                actions.extend(scheduler.arrive(new, now));
            }
        }
        for action in actions {
            match action {
                schedule_event::ScheduleAction::Grant(ticket) => {
                    let (number, since) = arrived[&ticket];
                    if now >= counted_from {
                        let usage = &mut usages[number];
                        usage.longest_wait = usage.longest_wait.max(now - since);
                    }
                    running.push((ticket, now + demands[number].slot_time));
                }
                schedule_event::ScheduleAction::Refuse(ticket, reason) => {
                    panic!("batch {ticket} was refused: {reason}");
                }
            }
        }
        now += step;
    }
    usages
}

fn short(customer: &'static str, depth: u64) -> Demand {
    Demand {
        customer,
        fingerprint: 1,
        slot_time: time::Duration::from_millis(5),
        depth,
    }
}

/// Guards against customers that starve while the priority customer wants all slots.
#[test]
fn everyone_gets_a_fifth_of_the_fair_share_beside_a_saturating_priority_customer() {
    let mut scheduler = slot_scheduler::SlotScheduler::new(limits(3, 20));
    scheduler.set_rules(&rules_with_priority(1));
    let demands = [
        short("high", 10),
        short("a", 5),
        short("b", 5),
        short("c", 5),
    ];
    let total = time::Duration::from_secs(20);
    let usages = simulate(
        &mut scheduler,
        &demands,
        total,
        time::Duration::from_secs(2),
    );
    let sum: time::Duration = usages.iter().map(|usage| usage.slot_time).sum();
    let fair = sum.as_secs_f64() / usages.len() as f64;
    for (usage, demand) in usages.iter().zip(&demands).skip(1) {
        let share = usage.slot_time.as_secs_f64() / fair;
        assert!(share >= 0.2, "{} got {share} of its share", demand.customer);
    }
    let high = usages[0].slot_time.as_secs_f64() / sum.as_secs_f64();
    assert!(
        high >= 0.75,
        "the priority customer got {high} of all slots"
    );
}

/// Guards against shares that go by the number of batches instead of by slot time.
#[test]
fn customers_share_by_slot_time() {
    let mut scheduler = slot_scheduler::SlotScheduler::new(limits(3, 20));
    let heavy = Demand {
        fingerprint: 2,
        slot_time: time::Duration::from_millis(20),
        ..short("a", 40)
    };
    let demands = [heavy, short("b", 10)];
    let total = time::Duration::from_secs(20);
    let usages = simulate(
        &mut scheduler,
        &demands,
        total,
        time::Duration::from_secs(2),
    );
    let ratio = usages[0].slot_time.as_secs_f64() / usages[1].slot_time.as_secs_f64();
    assert!((0.8..=1.25).contains(&ratio), "shares differ by {ratio}");
}

/// Guards against exports that hold all slots although no rule and no caller marks them, and
/// against exports that get no slot.
#[test]
fn short_work_moves_beside_exports_that_nothing_marks() {
    let mut scheduler = slot_scheduler::SlotScheduler::new(limits(3, 20));
    let export = Demand {
        fingerprint: 9,
        slot_time: time::Duration::from_millis(800),
        ..short("a", 6)
    };
    let demands = [export, short("b", 2)];
    let total = time::Duration::from_secs(20);
    let usages = simulate(&mut scheduler, &demands, total, time::Duration::ZERO);
    // At least one slot serves only the two short batches that customer b keeps in the queue.
    let longest = usages[1].longest_wait;
    assert!(
        longest <= time::Duration::from_millis(15),
        "waited {longest:?}"
    );
    assert!(usages[0].finished >= 10, "{} exports", usages[0].finished);
}

/// Guards against requests that wait although their deadline cannot be met.
#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut scheduler = slot_scheduler::SlotScheduler::new(limits(1, 20));
    teach(&mut scheduler, 1, time::Duration::from_millis(40));
    let now = time::Duration::from_secs(1);
    for ticket in 1..=20 {
        scheduler.arrive(arrival(ticket, "a", 1), now);
    }
    let hurried = schedule_event::BatchArrival {
        start_within: time::Duration::from_millis(100),
        ..arrival(100, "a", 1)
    };
    let reason = refusal_reason::RefusalReason::Deadline;
    let refused = [schedule_event::ScheduleAction::Refuse(100, reason)];
    assert_eq!(scheduler.arrive(hurried, now), refused);
    let other = schedule_event::BatchArrival {
        start_within: time::Duration::from_millis(100),
        ..arrival(101, "b", 1)
    };
    // Another customer's turn comes soon, so it is not refused.
    assert!(scheduler.arrive(other, now).is_empty());
}

/// Guards against a full queue that shuts other customers out.
#[test]
fn a_full_queue_refuses_the_customer_that_filled_it() {
    let limits = schedule_limits::ScheduleLimits {
        max_waiting: 10,
        ..limits(1, 20)
    };
    let mut scheduler = slot_scheduler::SlotScheduler::new(limits);
    let now = time::Duration::ZERO;
    for ticket in 1..=11 {
        scheduler.arrive(arrival(ticket, "a", 1), now);
    }
    assert_eq!(scheduler.waiting(), 10);
    let reason = refusal_reason::RefusalReason::QueueFull;
    let refused = [schedule_event::ScheduleAction::Refuse(11, reason)];
    assert_eq!(scheduler.arrive(arrival(100, "b", 1), now), refused);
}

/// Guards against a queue that stops although a slot is free: a customer's share of slot time came
/// out at exactly zero after the rounds that it was owed, by rounding, and nobody had the turn.
#[test]
fn a_share_that_rounds_to_zero_still_gets_its_turn() {
    arbtest::arbtest(|source| run_interleaving(source, schedule_limits::QueuePolicy::Fair))
        .seed(0xef72_63ff_0000_003e);
}
