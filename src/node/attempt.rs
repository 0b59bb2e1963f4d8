//! One attempt to run a statement on one upstream.

use std::rc;
use std::time;

use futures::future;
use tokio::time::Instant;

use crate::model::log_position;
use crate::node::workspaces::workspace_binding;
use crate::node::{
    answers, command, edge, group, leadership, node_tables, pool, request, session_state,
    upstream_session, wait_queue,
};

/// Why a statement did not run on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum NotRun {
    /// No upstream can serve the statement now.
    NoUpstream,
    /// No connection was free in time.
    NoConnection,
    /// The expected wait for the upstream exceeds the statement's deadline.
    Crowded,
    /// Too many transactions hold connections to the upstream.
    TransactionLimit,
    /// The upstream was replaced, was removed or refuses connections.
    Moved,
    /// The upstream is leaving, and the time in which it takes statements is over.
    Leaving,
    /// The upstream had no free slot.
    Busy,
    /// The upstream's log does not hold the required position.
    Lagging,
    /// The upstream is not the primary.
    NotPrimary,
    /// The upstream acts as the primary, but another one may have taken over.
    Unproved,
    /// The primary cannot commit, since no replica receives what it writes.
    Stalled,
    /// The prepared statement does not exist on the connection.
    NotPrepared,
}

/// Outcome of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The upstream's complete answer.
    Answered(answers::UpstreamAnswer),
    /// The statement has not run.
    NotRun(NotRun),
    /// The statement has run, but its answer does not count for this reason.
    Discarded(NotRun),
    /// The statement may have run: the connection broke or its answers are not valid.
    Broken(String),
}

/// Returns why the statement has not run, or `None` if the error does not rule out that it ran.
#[must_use]
pub const fn not_run_reason(code: answers::ErrorCode) -> Option<NotRun> {
    match code {
        answers::ErrorCode::Busy => Some(NotRun::Busy),
        answers::ErrorCode::Lagging => Some(NotRun::Lagging),
        answers::ErrorCode::ReadOnly => Some(NotRun::NotPrimary),
        answers::ErrorCode::NoStatement => Some(NotRun::NotPrepared),
        answers::ErrorCode::Misrouted | answers::ErrorCode::TooMany => Some(NotRun::Moved),
        answers::ErrorCode::Aborted
        | answers::ErrorCode::Failed
        | answers::ErrorCode::Timeout
        | answers::ErrorCode::Unknown
        | answers::ErrorCode::NoDatabase
        | answers::ErrorCode::NoKey
        | answers::ErrorCode::TooLong
        | answers::ErrorCode::Malformed => None,
    }
}

/// Returns the outcome of an attempt that got no connection.
#[must_use]
pub const fn acquire_failure(error: pool::AcquireError) -> NotRun {
    match error {
        pool::AcquireError::Late => NotRun::NoConnection,
        pool::AcquireError::Crowded => NotRun::Crowded,
        pool::AcquireError::TransactionLimit => NotRun::TransactionLimit,
        pool::AcquireError::Moved => NotRun::Moved,
        pool::AcquireError::Leaving => NotRun::Leaving,
    }
}

/// A read that may be attempted on several upstreams.
#[derive(Debug)]
pub struct ReadJob {
    /// The request.
    pub request: request::CallerRequest,
    /// Session values and prepared statements.
    pub session: rc::Rc<session_state::SessionState>,
    /// Workspace of the session.
    pub workspace: workspace_binding::WorkspaceBinding,
    /// Arrival of the read, by [`edge::NodeEdge::boot_time`].
    pub arrival: time::Duration,
    /// Priority and deadlines for getting a connection.
    pub options: wait_queue::WaitOptions,
    /// When the caller is answered at the latest.
    pub deadline: Instant,
}

/// Runs a read on an upstream, which rejects it if its log does not hold `min_position`. A primary
/// also reports its position with the answer.
pub async fn read_at<E: edge::NodeEdge>(
    pool: rc::Rc<pool::UpstreamPool<E>>,
    group: rc::Rc<group::GroupState>,
    job: rc::Rc<ReadJob>,
    min_position: log_position::LogPosition,
) -> AttemptOutcome {
    let mut session = match pool.acquire(job.workspace.clone(), job.options).await {
        Ok(session) => session,
        Err(error) => return AttemptOutcome::NotRun(acquire_failure(error)),
    };
    let Some(command) = session.prepare_command(&job.session, &job.request, Some(min_position))
    else {
        return AttemptOutcome::NotRun(NotRun::NotPrepared);
    };
    let sent_at = pool.boot_time();
    match session.exchange([&command]).await {
        Ok([answer]) => {
            if let Some(position) = answer.position {
                group.report_position(pool.upstream(), sent_at, position);
            }
            finish_read(&pool, session, answer)
        }
        Err(error) => AttemptOutcome::Broken(error.to_string()),
    }
}

/// Runs a read on the primary, followed by an empty write transaction. The answer counts only if the
/// upstream accepts that, so that it still acts as a primary, and if [`leadership::prove_primary`]
/// shows that no other one had taken over when the read arrived.
pub async fn read_latest<E: edge::NodeEdge>(
    tables: rc::Rc<node_tables::NodeTables<E>>,
    pool: rc::Rc<pool::UpstreamPool<E>>,
    group: rc::Rc<group::GroupState>,
    job: rc::Rc<ReadJob>,
) -> AttemptOutcome {
    let proof = leadership::prove_primary(&tables, &group, job.arrival);
    // Without a recent proof the read would probably run in vain, and take a slot.
    if !group.proof.is_proved() && !proof.await {
        return AttemptOutcome::NotRun(NotRun::Unproved);
    }
    let mut session = match pool.acquire(job.workspace.clone(), job.options).await {
        Ok(session) => session,
        Err(error) => return AttemptOutcome::NotRun(acquire_failure(error)),
    };
    let Some(command) = session.prepare_command(&job.session, &job.request, None) else {
        return AttemptOutcome::NotRun(NotRun::NotPrepared);
    };
    let begin = command::UpstreamCommand::Begin {
        read_only: false,
        min_position: None,
    };
    let sent_at = pool.boot_time();
    let commands = [&command, &begin, &command::UpstreamCommand::Rollback];
    let proof = leadership::prove_primary(&tables, &group, job.arrival);
    let (result, proved) = future::join(session.exchange(commands), proof).await;
    match result {
        Ok([answer, check, _end]) => {
            if check.result.is_err() {
                pool.release(session);
                return discard_answer(&answer, NotRun::NotPrimary);
            }
            if let Some(position) = check.position {
                group.report_position(pool.upstream(), sent_at, position);
            }
            if !proved || !group.is_primary(pool.upstream()) {
                pool.release(session);
                return discard_answer(&answer, NotRun::Unproved);
            }
            finish_read(&pool, session, answer)
        }
        Err(error) => AttemptOutcome::Broken(error.to_string()),
    }
}

/// Returns the outcome of a read whose answer does not count.
fn discard_answer(answer: &answers::UpstreamAnswer, reason: NotRun) -> AttemptOutcome {
    if answer.error_code().and_then(not_run_reason).is_some() {
        AttemptOutcome::NotRun(reason)
    } else {
        AttemptOutcome::Discarded(reason)
    }
}

fn finish_read<E: edge::NodeEdge>(
    pool: &rc::Rc<pool::UpstreamPool<E>>,
    session: upstream_session::UpstreamSession<E>,
    answer: answers::UpstreamAnswer,
) -> AttemptOutcome {
    match answer.error_code().and_then(not_run_reason) {
        Some(NotRun::NotPrepared) => {
            // The prepared statements on the connection are not the recorded ones, so it is closed.
            drop(session);
            AttemptOutcome::NotRun(NotRun::NotPrepared)
        }
        Some(reason) => {
            if reason == NotRun::Lagging {
                pool.record_lag(node_tables::monotonic_now());
            }
            pool.release(session);
            AttemptOutcome::NotRun(reason)
        }
        None => {
            pool.release(session);
            AttemptOutcome::Answered(answer)
        }
    }
}

/// Reports a statement that an upstream did not run inside a transaction as [`Aborted`], the only
/// such error that callers expect there.
///
/// [`Aborted`]: answers::ErrorCode::Aborted
#[must_use]
pub fn not_run_as_aborted(mut answer: answers::UpstreamAnswer) -> answers::UpstreamAnswer {
    if let Err(error) = &mut answer.result
        && not_run_reason(error.code).is_some()
    {
        error.code = answers::ErrorCode::Aborted;
    }
    answer
}

/// Reports a read as [`Aborted`] if its last attempt has not run, but an earlier one may have.
///
/// [`Aborted`]: answers::ErrorCode::Aborted
#[must_use]
pub fn retried_as_aborted(mut answer: answers::CallerAnswer) -> answers::CallerAnswer {
    if let Err(error) = &mut answer.result
        && (not_run_reason(error.code).is_some() || error.code == answers::ErrorCode::NoDatabase)
    {
        error.code = answers::ErrorCode::Aborted;
    }
    answer
}
