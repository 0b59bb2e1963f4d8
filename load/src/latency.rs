//! Measures the latency that one entry and one pool add to a short read, and their throughput.

use std::io;
use std::time;

use crate::{deployment, options, profile, report, request_stats, session};

/// Number of requests after which the measurement alternates between direct and proxied reads, so
/// that other load on the machine affects both alike.
const REQUESTS_PER_TURN: usize = 200;
/// Concurrent sessions through the proxy when throughput is measured.
const PROXY_SESSIONS: usize = 64;
/// Concurrent sessions directly to a replica, which shares its few connections with the pool.
const DIRECT_SESSIONS: usize = 8;
/// Highest added median latency that meets the target, in microseconds.
const ADDED_LATENCY_TARGET_US: f64 = 250.0;
/// Lowest number of short reads a second that meets the target.
const READS_PER_SECOND_TARGET: f64 = 20_000.0;
const READ_SQL: &str = "SELECT v FROM short WHERE k = 'x'";

/// Reports the cases `added` and `throughput`.
///
/// # Errors
///
/// Fails if the deployment does not start or a read fails.
pub async fn measure(
    options: &options::LoadOptions,
    profile: &profile::DeploymentProfile,
    _seed: u64,
    report: &mut report::FigureReport,
) -> io::Result<()> {
    let duration = time::Duration::from_secs_f64(options.seconds.unwrap_or(4.0));
    let deployment =
        deployment::LoadDeployment::start(profile, &deployment::DeploymentPlan::default()).await?;
    let login = deployment.login("load");
    let mut writer = session::ClientSession::new(login.clone(), 0);
    run_statement(&mut writer, "INSERT INTO short (k, v) VALUES ('x', 'y')").await?;
    let primary = deployment.primary()?;
    let replica = deployment
        .upstreams()
        .into_iter()
        .find(|upstream| *upstream != primary)
        .unwrap_or_default();
    let direct = deployment.direct_login(&replica)?;
    if options.includes_case("added") {
        let mut sessions = [
            (
                session::ClientSession::new(direct.clone(), 0),
                request_stats::RequestStats::new(),
            ),
            (
                session::ClientSession::new(login.clone(), 0),
                request_stats::RequestStats::new(),
            ),
        ];
        let deadline = time::Instant::now() + duration;
        while time::Instant::now() < deadline {
            for (session, stats) in &mut sessions {
                for _ in 0..REQUESTS_PER_TURN {
                    let started = time::Instant::now();
                    run_statement(session, READ_SQL).await?;
                    stats.record(request_stats::RequestOutcome::Answered, started.elapsed());
                }
            }
        }
        let [(_, direct), (_, proxied)] = &sessions;
        let microseconds = |stats: &request_stats::RequestStats, quantile| {
            stats.quantile(quantile).as_secs_f64() * 1e6
        };
        let (direct_p50, proxied_p50) = (microseconds(direct, 0.5), microseconds(proxied, 0.5));
        report.add(
            "added",
            "direct p50, us",
            direct_p50,
            report::FigureTarget::None,
        );
        report.add(
            "added",
            "proxied p50, us",
            proxied_p50,
            report::FigureTarget::None,
        );
        report.add(
            "added",
            "direct p99, us",
            microseconds(direct, 0.99),
            report::FigureTarget::None,
        );
        report.add(
            "added",
            "proxied p99, us",
            microseconds(proxied, 0.99),
            report::FigureTarget::None,
        );
        let target = report::FigureTarget::AtMost(ADDED_LATENCY_TARGET_US);
        report.add("added", "added p50, us", proxied_p50 - direct_p50, target);
    }
    if options.includes_case("throughput") {
        let direct_p50 = reads_per_second(&direct, DIRECT_SESSIONS, duration).await?;
        report.add(
            "throughput",
            "direct to one replica, reads/s",
            direct_p50,
            report::FigureTarget::None,
        );
        let target = report::FigureTarget::AtLeast(READS_PER_SECOND_TARGET);
        let rate = reads_per_second(&login, PROXY_SESSIONS, duration).await?;
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

async fn run_statement(session: &mut session::ClientSession, sql: &str) -> io::Result<()> {
    match session.run(sql).await {
        Ok(_) => Ok(()),
        Err(end) => Err(io::Error::other(format!("{sql}: {end:?}"))),
    }
}

async fn reads_per_second(
    login: &session::ClientLogin,
    sessions: usize,
    duration: time::Duration,
) -> io::Result<f64> {
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..sessions {
        let login = login.clone();
        tasks.spawn(async move {
            let mut session = session::ClientSession::new(login, number);
            run_statement(&mut session, READ_SQL).await?;
            let deadline = time::Instant::now() + duration;
            let mut count = 0_u32;
            while time::Instant::now() < deadline {
                run_statement(&mut session, READ_SQL).await?;
                count += 1;
            }
            Ok::<u32, io::Error>(count)
        });
    }
    let mut sum = 0;
    for count in tasks.join_all().await {
        sum += count?;
    }
    Ok(f64::from(sum) / duration.as_secs_f64())
}
