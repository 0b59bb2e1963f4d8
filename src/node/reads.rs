//! Reads outside a transaction: choice of the upstream, retries, hedged requests and the deadline.

use std::pin;
use std::rc;
use std::time;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::model::{ids, log_position};
use crate::node::placement::read_placement;
use crate::node::workspaces::workspace_binding;
use crate::node::{answers, attempt, config, edge, group, limits, node_log, node_tables, pool};

type RunningAttempt =
    pin::Pin<Box<dyn Future<Output = (ids::UpstreamId, attempt::AttemptOutcome)>>>;

/// Consistency and routing requirements of a read.
#[derive(Debug)]
pub struct ReadPlan {
    /// The group that holds the database.
    pub group: rc::Rc<group::GroupState>,
    /// Configured route of the database.
    pub route: config::DatabaseRoute,
    /// Workspace of the session.
    pub workspace: workspace_binding::WorkspaceBinding,
    /// Arrival of the read, by [`edge::NodeEdge::boot_time`].
    pub arrival: time::Duration,
    /// Log position of the session's last commit.
    pub written: Option<log_position::LogPosition>,
}

impl ReadPlan {
    /// Returns the log position that the read has to see, or `None` if only the primary can serve
    /// it.
    #[must_use]
    pub fn min_position(&self) -> Option<log_position::LogPosition> {
        match self.route.policy {
            config::ReadPolicy::Latest => None,
            config::ReadPolicy::Aged(age) => self.group.min_position(self.arrival, age),
            config::ReadPolicy::Session(age) => {
                let min_position = self.group.min_position(self.arrival, age)?;
                Some(
                    self.written
                        .map_or(min_position, |written| written.max(min_position)),
                )
            }
        }
    }

    /// Chooses the upstream for the next attempt, and the log position that it has to hold. Without
    /// a position only the primary can serve the read, and it has to be proved to lead. Returns
    /// `None` if no upstream can serve the read now.
    pub fn choose_upstream<E: edge::NodeEdge>(
        &self,
        tables: &node_tables::NodeTables<E>,
        tried: &[ids::UpstreamId],
    ) -> Option<(
        rc::Rc<pool::UpstreamPool<E>>,
        Option<log_position::LogPosition>,
    )> {
        let min_position = self.min_position();
        let placement = read_placement::ReadPlacement::new(
            tables,
            &self.group,
            &self.workspace,
            tried,
            min_position.is_none(),
        );
        let pool = placement.choose(tables, &self.group)?;
        Some((pool, min_position))
    }

    /// Returns whether only the primary can serve the read, which takes no more statements, and nobody
    /// is replacing it.
    fn is_refused_by_leaver<E: edge::NodeEdge>(&self, tables: &node_tables::NodeTables<E>) -> bool {
        let primary = tables.primary_pool(&self.group);
        self.route.policy == config::ReadPolicy::Latest
            && primary.is_some_and(|pool| pool.is_closed())
            && !self
                .group
                .decisions
                .is_changing(node_tables::monotonic_now())
    }

    /// Returns whether an upstream that was not tried has room for the read at once.
    fn has_room_elsewhere<E: edge::NodeEdge>(
        &self,
        tables: &node_tables::NodeTables<E>,
        tried: &[ids::UpstreamId],
    ) -> bool {
        let primary_only = self.min_position().is_none();
        read_placement::ReadPlacement::new(
            tables,
            &self.group,
            &self.workspace,
            tried,
            primary_only,
        )
        .has_room()
    }
}

/// Outcome of a read.
#[derive(Debug)]
pub enum ReadOutcome {
    /// The upstream and its answer.
    Answered(ids::UpstreamId, answers::UpstreamAnswer),
    /// The read has not run.
    NotRun(attempt::NotRun),
    /// The deadline passed while this upstream was running the read.
    Late(ids::UpstreamId),
    /// No attempt has an answer that counts, and at least one, which failed for this reason, may
    /// have run.
    MayHaveRun(String),
}

/// Runs a read with retries and hedged requests until it is answered or its deadline passes.
pub async fn run<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    plan: &ReadPlan,
    job: attempt::ReadJob,
    started: Instant,
) -> ReadOutcome {
    let job = rc::Rc::new(job);
    let retry_deadline = started + plan.route.timeout.mul_f64(limits::QUEUE_TIME_SHARE);
    let refuse_deadline = started + plan.route.goal.mul_f64(limits::GOAL_WAIT_SHARE);
    let mut running: FuturesUnordered<RunningAttempt> = FuturesUnordered::new();
    let mut tried: Vec<ids::UpstreamId> = Vec::new();
    let mut last_not_run = attempt::NotRun::NoUpstream;
    let mut may_have_run = None;
    let mut hedge_at = started;
    tables
        .budget
        .borrow_mut()
        .record_request(node_tables::monotonic_now());
    let outcome = loop {
        let now = Instant::now();
        if running.is_empty() {
            match plan.choose_upstream(tables, &tried) {
                Some((pool, min_position)) if now < retry_deadline => {
                    hedge_at = now + hedge_delay(&pool);
                    start_attempt(tables, &running, &mut tried, plan, &job, pool, min_position);
                }
                _ => {
                    let deadline =
                        if plan.group.decisions.is_deciding() || plan.group.primary().is_none() {
                            retry_deadline
                        } else {
                            refuse_deadline.min(retry_deadline)
                        };
                    if plan.is_refused_by_leaver(tables) {
                        break failure(may_have_run, attempt::NotRun::Leaving);
                    }
                    if now >= deadline {
                        break failure(may_have_run, last_not_run);
                    }
                    tokio::select! {
                        () = tables.changed.notified() => {}
                        () = tokio::time::sleep(limits::ROUTE_PAUSE) => {}
                    }
                    continue;
                }
            }
        }
        let step = tokio::select! {
            biased;
            next = running.next() => next,
            () = tokio::time::sleep_until(job.deadline.min(hedge_at)) => None,
        };
        match step {
            Some((upstream, attempt::AttemptOutcome::Answered(answer))) => {
                break ReadOutcome::Answered(upstream, answer);
            }
            Some((
                upstream,
                outcome @ (attempt::AttemptOutcome::NotRun(reason)
                | attempt::AttemptOutcome::Discarded(reason)),
            )) => {
                if matches!(outcome, attempt::AttemptOutcome::Discarded(_)) {
                    may_have_run = Some(reason.to_string());
                }
                report_retry(plan, &job, &upstream, &reason);
                last_not_run = reason;
                let hopeless = match reason {
                    attempt::NotRun::Crowded => true,
                    attempt::NotRun::Unproved => {
                        plan.group.proof.is_overdue(tables.edge.boot_time())
                            || Instant::now() >= refuse_deadline
                    }
                    _ => false,
                };
                if hopeless && running.is_empty() {
                    break failure(may_have_run, reason);
                }
                handle_not_run(tables, plan, &upstream, reason, &tried).await;
            }
            Some((upstream, attempt::AttemptOutcome::Broken(text))) => {
                report_retry(plan, &job, &upstream, &text);
                may_have_run = Some(text);
                // An immediate retry would probably meet the same fault.
                tokio::time::sleep(limits::ROUTE_PAUSE / 3).await;
            }
            None => {
                let now = Instant::now();
                if now >= job.deadline {
                    break ReadOutcome::Late(tried.last().cloned().unwrap_or_default());
                }
                hedge_at = now + limits::HEDGE_STEP;
                hedge(tables, &running, &mut tried, plan, &job);
            }
        }
    };
    // Attempts still running are not cancelled: their answers are read and dropped, so that their
    // connections can be used again.
    for rest in running {
        tokio::task::spawn_local(tokio::time::timeout(limits::LATE_ANSWER_TIMEOUT, rest));
    }
    outcome
}

/// Returns the outcome of a read that no upstream has answered.
fn failure(may_have_run: Option<String>, last_not_run: attempt::NotRun) -> ReadOutcome {
    match may_have_run {
        Some(text) => ReadOutcome::MayHaveRun(text),
        None => ReadOutcome::NotRun(last_not_run),
    }
}

fn hedge_delay<E: edge::NodeEdge>(pool: &pool::UpstreamPool<E>) -> time::Duration {
    let mean = pool.health.get().mean_answer_time().unwrap_or_default();
    limits::HEDGE_AFTER.max(mean * limits::HEDGE_FACTOR)
}

fn start_attempt<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    running: &FuturesUnordered<RunningAttempt>,
    tried: &mut Vec<ids::UpstreamId>,
    plan: &ReadPlan,
    job: &rc::Rc<attempt::ReadJob>,
    pool: rc::Rc<pool::UpstreamPool<E>>,
    min_position: Option<log_position::LogPosition>,
) {
    let upstream = pool.upstream().clone();
    tried.push(upstream.clone());
    let job = rc::Rc::clone(job);
    let group = rc::Rc::clone(&plan.group);
    let tables = rc::Rc::clone(tables);
    running.push(Box::pin(async move {
        let outcome = match min_position {
            Some(min_position) => attempt::read_at(pool, group, job, min_position).await,
            None => attempt::read_latest(tables, pool, group, job).await,
        };
        (upstream, outcome)
    }));
}

/// Starts a second attempt on another upstream if the first one does not answer or is slow.
fn hedge<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    running: &FuturesUnordered<RunningAttempt>,
    tried: &mut Vec<ids::UpstreamId>,
    plan: &ReadPlan,
    job: &rc::Rc<attempt::ReadJob>,
) {
    let last = tried.last().and_then(|upstream| tables.pool(upstream));
    let silent = last.is_none_or(|pool| pool.is_removed() || pool.is_suspect());
    let Some((pool, min_position)) = plan.choose_upstream(tables, tried) else {
        return;
    };
    // More work for an upstream at its limit would delay all of its answers.
    let may_hedge = || {
        pool.has_capacity()
            && !pool.would_open(&plan.workspace)
            && running.len() < 2
            && tables
                .budget
                .borrow_mut()
                .take_retry(node_tables::monotonic_now())
    };
    let allowed = silent || may_hedge();
    if !allowed {
        return;
    }
    node_log::warn(
        "read_hedged",
        &[
            ("request", &job.request.id_text()),
            ("group", &plan.group.group),
            ("first", &tried.last().map_or("-", String::as_str)),
            ("second", pool.upstream()),
            ("first_silent", &silent),
        ],
    );
    metrics::counter!("persimmontack_retries_total", "reason" => "hedge").increment(1);
    start_attempt(tables, running, tried, plan, job, pool, min_position);
}

fn report_retry(
    plan: &ReadPlan,
    job: &attempt::ReadJob,
    upstream: &str,
    reason: &dyn std::fmt::Display,
) {
    node_log::warn(
        "read_rerouted",
        &[
            ("request", &job.request.id_text()),
            ("group", &plan.group.group),
            ("upstream", &upstream),
            ("reason", reason),
        ],
    );
    metrics::counter!("persimmontack_retries_total", "reason" => "read_rerouted").increment(1);
}

async fn handle_not_run<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    plan: &ReadPlan,
    upstream: &str,
    reason: attempt::NotRun,
    tried: &[ids::UpstreamId],
) {
    match reason {
        attempt::NotRun::Busy => {
            if !plan.has_room_elsewhere(tables, tried) {
                tokio::time::sleep(limits::BUSY_PAUSE).await;
            }
        }
        attempt::NotRun::NotPrimary => {
            if plan.group.is_primary(upstream) {
                tables.set_primary(&plan.group, None, "refused_lead");
            }
        }
        attempt::NotRun::Moved | attempt::NotRun::Leaving => {
            tokio::time::sleep(limits::ROUTE_PAUSE / 3).await;
        }
        attempt::NotRun::Unproved => tokio::time::sleep(limits::ROUTE_PAUSE).await,
        attempt::NotRun::NoUpstream
        | attempt::NotRun::NoConnection
        | attempt::NotRun::Crowded
        | attempt::NotRun::TransactionLimit
        | attempt::NotRun::Lagging
        | attempt::NotRun::Stalled
        | attempt::NotRun::NotPrepared => {}
    }
}
