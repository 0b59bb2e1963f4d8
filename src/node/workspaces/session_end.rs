//! Ends the work of a session whose key or workspace is no longer admitted.

use crate::node::workspaces::{key_check, key_refusal};
use crate::node::{answers, edge, node_log, node_tables, relay, request, transaction};

/// Rolls back the session's transaction, here or on its host.
pub async fn roll_back<E: edge::NodeEdge>(
    transaction: &mut Option<transaction::OpenTransaction<E>>,
    relay: &mut relay::RelaySession,
) {
    relay.close();
    if let Some(mut transaction) = transaction.take() {
        transaction.roll_back().await;
    }
}

/// Refuses a statement that arrived before the session was closed. It has not run.
pub async fn refuse_request<E: edge::NodeEdge, C: edge::CallerLink>(
    tables: &node_tables::NodeTables<E>,
    link: &mut C,
    key: &key_check::KeyCheck,
    request: &request::CallerRequest,
    refusal: key_refusal::KeyRefusal,
    in_transaction: bool,
) {
    let version = tables.config().map_or(0, |config| config.version);
    node_log::warn(
        "request_refused",
        &[
            ("request", &request.id_text()),
            ("workspace", key.binding()),
            ("reason", &refusal),
            ("in_transaction", &in_transaction),
            ("config", &version),
        ],
    );
    metrics::counter!("persimmontack_refusals_total", "reason" => refusal.to_string()).increment(1);
    let error = refusal.error(in_transaction);
    if C::RELAYED {
        // The VM that forwards the session then knows that the statement has not run.
        return link.reject(&error).await;
    }
    let state = answers::TransactionState::Idle;
    let answer = answers::CallerAnswer::error(error.code, error.text, state);
    if let Err(error) = link.answer(&answer).await {
        node_log::debug("caller_lost", &[("reason", &error)]);
    }
}

/// Logs and counts a session that ends between two requests, or its transaction if it was in one.
pub fn report<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    key: &key_check::KeyCheck,
    refusal: key_refusal::KeyRefusal,
    in_transaction: bool,
) {
    let version = tables.config().map_or(0, |config| config.version);
    let event = if in_transaction {
        "transaction_ended"
    } else {
        "session_closed"
    };
    node_log::info(
        event,
        &[
            ("reason", &refusal),
            ("workspace", key.binding()),
            ("config", &version),
        ],
    );
    metrics::counter!("persimmontack_sessions_refused_total", "reason" => refusal.to_string())
        .increment(1);
}
