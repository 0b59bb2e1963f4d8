//! Measures the share of reads that replicas serve, and counts stale reads: those that miss a write
//! already acknowledged to the same client.

use std::io;
use std::sync;
use std::time;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;
use standins::instance::journal;

use crate::{arrival, deployment, options, profile, report, request_stats, session};

/// Number of clients of a case that uses the entries.
const CLIENTS: usize = 40;
/// Arrival rate of the requests of one client.
const REQUESTS_PER_SECOND: f64 = 10.0;
/// Probability that a request is a write.
const WRITE_PROBABILITY: f64 = 0.1;
/// Probability that a client that changes entries does so before a request.
const MOVE_PROBABILITY: f64 = 0.1;
/// Delay of a replica in normal operation.
const NORMAL_REPLICA_DELAY: time::Duration = time::Duration::from_millis(5);
/// Delay of the lagging replica, in milliseconds.
const LAGGING_REPLICA_DELAY_MS: u64 = 2_000;
const REPLICA_READS_TARGET_PERCENT: f64 = 95.0;

/// How the clients of a case connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectMode {
    /// Each client stays on its entry.
    OneEntry,
    /// Each client changes entries and passes its session position on to the new one.
    PassesPosition,
    /// Each client changes entries with a new connection and passes no session position on.
    DropsPosition,
    /// Each client gives a session id at login and uses two connections at random.
    NamedSession,
    /// Each client connects to the primary, without the proxy.
    PrimaryOnly,
}

/// Requests of the clients of a case.
#[derive(Clone, Debug, Default)]
struct CaseStats {
    reads: request_stats::RequestStats,
    writes: request_stats::RequestStats,
    stale_reads: u64,
}

/// Reports one case for each way to connect, and two with a lagging replica.
///
/// # Errors
///
/// Fails if the deployment does not start or a journal cannot be read.
pub async fn measure(
    options: &options::LoadOptions,
    profile: &profile::DeploymentProfile,
    seed: u64,
    report: &mut report::FigureReport,
) -> io::Result<()> {
    let duration = time::Duration::from_secs_f64(options.seconds.unwrap_or(5.0));
    let plan = deployment::DeploymentPlan {
        with_delays: true,
        journal_statements: true,
        apply_delay: NORMAL_REPLICA_DELAY,
        ..deployment::DeploymentPlan::default()
    };
    let deployment = deployment::LoadDeployment::start(profile, &plan).await?;
    let primary = deployment.primary()?;
    let cases = [
        ("mixed", ConnectMode::OneEntry),
        ("roaming with position", ConnectMode::PassesPosition),
        ("roaming without position", ConnectMode::DropsPosition),
        ("named id", ConnectMode::NamedSession),
        ("baseline: all to the primary", ConnectMode::PrimaryOnly),
        ("mixed, one replica 2 s behind", ConnectMode::OneEntry),
        (
            "roaming with position, one replica 2 s behind",
            ConnectMode::PassesPosition,
        ),
    ];
    let lagging = deployment
        .upstreams()
        .into_iter()
        .find(|upstream| *upstream != primary)
        .unwrap_or_default();
    for (number, (case, mode)) in cases.into_iter().enumerate() {
        if !options.includes_case(case) {
            continue;
        }
        if case.contains("behind") {
            deployment
                .admin_set(&lagging, "apply_delay_ms", LAGGING_REPLICA_DELAY_MS)
                .await?;
        }
        let prefix = format!("c{number}r");
        let login = if mode == ConnectMode::PrimaryOnly {
            deployment.direct_login(&primary)?
        } else {
            deployment.login("load")
        };
        let calls_before = deployment.platform_calls_of_busiest_vm().await;
        let stats = run_case(&login, mode, number, seed, duration).await;
        let calls = deployment.platform_calls_of_busiest_vm().await - calls_before;
        let (on_replicas, all) = count_reads(&deployment, &prefix)?;
        let share = 100.0 * on_replicas as f64 / (all.max(1)) as f64;
        let through_proxy = !matches!(mode, ConnectMode::PrimaryOnly);
        let target = if through_proxy {
            report::FigureTarget::AtLeast(REPLICA_READS_TARGET_PERCENT)
        } else {
            report::FigureTarget::None
        };
        report.add(case, "reads on replicas, %", share, target);
        report.add(
            case,
            "stale reads",
            stats.stale_reads as f64,
            report::FigureTarget::AtMost(0.0),
        );
        let reads = stats.reads.summary();
        let writes = stats.writes.summary();
        let none = report::FigureTarget::None;
        report.add(
            case,
            "reads answered",
            stats.reads.count(request_stats::RequestOutcome::Answered) as f64,
            none,
        );
        let unanswered = stats.reads.unanswered() + stats.writes.unanswered();
        report.add(case, "requests not answered", unanswered as f64, none);
        report.add(case, "read p50, ms", reads.p50_ms, none);
        report.add(case, "read p99, ms", reads.p99_ms, none);
        report.add(case, "write p50, ms", writes.p50_ms, none);
        report.add(
            case,
            "platform calls a second, busiest VM",
            calls / duration.as_secs_f64(),
            none,
        );
    }
    if let Some(logs) = &options.logs {
        deployment.copy_logs(logs)?;
    }
    Ok(())
}

/// Counts the reads whose id starts with `prefix` in the journals; returns the number on replicas
/// and the total.
fn count_reads(deployment: &deployment::LoadDeployment, prefix: &str) -> io::Result<(u64, u64)> {
    let (mut on_replicas, mut all) = (0, 0);
    for (_, events) in deployment.journals()? {
        for event in events {
            if let journal::JournalEvent::Statement {
                id: Some(id), term, ..
            } = event
                && id.starts_with(prefix)
            {
                all += 1;
                on_replicas += u64::from(term.is_none());
            }
        }
    }
    Ok((on_replicas, all))
}

async fn run_case(
    login: &session::ClientLogin,
    mode: ConnectMode,
    case: usize,
    seed: u64,
    duration: time::Duration,
) -> CaseStats {
    let case_stats = sync::Arc::new(sync::Mutex::new(CaseStats::default()));
    let mut tasks = tokio::task::JoinSet::new();
    // Leaves time for the logins.
    let start = time::Instant::now() + time::Duration::from_secs(1);
    let clients = if mode == ConnectMode::PrimaryOnly {
        5
    } else {
        CLIENTS
    };
    let rate = REQUESTS_PER_SECOND * CLIENTS as f64 / clients as f64;
    for number in 0..clients {
        let client = ClientRun {
            login: login.clone(),
            mode,
            case,
            number,
            rate,
            random: rngs::StdRng::seed_from_u64(seed * 1_000 + number as u64),
        };
        let case_stats = sync::Arc::clone(&case_stats);
        tasks.spawn(async move {
            let stats = client.run(start, duration).await;
            let mut case_stats = case_stats
                .lock()
                .unwrap_or_else(sync::PoisonError::into_inner);
            case_stats.reads.merge(&stats.reads);
            case_stats.writes.merge(&stats.writes);
            case_stats.stale_reads += stats.stale_reads;
        });
    }
    while tasks.join_next().await.is_some() {}
    let case_stats = case_stats
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner);
    case_stats.clone()
}

/// One client of a case, with its two sessions.
struct ClientRun {
    login: session::ClientLogin,
    mode: ConnectMode,
    case: usize,
    number: usize,
    rate: f64,
    random: rngs::StdRng,
}

impl ClientRun {
    async fn run(mut self, start: time::Instant, duration: time::Duration) -> CaseStats {
        let mut stats = CaseStats::default();
        let phases = vec![arrival::ArrivalPhase {
            duration,
            rate: self.rate,
        }];
        let schedule = arrival::ArrivalSchedule::new(phases, self.random.random());
        let mut sessions = [self.open(0).await, self.open(1).await];
        let mut index = 0;
        let key = format!("c{}s{}", self.case, self.number);
        let (mut written, mut acknowledged) = (0_u64, 0_u64);
        for (request, due) in schedule.enumerate() {
            tokio::time::sleep_until((start + due).into()).await;
            let moves = self.random.random_bool(MOVE_PROBABILITY);
            match self.mode {
                ConnectMode::OneEntry | ConnectMode::PrimaryOnly => {}
                ConnectMode::NamedSession => index = usize::from(self.random.random_bool(0.5)),
                ConnectMode::PassesPosition if moves => {
                    let position = sessions[index].run("SHOW persimmontack.position").await;
                    index = 1 - index;
                    if let Some(position) = position.ok().and_then(|rows| rows.into_iter().next())
                        && !position.is_empty()
                    {
                        let sql = format!("SET persimmontack.position = '{position}'");
                        if let Err(outcome) = sessions[index].run(&sql).await {
                            stats.reads.record(outcome, time::Duration::ZERO);
                        }
                    }
                }
                ConnectMode::DropsPosition if moves => {
                    index = 1 - index;
                    sessions[index] = self.open(index).await;
                }
                ConnectMode::PassesPosition | ConnectMode::DropsPosition => {}
            }
            let write = request == 0 || self.random.random_bool(WRITE_PROBABILITY);
            let kind = if write { 'w' } else { 'r' };
            let id = format!("c{}{kind}-{}-{request}", self.case, self.number);
            let sql = if write {
                written += 1;
                if written == 1 {
                    format!("/* id={id} */ INSERT INTO roam (k, v) VALUES ('{key}', '1')")
                } else {
                    format!("/* id={id} */ UPDATE roam SET v = '{written}' WHERE k = '{key}'")
                }
            } else {
                format!("/* id={id} */ SELECT v FROM roam WHERE k = '{key}'")
            };
            let result = sessions[index].run(&sql).await;
            let latency = start.elapsed().saturating_sub(due);
            let outcome = match &result {
                Ok(_) => request_stats::RequestOutcome::Answered,
                Err(outcome) => *outcome,
            };
            if write {
                stats.writes.record(outcome, latency);
                if result.is_ok() {
                    acknowledged = written;
                }
                continue;
            }
            stats.reads.record(outcome, latency);
            if let Ok(rows) = result {
                let returned = rows.first().and_then(|text| text.parse().ok()).unwrap_or(0);
                if returned < acknowledged {
                    stats.stale_reads += 1;
                    eprintln!(
                        "stale read: id={id} returned {returned}, expected at least {acknowledged}"
                    );
                }
            }
        }
        stats
    }

    async fn open(&self, index: usize) -> session::ClientSession {
        let mut login = self.login.clone();
        if self.mode == ConnectMode::NamedSession {
            login.options = format!(
                "-c persimmontack.session=load-{}-{}",
                self.case, self.number
            );
        }
        let mut session = session::ClientSession::new(login, self.number + index);
        // If this fails, the first request tries again and returns the error.
        let _retried_later = session.connection().await;
        session
    }
}
