//! Tests of the slot scheduler, without sockets or a clock.

use std::collections;
use std::time;

use arbtest::arbitrary;
use persimmontack::decide::{customer_queue, schedule_event, schedule_limits, slot_scheduler};
use persimmontack::model::refusal_reason;
use persimmontack::rules::rule_set;

const LONG_AFTER: time::Duration = time::Duration::from_millis(50);
const NO_DEADLINE: time::Duration = time::Duration::from_secs(3_600);

type Ticket = customer_queue::QueueTicket;
type Scheduler = slot_scheduler::SlotScheduler;

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
        start_within: NO_DEADLINE,
    }
}

/// Runs one batch of a fingerprint, so that the scheduler has measured its slot time.
fn measure(scheduler: &mut Scheduler, fingerprint: u64, slot_time: time::Duration) {
    let ticket = u64::MAX - fingerprint;
    let actions = scheduler.arrive(
        arrival(ticket, "measured", fingerprint),
        time::Duration::ZERO,
    );
    assert_eq!(actions, [schedule_event::ScheduleAction::Grant(ticket)]);
    scheduler.finish(ticket, false, slot_time);
}

/// Tracks each batch from its arrival to its end.
#[derive(Default)]
struct BatchTracker {
    waiting: collections::BTreeMap<Ticket, schedule_event::BatchArrival>,
    running: collections::BTreeMap<Ticket, schedule_event::BatchArrival>,
    ended: collections::BTreeSet<Ticket>,
    open_units: u32,
}

impl BatchTracker {
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
                    // Like the pool, the test ends the unit of a refused batch at once.
                    assert!(!arrival.in_transaction || self.open_units > 0);
                    assert!(self.ended.insert(ticket), "batch ended twice");
                }
            }
        }
    }

    fn check(&self, scheduler: &Scheduler, limits: &schedule_limits::ScheduleLimits) {
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
    let mut scheduler = Scheduler::new(limits);
    scheduler.set_rules(&rules_with_priority(source.int_in_range(0..=3)?));
    let mut tracker = BatchTracker::default();
    let mut now = time::Duration::ZERO;
    let mut last = 0;
    while !source.is_empty() {
        now += time::Duration::from_millis(source.int_in_range(0..=30)?);
        match source.int_in_range(0..=9)? {
            0..=4 => {
                last += 1;
                // Batches of open transactions that already wait use the unit of their transaction.
                let queued = tracker
                    .waiting
                    .values()
                    .filter(|arrival| arrival.in_transaction)
                    .count();
                let free_units = tracker.open_units as usize > queued;
                let customers = ["high", "a", "b", "c"];
                let new = schedule_event::BatchArrival {
                    customer: (*source.choose(&customers)?).to_owned(),
                    fingerprint: source.int_in_range(0..=5)?,
                    long: *source.choose(&[None, Some(true), Some(false)])?,
                    in_transaction: free_units && source.arbitrary()?,
                    start_within: time::Duration::from_millis(source.int_in_range(0..=2_000)?),
                    ..arrival(last, "", 0)
                };
                tracker.waiting.insert(last, new.clone());
                let actions = scheduler.arrive(new, now);
                settle(&mut scheduler, &mut tracker, actions, now);
            }
            5..=7 => {
                if let Some((ticket, _)) = pick(source, &tracker.running)? {
                    let ticket = *ticket;
                    let keeps_unit = source.arbitrary()?;
                    tracker.running.remove(&ticket);
                    assert!(tracker.ended.insert(ticket), "batch ended twice");
                    tracker.open_units += u32::from(keeps_unit);
                    let actions = scheduler.finish(ticket, keeps_unit, now);
                    settle(&mut scheduler, &mut tracker, actions, now);
                }
            }
            8 => {
                if let Some((ticket, arrival)) = pick(source, &tracker.waiting)? {
                    let (ticket, keeps_unit) = (*ticket, arrival.in_transaction);
                    tracker.waiting.remove(&ticket);
                    assert!(tracker.ended.insert(ticket), "batch ended twice");
                    let actions = scheduler.cancel(ticket, keeps_unit, now);
                    settle(&mut scheduler, &mut tracker, actions, now);
                }
            }
            _ => {
                let actions = scheduler.advance(now);
                settle(&mut scheduler, &mut tracker, actions, now);
            }
        }
        tracker.check(&scheduler, &limits);
    }
    // Every batch left has to be granted or refused once all others finish and all units close.
    for _ in 0..10_000 {
        if tracker.waiting.is_empty() && tracker.running.is_empty() {
            break;
        }
        now += time::Duration::from_millis(1);
        if let Some(ticket) = tracker.running.keys().next().copied() {
            tracker.running.remove(&ticket);
            assert!(tracker.ended.insert(ticket), "batch ended twice");
            let actions = scheduler.finish(ticket, false, now);
            settle(&mut scheduler, &mut tracker, actions, now);
        } else if tracker.open_units > 0 {
            tracker.open_units -= 1;
            let actions = scheduler.release_unit(now);
            settle(&mut scheduler, &mut tracker, actions, now);
        }
        tracker.check(&scheduler, &limits);
    }
    assert!(
        tracker.waiting.is_empty(),
        "batches still wait: {:?}",
        tracker.waiting
    );
    assert_eq!(tracker.ended.len() as u64, last, "a batch did not end");
    Ok(())
}

/// Applies actions and, as the slot queue of the pool does, ends the unit of a refused batch.
fn settle(
    scheduler: &mut Scheduler,
    tracker: &mut BatchTracker,
    actions: Vec<schedule_event::ScheduleAction>,
    now: time::Duration,
) {
    let mut pending = collections::VecDeque::from(actions);
    while let Some(action) = pending.pop_front() {
        let ends_unit = match &action {
            schedule_event::ScheduleAction::Refuse(ticket, _) => tracker
                .waiting
                .get(ticket)
                .is_some_and(|arrival| arrival.in_transaction),
            schedule_event::ScheduleAction::Grant(_) => false,
        };
        tracker.apply(vec![action]);
        if ends_unit {
            tracker.open_units -= 1;
            pending.extend(scheduler.release_unit(now));
        }
    }
}

/// Guards against more slots or connections granted than there are, long batches in all slots, and
/// batches that end twice or never.
#[test]
fn every_arrival_ends_once_and_no_limit_is_exceeded() {
    arbtest::arbtest(|source| run_interleaving(source, schedule_limits::QueuePolicy::Fair));
}

/// Guards against the same faults under the first-come policy.
#[test]
fn first_come_ends_every_arrival_once() {
    arbtest::arbtest(|source| {
        run_interleaving(source, schedule_limits::QueuePolicy::FirstComeFirstServed)
    });
}

/// Guards against a customer with high priority whose first request waits behind those of others.
#[test]
fn first_request_with_high_priority_runs_first() {
    arbtest::arbtest(|source| {
        let mut scheduler = Scheduler::new(limits(3, 20));
        scheduler.set_rules(&rules_with_priority(1));
        measure(&mut scheduler, 1, time::Duration::from_millis(5));
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
        // Some batches run before the customer with high priority arrives.
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
struct CustomerLoad {
    customer: &'static str,
    fingerprint: u64,
    slot_time: time::Duration,
    /// Number of batches that the customer always has in the queue or running.
    depth: u64,
}

#[derive(Default)]
struct CustomerUsage {
    slot_time: time::Duration,
    finished: u64,
    longest_wait: time::Duration,
}

/// Simulates a closed load in steps of 1 ms and returns the usage of each customer. The first
/// `warm_up` of the time does not count.
fn simulate(
    scheduler: &mut Scheduler,
    loads: &[CustomerLoad],
    total: time::Duration,
    warm_up: time::Duration,
) -> Vec<CustomerUsage> {
    let step = time::Duration::from_millis(1);
    let mut usages: Vec<CustomerUsage> = loads.iter().map(|_| CustomerUsage::default()).collect();
    let mut arrived = collections::BTreeMap::new();
    let mut running: Vec<(Ticket, time::Duration)> = Vec::new();
    let mut depth = vec![0; loads.len()];
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
                usages[number].slot_time += loads[number].slot_time;
                usages[number].finished += 1;
            }
            depth[number] -= 1;
            actions.extend(scheduler.finish(ticket, false, now));
        }
        for (number, load) in loads.iter().enumerate() {
            while depth[number] < load.depth {
                last += 1;
                depth[number] += 1;
                arrived.insert(last, (number, now));
                let new = arrival(last, load.customer, load.fingerprint);
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
                    running.push((ticket, now + loads[number].slot_time));
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

fn short(customer: &'static str, depth: u64) -> CustomerLoad {
    CustomerLoad {
        customer,
        fingerprint: 1,
        slot_time: time::Duration::from_millis(5),
        depth,
    }
}

/// Guards against customers that starve while a customer with high priority can use all slots.
#[test]
fn each_customer_gets_a_fifth_of_its_fair_share_under_high_priority_load() {
    let mut scheduler = Scheduler::new(limits(3, 20));
    scheduler.set_rules(&rules_with_priority(1));
    let loads = [
        short("high", 10),
        short("a", 5),
        short("b", 5),
        short("c", 5),
    ];
    let total = time::Duration::from_secs(20);
    let usages = simulate(&mut scheduler, &loads, total, time::Duration::from_secs(2));
    let sum: time::Duration = usages.iter().map(|usage| usage.slot_time).sum();
    let fair = sum.as_secs_f64() / usages.len() as f64;
    for (usage, load) in usages.iter().zip(&loads).skip(1) {
        let share = usage.slot_time.as_secs_f64() / fair;
        assert!(share >= 0.2, "{} got {share} of its share", load.customer);
    }
    let high = usages[0].slot_time.as_secs_f64() / sum.as_secs_f64();
    assert!(high >= 0.75, "high priority got {high} of the slot time");
}

/// Guards against shares that are computed from the number of batches instead of their slot time.
#[test]
fn shares_are_measured_in_slot_time() {
    let mut scheduler = Scheduler::new(limits(3, 20));
    let heavy = CustomerLoad {
        fingerprint: 2,
        slot_time: time::Duration::from_millis(20),
        ..short("a", 40)
    };
    let loads = [heavy, short("b", 10)];
    let total = time::Duration::from_secs(20);
    let usages = simulate(&mut scheduler, &loads, total, time::Duration::from_secs(2));
    let ratio = usages[0].slot_time.as_secs_f64() / usages[1].slot_time.as_secs_f64();
    assert!((0.8..=1.25).contains(&ratio), "shares differ by {ratio}");
}

/// Guards against exports that hold all slots because no rule and no caller marks them as long, and
/// against exports that never get a slot.
#[test]
fn short_batches_run_beside_unmarked_exports() {
    let mut scheduler = Scheduler::new(limits(3, 20));
    let export = CustomerLoad {
        fingerprint: 9,
        slot_time: time::Duration::from_millis(800),
        ..short("a", 6)
    };
    let loads = [export, short("b", 2)];
    let total = time::Duration::from_secs(20);
    let usages = simulate(&mut scheduler, &loads, total, time::Duration::ZERO);
    // At least one slot is left for the two short batches that customer b has at any time.
    let longest = usages[1].longest_wait;
    assert!(
        longest <= time::Duration::from_millis(15),
        "waited {longest:?}"
    );
    assert!(usages[0].finished >= 10, "{} exports", usages[0].finished);
}

/// Guards against requests that are queued although their deadline cannot be met.
#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut scheduler = Scheduler::new(limits(1, 20));
    measure(&mut scheduler, 1, time::Duration::from_millis(40));
    let now = time::Duration::from_secs(1);
    for ticket in 1..=20 {
        scheduler.arrive(arrival(ticket, "a", 1), now);
    }
    let urgent = schedule_event::BatchArrival {
        start_within: time::Duration::from_millis(100),
        ..arrival(100, "a", 1)
    };
    let reason = refusal_reason::RefusalReason::Deadline;
    let refused = [schedule_event::ScheduleAction::Refuse(100, reason)];
    assert_eq!(scheduler.arrive(urgent, now), refused);
    let other = schedule_event::BatchArrival {
        start_within: time::Duration::from_millis(100),
        ..arrival(101, "b", 1)
    };
    // The turn of another customer comes in time, so its request is queued.
    assert!(scheduler.arrive(other, now).is_empty());
}

/// Guards against one customer that fills the queue, so that requests of others are refused.
#[test]
fn a_full_queue_refuses_the_customer_with_the_most_batches() {
    let limits = schedule_limits::ScheduleLimits {
        max_waiting: 10,
        ..limits(1, 20)
    };
    let mut scheduler = Scheduler::new(limits);
    let now = time::Duration::ZERO;
    for ticket in 1..=11 {
        scheduler.arrive(arrival(ticket, "a", 1), now);
    }
    assert_eq!(scheduler.waiting(), 10);
    let reason = refusal_reason::RefusalReason::QueueFull;
    let refused = [schedule_event::ScheduleAction::Refuse(11, reason)];
    assert_eq!(scheduler.arrive(arrival(100, "b", 1), now), refused);
}

/// Guards against a scheduler that grants nothing although a slot is free: by rounding, the deficit
/// of a customer came out at exactly zero after its rounds were added, so no customer had a turn.
#[test]
fn a_deficit_that_rounds_to_zero_still_gets_a_turn() {
    arbtest::arbtest(|source| run_interleaving(source, schedule_limits::QueuePolicy::Fair))
        .seed(0xef72_63ff_0000_003e);
}
