//! Answers the questions of other VMs for changes of the tables.

use std::rc;
use std::time;

use tokio::time::Instant;

use crate::link::server;
use crate::node::tables::table_frame;
use crate::node::{edge, era_revision, limits, node_log, node_tables};

/// Serves the stream of one VM until it ends.
pub async fn serve<E: edge::NodeEdge>(
    tables: rc::Rc<node_tables::NodeTables<E>>,
    mut stream: server::PeerStream,
) {
    loop {
        let query = match stream.reader.next::<table_frame::TableQuery>().await {
            Ok(Some(query)) => query,
            Ok(None) => return,
            Err(error) => return log_lost(&stream, &error),
        };
        let reply = tokio::select! {
            reply = answer(&tables, query) => reply,
            () = stream.writer.closed() => return,
        };
        if let Err(error) = stream.writer.send(&reply).await {
            return log_lost(&stream, &error);
        }
    }
}

fn log_lost(stream: &server::PeerStream, error: &dyn std::fmt::Display) {
    node_log::debug(
        "peer_lost",
        &[("vm", &stream.peer_hello.vm), ("reason", error)],
    );
}

/// Waits for a change after the revision of the query, at most as long as the query allows.
async fn answer<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    query: table_frame::TableQuery,
) -> table_frame::TableReply {
    let received_at = Instant::now();
    let limit = received_at + query.wait.min(limits::MAX_WATCH_WAIT);
    loop {
        let changed = tables.store_image.changed.notified();
        if let Some(reply) = current_reply(tables, query, received_at, Instant::now() >= limit) {
            return reply;
        }
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep_until(limit) => {}
        }
    }
}

/// Returns the answer as of now, or `None` if there is no change to report yet. When `due`, an
/// answer without a change is returned: it tells the other VM that it has missed nothing.
fn current_reply<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    query: table_frame::TableQuery,
    received_at: Instant,
    due: bool,
) -> Option<table_frame::TableReply> {
    let image = tables.store_image.image.borrow();
    let now = tables.edge.boot_time();
    let age = image
        .began_at()
        .map(|began_at| now.saturating_sub(began_at))
        .filter(|age| *age <= max_age(tables));
    let newer = newer_config(tables, query);
    let Some(age) = age.filter(|_| tables.store_available.get()) else {
        return Some(table_frame::TableReply::Unavailable(newer.map(Box::new)));
    };
    let report = |changes| table_frame::TableReport {
        changes,
        revision: image.revision(),
        age,
        held: received_at.elapsed(),
        hops: tables.table_origin.borrow().hops.saturating_add(1),
    };
    let known = era_revision::EraRevision::from_number(query.after);
    let own = era_revision::EraRevision::from_number(image.revision());
    if known.era > own.era {
        return Some(table_frame::TableReply::Unavailable(newer.map(Box::new)));
    }
    // The image has the configuration of the store, which other VMs may have overtaken.
    let newer = newer.map(|report| edge::ControlChange::Config(report.config));
    let Some(mut changes) = image
        .changes_after(query.after)
        .filter(|_| known.era == own.era)
    else {
        let mut listing = image.listing();
        listing.extend(newer);
        return Some(table_frame::TableReply::Listing(report(listing)));
    };
    changes.extend(newer);
    (due || !changes.is_empty()).then(|| table_frame::TableReply::Changes(report(changes)))
}

/// Returns the configuration in force if it is newer than the one of the query.
fn newer_config<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    query: table_frame::TableQuery,
) -> Option<table_frame::ConfigReport> {
    let config = tables.config()?;
    (config.version > query.config).then(|| table_frame::ConfigReport {
        config: (*config).clone(),
        hops: tables.config_origin.borrow().hops.saturating_add(1),
    })
}

/// Age of the tables beyond which this VM passes none on: they are overdue here, so they would be at the
/// other VM.
fn max_age<E: edge::NodeEdge>(tables: &node_tables::NodeTables<E>) -> time::Duration {
    tables.watch_schedule().overdue_age()
}
