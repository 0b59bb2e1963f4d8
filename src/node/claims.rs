//! Claims decision numbers from the store, in advance or on demand, and closes decisions there.

use std::rc;

use crate::node::{
    decision_outcome, edge, group, limits, node_log, node_tables, primary_change, term_search,
};

/// Why no number could be claimed for a decision.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ClaimError {
    /// Another VM claimed a number first.
    #[display("another VM decides")]
    Overtaken,
    /// The call to the store failed.
    #[display("store: {_0}")]
    Store(edge::StoreError),
}

async fn claim<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    group: &group::GroupState,
    previous: edge::RevisionNumber,
    purpose: &edge::ClaimPurpose,
) -> Result<edge::RevisionNumber, edge::StoreError> {
    let claim = tables
        .edge
        .claim_decision(&group.group, &tables.vm, previous, purpose);
    let number = tokio::time::timeout(limits::CLAIM_TIMEOUT, claim)
        .await
        .unwrap_or_else(|_elapsed| Err(edge::StoreError::NoAnswer("timeout".to_owned())))
        .inspect_err(|error| {
            if *error == edge::StoreError::Restored {
                // The tables are read anew before the next claim.
                tables.refresh.notify_one();
            }
        })?;
    group
        .decisions
        .record_claim(number, purpose, node_tables::monotonic_now());
    Ok(number)
}

/// Claims the number of a decision from the store, if `previous` is still the latest number. Uses
/// the reserved number if the store is unavailable.
///
/// A VM that uses its reserved number may decide concurrently with another VM that reaches the
/// store. In a failover both compare the same fenced replicas and choose the same successor, so
/// that is safe. The target of a planned move depends on when the replicas are compared, so a
/// planned move may not use the reserved number.
///
/// # Errors
///
/// Fails if another VM has claimed a number, or if the store is unavailable and no number is
/// reserved.
pub async fn claim_number<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    group: &group::GroupState,
    previous: edge::RevisionNumber,
    change: &primary_change::PrimaryChange,
) -> Result<edge::RevisionNumber, ClaimError> {
    let purpose = edge::ClaimPurpose::Now(change.clone());
    let error = match claim(tables, group, previous, &purpose).await {
        Ok(number) => return Ok(number),
        Err(edge::StoreError::Conflict) => return Err(ClaimError::Overtaken),
        Err(error @ edge::StoreError::Restored) => return Err(ClaimError::Store(error)),
        Err(error) => error,
    };
    let knows_all_decisions = !tables
        .isolation
        .may_have_missed_decisions(tables.edge.boot_time());
    let usable = knows_all_decisions && change.successor.is_none();
    let Some(number) = usable.then(|| group.decisions.take_reserved()).flatten() else {
        return Err(ClaimError::Store(error));
    };
    node_log::warn(
        "reserve_used",
        &[
            ("group", &group.group),
            ("decision", &number),
            ("reason", &error),
        ],
    );
    group
        .decisions
        .open_decision(number, change.clone(), node_tables::monotonic_now());
    Ok(number)
}

/// Reserves a number for a failover that may be needed while the store is unavailable, if
/// `previous` is still the latest number.
pub async fn reserve_number<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    group: &group::GroupState,
    previous: edge::RevisionNumber,
) {
    match claim(tables, group, previous, &edge::ClaimPurpose::Reserve).await {
        Ok(number) => {
            group.decisions.set_reserved(number);
            node_log::info(
                "number_reserved",
                &[("group", &group.group), ("decision", &number)],
            );
        }
        Err(error) => node_log::info(
            "number_not_reserved",
            &[("group", &group.group), ("reason", &error)],
        ),
    }
}

/// Publishes in the store that a decision has ended, with what came of it and, if it is known, where
/// the primary's term began, unless a later number has been claimed.
///
/// # Errors
///
/// Fails if a later number has been claimed, or if the store does not answer.
pub async fn close_decision<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    group: &group::GroupState,
    number: edge::RevisionNumber,
    outcome: decision_outcome::DecisionOutcome,
) -> Result<(), edge::StoreError> {
    if group.decisions.latest() != number {
        return Err(edge::StoreError::Conflict);
    }
    let start = term_search::await_start(tables, group).await;
    let purpose = match (outcome, start) {
        (decision_outcome::DecisionOutcome::Kept, start) => edge::ClaimPurpose::Kept(start),
        (
            decision_outcome::DecisionOutcome::Promoted
            | decision_outcome::DecisionOutcome::Unknown,
            Some(start),
        ) => edge::ClaimPurpose::Promoted(start),
        (
            decision_outcome::DecisionOutcome::Promoted
            | decision_outcome::DecisionOutcome::Unknown,
            None,
        ) => edge::ClaimPurpose::Ended,
    };
    let ended = claim(tables, group, number, &purpose).await?;
    node_log::info(
        "decision_closed",
        &[
            ("group", &group.group),
            ("decision", &number),
            ("number", &ended),
            ("purpose", &purpose),
        ],
    );
    tables.changed.notify_waiters();
    Ok(())
}

/// Closes a decision in the background, with retries until the store answers.
pub fn spawn_close<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    group: &rc::Rc<group::GroupState>,
    number: edge::RevisionNumber,
    outcome: decision_outcome::DecisionOutcome,
) {
    let tables = rc::Rc::clone(tables);
    let group = rc::Rc::clone(group);
    tokio::task::spawn_local(async move {
        let _superseded = close_with_retry(&tables, &group, number, outcome).await;
    });
}

/// Closes a decision, with retries until the store answers. Returns `false` if a later number had
/// been claimed.
pub async fn close_with_retry<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    group: &group::GroupState,
    number: edge::RevisionNumber,
    outcome: decision_outcome::DecisionOutcome,
) -> bool {
    loop {
        match close_decision(tables, group, number, outcome).await {
            Ok(()) => return true,
            Err(edge::StoreError::Conflict) => return false,
            Err(error) => node_log::debug(
                "decision_not_closed",
                &[("group", &group.group), ("reason", &error)],
            ),
        }
        tokio::time::sleep(limits::STORE_PAUSE).await;
    }
}
