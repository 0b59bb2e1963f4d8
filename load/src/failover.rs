//! Service gaps when the primary fails, and false promotions.

use std::collections;
use std::io;
use std::sync;
use std::time;

use standins::instance::journal;
use standins::platform::fault_plan;

use crate::{arrival, clock_log, deployment, open_loop, options, profile, report, session, tally};

/// Slot time of each statement.
const STATEMENT: time::Duration = time::Duration::from_millis(5);
/// Writes a second: four fifths of what the three slots of a primary were seen to run (500).
const WRITE_RATE: f64 = 400.0;
/// Reads a second: two thirds of what the one replica that is left after a failure can run.
const READ_RATE: f64 = 350.0;
/// Sessions that write; held writes keep theirs.
const WRITERS: usize = 900;
/// Sessions that read.
const READERS: usize = 400;
/// Load before the failure.
const BEFORE: time::Duration = time::Duration::from_secs(2);
/// Load after the failure.
const AFTER: time::Duration = time::Duration::from_secs(4);
/// A silence among reads counts as a gap from this length on. The reads' mean distance is 2.9 ms.
const READ_GAP_TARGET_MS: f64 = 100.0;

/// How the primary fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    Kill,
    Freeze,
    Cut,
}

/// Runs the measure.
///
/// # Errors
///
/// Fails if the deployment does not start or a failed upstream does not come back.
pub async fn measure(
    options: &options::LoadOptions,
    profile: &profile::DeploymentProfile,
    seed: u64,
    report: &mut report::FigureReport,
) -> io::Result<()> {
    let plan = deployment::DeploymentPlan {
        delays: true,
        journal: true,
        statement: STATEMENT,
        apply: time::Duration::from_millis(5),
        ..deployment::DeploymentPlan::default()
    };
    let mut deployment = deployment::LoadDeployment::start(profile, &plan).await?;
    let login = deployment.login("load");
    let writers = sync::Arc::new(open_loop::SessionPool::new(&login, WRITERS));
    let readers = sync::Arc::new(open_loop::SessionPool::new(&login, READERS));
    for pool in [&writers, &readers] {
        pool.connect_all()
            .await
            .map_err(|end| io::Error::other(format!("logins ended with {end:?}")))?;
    }
    let cases = [
        ("kill", Failure::Kill, false),
        ("freeze", Failure::Freeze, false),
        ("cut", Failure::Cut, false),
        ("kill, platform down", Failure::Kill, true),
        ("freeze, platform down", Failure::Freeze, true),
    ];
    let mut gaps = Vec::new();
    for (number, (case, failure, platform_down)) in cases.into_iter().enumerate() {
        if !options.wants(case) {
            continue;
        }
        let run = FailureRun {
            profile,
            case,
            number,
            failure,
            platform_down,
            seed,
        };
        gaps.push(run.run(&mut deployment, &writers, &readers, report).await?);
    }
    if !gaps.is_empty() {
        gaps.sort_by(f64::total_cmp);
        let median = gaps[gaps.len() / 2];
        let worst = gaps.last().copied().unwrap_or_default();
        report.add(
            "all",
            "write gap median, ms",
            median,
            report::Target::AtMost(1_000.0),
        );
        report.add(
            "all",
            "write gap worst, ms",
            worst,
            report::Target::AtMost(2_000.0),
        );
    }
    if options.wants("slow primary") {
        slow_primary(options, &deployment, &readers, report).await?;
    }
    if let Some(logs) = &options.logs {
        deployment.copy_logs(logs)?;
    }
    Ok(())
}

/// Runs a long span with a primary that is slow but alive and counts promotions.
async fn slow_primary(
    options: &options::LoadOptions,
    deployment: &deployment::LoadDeployment,
    readers: &sync::Arc<open_loop::SessionPool>,
    report: &mut report::FigureReport,
) -> io::Result<()> {
    let span = time::Duration::from_secs_f64(options.seconds.unwrap_or(15.0));
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
        length: span,
        rate: 40.0,
    }];
    let start = time::Instant::now();
    let sql = |number: usize| format!("UPDATE gap SET v = '{number}' WHERE k = 'slow'");
    let records = drive(readers, arrival::ArrivalPlan::new(phases, 7), start, sql).await;
    let case = "slow primary, 0.7 s a statement, replicas 2 s behind";
    let found = promotions(deployment)? - before;
    report.add(
        case,
        "false promotions",
        found as f64,
        report::Target::AtMost(0.0),
    );
    report.add(case, "seconds", span.as_secs_f64(), report::Target::None);
    report.add(
        case,
        "writes tried",
        records.len() as f64,
        report::Target::None,
    );
    deployment.admin_set(&primary, "statement_us", 5_000).await
}

/// One failure under load.
struct FailureRun<'a> {
    profile: &'a profile::DeploymentProfile,
    case: &'static str,
    number: usize,
    failure: Failure,
    platform_down: bool,
    seed: u64,
}

impl FailureRun<'_> {
    async fn run(
        &self,
        deployment: &mut deployment::LoadDeployment,
        writers: &sync::Arc<open_loop::SessionPool>,
        readers: &sync::Arc<open_loop::SessionPool>,
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
        let calls_before = deployment.most_platform_calls().await;
        let start = time::Instant::now();
        let plan = |rate, seed| {
            let phases = vec![arrival::ArrivalPhase {
                length: BEFORE + AFTER,
                rate,
            }];
            arrival::ArrivalPlan::new(phases, seed)
        };
        let case = self.number;
        let write = move |number: usize| {
            format!(
                "/* id=f{case}w-{number} */ INSERT INTO gap (k, v) VALUES ('f{case}w-{number}', '')"
            )
        };
        let read = move |number: usize| {
            format!("/* id=f{case}r-{number} */ SELECT v FROM gap WHERE k = 'x'")
        };
        let writing = tokio::spawn({
            let (pool, plan) = (sync::Arc::clone(writers), plan(WRITE_RATE, self.seed));
            async move { drive(&pool, plan, start, write).await }
        });
        let reading = tokio::spawn({
            let (pool, plan) = (sync::Arc::clone(readers), plan(READ_RATE, self.seed + 100));
            async move { drive(&pool, plan, start, read).await }
        });
        tokio::time::sleep_until((start + BEFORE).into()).await;
        let at_ms = clock_log::now_ms();
        let failed = start.elapsed();
        match self.failure {
            Failure::Kill => deployment.env.kill(&primary)?,
            Failure::Freeze => deployment.env.signal(&primary, "STOP")?,
            Failure::Cut => {
                deployment::cut_link(deployment.env.link(&primary, "listen")?, self.profile);
            }
        }
        let (writes, reads) = (join(writing).await?, join(reading).await?);
        let gap = self.add_gaps(failed, &writes, &reads, report);
        let calls = deployment.most_platform_calls().await - calls_before;
        let rate = calls / (BEFORE + AFTER).as_secs_f64();
        report.add(
            self.case,
            "platform calls a second, busiest VM",
            rate,
            report::Target::None,
        );
        self.print_trace(deployment, at_ms, &primary, report)?;
        self.heal(deployment, &primary).await?;
        Ok(gap)
    }

    fn add_gaps(
        &self,
        failed: time::Duration,
        writes: &[open_loop::RequestRecord],
        reads: &[open_loop::RequestRecord],
        report: &mut report::FigureReport,
    ) -> f64 {
        let millis = |duration: time::Duration| duration.as_secs_f64() * 1_000.0;
        let (before, _) = longest_silence(writes, BEFORE / 2, failed);
        let (_, back) = longest_silence(writes, failed, failed + AFTER);
        let gap = millis(back.saturating_sub(failed));
        let none = report::Target::None;
        report.add(
            self.case,
            "baseline: longest write silence before, ms",
            millis(before),
            none,
        );
        report.add(
            self.case,
            "write gap, ms",
            gap,
            report::Target::AtMost(2_000.0),
        );
        let (before, _) = longest_silence(reads, BEFORE / 2, failed);
        let (silence, _) = longest_silence(
            reads,
            failed,
            failed + AFTER - time::Duration::from_millis(100),
        );
        report.add(
            self.case,
            "baseline: longest read silence before, ms",
            millis(before),
            none,
        );
        let target = report::Target::AtMost(READ_GAP_TARGET_MS);
        report.add(
            self.case,
            "longest read silence, ms",
            millis(silence),
            target,
        );
        let mut late = tally::LatencyTally::new();
        for record in reads.iter().filter(|record| record.due >= failed) {
            late.record(record.end, record.latency);
        }
        report.add(self.case, "reads not answered", late.others() as f64, none);
        report.add(
            self.case,
            "read p99 after the failure, ms",
            late.summary().p99_ms,
            none,
        );
        report.add(
            self.case,
            "read max after the failure, ms",
            late.summary().max_ms,
            none,
        );
        let mut ends = collections::BTreeMap::<tally::RequestEnd, u64>::new();
        for record in writes.iter().filter(|record| record.due >= failed) {
            *ends.entry(record.end).or_default() += 1;
        }
        let refused = ends
            .get(&tally::RequestEnd::NotRun)
            .copied()
            .unwrap_or_default();
        report.add(
            self.case,
            "writes refused",
            refused as f64,
            report::Target::AtMost(0.0),
        );
        tally::print_texts(self.case);
        eprintln!("{}: writes after the failure by end: {ends:?}", self.case);
        gap
    }

    /// Prints which part of the gap each step took.
    fn print_trace(
        &self,
        deployment: &mut deployment::LoadDeployment,
        at_ms: u64,
        primary: &str,
        report: &mut report::FigureReport,
    ) -> io::Result<()> {
        let lines = clock_log::lines_since(&mut deployment.env, "persimmon-keeper", at_ms)?;
        let group = format!("group={} ", deployment::GROUP);
        let mut first = collections::BTreeMap::new();
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
            first.entry(step).or_insert(line.at - at_ms);
        }
        for (step, name) in [
            ("step=fence", "trace: first fence sent after, ms"),
            ("step=promote", "trace: promotion sent after, ms"),
            ("event=primary_seen", "trace: new primary seen after, ms"),
        ] {
            if let Some(after) = first.get(step) {
                report.add(self.case, name, *after as f64, report::Target::None);
            }
        }
        Ok(())
    }

    async fn heal(
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
        match self.failure {
            Failure::Kill => deployment.env.restart(primary).await?,
            Failure::Freeze => deployment.env.signal(primary, "CONT")?,
            Failure::Cut => {
                let link = deployment.env.link(primary, "listen")?;
                link.heal();
                deployment::delay_link(link, self.profile);
            }
        }
        deployment.wait_level().await;
        Ok(())
    }
}

async fn drive(
    pool: &sync::Arc<open_loop::SessionPool>,
    plan: arrival::ArrivalPlan,
    start: time::Instant,
    sql: impl Fn(usize) -> String + Clone + Send + Sync + 'static,
) -> Vec<open_loop::RequestRecord> {
    let request = move |number: usize, mut session: session::CallerSession| {
        let sql = sql(number);
        async move {
            let end = match session.run(&sql).await {
                Ok(_) => tally::RequestEnd::Answered,
                Err(end) => end,
            };
            (session, end)
        }
    };
    open_loop::run(sync::Arc::clone(pool), plan, start, request).await
}

async fn join<T>(task: tokio::task::JoinHandle<T>) -> io::Result<T> {
    task.await.map_err(io::Error::other)
}

/// Returns the longest time without an answer in a span and when it ended.
fn longest_silence(
    records: &[open_loop::RequestRecord],
    from: time::Duration,
    until: time::Duration,
) -> (time::Duration, time::Duration) {
    let mut answers: Vec<_> = records
        .iter()
        .filter(|record| record.end == tally::RequestEnd::Answered)
        .map(|record| record.due + record.latency)
        .filter(|at| *at >= from)
        .collect();
    answers.push(until);
    answers.sort();
    let mut last = from;
    let mut longest = (time::Duration::ZERO, from);
    for at in answers {
        let silence = at.saturating_sub(last);
        if silence > longest.0 && last < until {
            longest = (silence, at);
        }
        last = at;
    }
    longest
}
