//! Measures overload: demand rises to five times the capacity and falls again. Reports goodput,
//! fairness between customers, refusals and the time to recover.

use std::collections;
use std::io;
use std::sync;
use std::time;

use standins::instance::journal;

use crate::{arrival, deployment, open_loop, options, profile, report, request_stats, session};

/// Time for which a statement occupies a slot.
const STATEMENT_TIME: time::Duration = time::Duration::from_millis(20);
/// Number of slots of the group that receives the load.
const GROUP_SLOTS: f64 = 9.0;
/// Demand at the peak as a multiple of the capacity.
const PEAK_DEMAND: f64 = 5.0;
/// Demand before and after the overload, as a share of the capacity.
const IDLE_DEMAND: f64 = 0.05;
/// Time in which demand rises to the peak, and in which it falls.
const RAMP_TIME: time::Duration = time::Duration::from_secs(2);
/// Time with idle demand before and after the overload.
const IDLE_TIME: time::Duration = time::Duration::from_secs(3);
/// Time from the start of the peak until the priority customer arrives.
const PRIORITY_DELAY: time::Duration = time::Duration::from_secs(1);
/// One request in this many is a write, because the primary has a third of the capacity.
const REQUESTS_PER_WRITE: usize = 3;
/// Customers and their shares of the demand.
const CUSTOMERS: [(&str, f64); 3] = [("heavy", 0.7), ("middle", 0.2), ("small", 0.1)];
/// Customer whose rule grants it high priority and a reserved slot.
const PRIORITY_CUSTOMER: &str = "priority";
/// Demand of the priority customer as a share of the capacity.
const PRIORITY_DEMAND: f64 = 0.1;
/// Deadline of a request, after which its answer is of no use to the client.
const REQUEST_DEADLINE: time::Duration = time::Duration::from_secs(1);
/// Number of sessions of each customer except the priority customer.
const SESSIONS_PER_CUSTOMER: usize = 700;
/// Latency up to which the service counts as recovered, as a multiple of the p99 before the overload.
const RECOVERED_LATENCY_RATIO: f64 = 2.0;

/// Queue policy of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueuePolicy {
    /// Slots are shared fairly between customers; the default.
    Fair,
    /// Statements run in order of arrival.
    FirstCome,
}

type RequestRecords = Vec<open_loop::RequestRecord>;

/// Reports one case for each queue policy.
///
/// # Errors
///
/// Fails if the deployment does not start, a client cannot log in or a journal cannot be read.
pub async fn measure(
    options: &options::LoadOptions,
    profile: &profile::DeploymentProfile,
    seed: u64,
    report: &mut report::FigureReport,
) -> io::Result<()> {
    for (case, policy) in [
        ("fair", QueuePolicy::Fair),
        ("baseline: first_come", QueuePolicy::FirstCome),
    ] {
        if options.includes_case(case) {
            run_policy(case, policy, options, profile, seed, report).await?;
        }
    }
    Ok(())
}

async fn run_policy(
    case: &str,
    policy: QueuePolicy,
    options: &options::LoadOptions,
    profile: &profile::DeploymentProfile,
    seed: u64,
    report: &mut report::FigureReport,
) -> io::Result<()> {
    let peak = time::Duration::from_secs_f64(options.seconds.unwrap_or(5.0));
    let deadline = REQUEST_DEADLINE.as_millis();
    let mut settings = collections::HashMap::from([(
        "persimmon-entry".to_owned(),
        format!("[limits]\nread_deadline = \"{deadline}ms\"\nwrite_deadline = \"{deadline}ms\"\n"),
    )]);
    if policy == QueuePolicy::FirstCome {
        let text = "[queue]\npolicy = \"first_come\"\n".to_owned();
        settings.insert("persimmon-pool".to_owned(), text);
    }
    let mut customers: Vec<_> = CUSTOMERS
        .iter()
        .map(|(name, _)| ((*name).to_owned(), String::new()))
        .collect();
    customers.push((
        PRIORITY_CUSTOMER.to_owned(),
        "priority=high reserve=1".to_owned(),
    ));
    let plan = deployment::DeploymentPlan {
        with_delays: true,
        journal_statements: true,
        statement_time: STATEMENT_TIME,
        apply_delay: time::Duration::from_millis(5),
        customers,
        settings,
        ..deployment::DeploymentPlan::default()
    };
    let deployment = deployment::LoadDeployment::start(profile, &plan).await?;
    let capacity = direct_capacity(&deployment).await?;
    let none = report::FigureTarget::None;
    report.add(case, "capacity, direct, requests/s", capacity, none);
    let mut pools = Vec::new();
    for (customer, _) in CUSTOMERS.iter().chain([&(PRIORITY_CUSTOMER, 0.0)]) {
        let count = if *customer == PRIORITY_CUSTOMER {
            60
        } else {
            SESSIONS_PER_CUSTOMER
        };
        let pool = open_loop::SessionPool::new(&deployment.login(customer), count);
        pool.connect_all()
            .await
            .map_err(|outcome| io::Error::other(format!("login failed: {outcome:?}")))?;
        pools.push(sync::Arc::new(pool));
    }
    let priority_phases = |rate: f64, wait: time::Duration, duration: time::Duration| {
        vec![
            arrival::ArrivalPhase {
                duration: wait,
                rate: 0.0,
            },
            arrival::ArrivalPhase { duration, rate },
        ]
    };
    let rate = capacity * PRIORITY_DEMAND;
    // As at the peak, each statement has an id of its own and so is run only once.
    let baseline = priority_phases(rate, time::Duration::ZERO, time::Duration::from_secs(4));
    let start = time::Instant::now();
    let baseline = run_load(
        &pools[3],
        arrival::ArrivalSchedule::new(baseline, seed),
        start,
        "a",
    )
    .await;

    let calls = deployment.platform_calls_of_busiest_vm().await;
    let start = time::Instant::now();
    let peak_start = IDLE_TIME + RAMP_TIME;
    let mut tasks = Vec::new();
    for (number, (_, share)) in CUSTOMERS.iter().enumerate() {
        let schedule = arrival::ArrivalSchedule::new(
            demand(capacity * share, peak),
            seed * 10 + number as u64,
        );
        let pool = sync::Arc::clone(&pools[number]);
        let name = format!("s{number}x");
        tasks.push(tokio::spawn(async move {
            run_load(&pool, schedule, start, &name).await
        }));
    }
    let phases = priority_phases(rate, peak_start + PRIORITY_DELAY, peak - PRIORITY_DELAY);
    let schedule = arrival::ArrivalSchedule::new(phases, seed * 10 + 9);
    let pool = sync::Arc::clone(&pools[3]);
    tasks.push(tokio::spawn(async move {
        run_load(&pool, schedule, start, "s3x").await
    }));
    let mut records = Vec::new();
    for task in tasks {
        records.push(task.await.map_err(io::Error::other)?);
    }
    let duration = start.elapsed().as_secs_f64();
    let calls = (deployment.platform_calls_of_busiest_vm().await - calls) / duration;
    SwingResult {
        case,
        capacity,
        peak_start,
        peak,
        records,
        baseline,
    }
    .add_to(report, &deployment)?;
    report.add(case, "platform calls a second, busiest VM", calls, none);
    if let Some(logs) = &options.logs {
        deployment.copy_logs(&logs.join(case.replace([' ', ':'], "_")))?;
    }
    Ok(())
}

fn demand(capacity: f64, peak: time::Duration) -> Vec<arrival::ArrivalPhase> {
    let idle = arrival::ArrivalPhase {
        duration: IDLE_TIME,
        rate: capacity * IDLE_DEMAND,
    };
    let steps = 10_u32;
    let ramp_steps = (0..steps).map(|step| {
        let share = (f64::from(step) + 0.5) / f64::from(steps);
        arrival::ArrivalPhase {
            duration: RAMP_TIME / steps,
            rate: capacity * (IDLE_DEMAND + share * (PEAK_DEMAND - IDLE_DEMAND)),
        }
    });
    let rise: Vec<_> = ramp_steps.collect();
    let fall: Vec<_> = rise.iter().rev().copied().collect();
    let peak_phase = arrival::ArrivalPhase {
        duration: peak,
        rate: capacity * PEAK_DEMAND,
    };
    let idle_after = arrival::ArrivalPhase {
        duration: IDLE_TIME + time::Duration::from_secs(2),
        ..idle
    };
    [vec![idle], rise, vec![peak_phase], fall, vec![idle_after]].concat()
}

/// Returns the requests a second that the upstreams answer on as many connections as slots.
async fn direct_capacity(deployment: &deployment::LoadDeployment) -> io::Result<f64> {
    let duration = time::Duration::from_secs(2);
    let mut tasks = tokio::task::JoinSet::new();
    for upstream in deployment.upstreams() {
        let login = deployment.direct_login(&upstream)?;
        for number in 0..3 {
            let login = login.clone();
            tasks.spawn(async move {
                let mut session = session::ClientSession::new(login, number);
                let _retried_later = session.connection().await;
                let deadline = time::Instant::now() + duration;
                let mut count = 0_u32;
                while time::Instant::now() < deadline {
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
    let measured = f64::from(sum) / duration.as_secs_f64();
    // Round trips of the direct clients leave slots idle, so their rate may fall short of what the
    // statement time allows. The higher of the two rates is the stricter base for the targets.
    Ok(measured.max(GROUP_SLOTS / (STATEMENT_TIME.as_secs_f64() + 0.002)))
}

struct SwingResult<'a> {
    case: &'a str,
    capacity: f64,
    peak_start: time::Duration,
    peak: time::Duration,
    records: Vec<RequestRecords>,
    baseline: RequestRecords,
}

impl SwingResult<'_> {
    fn add_to(
        &self,
        report: &mut report::FigureReport,
        deployment: &deployment::LoadDeployment,
    ) -> io::Result<()> {
        let case = self.case;
        let none = report::FigureTarget::None;
        let peak_end = self.peak_start + self.peak;
        let seconds = self.peak.as_secs_f64();
        let answered_at_peak = |records: &RequestRecords| {
            let answered = |record: &&open_loop::RequestRecord| {
                let at = record.due + record.latency;
                record.outcome == request_stats::RequestOutcome::Answered
                    && at >= self.peak_start
                    && at < peak_end
            };
            records.iter().filter(answered).count() as f64
        };
        let goodput = self.records.iter().map(answered_at_peak).sum::<f64>() / seconds;
        let share = 100.0 * goodput / self.capacity;
        report.add(
            case,
            "goodput at the crest, % of capacity",
            share,
            report::FigureTarget::AtLeast(90.0),
        );
        // Reads and writes run on different upstreams; separate figures show which fall short.
        for (name, write) in [("writes", true), ("reads", false)] {
            let answered: f64 = self
                .records
                .iter()
                .map(|records| {
                    let kind = records
                        .iter()
                        .filter(|record| is_write(record.number) == write);
                    answered_at_peak(&kind.copied().collect())
                })
                .sum();
            let share = if write { 1.0 } else { 2.0 } * self.capacity / 3.0;
            let figure = format!("{name} at the crest, % of their capacity");
            report.add(case, &figure, 100.0 * answered / seconds / share, none);
        }
        // The priority customer is one of four with equal shares; the others may use what it leaves.
        let fair_share = self.capacity / 4.0;
        for (number, (name, _)) in CUSTOMERS.iter().enumerate() {
            let rate = answered_at_peak(&self.records[number]) / seconds;
            let figure = format!("{name}: part of its fair share");
            report.add(
                case,
                &figure,
                rate / fair_share,
                report::FigureTarget::AtLeast(0.2),
            );
        }
        let (baseline, at_peak) = (stats_of(&self.baseline), stats_of(&self.records[3]));
        let (baseline_p99, p99) = (baseline.summary().p99_ms, at_peak.summary().p99_ms);
        report.add(case, "baseline: priority p99 alone, ms", baseline_p99, none);
        report.add(case, "priority p99 at the crest, ms", p99, none);
        report.add(
            case,
            "priority p99, times alone",
            p99 / baseline_p99,
            report::FigureTarget::AtMost(1.5),
        );
        report.add(
            case,
            "priority requests not answered",
            at_peak.unanswered() as f64,
            none,
        );
        request_stats::print_error_counts(case);
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
        let none = report::FigureTarget::None;
        let mut runs = collections::HashMap::<String, u32>::new();
        for (_, events) in deployment.journals()? {
            for event in events {
                if let journal::JournalEvent::Statement { id: Some(id), .. } = event
                    && id.starts_with('s')
                {
                    *runs.entry(id).or_default() += 1;
                }
            }
        }
        let mut refused = request_stats::RequestStats::new();
        let (mut refused_but_run, mut neither) = (0, 0);
        for (number, records) in self.records.iter().enumerate() {
            for record in records {
                match record.outcome {
                    request_stats::RequestOutcome::NotRun => {
                        refused.record(request_stats::RequestOutcome::Answered, record.latency);
                        if runs.contains_key(&format!("s{number}x-{}", record.number)) {
                            eprintln!(
                                "{case}: refused as not run, but an upstream ran it: s{number}x-{} write={} due={:?} latency={:?}",
                                record.number,
                                is_write(record.number),
                                record.due,
                                record.latency
                            );
                        }
                        refused_but_run +=
                            u32::from(runs.contains_key(&format!("s{number}x-{}", record.number)));
                    }
                    request_stats::RequestOutcome::Answered => {}
                    _ => neither += 1,
                }
            }
        }
        let received: usize = self.records.iter().map(Vec::len).sum();
        let statements_run: u32 = runs.values().sum();
        report.add(case, "requests received", received as f64, none);
        report.add(
            case,
            "refused as not run",
            refused.count(request_stats::RequestOutcome::Answered) as f64,
            none,
        );
        report.add(
            case,
            "refused, but in a journal",
            f64::from(refused_but_run),
            report::FigureTarget::AtMost(0.0),
        );
        report.add(
            case,
            "neither answered nor refused",
            f64::from(neither),
            none,
        );
        let refused = refused.summary();
        report.add(case, "time to refusal p50, ms", refused.p50_ms, none);
        let deadline = REQUEST_DEADLINE.as_secs_f64() * 1_000.0;
        report.add(
            case,
            "time to refusal p99, ms",
            refused.p99_ms,
            report::FigureTarget::AtMost(deadline),
        );
        let answered: RequestRecords = self.records[..3].concat();
        report.add(
            case,
            "answered p99 of the others, ms",
            stats_of(&answered).summary().p99_ms,
            none,
        );
        let ratio = f64::from(statements_run) / received as f64;
        report.add(
            case,
            "sent upstream / received",
            ratio,
            report::FigureTarget::AtMost(1.2),
        );
        Ok(())
    }

    fn add_recovery(&self, report: &mut report::FigureReport) {
        let idle = |record: &&open_loop::RequestRecord| {
            record.due < IDLE_TIME && record.outcome == request_stats::RequestOutcome::Answered
        };
        let before: RequestRecords = self
            .records
            .iter()
            .flatten()
            .filter(idle)
            .copied()
            .collect();
        let idle_p99 = stats_of(&before).quantile(0.99);
        let ramp_end = self.peak_start + self.peak + RAMP_TIME;
        let last = self
            .records
            .iter()
            .flatten()
            .filter(|record| {
                record.outcome != request_stats::RequestOutcome::Answered
                    || record.latency > idle_p99.mul_f64(RECOVERED_LATENCY_RATIO)
            })
            .map(|record| record.due + record.latency)
            .max()
            .unwrap_or_default();
        let recovery = last.saturating_sub(ramp_end).as_secs_f64();
        let case = self.case;
        report.add(
            case,
            "baseline: p99 before the swing, ms",
            idle_p99.as_secs_f64() * 1e3,
            report::FigureTarget::None,
        );
        report.add(
            case,
            "recovery after the swing, s",
            recovery,
            report::FigureTarget::AtMost(2.0),
        );
    }
}

const fn is_write(number: usize) -> bool {
    number.is_multiple_of(REQUESTS_PER_WRITE)
}

fn stats_of(records: &RequestRecords) -> request_stats::RequestStats {
    let mut stats = request_stats::RequestStats::new();
    for record in records {
        stats.record(record.outcome, record.latency);
    }
    stats
}

async fn run_load(
    pool: &sync::Arc<open_loop::SessionPool>,
    schedule: arrival::ArrivalSchedule,
    start: time::Instant,
    prefix: &str,
) -> RequestRecords {
    let prefix = prefix.to_owned();
    let request = move |number: usize, mut session: session::ClientSession| {
        let id = format!("{prefix}-{number}");
        async move {
            let sql = if is_write(number) {
                format!("/* id={id} */ UPDATE swing SET v = '{number}' WHERE k = '{id}'")
            } else {
                format!("/* id={id} */ SELECT v FROM swing WHERE k = 'x'")
            };
            let outcome = match session.run(&sql).await {
                Ok(_) => request_stats::RequestOutcome::Answered,
                Err(outcome) => outcome,
            };
            (session, outcome)
        }
    };
    open_loop::run(sync::Arc::clone(pool), schedule, start, request).await
}
