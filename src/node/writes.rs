//! Single writes outside a transaction. A write is retried only if it is known not to have run.

use std::rc;

use tokio::time::Instant;

use crate::model::{ids, log_position};
use crate::node::workspaces::workspace_binding;
use crate::node::{
    acknowledgement, answers, attempt, command, commit_moment, config, edge, group, limits,
    node_log, node_tables, pool, request, session_state, upstream_session,
};

/// A single write outside a transaction.
#[derive(Clone, Debug)]
pub struct WriteJob {
    /// The request.
    pub request: request::CallerRequest,
    /// Session values and prepared statements.
    pub session: rc::Rc<session_state::SessionState>,
    /// The group that holds the database.
    pub group: rc::Rc<group::GroupState>,
    /// Configured route of the database.
    pub route: config::DatabaseRoute,
    /// Workspace of the session.
    pub workspace: workspace_binding::WorkspaceBinding,
    /// When the write arrived.
    pub started: Instant,
}

/// Outcome of a write.
#[derive(Debug)]
pub enum WriteOutcome {
    /// The upstream, its answer, and the log position of the commit if it succeeded.
    Answered(
        ids::UpstreamId,
        answers::UpstreamAnswer,
        Option<log_position::LogPosition>,
    ),
    /// The write has not run.
    NotRun(attempt::NotRun),
    /// The write may have run on this upstream; its outcome is unknown for this reason.
    Unknown(ids::UpstreamId, String),
}

/// Waits for a primary of the group that answers.
///
/// # Errors
///
/// Fails if there is none for [`limits::QUEUE_TIME_SHARE`] of the statement's timeout, or if the primary
/// could not be proved to lead for [`limits::UNPROVED_REFUSAL`]: a primary whose replicas are out of
/// reach has probably been replaced, and a write would hang there. Fails at once with
/// [`attempt::NotRun::Leaving`] if the primary takes no more statements and nobody is replacing it.
pub async fn await_primary<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    group: &group::GroupState,
    started: Instant,
    route: &config::DatabaseRoute,
) -> Result<rc::Rc<pool::UpstreamPool<E>>, attempt::NotRun> {
    let retry_deadline = started + route.timeout.mul_f64(limits::QUEUE_TIME_SHARE);
    loop {
        let primary = tables.primary_pool(group);
        let closed = primary.as_ref().is_some_and(|pool| pool.is_closed());
        if closed && !group.decisions.is_changing(node_tables::monotonic_now()) {
            return Err(attempt::NotRun::Leaving);
        }
        if let Some(pool) = primary
            && !pool.is_suspect()
            && !closed
        {
            let overdue = group.proof.is_overdue(tables.edge.boot_time());
            return if overdue {
                Err(attempt::NotRun::Unproved)
            } else {
                Ok(pool)
            };
        }
        if Instant::now() >= retry_deadline {
            return Err(attempt::NotRun::NoUpstream);
        }
        tokio::select! {
            () = tables.changed.notified() => {}
            () = tokio::time::sleep(limits::ROUTE_PAUSE) => {}
        }
    }
}

/// Runs a write on the primary, and retries it as long as it is known not to have run.
pub async fn run<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    job: &WriteJob,
) -> WriteOutcome {
    let retry_deadline = job.started + job.route.timeout.mul_f64(limits::QUEUE_TIME_SHARE);
    let mut last = attempt::NotRun::NoUpstream;
    loop {
        if job.group.refuses_commits(node_tables::monotonic_now()) {
            return WriteOutcome::NotRun(attempt::NotRun::Stalled);
        }
        let primary = await_primary(tables, &job.group, job.started, &job.route).await;
        let pool = match primary {
            Ok(pool) => pool,
            Err(attempt::NotRun::Leaving) => {
                return WriteOutcome::NotRun(attempt::NotRun::Leaving);
            }
            Err(_no_primary) => return WriteOutcome::NotRun(last),
        };
        let options = job.route.wait_options(job.started);
        let session = match pool.acquire(job.workspace.clone(), options).await {
            Ok(session) => session,
            Err(
                error @ (pool::AcquireError::Late
                | pool::AcquireError::Crowded
                | pool::AcquireError::TransactionLimit),
            ) => {
                return WriteOutcome::NotRun(attempt::acquire_failure(error));
            }
            Err(error @ (pool::AcquireError::Moved | pool::AcquireError::Leaving)) => {
                last = attempt::acquire_failure(error);
                if Instant::now() >= retry_deadline {
                    return WriteOutcome::NotRun(last);
                }
                tokio::time::sleep(limits::ROUTE_PAUSE).await;
                continue;
            }
        };
        if !job.group.is_primary(pool.upstream()) {
            pool.release(session);
            continue;
        }
        let deadline = job.started + job.route.timeout;
        let work = Box::pin(send_write(
            rc::Rc::clone(tables),
            rc::Rc::clone(&pool),
            session,
            job.clone(),
        ));
        let outcome = await_outcome(work, deadline, pool.upstream()).await;
        let WriteOutcome::NotRun(reason) = outcome else {
            return outcome;
        };
        last = reason;
        node_log::warn(
            "write_retried",
            &[
                ("request", &job.request.id_text()),
                ("upstream", pool.upstream()),
                ("reason", &reason),
            ],
        );
        metrics::counter!("persimmontack_retries_total", "reason" => reason.to_string())
            .increment(1);
        if reason == attempt::NotRun::NotPrimary && job.group.is_primary(pool.upstream()) {
            tables.set_primary(&job.group, None, "refused_write");
        }
        if Instant::now() >= retry_deadline {
            return WriteOutcome::NotRun(last);
        }
        tokio::time::sleep(limits::BUSY_PAUSE).await;
    }
}

/// Waits for the outcome of a write until `deadline`. The write is not cancelled after that: its
/// answer is read and dropped, so that the connection can be used again.
async fn await_outcome(
    mut work: std::pin::Pin<Box<impl Future<Output = WriteOutcome> + 'static>>,
    deadline: Instant,
    upstream: &str,
) -> WriteOutcome {
    match tokio::time::timeout_at(deadline, &mut work).await {
        Ok(outcome) => outcome,
        Err(_elapsed) => {
            tokio::task::spawn_local(tokio::time::timeout(limits::LATE_ANSWER_TIMEOUT, work));
            WriteOutcome::Unknown(upstream.to_owned(), "no answer in time".to_owned())
        }
    }
}

async fn send_write<E: edge::NodeEdge>(
    tables: rc::Rc<node_tables::NodeTables<E>>,
    pool: rc::Rc<pool::UpstreamPool<E>>,
    mut session: upstream_session::UpstreamSession<E>,
    job: WriteJob,
) -> WriteOutcome {
    let Some(command) = session.prepare_command(&job.session, &job.request, None) else {
        return WriteOutcome::NotRun(attempt::NotRun::NotPrepared);
    };
    let moment = commit_moment::CommitMoment::now(&pool, &job.group);
    match commit_exchange(&job.group, &mut session, &command).await {
        Ok(answer) => {
            match answer.error_code().and_then(attempt::not_run_reason) {
                Some(attempt::NotRun::NotPrepared) => {
                    // The prepared statements on the connection are not the recorded ones, so it
                    // is closed.
                    drop(session);
                    WriteOutcome::NotRun(attempt::NotRun::NotPrepared)
                }
                Some(reason) => {
                    pool.release(session);
                    WriteOutcome::NotRun(reason)
                }
                None => {
                    pool.release(session);
                    acknowledge_write(&tables, &pool, &job, answer, moment).await
                }
            }
        }
        Err(error) => WriteOutcome::Unknown(pool.upstream().clone(), error.to_string()),
    }
}

async fn acknowledge_write<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    pool: &pool::UpstreamPool<E>,
    job: &WriteJob,
    answer: answers::UpstreamAnswer,
    moment: commit_moment::CommitMoment,
) -> WriteOutcome {
    let upstream = pool.upstream().clone();
    let Some(position) = answer.position.filter(|_| answer.result.is_ok()) else {
        return WriteOutcome::Answered(upstream, answer, None);
    };
    let commit = acknowledgement::AcknowledgedCommit {
        request: job.request.clone(),
        group: rc::Rc::clone(&job.group),
        upstream: upstream.clone(),
        position,
        moment,
        deadline: job.started + job.route.timeout,
    };
    match confirm_commit(tables, &commit).await {
        Ok(()) => WriteOutcome::Answered(upstream, answer, Some(position)),
        Err(reason) => WriteOutcome::Unknown(upstream, reason),
    }
}

/// Sends a command that commits. Success shows that the upstream was the primary and which position
/// its log had reached, but not that the commit survives a change of the primary: see
/// [`acknowledgement::await_durable`].
///
/// # Errors
///
/// Fails if the connection breaks, in which case the command may have run.
pub async fn commit_exchange<E: edge::NodeEdge>(
    group: &rc::Rc<group::GroupState>,
    session: &mut upstream_session::UpstreamSession<E>,
    command: &command::UpstreamCommand,
) -> std::io::Result<answers::UpstreamAnswer> {
    let _guard = CommitGuard {
        group: rc::Rc::clone(group),
        number: group.commit_sent(node_tables::monotonic_now()),
    };
    let [answer] = session.exchange([command]).await?;
    if answer.result.is_ok() {
        group.commit_succeeded(node_tables::monotonic_now());
    }
    Ok(answer)
}

/// Waits until a commit is known to survive a change of the primary, and
/// records its position as acknowledged.
///
/// # Errors
///
/// Fails with the reason if the commit was lost, or if that is not known in time.
pub async fn confirm_commit<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    commit: &acknowledgement::AcknowledgedCommit,
) -> Result<(), String> {
    acknowledgement::await_durable(tables, commit).await?;
    let group = &commit.group;
    group.report_position(&commit.upstream, commit.moment.sent_at, commit.position);
    group.acknowledge(commit.position, commit.moment.earlier);
    Ok(())
}

/// Counts a commit as pending until it is answered or abandoned.
struct CommitGuard {
    group: rc::Rc<group::GroupState>,
    number: group::CommitNumber,
}

impl Drop for CommitGuard {
    fn drop(&mut self) {
        self.group.commit_ended(self.number);
    }
}
