//! Keeps this VM's own entry in the store alive, by which the other VMs know it.

use std::rc;

use crate::node::{edge, limits, node_log, node_tables, stop};

async fn join<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
) -> Result<E::Lease, edge::StoreError> {
    let ttl = limits::MEMBER_TTL;
    tables.edge.join(&tables.vm, &tables.own_entry, ttl).await
}

/// Keeps this VM's entry in the store alive until the node stops. After that the other VMs may use
/// its share of the connections.
pub async fn keep<E: edge::NodeEdge>(
    tables: rc::Rc<node_tables::NodeTables<E>>,
    stop: rc::Rc<stop::StopState>,
) {
    let mut lease: Option<E::Lease> = None;
    loop {
        let sent_at = tables.edge.boot_time();
        let result = match &lease {
            Some(lease) => tables.edge.renew(lease).await,
            None => match join(&tables).await {
                Ok(joined) => {
                    node_log::info("membership_joined", &[("vm", &tables.vm)]);
                    lease = Some(joined);
                    Ok(())
                }
                Err(error) => Err(error),
            },
        };
        let mut pause = limits::MEMBER_RENEWAL;
        if result.is_ok() {
            tables.entry_renewed_at.set(Some(sent_at));
            tables.record_store_contact();
            if tables.revision.get() > 0 && !tables.store_available.replace(true) {
                // A VM that gets its tables from a follower learns only here that the store is back.
                node_log::info("store_answers_again", &[]);
                metrics::gauge!("persimmontack_store_up").set(1.0);
            }
        }
        if let Err(error) = result {
            node_log::warn("membership_failed", &[("reason", &error)]);
            // A waiting watch may not notice that the store is away.
            tables.refresh.notify_one();
            if error == edge::StoreError::LeaseEnded {
                lease = None;
                tokio::time::sleep(limits::STORE_PAUSE).await;
                continue;
            }
            if lease.is_some() {
                pause = limits::MEMBER_RETRY;
            }
        }
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            // The lease is lost then, and the other VMs miss the entry.
            () = tables.restored.notified() => {}
            () = tables.renew.notified() => {}
            _started = stop.wait_for_stop() => break,
        }
    }
    tables.entry_renewed_at.set(None);
    if let Some(lease) = lease
        && let Err(error) = tables.edge.leave(&lease).await
    {
        node_log::warn("membership_not_ended", &[("reason", &error)]);
    }
}
