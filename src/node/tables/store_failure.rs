//! Records calls to the store that fail.

use tokio::time::Instant;

use crate::node::{edge, node_log, node_tables, watch_schedule};

/// A call to the store that failed.
#[derive(Debug)]
pub struct FailedCall<'a> {
    /// Why it failed.
    pub error: &'a edge::StoreError,
    /// Revision after which it asked for changes.
    pub revision: edge::RevisionNumber,
    /// Its wait and limit.
    pub times: watch_schedule::WatchTimes,
    /// When it was sent.
    pub sent_at: Instant,
}

impl FailedCall<'_> {
    /// Returns whether everything has to be read anew, since the store no longer has the changes.
    #[must_use]
    pub const fn is_history_lost(&self) -> bool {
        matches!(
            self.error,
            edge::StoreError::HistoryGone | edge::StoreError::Restored
        )
    }

    /// Records in the tables that the call failed.
    pub fn record<E: edge::NodeEdge>(&self, tables: &node_tables::NodeTables<E>) {
        if self.is_history_lost() {
            node_log::warn(
                "store_history_gone",
                &[("revision", &self.revision), ("reason", self.error)],
            );
            tables.missed_changes.set(true);
            return;
        }
        self.log(tables);
        record_outage(tables, self.error);
    }

    /// Logs the call. If the store answered another call of this VM while it waited, only this one or its
    /// answer was lost, and the store was available.
    fn log<E: edge::NodeEdge>(&self, tables: &node_tables::NodeTables<E>) {
        let contact = tables.store_contact.get();
        let contact_age =
            contact.map(|contact| node_tables::monotonic_now().saturating_sub(contact));
        let waited = self.sent_at.elapsed();
        let answered_meanwhile = contact_age.is_some_and(|age| age < waited);
        metrics::counter!("persimmontack_watches_failed_total").increment(1);
        node_log::warn(
            "watch_failed",
            &[
                ("reason", self.error),
                ("revision", &self.revision),
                ("wait_ms", &self.times.wait.as_millis()),
                ("waited_ms", &waited.as_millis()),
                ("store_answered_meanwhile", &answered_meanwhile),
            ],
        );
    }
}

/// Records that the store is unavailable.
pub fn record_outage<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    error: &edge::StoreError,
) {
    tables.missed_changes.set(true);
    metrics::gauge!("persimmontack_store_up").set(0.0);
    if !tables.store_available.replace(false) {
        return;
    }
    tables.store_lost_at.set(Some(tables.edge.boot_time()));
    node_log::warn("store_lost", &[("reason", error)]);
    // VMs that wait for this one have to ask others.
    tables.store_image.changed.notify_waiters();
}
