//! Tells other VMs of a new configuration without being asked.
//!
//! So it reaches a VM that asks nobody, or whose questions are not answered. A version never goes back, so a newer
//! one is right whoever passes it on. See `docs/design/tables.md`, "A second way for configurations".

use std::rc;

use futures::future;

use crate::decide::config_ring;
use crate::link::{link_error, server, stream_kind};
use crate::node::tables::{table_frame, table_origin};
use crate::node::{config, edge, limits, node_log, node_tables};

/// Tells other VMs of each configuration that replaces another one, as long as the node runs.
pub async fn run<E: edge::NodeEdge>(tables: rc::Rc<node_tables::NodeTables<E>>) {
    let mut told = 0;
    loop {
        let changed = tables.config_changed.notified();
        let version = current_version(&tables);
        // A VM that starts has the first one from the store, as the others have.
        if told > 0 && version > told {
            tokio::task::spawn_local(spread(rc::Rc::clone(&tables)));
        }
        told = version;
        changed.await;
    }
}

fn current_version<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
) -> config::ConfigVersion {
    tables.config().map_or(0, |config| config.version)
}

/// Tells one VM at each distance on the ring, or the next one after it that answers.
async fn spread<E: edge::NodeEdge>(tables: rc::Rc<node_tables::NodeTables<E>>) {
    let members = tables.members_and_former();
    let told = config_ring::choose_told(&tables.vm, members.iter().map(String::as_str));
    let tells = told.into_iter().map(|candidates| {
        let tables = &tables;
        async move {
            for vm in candidates {
                if tables.peers.is_unreachable(&vm) {
                    continue;
                }
                if offer_or_log(tables, &vm).await {
                    return;
                }
            }
        }
    });
    future::join_all(tells).await;
}

/// Offers a VM the configuration in force. Returns whether the VM has it now.
pub async fn offer_or_log<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    vm: &str,
) -> bool {
    let offer = tokio::time::timeout(limits::CONFIG_OFFER_TIMEOUT, offer(tables, vm));
    match offer.await {
        Ok(Ok(())) => return true,
        Ok(Err(error)) => log_untold(vm, &error),
        Err(elapsed) => log_untold(vm, &elapsed),
    }
    false
}

fn log_untold(vm: &str, reason: &dyn std::fmt::Display) {
    node_log::debug("config_untold", &[("vm", &vm), ("reason", reason)]);
}

/// Tells a VM which version is in force here, and sends it if that VM has an older one.
async fn offer<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    vm: &str,
) -> Result<(), String> {
    let kind = stream_kind::StreamKind::Config;
    let (mut writer, mut reader) = tables.peers.open(tables, vm, kind).await?;
    let text = |error: link_error::LinkError| error.to_string();
    writer.send(&current_version(tables)).await.map_err(text)?;
    let known: config::ConfigVersion = reader.expect().await.map_err(text)?;
    match tables.newer_config(known) {
        Some(report) => writer.send_last(&report).await.map_err(text),
        None => writer.finish().map_err(text),
    }
}

/// Takes a newer configuration from another VM.
pub async fn serve<E: edge::NodeEdge>(
    tables: rc::Rc<node_tables::NodeTables<E>>,
    mut stream: server::PeerStream,
) {
    let vm = stream.peer_hello.vm.clone();
    let offered = async {
        let version: config::ConfigVersion = stream.reader.expect().await?;
        let known = current_version(&tables);
        stream.writer.send_last(&known).await?;
        if version <= known {
            return Ok(None);
        }
        let report: table_frame::ConfigReport = stream.reader.expect().await?;
        Ok(Some(report))
    };
    let offered: Result<_, link_error::LinkError> = offered.await;
    match offered {
        Ok(Some(report)) => {
            let hops = report.hops;
            let origin = table_origin::TableOrigin { vm: Some(vm), hops };
            tables.apply_config_from(report.config, origin);
        }
        Ok(None) => {}
        Err(error) => node_log::debug("peer_lost", &[("vm", &vm), ("reason", &error)]),
    }
}
