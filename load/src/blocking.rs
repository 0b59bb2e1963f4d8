//! Short work beside long work.

use std::collections;
use std::io;
use std::sync;
use std::time;

use crate::{arrival, deployment, open_loop, options, profile, report, session, tally};

/// Slot time of short statements.
const SHORT: time::Duration = time::Duration::from_millis(5);
/// Time that an export holds its slot, in seconds: 100 times a short statement.
const EXPORT_SECONDS: f64 = 0.5;
/// Exports running at a time, enough to fill every slot of the replicas.
const EXPORTERS: usize = 9;
/// Short requests a second: a fifth of what two replicas run with one slot taken by exports each.
const SHORT_RATE: f64 = 150.0;
/// Sessions of the short work.
const SESSIONS: usize = 400;

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
        if !options.wants(case) {
            continue;
        }
        let mut settings = collections::HashMap::new();
        if first_come {
            let text = "[queue]\npolicy = \"first_come\"\n".to_owned();
            settings.insert("persimmon-pool".to_owned(), text);
        }
        let plan = deployment::DeploymentPlan {
            delays: true,
            journal: true,
            statement: SHORT,
            apply: time::Duration::from_millis(5),
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
    let span = time::Duration::from_secs_f64(options.seconds.unwrap_or(6.0));
    let deployment = deployment::LoadDeployment::start(profile, plan).await?;
    let login = deployment.login("load");
    let pool = sync::Arc::new(open_loop::SessionPool::new(&login, SESSIONS));
    pool.connect_all()
        .await
        .map_err(|end| io::Error::other(format!("logins ended with {end:?}")))?;
    let alone = short_work(&pool, seed, span).await;
    let exports_alone = exports(&login, span).await;
    let calls = deployment.most_platform_calls().await;
    let (beside, exports_beside) =
        tokio::join!(short_work(&pool, seed + 50, span), exports(&login, span));
    let calls = (deployment.most_platform_calls().await - calls) / span.as_secs_f64();
    let (alone, beside) = (alone.summary(), beside.summary());
    let none = report::Target::None;
    report.add(case, "baseline: short p50 alone, ms", alone.p50_ms, none);
    report.add(case, "baseline: short p99 alone, ms", alone.p99_ms, none);
    report.add(case, "short p50 beside exports, ms", beside.p50_ms, none);
    report.add(case, "short p99 beside exports, ms", beside.p99_ms, none);
    let ratio = beside.p99_ms / alone.p99_ms;
    report.add(
        case,
        "short p99, times alone",
        ratio,
        report::Target::AtMost(1.5),
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
        exports_beside,
        none,
    );
    let speed = exports_beside / exports_alone;
    report.add(
        case,
        "export speed, times alone",
        speed,
        report::Target::AtLeast(0.5),
    );
    report.add(case, "platform calls a second, busiest VM", calls, none);
    if let Some(logs) = &options.logs {
        deployment.copy_logs(&logs.join(case.replace([' ', ':'], "_")))?;
    }
    Ok(())
}

async fn short_work(
    pool: &sync::Arc<open_loop::SessionPool>,
    seed: u64,
    span: time::Duration,
) -> tally::LatencyTally {
    let phases = vec![arrival::ArrivalPhase {
        length: span,
        rate: SHORT_RATE,
    }];
    let plan = arrival::ArrivalPlan::new(phases, seed);
    let request = |_number: usize, mut session: session::CallerSession| async move {
        let end = match session.run("SELECT v FROM short WHERE k = 'x'").await {
            Ok(_) => tally::RequestEnd::Answered,
            Err(end) => end,
        };
        (session, end)
    };
    let start = time::Instant::now();
    let records = open_loop::run(sync::Arc::clone(pool), plan, start, request).await;
    let mut tally = tally::LatencyTally::new();
    for record in records {
        tally.record(record.end, record.latency);
    }
    tally
}

/// Runs exports one after another in each of several sessions and returns how many finish a
/// second.
async fn exports(login: &session::CallerLogin, span: time::Duration) -> f64 {
    let mut tasks = tokio::task::JoinSet::new();
    let start = time::Instant::now();
    for number in 0..EXPORTERS {
        let login = login.clone();
        tasks.spawn(async move {
            let mut session = session::CallerSession::new(login, number);
            let mut finished = 0_u32;
            while start.elapsed() < span {
                let sql = format!("SELECT pg_sleep({EXPORT_SECONDS})");
                if session.run(&sql).await.is_ok() {
                    finished += 1;
                }
            }
            finished
        });
    }
    let sum: u32 = tasks.join_all().await.into_iter().sum();
    f64::from(sum) / start.elapsed().as_secs_f64()
}
