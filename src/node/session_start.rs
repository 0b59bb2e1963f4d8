//! Starts the session of a caller: checks that its database exists, then serves it.

use std::rc;

use tokio::time::Instant;

use crate::event;
use crate::node::workspaces::{key_check, key_refusal};
use crate::node::{answers, config, edge, limits, node_log, node_tables, session, stop};

/// Serves one caller until it disconnects or the node stops.
pub async fn serve<E: edge::NodeEdge, C: edge::CallerLink>(
    tables: rc::Rc<node_tables::NodeTables<E>>,
    mut link: C,
    stop: rc::Rc<stop::StopState>,
) {
    let hello = match link.accept().await {
        Ok(hello) => hello,
        Err(error) => return reject(&mut link, error).await,
    };
    let database = hello.database.clone();
    let Some(config) = await_config(&tables).await else {
        report_refused(&[("database_bytes", &database.len())], &"no_config");
        let text = answers::retry_later_text(&"no configuration yet");
        let error = answers::StatementError::new(answers::ErrorCode::Busy, text);
        return link.reject(&error).await;
    };
    if !config.routes.contains_key(&database) {
        // A caller that leaves out the database sends its key in this place.
        report_refused(
            &[
                ("database_bytes", &database.len()),
                ("config", &config.version),
                ("config_age_ms", &tables.config_age().as_millis()),
            ],
            &"no_database",
        );
        let text = "no route has the database";
        let error = answers::StatementError::new(answers::ErrorCode::NoDatabase, text);
        return link.reject(&error).await;
    }
    let key = match key_check::KeyCheck::new(&config, hello) {
        Ok(key) => key,
        Err(refusal) => {
            report_key_refused(&tables, &database, config.version, refusal);
            return link.reject(&refusal.error(false)).await;
        }
    };
    if link.welcome().await.is_err() {
        return;
    }
    let count = stop::SessionCount::new(rc::Rc::clone(&tables));
    let mut session = session::CallerSession::new(tables, database, key, C::RELAYED);
    session.run(&mut link, &stop).await;
    drop(count);
}

/// Logs a caller whose key or workspace is not known, with the age of this VM's tables if that is
/// above the time within which a configuration has to be in force: the configuration may be old.
fn report_key_refused<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    database: &str,
    version: config::ConfigVersion,
    refusal: key_refusal::KeyRefusal,
) {
    let age = tables.config_age();
    let age_ms = age.as_millis();
    let mut pairs: Vec<(&str, event::EventValue<'_>)> =
        vec![("database", &database), ("config", &version)];
    if age > tables.config_apply_limit.get() {
        pairs.push(("old_config_age_ms", &age_ms));
    }
    report_refused(&pairs, &refusal);
}

fn report_refused(pairs: &[(&str, event::EventValue<'_>)], reason: &dyn std::fmt::Display) {
    metrics::counter!("persimmontack_callers_refused_total", "reason" => reason.to_string())
        .increment(1);
    let mut line = vec![("reason", reason)];
    line.extend_from_slice(pairs);
    node_log::warn("caller_refused", &line);
}

/// Waits for the first configuration, since a caller may connect before the node has read it.
async fn await_config<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
) -> Option<rc::Rc<config::NodeConfig>> {
    let limit = Instant::now() + limits::FIRST_CONFIG_TIMEOUT;
    while Instant::now() < limit {
        if let Some(config) = tables.config() {
            return Some(config);
        }
        tokio::time::sleep(limits::ROUTE_PAUSE).await;
    }
    None
}

/// Sends the error to a caller that violates the protocol, and ends its connection.
pub(super) async fn reject<C: edge::CallerLink>(link: &mut C, error: edge::CallerError) {
    match error {
        edge::CallerError::Closed => {}
        edge::CallerError::Invalid(error) => {
            let text = String::from_utf8_lossy(&error.text);
            report_refused(&[("text", &text)], &error.code);
            link.reject(&error).await;
        }
    }
}
