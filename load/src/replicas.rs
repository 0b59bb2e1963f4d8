//! Share of reads on replicas, and stale reads.

use std::io;
use std::sync;
use std::time;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;
use standins::instance::journal;

use crate::{arrival, deployment, options, profile, report, session, tally};

/// Sessions of each case.
const SESSIONS: usize = 40;
/// Requests a second of each session.
const RATE: f64 = 10.0;
/// Part of the requests that write.
const WRITES: f64 = 0.1;
/// Part of the requests after which a roaming session moves.
const MOVES: f64 = 0.1;
/// Lag of replicas in normal operation.
const NORMAL_LAG: time::Duration = time::Duration::from_millis(5);
/// Lag of the slow replica, in milliseconds.
const SLOW_LAG_MS: u64 = 2_000;
const SHARE_TARGET: f64 = 95.0;

/// How the sessions of a case behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Roaming {
    /// Each stays on its entry.
    Stays,
    /// Each moves and carries its position.
    Carries,
    /// Each moves and carries nothing.
    Forgets,
    /// Each names an id at login and keeps two connections.
    NamesId,
    /// Each goes straight to the primary.
    Direct,
}

/// What the sessions of a case saw.
#[derive(Clone, Debug, Default)]
struct CaseTally {
    reads: tally::LatencyTally,
    writes: tally::LatencyTally,
    stale: u64,
}

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
    let span = time::Duration::from_secs_f64(options.seconds.unwrap_or(5.0));
    let plan = deployment::DeploymentPlan {
        delays: true,
        journal: true,
        apply: NORMAL_LAG,
        ..deployment::DeploymentPlan::default()
    };
    let deployment = deployment::LoadDeployment::start(profile, &plan).await?;
    let primary = deployment.primary()?;
    let cases = [
        ("mixed", Roaming::Stays),
        ("roaming with position", Roaming::Carries),
        ("roaming without position", Roaming::Forgets),
        ("named id", Roaming::NamesId),
        ("baseline: all to the primary", Roaming::Direct),
        ("mixed, one replica 2 s behind", Roaming::Stays),
        (
            "roaming with position, one replica 2 s behind",
            Roaming::Carries,
        ),
    ];
    let slow = deployment
        .upstreams()
        .into_iter()
        .find(|upstream| *upstream != primary)
        .unwrap_or_default();
    for (number, (case, roaming)) in cases.into_iter().enumerate() {
        if !options.wants(case) {
            continue;
        }
        if case.contains("behind") {
            deployment
                .admin_set(&slow, "apply_delay_ms", SLOW_LAG_MS)
                .await?;
        }
        let prefix = format!("c{number}r");
        let login = if roaming == Roaming::Direct {
            deployment.direct(&primary)?
        } else {
            deployment.login("load")
        };
        let before = deployment.most_platform_calls().await;
        let tally = run_case(&login, roaming, number, seed, span).await;
        let calls = deployment.most_platform_calls().await - before;
        let (on_replicas, all) = count_reads(&deployment, &prefix)?;
        let share = 100.0 * on_replicas as f64 / (all.max(1)) as f64;
        let normal = !matches!(roaming, Roaming::Direct);
        let target = if normal {
            report::Target::AtLeast(SHARE_TARGET)
        } else {
            report::Target::None
        };
        report.add(case, "reads on replicas, %", share, target);
        report.add(
            case,
            "stale reads",
            tally.stale as f64,
            report::Target::AtMost(0.0),
        );
        let reads = tally.reads.summary();
        let writes = tally.writes.summary();
        let none = report::Target::None;
        report.add(
            case,
            "reads answered",
            tally.reads.count(tally::RequestEnd::Answered) as f64,
            none,
        );
        let other = tally.reads.others() + tally.writes.others();
        report.add(case, "requests not answered", other as f64, none);
        report.add(case, "read p50, ms", reads.p50_ms, none);
        report.add(case, "read p99, ms", reads.p99_ms, none);
        report.add(case, "write p50, ms", writes.p50_ms, none);
        report.add(
            case,
            "platform calls a second, busiest VM",
            calls / span.as_secs_f64(),
            none,
        );
    }
    if let Some(logs) = &options.logs {
        deployment.copy_logs(logs)?;
    }
    Ok(())
}

/// Counts the reads of a case by the journals: those on replicas and all.
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
    login: &session::CallerLogin,
    roaming: Roaming,
    case: usize,
    seed: u64,
    span: time::Duration,
) -> CaseTally {
    let total = sync::Arc::new(sync::Mutex::new(CaseTally::default()));
    let mut tasks = tokio::task::JoinSet::new();
    // Logins are done by then.
    let start = time::Instant::now() + time::Duration::from_secs(1);
    let sessions = if roaming == Roaming::Direct {
        5
    } else {
        SESSIONS
    };
    let rate = RATE * SESSIONS as f64 / sessions as f64;
    for number in 0..sessions {
        let runner = SessionRun {
            login: login.clone(),
            roaming,
            case,
            number,
            rate,
            random: rngs::StdRng::seed_from_u64(seed * 1_000 + number as u64),
        };
        let total = sync::Arc::clone(&total);
        tasks.spawn(async move {
            let tally = runner.run(start, span).await;
            let mut total = total.lock().unwrap_or_else(sync::PoisonError::into_inner);
            total.reads.merge(&tally.reads);
            total.writes.merge(&tally.writes);
            total.stale += tally.stale;
        });
    }
    while tasks.join_next().await.is_some() {}
    let total = total.lock().unwrap_or_else(sync::PoisonError::into_inner);
    total.clone()
}

/// One session of a case.
struct SessionRun {
    login: session::CallerLogin,
    roaming: Roaming,
    case: usize,
    number: usize,
    rate: f64,
    random: rngs::StdRng,
}

impl SessionRun {
    async fn run(mut self, start: time::Instant, span: time::Duration) -> CaseTally {
        let mut tally = CaseTally::default();
        let phases = vec![arrival::ArrivalPhase {
            length: span,
            rate: self.rate,
        }];
        let plan = arrival::ArrivalPlan::new(phases, self.random.random());
        let mut sessions = [self.open(0).await, self.open(1).await];
        let mut place = 0;
        let key = format!("c{}s{}", self.case, self.number);
        let (mut written, mut acknowledged) = (0_u64, 0_u64);
        for (turn, due) in plan.enumerate() {
            tokio::time::sleep_until((start + due).into()).await;
            let moves = self.random.random_bool(MOVES);
            match self.roaming {
                Roaming::Stays | Roaming::Direct => {}
                // Such a session uses both connections at random.
                Roaming::NamesId => place = usize::from(self.random.random_bool(0.5)),
                Roaming::Carries if moves => {
                    let position = sessions[place].run("SHOW persimmontack.position").await;
                    place = 1 - place;
                    if let Some(position) = position.ok().and_then(|rows| rows.into_iter().next())
                        && !position.is_empty()
                    {
                        let sql = format!("SET persimmontack.position = '{position}'");
                        if let Err(end) = sessions[place].run(&sql).await {
                            tally.reads.record(end, time::Duration::ZERO);
                        }
                    }
                }
                Roaming::Forgets if moves => {
                    place = 1 - place;
                    sessions[place] = self.open(place).await;
                }
                Roaming::Carries | Roaming::Forgets => {}
            }
            let write = turn == 0 || self.random.random_bool(WRITES);
            let kind = if write { 'w' } else { 'r' };
            let id = format!("c{}{kind}-{}-{turn}", self.case, self.number);
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
            let result = sessions[place].run(&sql).await;
            let latency = start.elapsed().saturating_sub(due);
            let end = match &result {
                Ok(_) => tally::RequestEnd::Answered,
                Err(end) => *end,
            };
            if write {
                tally.writes.record(end, latency);
                if result.is_ok() {
                    acknowledged = written;
                }
                continue;
            }
            tally.reads.record(end, latency);
            if let Ok(rows) = result {
                let seen = rows.first().and_then(|text| text.parse().ok()).unwrap_or(0);
                if seen < acknowledged {
                    tally.stale += 1;
                    eprintln!("stale: id={id} saw {seen}, acknowledged {acknowledged}");
                }
            }
        }
        tally
    }

    async fn open(&self, place: usize) -> session::CallerSession {
        let mut login = self.login.clone();
        if self.roaming == Roaming::NamesId {
            login.options = format!(
                "-c persimmontack.session=load-{}-{}",
                self.case, self.number
            );
        }
        let mut session = session::CallerSession::new(login, self.number + place);
        // A failure shows at the first request.
        let _shown_later = session.client().await;
        session
    }
}
