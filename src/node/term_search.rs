//! Asks a primary where its term began.
//!
//! Offsets continue from one term to the next, and an upstream tells whether its log holds a
//! position of a given term. So the first position of the term is found by bisection, with
//! questions that need no execution slot. See `docs/node.md`, "What a successor has to hold".

use std::rc;

use crate::model::{ids, log_position, term_start};
use crate::node::{command, edge, group, node_log, node_tables, pool, probe};

/// Learns in the background where the primary's term began, unless that is known or being asked.
pub fn spawn<E: edge::NodeEdge>(
    group: &rc::Rc<group::GroupState>,
    pool: &rc::Rc<pool::UpstreamPool<E>>,
    term: ids::TermNumber,
) {
    let known = group.log_knowledge().term_start;
    if known.is_some_and(|start| start.term >= term) || group.set_searching_start(true) {
        return;
    }
    let group = rc::Rc::clone(group);
    let pool = rc::Rc::clone(pool);
    tokio::task::spawn_local(async move {
        if let Some(start) = find_start(&pool, term).await {
            record(&group, &pool, start);
        }
        group.set_searching_start(false);
    });
}

/// Returns where the term of the group's primary began, if that is known or the primary tells it.
pub async fn await_start<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    group: &group::GroupState,
) -> Option<term_start::TermStart> {
    let term = group.primary_term()?;
    let known = || {
        let start = group.log_knowledge().term_start;
        start.filter(|start| start.term >= term)
    };
    if known().is_none()
        && let Some(pool) = tables.primary_pool(group)
        && let Some(start) = find_start(&pool, term).await
    {
        record(group, &pool, start);
    }
    known()
}

fn record<E: edge::NodeEdge>(
    group: &group::GroupState,
    pool: &pool::UpstreamPool<E>,
    start: term_start::TermStart,
) {
    group.record_term_start(start);
    node_log::info(
        "term_start_known",
        &[
            ("group", &group.group),
            ("upstream", pool.upstream()),
            ("term", &start.term),
            ("position", &start.position),
        ],
    );
}

/// Asks an upstream that leads `term` where its log of that term begins. Returns `None` if it does
/// not answer or leads another term.
async fn find_start<E: edge::NodeEdge>(
    pool: &rc::Rc<pool::UpstreamPool<E>>,
    term: ids::TermNumber,
) -> Option<term_start::TermStart> {
    let question = command::UpstreamCommand::Fence(probe::NO_FENCE);
    let status = probe::query_status(pool, &question).await?;
    if !status.primary || status.term != term {
        return None;
    }
    let head = status.received;
    if head.term < term {
        // Nothing was committed in the term yet.
        return Some(term_start::TermStart {
            term,
            position: head,
        });
    }
    let first = first_offset(pool, head).await?;
    let offset = first.saturating_sub(1);
    let position = log_position::LogPosition::new(earlier_term(pool, term, offset).await?, offset);
    Some(term_start::TermStart { term, position })
}

/// Returns the offset of the first entry of the term in which a log ends at `head`.
async fn first_offset<E: edge::NodeEdge>(
    pool: &rc::Rc<pool::UpstreamPool<E>>,
    head: log_position::LogPosition,
) -> Option<ids::LogOffset> {
    let mut lacking = 0;
    let mut held = head.offset;
    while held - lacking > 1 {
        let middle = lacking + (held - lacking) / 2;
        let position = log_position::LogPosition::new(head.term, middle);
        if probe::holds_position(pool, position).await? {
            held = middle;
        } else {
            lacking = middle;
        }
    }
    Some(held)
}

/// Returns the term of the entry at `offset`, which is earlier than `term`.
async fn earlier_term<E: edge::NodeEdge>(
    pool: &rc::Rc<pool::UpstreamPool<E>>,
    term: ids::TermNumber,
    offset: ids::LogOffset,
) -> Option<ids::TermNumber> {
    if offset == 0 {
        return Some(0);
    }
    for earlier in (1..term).rev() {
        let position = log_position::LogPosition::new(earlier, offset);
        if probe::holds_position(pool, position).await? {
            return Some(earlier);
        }
    }
    // A log without the entry would be a fault of the upstream; the latest term asks for most.
    Some(term.saturating_sub(1))
}
