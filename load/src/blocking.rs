//! Measures how much long statements (exports) slow down short ones, with a rule that marks them as
//! long, without a rule, and with a first-come queue.

use std::collections;
use std::io;
use std::sync;
use std::time;

use crate::{arrival, deployment, open_loop, options, profile, report, request_stats, session};

/// Time for which a short statement occupies a slot.
const SHORT_STATEMENT_TIME: time::Duration = time::Duration::from_millis(5);
/// Time for which an export occupies a slot, in seconds; 100 times that of a short statement.
const EXPORT_SECONDS: f64 = 0.5;
/// Number of sessions that run exports, which is enough to fill every slot of the replicas.
const EXPORT_SESSIONS: usize = 9;
/// Arrival rate of short statements: a fifth of what two replicas run while an export occupies one
/// slot of each.
const SHORT_STATEMENTS_PER_SECOND: f64 = 150.0;
/// Number of sessions for short statements.
const SHORT_STATEMENT_SESSIONS: usize = 400;

/// Reports one case for each way in which the pool treats exports.
///
/// # Errors
///
/// Fails if the deployment does not start or a client cannot log in.
pub async fn measure(
    options: &options::LoadOptions,
    profile: &profile::DeploymentProfile,
    seed: u64,
    report: &mut report::FigureReport,
) -> io::Result<()> {
    let cases = [
        (
            "marked by a rule",
            "long \"SELECT pg_sleep%\" slots=1 # asked for by: load\n",
            false,
        ),
        ("nothing marks them", "", false),
        ("baseline: first_come", "", true),
    ];
    for (case, rules, first_come) in cases {
        if !options.includes_case(case) {
            continue;
        }
        let mut settings = collections::HashMap::new();
        if first_come {
            let text = "[queue]\npolicy = \"first_come\"\n".to_owned();
            settings.insert("persimmon-pool".to_owned(), text);
        }
        let plan = deployment::DeploymentPlan {
            with_delays: true,
            journal_statements: true,
            statement_time: SHORT_STATEMENT_TIME,
            apply_delay: time::Duration::from_millis(5),
            rules: rules.to_owned(),
            settings,
            ..deployment::DeploymentPlan::default()
        };
        run_case(case, &plan, options, profile, seed, report).await?;
    }
    Ok(())
}

async fn run_case(
    case: &str,
    plan: &deployment::DeploymentPlan,
    options: &options::LoadOptions,
    profile: &profile::DeploymentProfile,
    seed: u64,
    report: &mut report::FigureReport,
) -> io::Result<()> {
    let duration = time::Duration::from_secs_f64(options.seconds.unwrap_or(6.0));
    let deployment = deployment::LoadDeployment::start(profile, plan).await?;
    let login = deployment.login("load");
    let pool = sync::Arc::new(open_loop::SessionPool::new(
        &login,
        SHORT_STATEMENT_SESSIONS,
    ));
    pool.connect_all()
        .await
        .map_err(|outcome| io::Error::other(format!("login failed: {outcome:?}")))?;
    let alone = run_short_statements(&pool, seed, duration).await;
    let exports_alone = run_exports(&login, duration).await;
    let calls = deployment.platform_calls_of_busiest_vm().await;
    let (with_exports, exports_with_short) = tokio::join!(
        run_short_statements(&pool, seed + 50, duration),
        run_exports(&login, duration)
    );
    let calls = (deployment.platform_calls_of_busiest_vm().await - calls) / duration.as_secs_f64();
    let (alone, with_exports) = (alone.summary(), with_exports.summary());
    let none = report::FigureTarget::None;
    report.add(case, "baseline: short p50 alone, ms", alone.p50_ms, none);
    report.add(case, "baseline: short p99 alone, ms", alone.p99_ms, none);
    report.add(
        case,
        "short p50 beside exports, ms",
        with_exports.p50_ms,
        none,
    );
    report.add(
        case,
        "short p99 beside exports, ms",
        with_exports.p99_ms,
        none,
    );
    let latency_ratio = with_exports.p99_ms / alone.p99_ms;
    report.add(
        case,
        "short p99, times alone",
        latency_ratio,
        report::FigureTarget::AtMost(1.5),
    );
    report.add(
        case,
        "baseline: exports alone, exports/s",
        exports_alone,
        none,
    );
    report.add(
        case,
        "exports beside short work, exports/s",
        exports_with_short,
        none,
    );
    let speed_ratio = exports_with_short / exports_alone;
    report.add(
        case,
        "export speed, times alone",
        speed_ratio,
        report::FigureTarget::AtLeast(0.5),
    );
    report.add(case, "platform calls a second, busiest VM", calls, none);
    if let Some(logs) = &options.logs {
        deployment.copy_logs(&logs.join(case.replace([' ', ':'], "_")))?;
    }
    Ok(())
}

async fn run_short_statements(
    pool: &sync::Arc<open_loop::SessionPool>,
    seed: u64,
    duration: time::Duration,
) -> request_stats::RequestStats {
    let phases = vec![arrival::ArrivalPhase {
        duration,
        rate: SHORT_STATEMENTS_PER_SECOND,
    }];
    let schedule = arrival::ArrivalSchedule::new(phases, seed);
    let request = |_number: usize, mut session: session::ClientSession| async move {
        let outcome = match session.run("SELECT v FROM short WHERE k = 'x'").await {
            Ok(_) => request_stats::RequestOutcome::Answered,
            Err(outcome) => outcome,
        };
        (session, outcome)
    };
    let start = time::Instant::now();
    let records = open_loop::run(sync::Arc::clone(pool), schedule, start, request).await;
    let mut stats = request_stats::RequestStats::new();
    for record in records {
        stats.record(record.outcome, record.latency);
    }
    stats
}

/// Runs exports back to back in each of [`EXPORT_SESSIONS`] sessions and returns the number
/// completed a second.
async fn run_exports(login: &session::ClientLogin, duration: time::Duration) -> f64 {
    let mut tasks = tokio::task::JoinSet::new();
    let start = time::Instant::now();
    for number in 0..EXPORT_SESSIONS {
        let login = login.clone();
        tasks.spawn(async move {
            let mut session = session::ClientSession::new(login, number);
            let mut completed = 0_u32;
            while start.elapsed() < duration {
                let sql = format!("SELECT pg_sleep({EXPORT_SECONDS})");
                if session.run(&sql).await.is_ok() {
                    completed += 1;
                }
            }
            completed
        });
    }
    let sum: u32 = tasks.join_all().await.into_iter().sum();
    f64::from(sum) / start.elapsed().as_secs_f64()
}
