//! Gauges of what a node holds and believes, set when the metrics are read.

use crate::node::{board, edge};

/// Sets all gauges.
pub fn update<E: edge::NodeEdge>(board: &board::NodeBoard<E>) {
    metrics::gauge!("persimmontack_sessions").set(f64::from(board.sessions.get()));
    metrics::gauge!("persimmontack_members").set(f64::from(board.member_count()));
    for pool in board.pools() {
        let upstream = pool.upstream().clone();
        let running = pool.health.get().running();
        let values = [
            ("persimmontack_upstream_waiting", pool.waiting()),
            ("persimmontack_upstream_running", running),
            ("persimmontack_upstream_connections", pool.connections()),
            (
                "persimmontack_upstream_suspect",
                u32::from(pool.is_suspect()),
            ),
        ];
        for (name, value) in values {
            metrics::gauge!(name, "upstream" => upstream.clone()).set(f64::from(value));
        }
    }
    for group in board.groups() {
        let name = group.group.clone();
        let decision = board::u64_gauge(group.decision());
        metrics::gauge!("persimmontack_decision_number", "group" => name.clone()).set(decision);
        let primary = f64::from(u32::from(group.primary().is_some()));
        metrics::gauge!("persimmontack_primary_known", "group" => name.clone()).set(primary);
        if let Some(newest) = group.newest() {
            let age = board.edge.boot_time().saturating_sub(newest);
            metrics::gauge!("persimmontack_position_age_seconds", "group" => name)
                .set(age.as_secs_f64());
        }
    }
}
