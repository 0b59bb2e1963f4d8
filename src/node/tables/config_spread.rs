//! Tells other VMs of a new configuration without being asked.
//!
//! So it reaches a VM that asks nobody, or whose questions are not answered. A version never goes back, so a newer
//! one is right whoever passes it on. See `docs/design/tables.md`, "A second way for configurations".

use std::cell;
use std::collections;
use std::rc;
use std::time;

use futures::future;
use tokio::time::Instant;

use crate::decide::config_ring;
use crate::link::{link_error, server, stream_kind};
use crate::model::ids;
use crate::node::tables::{table_frame, table_origin};
use crate::node::{config, edge, limits, node_log, node_tables, peers};

/// Time for which a VM that did not take an offer is told after the others.
const FAILURE_MEMORY: time::Duration = time::Duration::from_secs(5);

/// Tells other VMs of each configuration that replaces another one.
#[derive(Debug)]
struct ConfigSpread<E: edge::NodeEdge> {
    tables: rc::Rc<node_tables::NodeTables<E>>,
    /// VMs that did not take an offer, and when that was.
    failed: cell::RefCell<collections::BTreeMap<ids::VmId, Instant>>,
}

/// Tells other VMs of each configuration that replaces another one, as long as the node runs.
pub async fn run<E: edge::NodeEdge>(tables: rc::Rc<node_tables::NodeTables<E>>) {
    let spread = rc::Rc::new(ConfigSpread {
        tables: rc::Rc::clone(&tables),
        failed: cell::RefCell::default(),
    });
    let mut told = 0;
    loop {
        let changed = tables.config_changed.notified();
        let version = current_version(&tables);
        // A VM that starts has the first one from the store, as the others have.
        if told > 0 && version > told {
            let spread = rc::Rc::clone(&spread);
            tokio::task::spawn_local(async move { spread.tell(version).await });
        }
        told = version;
        changed.await;
    }
}

impl<E: edge::NodeEdge> ConfigSpread<E> {
    /// Tells one VM at each distance on the ring, or the next one after it that answers.
    async fn tell(&self, version: config::ConfigVersion) {
        let now = Instant::now();
        self.failed
            .borrow_mut()
            .retain(|_, failed_at| now < *failed_at + FAILURE_MEMORY);
        let members = self.tables.members_and_former();
        let told = config_ring::choose_told(&self.tables.vm, members.iter().map(String::as_str));
        let tells = told.into_iter().map(|mut candidates| {
            candidates.sort_by_key(|vm| self.failed.borrow().contains_key(vm));
            self.tell_first(candidates, version)
        });
        future::join_all(tells).await;
    }

    /// Tells the first candidate that answers, unless a newer version comes meanwhile.
    async fn tell_first(&self, candidates: Vec<ids::VmId>, version: config::ConfigVersion) {
        for vm in candidates {
            if current_version(&self.tables) > version || offer_or_log(&self.tables, &vm).await {
                return;
            }
            self.failed.borrow_mut().insert(vm, Instant::now());
        }
    }
}

fn current_version<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
) -> config::ConfigVersion {
    tables.config().map_or(0, |config| config.version)
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
    let purpose = peers::LinkPurpose::Tables;
    let client = tables.peers.connect_for(tables, vm, purpose).await?;
    let text = |error: link_error::LinkError| error.to_string();
    let (mut writer, mut reader) = client
        .open(stream_kind::StreamKind::Config)
        .await
        .map_err(text)?;
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
