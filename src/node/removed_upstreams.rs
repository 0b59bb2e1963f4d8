//! [`RemovedUpstreams`]: the age of the last entries of upstreams that were removed.

use std::collections;
use std::time;

use crate::model::ids;
use crate::node::{entry_age, limits, upstream_entry};

/// The age of the last entries of upstreams that were removed a while ago. A store that is restored
/// from a copy has their earlier entries again.
#[derive(Debug, Default)]
pub struct RemovedUpstreams {
    /// Age of the last entry, and when the upstream was removed, by the monotonic clock.
    ages: collections::BTreeMap<ids::UpstreamId, (entry_age::EntryAge, time::Duration)>,
}

impl RemovedUpstreams {
    /// Records the last entry of an upstream that is removed at `now`.
    pub fn record(&mut self, entry: &upstream_entry::UpstreamEntry, now: time::Duration) {
        self.ages
            .retain(|_, (_, at)| now.saturating_sub(*at) < limits::REMOVED_MEMORY);
        self.ages.insert(entry.upstream.clone(), (entry.age(), now));
    }

    /// Returns whether the upstream was removed.
    #[must_use]
    pub fn contains(&self, upstream: &str) -> bool {
        self.ages.contains_key(upstream)
    }

    /// Returns whether the upstream was removed with a later entry of the same run.
    #[must_use]
    pub fn has_later(&self, entry: &upstream_entry::UpstreamEntry) -> bool {
        self.ages
            .get(&entry.upstream)
            .is_some_and(|(last, _removed_at)| entry.age().is_before(*last))
    }
}
