//! Demand that rises to five times the capacity and falls again.

use std::collections;
use std::io;
use std::sync;
use std::time;

use standins::instance::journal;

use crate::{arrival, deployment, open_loop, options, profile, report, session, tally};

/// Slot time of each statement.
const STATEMENT: time::Duration = time::Duration::from_millis(20);
/// Slots of the loaded group.
const SLOTS: f64 = 9.0;
/// Demand at the crest as a multiple of the capacity.
const CREST: f64 = 5.0;
/// Demand before and after, as a part of the capacity.
const IDLE: f64 = 0.05;
/// Time in which demand rises, and falls.
const SLOPE: time::Duration = time::Duration::from_secs(2);
/// Idle time before and after.
const CALM: time::Duration = time::Duration::from_secs(3);
/// Part of the crest after which the priority customer arrives.
const PRIORITY_AFTER: time::Duration = time::Duration::from_secs(1);
/// Part of the requests that write; a third of the capacity is the primary's.
const WRITES: usize = 3;
/// Customers and their parts of the demand.
const CUSTOMERS: [(&str, f64); 3] = [("heavy", 0.7), ("middle", 0.2), ("small", 0.1)];
/// The customer that has bought priority.
const PRIORITY: &str = "priority";
/// Demand of the priority customer as a part of the capacity.
const PRIORITY_RATE: f64 = 0.1;
/// Time within which a request of the callers is useful to them.
const DEADLINE: time::Duration = time::Duration::from_secs(1);
/// Sessions of each customer.
const SESSIONS: usize = 700;
/// Latency after the swing, as a multiple of that before it, from which it counts as recovered.
const RECOVERED: f64 = 2.0;

/// A configuration of the product.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    Fair,
    FirstCome,
}

type Records = Vec<open_loop::RequestRecord>;

/// Runs the measure.
///
/// # Errors
///
/// Fails if the deployment does not start.
pub async fn measure(
    options: &options::LoadOptions,
    profile: &profile::DeploymentProfile,
    seed: u64,
    report: &mut report::FigureReport,
) -> io::Result<()> {
    for (case, policy) in [
        ("fair", Policy::Fair),
        ("baseline: first_come", Policy::FirstCome),
    ] {
        if options.wants(case) {
            run_policy(case, policy, options, profile, seed, report).await?;
        }
    }
    Ok(())
}

async fn run_policy(
    case: &str,
    policy: Policy,
    options: &options::LoadOptions,
    profile: &profile::DeploymentProfile,
    seed: u64,
    report: &mut report::FigureReport,
) -> io::Result<()> {
    let crest = time::Duration::from_secs_f64(options.seconds.unwrap_or(5.0));
    let deadline = DEADLINE.as_millis();
    let mut settings = collections::HashMap::from([(
        "persimmon-entry".to_owned(),
        format!("[limits]\nread_deadline = \"{deadline}ms\"\nwrite_deadline = \"{deadline}ms\"\n"),
    )]);
    if policy == Policy::FirstCome {
        let text = "[queue]\npolicy = \"first_come\"\n".to_owned();
        settings.insert("persimmon-pool".to_owned(), text);
    }
    let mut customers: Vec<_> = CUSTOMERS
        .iter()
        .map(|(name, _)| ((*name).to_owned(), String::new()))
        .collect();
    customers.push((PRIORITY.to_owned(), "priority=high reserve=1".to_owned()));
    let plan = deployment::DeploymentPlan {
        delays: true,
        journal: true,
        statement: STATEMENT,
        apply: time::Duration::from_millis(5),
        customers,
        settings,
        ..deployment::DeploymentPlan::default()
    };
    let deployment = deployment::LoadDeployment::start(profile, &plan).await?;
    let capacity = direct_capacity(&deployment).await?;
    let none = report::Target::None;
    report.add(case, "capacity, direct, requests/s", capacity, none);
    let mut pools = Vec::new();
    for (customer, _) in CUSTOMERS.iter().chain([&(PRIORITY, 0.0)]) {
        let count = if *customer == PRIORITY { 60 } else { SESSIONS };
        let pool = open_loop::SessionPool::new(&deployment.login(customer), count);
        pool.connect_all()
            .await
            .map_err(|end| io::Error::other(format!("logins ended with {end:?}")))?;
        pools.push(sync::Arc::new(pool));
    }
    let priority = |rate: f64, wait: time::Duration, length: time::Duration| {
        vec![
            arrival::ArrivalPhase {
                length: wait,
                rate: 0.0,
            },
            arrival::ArrivalPhase { length, rate },
        ]
    };
    let rate = capacity * PRIORITY_RATE;
    // The statements are run once, as they are when the customer arrives at the crest.
    let alone = priority(rate, time::Duration::ZERO, time::Duration::from_secs(4));
    let start = time::Instant::now();
    let alone = drive(
        &pools[3],
        arrival::ArrivalPlan::new(alone, seed),
        start,
        "a",
    )
    .await;

    let calls = deployment.most_platform_calls().await;
    let start = time::Instant::now();
    let crest_from = CALM + SLOPE;
    let mut tasks = Vec::new();
    for (number, (_, part)) in CUSTOMERS.iter().enumerate() {
        let plan =
            arrival::ArrivalPlan::new(demand(capacity * part, crest), seed * 10 + number as u64);
        let pool = sync::Arc::clone(&pools[number]);
        let name = format!("s{number}x");
        tasks.push(tokio::spawn(async move {
            drive(&pool, plan, start, &name).await
        }));
    }
    let phases = priority(rate, crest_from + PRIORITY_AFTER, crest - PRIORITY_AFTER);
    let plan = arrival::ArrivalPlan::new(phases, seed * 10 + 9);
    let pool = sync::Arc::clone(&pools[3]);
    tasks.push(tokio::spawn(async move {
        drive(&pool, plan, start, "s3x").await
    }));
    let mut records = Vec::new();
    for task in tasks {
        records.push(task.await.map_err(io::Error::other)?);
    }
    let length = start.elapsed().as_secs_f64();
    let calls = (deployment.most_platform_calls().await - calls) / length;
    SwingFigures {
        case,
        capacity,
        crest_from,
        crest,
        records,
        alone,
    }
    .add(report, &deployment)?;
    report.add(case, "platform calls a second, busiest VM", calls, none);
    if let Some(logs) = &options.logs {
        deployment.copy_logs(&logs.join(case.replace([' ', ':'], "_")))?;
    }
    Ok(())
}

fn demand(capacity: f64, crest: time::Duration) -> Vec<arrival::ArrivalPhase> {
    let calm = arrival::ArrivalPhase {
        length: CALM,
        rate: capacity * IDLE,
    };
    let steps = 10_u32;
    let slope = (0..steps).map(|step| {
        let part = (f64::from(step) + 0.5) / f64::from(steps);
        arrival::ArrivalPhase {
            length: SLOPE / steps,
            rate: capacity * (IDLE + part * (CREST - IDLE)),
        }
    });
    let rise: Vec<_> = slope.collect();
    let fall: Vec<_> = rise.iter().rev().copied().collect();
    let top = arrival::ArrivalPhase {
        length: crest,
        rate: capacity * CREST,
    };
    let rest = arrival::ArrivalPhase {
        length: CALM + time::Duration::from_secs(2),
        ..calm
    };
    [vec![calm], rise, vec![top], fall, vec![rest]].concat()
}

/// Requests a second that the instances answer on as many connections as they have slots.
async fn direct_capacity(deployment: &deployment::LoadDeployment) -> io::Result<f64> {
    let span = time::Duration::from_secs(2);
    let mut tasks = tokio::task::JoinSet::new();
    for upstream in deployment.upstreams() {
        let login = deployment.direct(&upstream)?;
        for number in 0..3 {
            let login = login.clone();
            tasks.spawn(async move {
                let mut session = session::CallerSession::new(login, number);
                let _shown_later = session.client().await;
                let ends = time::Instant::now() + span;
                let mut count = 0_u32;
                while time::Instant::now() < ends {
                    if session
                        .run("SELECT v FROM swing WHERE k = 'x'")
                        .await
                        .is_ok()
                    {
                        count += 1;
                    }
                }
                count
            });
        }
    }
    let sum: u32 = tasks.join_all().await.into_iter().sum();
    let found = f64::from(sum) / span.as_secs_f64();
    // Round trips of the direct clients leave the slots idle for moments; the slots' own time is
    // the upper bound, and the higher of the two figures is the stricter measure.
    Ok(found.max(SLOTS / (STATEMENT.as_secs_f64() + 0.002)))
}

struct SwingFigures<'a> {
    case: &'a str,
    capacity: f64,
    crest_from: time::Duration,
    crest: time::Duration,
    records: Vec<Records>,
    alone: Records,
}

impl SwingFigures<'_> {
    fn add(
        &self,
        report: &mut report::FigureReport,
        deployment: &deployment::LoadDeployment,
    ) -> io::Result<()> {
        let case = self.case;
        let none = report::Target::None;
        let until = self.crest_from + self.crest;
        let seconds = self.crest.as_secs_f64();
        let answered_at_crest = |records: &Records| {
            let answered = |record: &&open_loop::RequestRecord| {
                let at = record.due + record.latency;
                record.end == tally::RequestEnd::Answered && at >= self.crest_from && at < until
            };
            records.iter().filter(answered).count() as f64
        };
        let goodput = self.records.iter().map(answered_at_crest).sum::<f64>() / seconds;
        let share = 100.0 * goodput / self.capacity;
        report.add(
            case,
            "goodput at the crest, % of capacity",
            share,
            report::Target::AtLeast(90.0),
        );
        // Reads and writes have different upstreams; which of them falls short shows the cause.
        for (name, write) in [("writes", true), ("reads", false)] {
            let counted: f64 = self
                .records
                .iter()
                .map(|records| {
                    let kind = records
                        .iter()
                        .filter(|record| is_write(record.number) == write);
                    answered_at_crest(&kind.copied().collect())
                })
                .sum();
            let part = if write { 1.0 } else { 2.0 } * self.capacity / 3.0;
            let figure = format!("{name} at the crest, % of their capacity");
            report.add(case, &figure, 100.0 * counted / seconds / part, none);
        }
        // The priority customer counts as one of four; what it leaves is the others' to share.
        let fair = self.capacity / 4.0;
        for (number, (name, _)) in CUSTOMERS.iter().enumerate() {
            let rate = answered_at_crest(&self.records[number]) / seconds;
            let figure = format!("{name}: part of its fair share");
            report.add(case, &figure, rate / fair, report::Target::AtLeast(0.2));
        }
        let (alone, beside) = (tally_of(&self.alone), tally_of(&self.records[3]));
        let (alone_p99, p99) = (alone.summary().p99_ms, beside.summary().p99_ms);
        report.add(case, "baseline: priority p99 alone, ms", alone_p99, none);
        report.add(case, "priority p99 at the crest, ms", p99, none);
        report.add(
            case,
            "priority p99, times alone",
            p99 / alone_p99,
            report::Target::AtMost(1.5),
        );
        report.add(
            case,
            "priority requests not answered",
            beside.others() as f64,
            none,
        );
        tally::print_texts(case);
        self.add_refusals(report, deployment)?;
        self.add_recovery(report);
        Ok(())
    }

    fn add_refusals(
        &self,
        report: &mut report::FigureReport,
        deployment: &deployment::LoadDeployment,
    ) -> io::Result<()> {
        let case = self.case;
        let none = report::Target::None;
        let mut ran = collections::HashMap::<String, u32>::new();
        for (_, events) in deployment.journals()? {
            for event in events {
                if let journal::JournalEvent::Statement { id: Some(id), .. } = event
                    && id.starts_with('s')
                {
                    *ran.entry(id).or_default() += 1;
                }
            }
        }
        let mut refused = tally::LatencyTally::new();
        let (mut untrue, mut other) = (0, 0);
        for (number, records) in self.records.iter().enumerate() {
            for record in records {
                match record.end {
                    tally::RequestEnd::NotRun => {
                        refused.record(tally::RequestEnd::Answered, record.latency);
                        if ran.contains_key(&format!("s{number}x-{}", record.number)) {
                            eprintln!(
                                "{case}: refused, but in a journal: s{number}x-{} write={} due={:?} latency={:?}",
                                record.number,
                                is_write(record.number),
                                record.due,
                                record.latency
                            );
                        }
                        untrue +=
                            u32::from(ran.contains_key(&format!("s{number}x-{}", record.number)));
                    }
                    tally::RequestEnd::Answered => {}
                    _ => other += 1,
                }
            }
        }
        let received: usize = self.records.iter().map(Vec::len).sum();
        let sent: u32 = ran.values().sum();
        report.add(case, "requests received", received as f64, none);
        report.add(
            case,
            "refused as not run",
            refused.count(tally::RequestEnd::Answered) as f64,
            none,
        );
        report.add(
            case,
            "refused, but in a journal",
            f64::from(untrue),
            report::Target::AtMost(0.0),
        );
        report.add(case, "neither answered nor refused", f64::from(other), none);
        let refused = refused.summary();
        report.add(case, "time to refusal p50, ms", refused.p50_ms, none);
        let deadline = DEADLINE.as_secs_f64() * 1_000.0;
        report.add(
            case,
            "time to refusal p99, ms",
            refused.p99_ms,
            report::Target::AtMost(deadline),
        );
        let answered: Records = self.records[..3].concat();
        report.add(
            case,
            "answered p99 of the others, ms",
            tally_of(&answered).summary().p99_ms,
            none,
        );
        let ratio = f64::from(sent) / received as f64;
        report.add(
            case,
            "sent upstream / received",
            ratio,
            report::Target::AtMost(1.2),
        );
        Ok(())
    }

    fn add_recovery(&self, report: &mut report::FigureReport) {
        let calm = |record: &&open_loop::RequestRecord| {
            record.due < CALM && record.end == tally::RequestEnd::Answered
        };
        let before: Records = self
            .records
            .iter()
            .flatten()
            .filter(calm)
            .copied()
            .collect();
        let base = tally_of(&before).quantile(0.99);
        let end = self.crest_from + self.crest + SLOPE;
        let last = self
            .records
            .iter()
            .flatten()
            .filter(|record| {
                record.end != tally::RequestEnd::Answered
                    || record.latency > base.mul_f64(RECOVERED)
            })
            .map(|record| record.due + record.latency)
            .max()
            .unwrap_or_default();
        let recovery = last.saturating_sub(end).as_secs_f64();
        let case = self.case;
        report.add(
            case,
            "baseline: p99 before the swing, ms",
            base.as_secs_f64() * 1e3,
            report::Target::None,
        );
        report.add(
            case,
            "recovery after the swing, s",
            recovery,
            report::Target::AtMost(2.0),
        );
    }
}

const fn is_write(number: usize) -> bool {
    number.is_multiple_of(WRITES)
}

fn tally_of(records: &Records) -> tally::LatencyTally {
    let mut tally = tally::LatencyTally::new();
    for record in records {
        tally.record(record.end, record.latency);
    }
    tally
}

async fn drive(
    pool: &sync::Arc<open_loop::SessionPool>,
    plan: arrival::ArrivalPlan,
    start: time::Instant,
    prefix: &str,
) -> Records {
    let prefix = prefix.to_owned();
    let request = move |number: usize, mut session: session::CallerSession| {
        let id = format!("{prefix}-{number}");
        async move {
            let sql = if is_write(number) {
                format!("/* id={id} */ UPDATE swing SET v = '{number}' WHERE k = '{id}'")
            } else {
                format!("/* id={id} */ SELECT v FROM swing WHERE k = 'x'")
            };
            let end = match session.run(&sql).await {
                Ok(_) => tally::RequestEnd::Answered,
                Err(end) => end,
            };
            (session, end)
        }
    };
    open_loop::run(sync::Arc::clone(pool), plan, start, request).await
}
