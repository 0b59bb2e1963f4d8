//! Probes of an upstream that need no execution slot: its role, its log position, and fencing.

use std::rc;

use crate::model::{ids, log_position};
use crate::node::{
    answers, command, edge, group, limits, node_log, node_tables, pool, upstream_session,
};

/// Role of an upstream according to its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleAnswer {
    /// The upstream acts as the primary.
    Primary(PrimaryLead),
    /// The upstream is not the primary.
    Replica,
    /// The upstream did not answer.
    Silent,
}

/// What an upstream that acts as the primary reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimaryLead {
    /// Term in which it leads.
    pub term: ids::TermNumber,
    /// Position that it has applied.
    pub position: Option<log_position::LogPosition>,
}

/// Term of a fence that has no effect at any upstream: the answer is its status, which is otherwise
/// reported only where a slot is free.
pub const NO_FENCE: ids::TermNumber = 0;

/// Queries whether an upstream is the primary, by beginning a read-write transaction and rolling it
/// back. Records the position that a primary returns.
pub async fn query_role<E: edge::NodeEdge>(
    pool: &rc::Rc<pool::UpstreamPool<E>>,
    group: &group::GroupState,
    fresh: bool,
) -> RoleAnswer {
    let begin = command::UpstreamCommand::Begin {
        read_only: false,
        min_position: None,
    };
    let query = async {
        let mut session = pool.acquire_for_probe(fresh).await?;
        let sent_at = pool.boot_time();
        let status = command::UpstreamCommand::Fence(NO_FENCE);
        let commands = [&begin, &command::UpstreamCommand::Rollback, &status];
        let [answer, _end, status] = session.exchange(commands).await.ok()?;
        pool.release(session);
        let status = <E::Upstream as edge::UpstreamLink>::read_status(&status)?;
        Some((sent_at, answer, status))
    };
    let started = node_tables::monotonic_now();
    match tokio::time::timeout(limits::PROBE_TIMEOUT, query).await {
        Ok(Some((sent_at, answer, status))) => {
            if answer.result.is_err() {
                return RoleAnswer::Replica;
            }
            if let Some(position) = answer.position {
                group.report_position(pool.upstream(), sent_at, position);
            }
            RoleAnswer::Primary(PrimaryLead {
                term: status.term,
                position: answer.position,
            })
        }
        Ok(None) => RoleAnswer::Silent,
        Err(_elapsed) => {
            pool.update_health(|health| health.record_silent(started));
            RoleAnswer::Silent
        }
    }
}

/// Queries whether the log of an upstream holds a position. Returns `None` without a clear answer.
pub async fn holds_position<E: edge::NodeEdge>(
    pool: &rc::Rc<pool::UpstreamPool<E>>,
    position: log_position::LogPosition,
) -> Option<bool> {
    let begin = command::UpstreamCommand::Begin {
        read_only: true,
        min_position: Some(position),
    };
    let query = async {
        let mut session = pool.acquire_for_probe(false).await?;
        let commands = [&begin, &command::UpstreamCommand::Rollback];
        let [answer, _end] = session.exchange(commands).await.ok()?;
        pool.release(session);
        match answer.error_code() {
            None => Some(true),
            Some(answers::ErrorCode::Lagging) => Some(false),
            Some(code) => {
                node_log::debug(
                    "position_unanswered",
                    &[("upstream", pool.upstream()), ("reason", &code)],
                );
                None
            }
        }
    };
    let started = node_tables::monotonic_now();
    match tokio::time::timeout(limits::PROBE_TIMEOUT, query).await {
        Ok(holds) => holds,
        Err(_elapsed) => {
            pool.update_health(|health| health.record_silent(started));
            None
        }
    }
}

/// Sends a command whose answer is the status of the upstream, and returns that status.
pub async fn query_status<E: edge::NodeEdge>(
    pool: &rc::Rc<pool::UpstreamPool<E>>,
    command: &command::UpstreamCommand,
) -> Option<command::UpstreamStatus> {
    let query = async {
        let mut session: upstream_session::UpstreamSession<E> =
            pool.acquire_for_probe(false).await?;
        let [answer] = session.exchange([command]).await.ok()?;
        pool.release(session);
        if let Err(error) = &answer.result {
            node_log::debug(
                "status_refused",
                &[("upstream", pool.upstream()), ("reason", &error.code)],
            );
            return None;
        }
        <E::Upstream as edge::UpstreamLink>::read_status(&answer)
    };
    let started = node_tables::monotonic_now();
    match tokio::time::timeout(limits::PROBE_TIMEOUT, query).await {
        Ok(status) => status,
        Err(_elapsed) => {
            pool.update_health(|health| health.record_silent(started));
            None
        }
    }
}

/// Fences a replica at a term above every term that it knows, and returns its status after that.
pub async fn fence<E: edge::NodeEdge>(
    pool: &rc::Rc<pool::UpstreamPool<E>>,
    term: ids::TermNumber,
) -> Option<command::UpstreamStatus> {
    let status = query_status(pool, &command::UpstreamCommand::Fence(term)).await?;
    if status.primary || status.fenced >= term || status.term < term {
        return Some(status);
    }
    // The replica already knew a newer term, so the fence had no effect.
    query_status(pool, &command::UpstreamCommand::Fence(status.term + 1)).await
}
