//! Gauges of the node's state, updated when the metrics are scraped.

use std::collections;

use crate::node::{edge, era_revision, node_tables};

/// Updates all gauges.
pub fn update<E: edge::NodeEdge>(tables: &node_tables::NodeTables<E>) {
    metrics::gauge!("persimmontack_sessions").set(f64::from(tables.sessions.get()));
    let caller_bytes = u64::try_from(tables.admission.used()).unwrap_or(u64::MAX);
    metrics::gauge!("persimmontack_caller_bytes").set(node_tables::u64_gauge(caller_bytes));
    let age = tables.config_age();
    metrics::gauge!("persimmontack_list_age_seconds").set(age.as_secs_f64());
    let revision = era_revision::EraRevision::from_number(tables.revision.get());
    metrics::gauge!("persimmontack_store_era").set(node_tables::u64_gauge(revision.era));
    metrics::gauge!("persimmontack_members").set(f64::from(tables.member_count()));
    for pool in tables.pools() {
        let upstream = pool.upstream().clone();
        let running = pool.health.get().running();
        let values = [
            ("persimmontack_upstream_waiting", pool.waiting()),
            ("persimmontack_upstream_running", running),
            ("persimmontack_upstream_connections", pool.connections()),
            ("persimmontack_upstream_idle", pool.idle()),
            ("persimmontack_upstream_opening", pool.opening()),
            (
                "persimmontack_upstream_held_by_transactions",
                pool.held_by_transactions(),
            ),
            (
                "persimmontack_upstream_suspect",
                u32::from(pool.is_suspect()),
            ),
        ];
        for (name, value) in values {
            metrics::gauge!(name, "upstream" => upstream.clone()).set(f64::from(value));
        }
    }
    let mut shares: collections::BTreeMap<_, f64> = collections::BTreeMap::new();
    for group in tables.groups() {
        for (data_centre, share) in group.placement.shares() {
            let highest = shares.entry(data_centre).or_default();
            *highest = highest.max(share);
        }
        let name = group.group.clone();
        let decision = era_revision::EraRevision::from_number(group.decisions.latest());
        let decision = node_tables::u64_gauge(decision.revision);
        metrics::gauge!("persimmontack_decision_number", "group" => name.clone()).set(decision);
        let primary = f64::from(u32::from(group.primary().is_some()));
        metrics::gauge!("persimmontack_primary_known", "group" => name.clone()).set(primary);
        if let Some(newest) = group.newest_position_time() {
            let age = tables.edge.boot_time().saturating_sub(newest);
            metrics::gauge!("persimmontack_position_age_seconds", "group" => name)
                .set(age.as_secs_f64());
        }
    }
    for (data_centre, share) in shares {
        let own = tables.own_entry.data_centre.clone();
        metrics::gauge!("persimmontack_read_share", "from" => own, "to" => data_centre).set(share);
    }
}
