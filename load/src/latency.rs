//! Added latency and throughput of one entry and one pool.

use std::io;
use std::time;

use crate::{deployment, options, profile, report, session, tally};

/// Requests of one turn; direct and proxied turns alternate, so that other load on the machine
/// meets both alike.
const TURN: usize = 200;
/// Sessions of the throughput runs.
const SESSIONS: usize = 64;
/// Sessions straight to an instance, which has few connections and shares them with the pool.
const DIRECT_SESSIONS: usize = 8;
/// Added latency that is allowed, in microseconds.
const ADDED_TARGET: f64 = 250.0;
/// Short reads a second that are expected.
const READS_TARGET: f64 = 20_000.0;
const SQL: &str = "SELECT v FROM short WHERE k = 'x'";

/// Runs the measure.
///
/// # Errors
///
/// Fails if the deployment does not start.
pub async fn measure(
    options: &options::LoadOptions,
    profile: &profile::DeploymentProfile,
    _seed: u64,
    report: &mut report::FigureReport,
) -> io::Result<()> {
    let span = time::Duration::from_secs_f64(options.seconds.unwrap_or(4.0));
    let deployment =
        deployment::LoadDeployment::start(profile, &deployment::DeploymentPlan::default()).await?;
    let login = deployment.login("load");
    let mut writer = session::CallerSession::new(login.clone(), 0);
    run(&mut writer, "INSERT INTO short (k, v) VALUES ('x', 'y')").await?;
    let primary = deployment.primary()?;
    let replica = deployment
        .upstreams()
        .into_iter()
        .find(|upstream| *upstream != primary)
        .unwrap_or_default();
    let direct = deployment.direct(&replica)?;
    if options.wants("added") {
        let mut sessions = [
            (
                session::CallerSession::new(direct.clone(), 0),
                tally::LatencyTally::new(),
            ),
            (
                session::CallerSession::new(login.clone(), 0),
                tally::LatencyTally::new(),
            ),
        ];
        let ends = time::Instant::now() + span;
        while time::Instant::now() < ends {
            for (session, tally) in &mut sessions {
                for _ in 0..TURN {
                    let begun = time::Instant::now();
                    run(session, SQL).await?;
                    tally.record(tally::RequestEnd::Answered, begun.elapsed());
                }
            }
        }
        let [(_, direct), (_, proxied)] = &sessions;
        let micros = |tally: &tally::LatencyTally, at| tally.quantile(at).as_secs_f64() * 1e6;
        let (base, through) = (micros(direct, 0.5), micros(proxied, 0.5));
        report.add("added", "direct p50, us", base, report::Target::None);
        report.add("added", "proxied p50, us", through, report::Target::None);
        report.add(
            "added",
            "direct p99, us",
            micros(direct, 0.99),
            report::Target::None,
        );
        report.add(
            "added",
            "proxied p99, us",
            micros(proxied, 0.99),
            report::Target::None,
        );
        let target = report::Target::AtMost(ADDED_TARGET);
        report.add("added", "added p50, us", through - base, target);
    }
    if options.wants("throughput") {
        let base = reads_per_second(&direct, DIRECT_SESSIONS, span).await?;
        report.add(
            "throughput",
            "direct to one replica, reads/s",
            base,
            report::Target::None,
        );
        let target = report::Target::AtLeast(READS_TARGET);
        let rate = reads_per_second(&login, SESSIONS, span).await?;
        report.add(
            "throughput",
            "through entry and pool, reads/s",
            rate,
            target,
        );
    }
    if let Some(logs) = &options.logs {
        deployment.copy_logs(logs)?;
    }
    Ok(())
}

async fn run(session: &mut session::CallerSession, sql: &str) -> io::Result<()> {
    match session.run(sql).await {
        Ok(_) => Ok(()),
        Err(end) => Err(io::Error::other(format!("{sql}: {end:?}"))),
    }
}

async fn reads_per_second(
    login: &session::CallerLogin,
    sessions: usize,
    span: time::Duration,
) -> io::Result<f64> {
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..sessions {
        let login = login.clone();
        tasks.spawn(async move {
            let mut session = session::CallerSession::new(login, number);
            run(&mut session, SQL).await?;
            let ends = time::Instant::now() + span;
            let mut count = 0_u32;
            while time::Instant::now() < ends {
                run(&mut session, SQL).await?;
                count += 1;
            }
            Ok::<u32, io::Error>(count)
        });
    }
    let mut sum = 0;
    for count in tasks.join_all().await {
        sum += count?;
    }
    Ok(f64::from(sum) / span.as_secs_f64())
}
