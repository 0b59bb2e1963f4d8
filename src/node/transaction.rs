//! [`OpenTransaction`]: a caller's transaction and the connection that it is bound to.
//!
//! The transaction begins on the upstream with its first statement, so that a caller that pauses
//! after `BEGIN` holds no connection.

use std::rc;
use std::time;

use futures::future;
use tokio::time::Instant;

use crate::model::{ids, log_position};
use crate::node::connections::transaction_admission;
use crate::node::{
    acknowledgement, answers, attempt, command, commit_moment, config, edge, group, leadership,
    limits, node_log, node_tables, pool, reads, request, session_state, upstream_session, writes,
};

/// Outcome of a statement in a transaction, or of its commit.
#[derive(Debug)]
pub enum TransactionOutcome {
    /// The upstream's answer.
    Answered(answers::UpstreamAnswer),
    /// The transaction was rolled back for this reason.
    Aborted(String),
    /// The commit may have taken effect; its outcome is unknown for this reason.
    Unknown(String),
}

/// A caller's transaction.
#[derive(Debug)]
pub struct OpenTransaction<E: edge::NodeEdge> {
    plan: reads::ReadPlan,
    read_only: bool,
    session: Option<upstream_session::UpstreamSession<E>>,
    wrote: bool,
    failed: bool,
}

impl<E: edge::NodeEdge> OpenTransaction<E> {
    /// Creates a transaction without statements, which is not bound to a connection yet.
    #[must_use]
    pub const fn new(plan: reads::ReadPlan, read_only: bool) -> Self {
        Self {
            plan,
            read_only,
            session: None,
            wrote: false,
            failed: false,
        }
    }

    /// Returns whether the transaction has failed, so that the caller can only end it.
    #[must_use]
    pub const fn is_failed(&self) -> bool {
        self.failed
    }

    /// Returns whether the transaction is bound to a connection.
    #[must_use]
    pub const fn is_bound(&self) -> bool {
        self.session.is_some()
    }

    /// Returns the group in which the transaction runs.
    #[must_use]
    pub const fn group(&self) -> &rc::Rc<group::GroupState> {
        &self.plan.group
    }

    /// Returns the route of the database as configured when the transaction began.
    #[must_use]
    pub const fn route(&self) -> &config::DatabaseRoute {
        &self.plan.route
    }

    /// Returns the upstream that the transaction is bound to, for log lines.
    #[must_use]
    pub fn upstream(&self) -> String {
        self.session.as_ref().map_or_else(
            || "-".to_owned(),
            |session| session.pool().upstream().clone(),
        )
    }

    /// Runs a statement. The first one binds the transaction to a connection.
    pub async fn run(
        &mut self,
        tables: &rc::Rc<node_tables::NodeTables<E>>,
        request: &request::CallerRequest,
        writes: bool,
        state: &session_state::SessionState,
        started: Instant,
    ) -> TransactionOutcome {
        let deadline = started + self.plan.route.timeout;
        if writes && self.cannot_commit() {
            return self.refuse_commit().await;
        }
        if let Err(reason) = self.bind(tables, state, started).await {
            return self.abort(reason.to_string());
        }
        loop {
            let Some(session) = &mut self.session else {
                return self.abort("no connection".to_owned());
            };
            let Some(command) = session.prepare_command(state, request, None) else {
                return self.abort("statement is not prepared".to_owned());
            };
            self.wrote |= writes;
            let exchange = session.exchange([&command]);
            let answer = match tokio::time::timeout_at(deadline, exchange).await {
                Ok(Ok([answer])) => answer,
                Ok(Err(error)) => return self.abort(error.to_string()),
                Err(_elapsed) => return self.abort("no answer in time".to_owned()),
            };
            if answer.error_code() == Some(answers::ErrorCode::Busy)
                && answer.state == answers::TransactionState::Open
                && Instant::now() + limits::BUSY_PAUSE < deadline
            {
                self.report_busy_retry(request);
                tokio::time::sleep(limits::BUSY_PAUSE).await;
                continue;
            }
            if answer.result.is_err() {
                self.failed = answer.state != answers::TransactionState::Open;
            }
            return TransactionOutcome::Answered(answer);
        }
    }

    /// Commits the transaction.
    pub async fn commit(
        &mut self,
        tables: &rc::Rc<node_tables::NodeTables<E>>,
        request: &request::CallerRequest,
        state: &session_state::SessionState,
        started: Instant,
    ) -> TransactionOutcome {
        let deadline = started + self.plan.route.timeout;
        if self.wrote && self.cannot_commit() {
            return self.refuse_commit().await;
        }
        if let Err(reason) = self.bind(tables, state, started).await {
            return self.abort(reason.to_string());
        }
        let command = command::UpstreamCommand::Caller {
            id: request.id.clone(),
            min_position: None,
            text: request.text.clone(),
        };
        loop {
            let Some(mut session) = self.session.take() else {
                return self.abort("no connection".to_owned());
            };
            let pool = rc::Rc::clone(session.pool());
            let group = rc::Rc::clone(&self.plan.group);
            let moment = commit_moment::CommitMoment::now(&pool, &group);
            let wrote = self.wrote;
            let sent = command.clone();
            let mut work = Box::pin(async move {
                let result = if wrote {
                    writes::commit_exchange(&group, &mut session, &sent).await
                } else {
                    session.exchange([&sent]).await.map(|[answer]| answer)
                };
                (session, result)
            });
            let (mut session, result) = match tokio::time::timeout_at(deadline, &mut work).await {
                Ok(outcome) => outcome,
                Err(_elapsed) => {
                    finish_in_background(work);
                    return self.commit_unanswered("no answer in time".to_owned());
                }
            };
            let answer = match result {
                Ok(answer) => answer,
                Err(error) => return self.commit_unanswered(error.to_string()),
            };
            let retry = answer.error_code() == Some(answers::ErrorCode::Busy)
                && answer.state == answers::TransactionState::Open;
            if retry && Instant::now() + limits::BUSY_PAUSE < deadline {
                self.session = Some(session);
                self.report_busy_retry(request);
                tokio::time::sleep(limits::BUSY_PAUSE).await;
                continue;
            }
            session.set_in_transaction(false);
            // Dropping a connection that is still in a transaction closes it and rolls back.
            if answer.state == answers::TransactionState::Idle {
                pool.release(session);
            }
            let Some(position) = answer.position.filter(|_| wrote && answer.result.is_ok()) else {
                return TransactionOutcome::Answered(answer);
            };
            let commit = acknowledgement::AcknowledgedCommit {
                request: request.clone(),
                group: rc::Rc::clone(&self.plan.group),
                upstream: pool.upstream().clone(),
                position,
                moment,
                deadline,
            };
            return match writes::confirm_commit(tables, &commit).await {
                Ok(()) => TransactionOutcome::Answered(answer),
                Err(reason) => self.commit_unanswered(reason),
            };
        }
    }

    /// Rolls back without waiting for the upstream's answer.
    pub async fn roll_back(&mut self) {
        let Some(mut session) = self.session.take() else {
            return;
        };
        session.queue_ignored(&command::UpstreamCommand::Rollback);
        session.set_in_transaction(false);
        if session.send().await.is_ok() {
            let pool = rc::Rc::clone(session.pool());
            pool.release(session);
        }
    }

    /// Rolls back because the transaction was idle for too long. The caller can then only end it.
    pub async fn expire(&mut self) {
        self.failed = true;
        self.roll_back().await;
    }

    /// Returns whether the transaction may have written.
    #[must_use]
    pub const fn wrote(&self) -> bool {
        self.wrote
    }

    fn report_busy_retry(&self, request: &request::CallerRequest) {
        node_log::warn(
            "statement_retried",
            &[
                ("request", &request.id_text()),
                ("upstream", &self.upstream()),
                ("reason", &attempt::NotRun::Busy),
            ],
        );
        metrics::counter!("persimmontack_retries_total", "reason" => "busy").increment(1);
    }

    fn cannot_commit(&self) -> bool {
        let now = node_tables::monotonic_now();
        self.plan.group.refuses_commits(now)
    }

    /// Rolls back a transaction whose commit would hang.
    async fn refuse_commit(&mut self) -> TransactionOutcome {
        self.failed = true;
        self.roll_back().await;
        TransactionOutcome::Aborted(attempt::NotRun::Stalled.to_string())
    }

    /// Closes the connection, which rolls back the transaction on the upstream.
    fn abort(&mut self, reason: String) -> TransactionOutcome {
        self.failed = true;
        self.session = None;
        TransactionOutcome::Aborted(reason)
    }

    fn commit_unanswered(&mut self, reason: String) -> TransactionOutcome {
        self.failed = true;
        if self.wrote {
            TransactionOutcome::Unknown(reason)
        } else {
            TransactionOutcome::Aborted(reason)
        }
    }

    async fn bind(
        &mut self,
        tables: &rc::Rc<node_tables::NodeTables<E>>,
        state: &session_state::SessionState,
        started: Instant,
    ) -> Result<(), attempt::NotRun> {
        if self.session.is_some() {
            return Ok(());
        }
        let retry_deadline = started + self.plan.route.timeout.mul_f64(limits::QUEUE_TIME_SHARE);
        let mut last = attempt::NotRun::NoUpstream;
        let mut tried = Vec::new();
        while Instant::now() < retry_deadline {
            let target = if self.read_only {
                self.plan.choose_upstream(tables, &tried)
            } else {
                match writes::await_primary(tables, &self.plan.group, started, &self.plan.route)
                    .await
                {
                    Ok(pool) => Some((pool, None)),
                    Err(attempt::NotRun::Leaving) => return Err(attempt::NotRun::Leaving),
                    Err(_no_primary) => None,
                }
            };
            let Some((pool, min_position)) = target else {
                if !self.read_only {
                    break;
                }
                tokio::select! {
                    () = tables.changed.notified() => {}
                    () = tokio::time::sleep(limits::ROUTE_PAUSE) => {}
                }
                continue;
            };
            tried.push(pool.upstream().clone());
            match self
                .begin_at(tables, &pool, min_position, state, started)
                .await
            {
                Ok(session) => {
                    self.session = Some(session);
                    return Ok(());
                }
                Err(reason) => {
                    last = reason;
                    let overdue = reason == attempt::NotRun::Unproved
                        && self.plan.group.proof.is_overdue(tables.edge.boot_time());
                    if overdue {
                        break;
                    }
                    let crowded = matches!(
                        reason,
                        attempt::NotRun::Crowded | attempt::NotRun::TransactionLimit
                    );
                    if crowded && self.read_only && self.has_untried(tables, &tried) {
                        continue;
                    }
                    if crowded {
                        if reason == attempt::NotRun::TransactionLimit {
                            transaction_admission::log_refused(&pool, &self.plan.workspace);
                        }
                        break;
                    }
                    let not_primary = reason == attempt::NotRun::NotPrimary;
                    if not_primary && self.plan.group.is_primary(pool.upstream()) {
                        tables.set_primary(&self.plan.group, None, "refused_begin");
                    }
                    node_log::debug(
                        "begin_retried",
                        &[("upstream", pool.upstream()), ("reason", &reason)],
                    );
                    tokio::time::sleep(limits::ROUTE_PAUSE).await;
                }
            }
        }
        Err(last)
    }

    /// Returns whether an upstream could take a read-only transaction that was not asked yet.
    fn has_untried(&self, tables: &node_tables::NodeTables<E>, tried: &[ids::UpstreamId]) -> bool {
        self.plan
            .choose_upstream(tables, tried)
            .is_some_and(|(pool, _)| !tried.contains(pool.upstream()))
    }

    async fn begin_at(
        &self,
        tables: &rc::Rc<node_tables::NodeTables<E>>,
        pool: &rc::Rc<pool::UpstreamPool<E>>,
        min_position: Option<log_position::LogPosition>,
        state: &session_state::SessionState,
        started: Instant,
    ) -> Result<upstream_session::UpstreamSession<E>, attempt::NotRun> {
        let options = self.plan.route.wait_options(started);
        let workspace = self.plan.workspace.clone();
        let mut session = transaction_admission::acquire(pool, workspace, options)
            .await
            .map_err(attempt::acquire_failure)?;
        session.sync_values(state);
        let deadline = options.deadline.min(Instant::now() + limits::SILENT_AFTER);
        let group = &self.plan.group;
        let begun = begin(group, &mut session, self.read_only, min_position);
        let begun = tokio::time::timeout_at(deadline, begun);
        let proof = leadership::prove_primary(tables, group, self.plan.arrival);
        let (begun, proved) = if min_position.is_none() {
            future::join(begun, proof).await
        } else {
            (begun.await, true)
        };
        match begun {
            Ok(Ok(None))
                if !proved || min_position.is_none() && !group.is_primary(pool.upstream()) =>
            {
                session.queue_ignored(&command::UpstreamCommand::Rollback);
                pool.release(session);
                Err(attempt::NotRun::Unproved)
            }
            Ok(Ok(None)) => {
                session.set_in_transaction(true);
                Ok(session)
            }
            Ok(Ok(Some(reason))) => {
                if reason == attempt::NotRun::Lagging {
                    pool.record_lag(node_tables::monotonic_now());
                }
                pool.release(session);
                Err(reason)
            }
            Ok(Err(_)) | Err(_) => Err(attempt::NotRun::Moved),
        }
    }
}

/// Begins a transaction on a connection. Returns the reason if the upstream refused it.
async fn begin<E: edge::NodeEdge>(
    group: &group::GroupState,
    session: &mut upstream_session::UpstreamSession<E>,
    read_only: bool,
    min_position: Option<log_position::LogPosition>,
) -> std::io::Result<Option<attempt::NotRun>> {
    let sent_at: time::Duration = session.pool().boot_time();
    let begin_write = command::UpstreamCommand::Begin {
        read_only: false,
        min_position: None,
    };
    let answer = if read_only {
        let begin_read = command::UpstreamCommand::Begin {
            read_only,
            min_position,
        };
        if min_position.is_some() {
            let [answer] = session.exchange([&begin_read]).await?;
            answer
        } else {
            // Without a position, the upstream has to prove that it is the primary now.
            let commands = [
                &begin_write,
                &command::UpstreamCommand::Rollback,
                &begin_read,
            ];
            let [check, _end, answer] = session.exchange(commands).await?;
            if check.result.is_err() {
                return Err(std::io::Error::other(
                    "the upstream is no longer the primary",
                ));
            }
            answer
        }
    } else {
        let [answer] = session.exchange([&begin_write]).await?;
        answer
    };
    if let Err(error) = &answer.result {
        let Some(reason) = attempt::not_run_reason(error.code) else {
            return Err(std::io::Error::other(format!(
                "begin failed: {}",
                error.code
            )));
        };
        return Ok(Some(reason));
    }
    if !read_only && let Some(position) = answer.position {
        group.report_position(session.pool().upstream(), sent_at, position);
    }
    Ok(None)
}

/// Waits in the background for a commit whose deadline has passed, so that its connection can be
/// used again.
fn finish_in_background<E: edge::NodeEdge>(
    work: std::pin::Pin<
        Box<
            impl Future<
                Output = (
                    upstream_session::UpstreamSession<E>,
                    std::io::Result<answers::UpstreamAnswer>,
                ),
            > + 'static,
        >,
    >,
) {
    tokio::task::spawn_local(async move {
        let outcome = tokio::time::timeout(limits::LATE_ANSWER_TIMEOUT, work).await;
        if let Ok((mut session, Ok(answer))) = outcome
            && answer.state == answers::TransactionState::Idle
        {
            session.set_in_transaction(false);
            let pool = rc::Rc::clone(session.pool());
            pool.release(session);
        }
    });
}
