//! Reads outside a transaction: the choice of the upstream, second attempts and the time limit.

use std::pin;
use std::rc;
use std::time;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::model::{ids, log_position};
use crate::node::{answers, attempt, board, choose, config, edge, group, journal, limits, pool};

type RunningAttempt = pin::Pin<Box<dyn Future<Output = (ids::UpstreamId, attempt::AttemptEnd)>>>;

/// What a read has to see, and where it may go.
#[derive(Debug)]
pub struct ReadPlan {
    /// The group that holds the database.
    pub group: rc::Rc<group::GroupState>,
    /// What the configuration says of the database.
    pub route: config::DatabaseRoute,
    /// When the read arrived, by [`edge::NodeEdge::boot_time`].
    pub arrival: time::Duration,
    /// Position of the session's last commit.
    pub written: Option<log_position::LogPosition>,
}

impl ReadPlan {
    /// Returns the position that the read has to see, or `None` if only the primary will do.
    #[must_use]
    pub fn min_position(&self) -> Option<log_position::LogPosition> {
        match self.route.policy {
            config::ReadPolicy::Latest => None,
            config::ReadPolicy::Aged(age) => self.group.floor(self.arrival, age),
            config::ReadPolicy::Session(age) => {
                let min_position = self.group.floor(self.arrival, age)?;
                Some(
                    self.written
                        .map_or(min_position, |written| written.max(min_position)),
                )
            }
        }
    }

    /// Chooses the upstream for the next attempt, and the position to ask it for; the primary
    /// proves that it leads instead. Nothing is chosen if no upstream can serve the read now.
    pub fn choose<E: edge::NodeEdge>(
        &self,
        board: &board::NodeBoard<E>,
        tried: &[ids::UpstreamId],
    ) -> Option<(
        rc::Rc<pool::UpstreamPool<E>>,
        Option<log_position::LogPosition>,
    )> {
        let min_position = self.min_position();
        let now = board::steady_now();
        let mut pools = board.pools_of(&self.group.group);
        if min_position.is_none() {
            pools.retain(|pool| self.group.is_primary(pool.upstream()));
        }
        let candidates: Vec<_> = pools
            .iter()
            .map(|pool| {
                let health = pool.health.get();
                let primary = self.group.is_primary(pool.upstream());
                let (remote, leaving) = pool.read_entry(|entry| {
                    (entry.data_centre != board.own.data_centre, entry.leaving)
                });
                // A primary that is leaving still serves what only it can serve.
                let unusable = leaving && min_position.is_some();
                let lagging = !primary && pool.lagged(now);
                choose::ReadCandidate {
                    remote,
                    avoid: unusable || health.is_suspect(now) || lagging || pool.is_shut(),
                    tried: tried.contains(pool.upstream()),
                    load: health.running() + pool.waiting(),
                    usual: health.usual(),
                }
            })
            .collect();
        let pool = pools.swap_remove(choose::choose_read(&candidates)?);
        let min_position = min_position.filter(|_| !self.group.is_primary(pool.upstream()));
        Some((pool, min_position))
    }
}

/// How a read ended.
#[derive(Debug)]
pub enum ReadEnd {
    /// An upstream's answer, and the upstream.
    Answered(ids::UpstreamId, answers::UpstreamAnswer),
    /// Nothing has run.
    NotRun(attempt::NotRun),
    /// The time was up while an upstream was at work.
    Late(ids::UpstreamId),
    /// Every attempt broke off.
    Broken(String),
}

/// Runs a read.
pub async fn run<E: edge::NodeEdge>(
    board: &rc::Rc<board::NodeBoard<E>>,
    plan: &ReadPlan,
    order: attempt::ReadOrder,
    started: Instant,
) -> ReadEnd {
    let order = rc::Rc::new(order);
    let retry_deadline = started + plan.route.timeout.mul_f64(limits::HOLD_SHARE);
    let refuse_deadline = started + plan.route.goal.mul_f64(limits::REFUSE_SHARE);
    let mut running: FuturesUnordered<RunningAttempt> = FuturesUnordered::new();
    let mut tried: Vec<ids::UpstreamId> = Vec::new();
    let mut last_not_run = attempt::NotRun::NoUpstream;
    let mut broken = None;
    let mut hedge_at = started;
    board
        .budget
        .borrow_mut()
        .record_request(board::steady_now());
    let end = loop {
        let now = Instant::now();
        if running.is_empty() {
            match plan.choose(board, &tried) {
                Some((pool, min_position)) if now < retry_deadline => {
                    hedge_at = now + hedge_delay(&pool);
                    start(&running, &mut tried, plan, &order, pool, min_position);
                }
                _ => {
                    let deadline = if plan.group.is_deciding() || plan.group.primary().is_none() {
                        retry_deadline
                    } else {
                        refuse_deadline.min(retry_deadline)
                    };
                    if now >= deadline {
                        break match broken {
                            Some(text) => ReadEnd::Broken(text),
                            None => ReadEnd::NotRun(last_not_run),
                        };
                    }
                    tokio::select! {
                        () = board.changed.notified() => {}
                        () = tokio::time::sleep(limits::ROUTE_PAUSE) => {}
                    }
                    continue;
                }
            }
        }
        let step = tokio::select! {
            biased;
            next = running.next() => next,
            () = tokio::time::sleep_until(order.deadline.min(hedge_at)) => None,
        };
        match step {
            Some((upstream, attempt::AttemptEnd::Answered(answer))) => {
                break ReadEnd::Answered(upstream, answer);
            }
            Some((upstream, attempt::AttemptEnd::NotRun(reason))) => {
                note_retry(plan, &order, &upstream, &reason);
                last_not_run = reason;
                if reason == attempt::NotRun::Crowded && running.is_empty() {
                    break ReadEnd::NotRun(reason);
                }
                after_not_run(board, plan, &upstream, reason).await;
            }
            Some((upstream, attempt::AttemptEnd::Broken(text))) => {
                note_retry(plan, &order, &upstream, &text);
                broken = Some(text);
                // The connection broke, so the next attempt would meet the same fault at once.
                tokio::time::sleep(limits::ROUTE_PAUSE / 3).await;
            }
            None => {
                let now = Instant::now();
                if now >= order.deadline {
                    break ReadEnd::Late(tried.last().cloned().unwrap_or_default());
                }
                hedge_at = now + limits::HEDGE_STEP;
                hedge(board, &running, &mut tried, plan, &order);
            }
        }
    };
    // The upstream is not interrupted: its answer is read and dropped, and the connection kept.
    for rest in running {
        tokio::task::spawn_local(tokio::time::timeout(limits::LEFTOVER_TIMEOUT, rest));
    }
    end
}

fn hedge_delay<E: edge::NodeEdge>(pool: &pool::UpstreamPool<E>) -> time::Duration {
    let usual = pool.health.get().usual().unwrap_or_default();
    limits::HEDGE_AFTER.max(usual * limits::HEDGE_FACTOR)
}

fn start<E: edge::NodeEdge>(
    running: &FuturesUnordered<RunningAttempt>,
    tried: &mut Vec<ids::UpstreamId>,
    plan: &ReadPlan,
    order: &rc::Rc<attempt::ReadOrder>,
    pool: rc::Rc<pool::UpstreamPool<E>>,
    min_position: Option<log_position::LogPosition>,
) {
    let upstream = pool.upstream().clone();
    tried.push(upstream.clone());
    let order = rc::Rc::clone(order);
    let group = rc::Rc::clone(&plan.group);
    running.push(Box::pin(async move {
        let end = match min_position {
            Some(min_position) => attempt::read_at(pool, order, min_position).await,
            None => attempt::read_latest(pool, group, order).await,
        };
        (upstream, end)
    }));
}

/// Starts a second attempt elsewhere if the first is silent or overdue.
fn hedge<E: edge::NodeEdge>(
    board: &rc::Rc<board::NodeBoard<E>>,
    running: &FuturesUnordered<RunningAttempt>,
    tried: &mut Vec<ids::UpstreamId>,
    plan: &ReadPlan,
    order: &rc::Rc<attempt::ReadOrder>,
) {
    let last = tried.last().and_then(|upstream| board.pool(upstream));
    let silent = last.is_none_or(|pool| pool.is_removed() || pool.is_suspect());
    let Some((pool, min_position)) = plan.choose(board, tried) else {
        return;
    };
    // More work for an upstream at its limit makes every answer later.
    let spare = || {
        pool.has_room()
            && running.len() < 2
            && board.budget.borrow_mut().take_retry(board::steady_now())
    };
    let allowed = silent || spare();
    if !allowed {
        return;
    }
    journal::warn(
        "read_hedged",
        &[
            ("request", &order.request.id_text()),
            ("group", &plan.group.group),
            ("first", &tried.last().map_or("-", String::as_str)),
            ("second", pool.upstream()),
            ("first_silent", &silent),
        ],
    );
    metrics::counter!("persimmontack_retries_total", "reason" => "hedge").increment(1);
    start(running, tried, plan, order, pool, min_position);
}

fn note_retry(
    plan: &ReadPlan,
    order: &attempt::ReadOrder,
    upstream: &str,
    reason: &dyn std::fmt::Display,
) {
    journal::warn(
        "read_rerouted",
        &[
            ("request", &order.request.id_text()),
            ("group", &plan.group.group),
            ("upstream", &upstream),
            ("reason", reason),
        ],
    );
    metrics::counter!("persimmontack_retries_total", "reason" => "read_rerouted").increment(1);
}

async fn after_not_run<E: edge::NodeEdge>(
    board: &board::NodeBoard<E>,
    plan: &ReadPlan,
    upstream: &str,
    reason: attempt::NotRun,
) {
    match reason {
        attempt::NotRun::Busy => tokio::time::sleep(limits::BUSY_PAUSE).await,
        attempt::NotRun::NotPrimary => {
            if plan.group.is_primary(upstream) {
                board.set_primary(&plan.group, None, "refused_lead");
            }
        }
        attempt::NotRun::Moved => tokio::time::sleep(limits::ROUTE_PAUSE / 3).await,
        attempt::NotRun::NoUpstream
        | attempt::NotRun::NoConnection
        | attempt::NotRun::Crowded
        | attempt::NotRun::Lagging
        | attempt::NotRun::NotPrepared => {}
    }
}
