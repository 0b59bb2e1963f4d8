//! Measures how long service is interrupted when the primary fails, and counts promotions while a
//! slow primary is alive.

use std::collections;
use std::io;
use std::sync;
use std::time;

use standins::instance::journal;
use standins::platform::fault_plan;

use crate::{
    arrival, deployment, open_loop, options, process_log, profile, report, request_stats, session,
};

/// Time for which a statement occupies a slot.
const STATEMENT_TIME: time::Duration = time::Duration::from_millis(5);
/// Arrival rate of writes: four fifths of the 500 writes a second that the three slots of a primary
/// run.
const WRITES_PER_SECOND: f64 = 400.0;
/// Arrival rate of reads: two thirds of what the one replica that remains after the failure runs.
const READS_PER_SECOND: f64 = 350.0;
/// Number of sessions for writes. A write that the proxy holds during the failover occupies its
/// session.
const WRITE_SESSIONS: usize = 900;
/// Number of sessions for reads.
const READ_SESSIONS: usize = 400;
/// Duration of the load before the failure.
const TIME_BEFORE_FAILURE: time::Duration = time::Duration::from_secs(2);
/// Duration of the load after the failure.
const TIME_AFTER_FAILURE: time::Duration = time::Duration::from_secs(4);
/// Longest time without an answered read that meets the target. At [`READS_PER_SECOND`], a read
/// arrives every 2.9 ms on average.
const READ_INTERRUPTION_TARGET_MS: f64 = 100.0;

/// How the primary fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailureKind {
    /// The process is killed and restarted afterwards.
    Kill,
    /// The process is stopped by SIGSTOP and continued afterwards.
    Freeze,
    /// The network link to the primary is cut and restored afterwards.
    Cut,
}

/// Reports one case for each failure, a summary of all, and the case of a slow primary.
///
/// # Errors
///
/// Fails if the deployment does not start or a failed upstream cannot be restored.
pub async fn measure(
    options: &options::LoadOptions,
    profile: &profile::DeploymentProfile,
    seed: u64,
    report: &mut report::FigureReport,
) -> io::Result<()> {
    let plan = deployment::DeploymentPlan {
        with_delays: true,
        journal_statements: true,
        statement_time: STATEMENT_TIME,
        apply_delay: time::Duration::from_millis(5),
        ..deployment::DeploymentPlan::default()
    };
    let mut deployment = deployment::LoadDeployment::start(profile, &plan).await?;
    let login = deployment.login("load");
    let write_pool = sync::Arc::new(open_loop::SessionPool::new(&login, WRITE_SESSIONS));
    let read_pool = sync::Arc::new(open_loop::SessionPool::new(&login, READ_SESSIONS));
    for pool in [&write_pool, &read_pool] {
        pool.connect_all()
            .await
            .map_err(|outcome| io::Error::other(format!("login failed: {outcome:?}")))?;
    }
    let cases = [
        ("kill", FailureKind::Kill, false),
        ("freeze", FailureKind::Freeze, false),
        ("cut", FailureKind::Cut, false),
        ("kill, platform down", FailureKind::Kill, true),
        ("freeze, platform down", FailureKind::Freeze, true),
    ];
    let mut interruptions_ms = Vec::new();
    for (number, (case, failure_kind, platform_down)) in cases.into_iter().enumerate() {
        if !options.includes_case(case) {
            continue;
        }
        let run = FailureRun {
            profile,
            case,
            number,
            failure_kind,
            platform_down,
            seed,
        };
        interruptions_ms.push(
            run.run(&mut deployment, &write_pool, &read_pool, report)
                .await?,
        );
    }
    if !interruptions_ms.is_empty() {
        interruptions_ms.sort_by(f64::total_cmp);
        let median = interruptions_ms[interruptions_ms.len() / 2];
        let worst = interruptions_ms.last().copied().unwrap_or_default();
        report.add(
            "all",
            "write gap median, ms",
            median,
            report::FigureTarget::AtMost(1_000.0),
        );
        report.add(
            "all",
            "write gap worst, ms",
            worst,
            report::FigureTarget::AtMost(2_000.0),
        );
    }
    if options.includes_case("slow primary") {
        measure_slow_primary(options, &deployment, &read_pool, report).await?;
    }
    if let Some(logs) = &options.logs {
        deployment.copy_logs(logs)?;
    }
    Ok(())
}

/// Counts promotions while the primary is slow but alive, all of which are false.
async fn measure_slow_primary(
    options: &options::LoadOptions,
    deployment: &deployment::LoadDeployment,
    read_pool: &sync::Arc<open_loop::SessionPool>,
    report: &mut report::FigureReport,
) -> io::Result<()> {
    let duration = time::Duration::from_secs_f64(options.seconds.unwrap_or(15.0));
    let primary = deployment.primary()?;
    let promotions = |deployment: &deployment::LoadDeployment| -> io::Result<usize> {
        let journals = deployment.journals()?;
        let events = journals.iter().flat_map(|(_, events)| events);
        Ok(events
            .filter(|event| matches!(event, journal::JournalEvent::Promote { .. }))
            .count())
    };
    let before = promotions(deployment)?;
    deployment
        .admin_set(&primary, "statement_us", 700_000)
        .await?;
    for upstream in deployment.upstreams() {
        deployment
            .admin_set(&upstream, "apply_delay_ms", 2_000)
            .await?;
    }
    let phases = vec![arrival::ArrivalPhase {
        duration,
        rate: 40.0,
    }];
    let start = time::Instant::now();
    let sql = |number: usize| format!("UPDATE gap SET v = '{number}' WHERE k = 'slow'");
    let records = run_load(
        read_pool,
        arrival::ArrivalSchedule::new(phases, 7),
        start,
        sql,
    )
    .await;
    let case = "slow primary, 0.7 s a statement, replicas 2 s behind";
    let false_promotions = promotions(deployment)? - before;
    report.add(
        case,
        "false promotions",
        false_promotions as f64,
        report::FigureTarget::AtMost(0.0),
    );
    report.add(
        case,
        "seconds",
        duration.as_secs_f64(),
        report::FigureTarget::None,
    );
    report.add(
        case,
        "writes tried",
        records.len() as f64,
        report::FigureTarget::None,
    );
    deployment.admin_set(&primary, "statement_us", 5_000).await
}

/// One failure of the primary under load.
struct FailureRun<'a> {
    profile: &'a profile::DeploymentProfile,
    case: &'static str,
    number: usize,
    failure_kind: FailureKind,
    platform_down: bool,
    seed: u64,
}

impl FailureRun<'_> {
    async fn run(
        &self,
        deployment: &mut deployment::LoadDeployment,
        write_pool: &sync::Arc<open_loop::SessionPool>,
        read_pool: &sync::Arc<open_loop::SessionPool>,
        report: &mut report::FigureReport,
    ) -> io::Result<f64> {
        let primary = deployment.primary()?;
        if self.platform_down {
            let plan = fault_plan::FaultPlan {
                outage: fault_plan::OutageKind::Hang,
                ..fault_plan::FaultPlan::default()
            };
            deployment.env.set_platform_faults(plan).await?;
        }
        let calls_before = deployment.platform_calls_of_busiest_vm().await;
        let start = time::Instant::now();
        let schedule = |rate, seed| {
            let phases = vec![arrival::ArrivalPhase {
                duration: TIME_BEFORE_FAILURE + TIME_AFTER_FAILURE,
                rate,
            }];
            arrival::ArrivalSchedule::new(phases, seed)
        };
        let case_number = self.number;
        let write = move |number: usize| {
            format!(
                "/* id=f{case_number}w-{number} */ INSERT INTO gap (k, v) VALUES ('f{case_number}w-{number}', '')"
            )
        };
        let read = move |number: usize| {
            format!("/* id=f{case_number}r-{number} */ SELECT v FROM gap WHERE k = 'x'")
        };
        let write_task = tokio::spawn({
            let (pool, schedule) = (
                sync::Arc::clone(write_pool),
                schedule(WRITES_PER_SECOND, self.seed),
            );
            async move { run_load(&pool, schedule, start, write).await }
        });
        let read_task = tokio::spawn({
            let (pool, schedule) = (
                sync::Arc::clone(read_pool),
                schedule(READS_PER_SECOND, self.seed + 100),
            );
            async move { run_load(&pool, schedule, start, read).await }
        });
        tokio::time::sleep_until((start + TIME_BEFORE_FAILURE).into()).await;
        let failed_at_ms = process_log::unix_time_ms();
        let failed = start.elapsed();
        match self.failure_kind {
            FailureKind::Kill => deployment.env.kill(&primary)?,
            FailureKind::Freeze => deployment.env.signal(&primary, "STOP")?,
            FailureKind::Cut => {
                deployment::cut_link(deployment.env.link(&primary, "listen")?, self.profile);
            }
        }
        let (writes, reads) = (
            task_result(write_task).await?,
            task_result(read_task).await?,
        );
        let interruption_ms = self.add_interruptions(failed, &writes, &reads, report);
        let calls = deployment.platform_calls_of_busiest_vm().await - calls_before;
        let rate = calls / (TIME_BEFORE_FAILURE + TIME_AFTER_FAILURE).as_secs_f64();
        report.add(
            self.case,
            "platform calls a second, busiest VM",
            rate,
            report::FigureTarget::None,
        );
        self.add_failover_steps(deployment, failed_at_ms, &primary, report)?;
        self.restore(deployment, &primary).await?;
        Ok(interruption_ms)
    }

    /// Reports how long writes and reads were interrupted, and returns the time for writes in
    /// milliseconds.
    fn add_interruptions(
        &self,
        failed: time::Duration,
        writes: &[open_loop::RequestRecord],
        reads: &[open_loop::RequestRecord],
        report: &mut report::FigureReport,
    ) -> f64 {
        let milliseconds = |duration: time::Duration| duration.as_secs_f64() * 1_000.0;
        let (before, _) = longest_interruption(writes, TIME_BEFORE_FAILURE / 2, failed);
        let (_, recovered) = longest_interruption(writes, failed, failed + TIME_AFTER_FAILURE);
        let interruption_ms = milliseconds(recovered.saturating_sub(failed));
        let none = report::FigureTarget::None;
        report.add(
            self.case,
            "baseline: longest write silence before, ms",
            milliseconds(before),
            none,
        );
        report.add(
            self.case,
            "write gap, ms",
            interruption_ms,
            report::FigureTarget::AtMost(2_000.0),
        );
        let (before, _) = longest_interruption(reads, TIME_BEFORE_FAILURE / 2, failed);
        let (interruption, _) = longest_interruption(
            reads,
            failed,
            failed + TIME_AFTER_FAILURE - time::Duration::from_millis(100),
        );
        report.add(
            self.case,
            "baseline: longest read silence before, ms",
            milliseconds(before),
            none,
        );
        let target = report::FigureTarget::AtMost(READ_INTERRUPTION_TARGET_MS);
        report.add(
            self.case,
            "longest read silence, ms",
            milliseconds(interruption),
            target,
        );
        let mut reads_after = request_stats::RequestStats::new();
        for record in reads.iter().filter(|record| record.due >= failed) {
            reads_after.record(record.outcome, record.latency);
        }
        report.add(
            self.case,
            "reads not answered",
            reads_after.unanswered() as f64,
            none,
        );
        report.add(
            self.case,
            "read p99 after the failure, ms",
            reads_after.summary().p99_ms,
            none,
        );
        report.add(
            self.case,
            "read max after the failure, ms",
            reads_after.summary().max_ms,
            none,
        );
        let mut outcomes = collections::BTreeMap::<request_stats::RequestOutcome, u64>::new();
        for record in writes.iter().filter(|record| record.due >= failed) {
            *outcomes.entry(record.outcome).or_default() += 1;
        }
        let refused_writes = outcomes
            .get(&request_stats::RequestOutcome::NotRun)
            .copied()
            .unwrap_or_default();
        report.add(
            self.case,
            "writes refused",
            refused_writes as f64,
            report::FigureTarget::AtMost(0.0),
        );
        request_stats::print_error_counts(self.case);
        eprintln!(
            "{}: writes after the failure by outcome: {outcomes:?}",
            self.case
        );
        interruption_ms
    }

    /// Reports when the steps of the failover happened, according to the keepers' logs.
    fn add_failover_steps(
        &self,
        deployment: &mut deployment::LoadDeployment,
        failed_at_ms: u64,
        primary: &str,
        report: &mut report::FigureReport,
    ) -> io::Result<()> {
        let lines =
            process_log::lines_since(&mut deployment.env, "persimmon-keeper", failed_at_ms)?;
        let group = format!("group={} ", deployment::GROUP);
        let mut first_seen_ms = collections::BTreeMap::new();
        for line in &lines {
            if !line.text.contains(&group) || line.text.contains("upstream=none") {
                continue;
            }
            let step = [
                "step=fence",
                "step=promote",
                "event=primary_seen",
                "step=follow",
            ]
            .into_iter()
            .find(|step| line.text.contains(step));
            let Some(step) = step else { continue };
            if step == "event=primary_seen" && line.text.contains(&format!("upstream={primary} ")) {
                continue;
            }
            first_seen_ms
                .entry(step)
                .or_insert(line.at_ms - failed_at_ms);
        }
        for (step, name) in [
            ("step=fence", "trace: first fence sent after, ms"),
            ("step=promote", "trace: promotion sent after, ms"),
            ("event=primary_seen", "trace: new primary seen after, ms"),
        ] {
            if let Some(after) = first_seen_ms.get(step) {
                report.add(self.case, name, *after as f64, report::FigureTarget::None);
            }
        }
        Ok(())
    }

    async fn restore(
        &self,
        deployment: &mut deployment::LoadDeployment,
        primary: &str,
    ) -> io::Result<()> {
        if self.platform_down {
            deployment
                .env
                .set_platform_faults(fault_plan::FaultPlan::default())
                .await?;
        }
        match self.failure_kind {
            FailureKind::Kill => deployment.env.restart(primary).await?,
            FailureKind::Freeze => deployment.env.signal(primary, "CONT")?,
            FailureKind::Cut => {
                let link = deployment.env.link(primary, "listen")?;
                link.heal();
                deployment::delay_link(link, self.profile);
            }
        }
        deployment.wait_in_sync().await;
        Ok(())
    }
}

async fn run_load(
    pool: &sync::Arc<open_loop::SessionPool>,
    schedule: arrival::ArrivalSchedule,
    start: time::Instant,
    sql: impl Fn(usize) -> String + Clone + Send + Sync + 'static,
) -> Vec<open_loop::RequestRecord> {
    let request = move |number: usize, mut session: session::ClientSession| {
        let sql = sql(number);
        async move {
            let outcome = match session.run(&sql).await {
                Ok(_) => request_stats::RequestOutcome::Answered,
                Err(outcome) => outcome,
            };
            (session, outcome)
        }
    };
    open_loop::run(sync::Arc::clone(pool), schedule, start, request).await
}

async fn task_result<T>(task: tokio::task::JoinHandle<T>) -> io::Result<T> {
    task.await.map_err(io::Error::other)
}

/// Returns the longest time without an answer between `from` and `until`, and when it ended.
fn longest_interruption(
    records: &[open_loop::RequestRecord],
    from: time::Duration,
    until: time::Duration,
) -> (time::Duration, time::Duration) {
    let mut answers: Vec<_> = records
        .iter()
        .filter(|record| record.outcome == request_stats::RequestOutcome::Answered)
        .map(|record| record.due + record.latency)
        .filter(|at| *at >= from)
        .collect();
    answers.push(until);
    answers.sort();
    let mut previous = from;
    let mut longest = (time::Duration::ZERO, from);
    for at in answers {
        let interruption = at.saturating_sub(previous);
        if interruption > longest.0 && previous < until {
            longest = (interruption, at);
        }
        previous = at;
    }
    longest
}
