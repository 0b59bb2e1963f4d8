//! [`GroupTracker`]: the upstream states of one group, merged from the feeds of all pools.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use crate::decide::{read_position, routing};
use crate::entry::observer;
use crate::link::feed_update;
use crate::model::{group_spec, ids, upstream_state};
use crate::rules::rule_set;

#[derive(Debug)]
struct TrackerData {
    spec: group_spec::GroupSpec,
    /// Upstreams that are leaving or drained by a rule.
    leaving: Vec<ids::UpstreamId>,
    states: collections::HashMap<ids::UpstreamId, upstream_state::UpstreamState>,
    /// By upstream and VM of the pool: whether the pool reaches the upstream, and its queue wait.
    pool_reports: collections::HashMap<(ids::UpstreamId, ids::VmId), (bool, time::Duration)>,
}

/// The states of one group's upstreams. Readers load an immutable list of views without a lock;
/// each update builds a new list and replaces the old one.
#[derive(Debug)]
pub struct GroupTracker {
    /// Name of the group.
    pub group: ids::GroupId,
    /// Recently confirmed primary positions.
    pub history: sync::Mutex<read_position::ConfirmedHistory>,
    /// Observes confirmed positions for the sessions that wait for one.
    pub observer: observer::GroupObserver,
    views: arc_swap::ArcSwap<Vec<routing::UpstreamView>>,
    data: sync::Mutex<TrackerData>,
    changed: tokio::sync::watch::Sender<u64>,
    /// Time of the last use, in milliseconds since the start of the process plus 1; 0 if there was
    /// none.
    used: atomic::AtomicU64,
}

impl GroupTracker {
    /// Creates the tracker of a group none of whose upstream states is known yet.
    #[must_use]
    pub fn new(spec: &group_spec::GroupSpec, rules: &rule_set::RuleSet) -> Self {
        let tracker = Self {
            group: spec.group.clone(),
            history: sync::Mutex::default(),
            observer: observer::GroupObserver::default(),
            views: arc_swap::ArcSwap::default(),
            data: sync::Mutex::new(TrackerData {
                spec: spec.clone(),
                leaving: Vec::new(),
                states: collections::HashMap::new(),
                pool_reports: collections::HashMap::new(),
            }),
            changed: tokio::sync::watch::Sender::new(0),
            used: atomic::AtomicU64::new(0),
        };
        tracker.set_spec(spec, rules);
        tracker
    }

    /// Returns the current views of the upstreams.
    pub fn views(&self) -> sync::Arc<Vec<routing::UpstreamView>> {
        self.views.load_full()
    }

    /// Records that a session uses the group's upstreams now.
    pub fn record_use(&self, now: time::Duration) {
        let now = u64::try_from(now.as_millis()).unwrap_or(u64::MAX - 1);
        self.used.store(now + 1, atomic::Ordering::Relaxed);
    }

    /// Returns whether the group was used within the last `window`.
    pub fn is_used(&self, now: time::Duration, window: time::Duration) -> bool {
        let used = self.used.load(atomic::Ordering::Relaxed);
        used > 0 && now <= time::Duration::from_millis(used) + window
    }

    /// Subscribes to changes of the views.
    pub fn subscribe(&self) -> tokio::sync::watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Replaces the group's specification and determines the drained upstreams from it and the
    /// rules.
    pub fn set_spec(&self, spec: &group_spec::GroupSpec, rules: &rule_set::RuleSet) {
        self.update(|data| {
            data.spec = spec.clone();
            data.leaving = spec
                .upstreams
                .iter()
                .filter(|upstream| upstream.leaving || rules.drains_upstream(&upstream.upstream))
                .map(|upstream| upstream.upstream.clone())
                .collect();
        });
    }

    /// Merges a report of the pool on `vm` about an upstream.
    pub fn apply_report(&self, vm: &str, report: &feed_update::UpstreamReport) {
        self.update(|data| {
            let upstream = &report.state.upstream;
            data.pool_reports.insert(
                (upstream.clone(), vm.to_owned()),
                (report.reachable, report.wait),
            );
            Self::merge(data, &report.state);
        });
    }

    /// Merges a state that was observed outside the feeds.
    pub fn apply_state(&self, state: &upstream_state::UpstreamState) {
        self.update(|data| Self::merge(data, state));
    }

    /// Discards the reachability reports of the pool on `vm`; the upstream states are kept.
    pub fn forget_pool(&self, vm: &str) {
        self.update(|data| data.pool_reports.retain(|(_, source), _| source != vm));
    }

    fn merge(data: &mut TrackerData, state: &upstream_state::UpstreamState) {
        let newer = data
            .states
            .get(&state.upstream)
            .is_none_or(|known| state.is_newer_than(known));
        if newer {
            data.states.insert(state.upstream.clone(), state.clone());
        }
    }

    fn update(&self, edit: impl FnOnce(&mut TrackerData)) {
        let mut data = self
            .data
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        edit(&mut data);
        let views = data
            .spec
            .upstreams
            .iter()
            .map(|spec| Self::view(&data, spec))
            .collect();
        // Stored while the lock is held, so that older views never replace newer ones.
        self.views.store(sync::Arc::new(views));
        drop(data);
        self.changed.send_modify(|version| *version += 1);
    }

    fn view(
        data: &TrackerData,
        spec: &crate::model::upstream_spec::UpstreamSpec,
    ) -> routing::UpstreamView {
        let pool_reports: Vec<_> = data
            .pool_reports
            .iter()
            .filter(|((upstream, _), _)| *upstream == spec.upstream)
            .map(|(_, source)| *source)
            .collect();
        let reach = if pool_reports.iter().any(|(reachable, _)| *reachable) {
            routing::UpstreamReach::Reported
        } else if pool_reports.is_empty() {
            routing::UpstreamReach::Assumed
        } else {
            routing::UpstreamReach::Lost
        };
        routing::UpstreamView {
            spec: spec.clone(),
            state: data.states.get(&spec.upstream).cloned(),
            reach,
            leaving: data.leaving.contains(&spec.upstream),
            wait: pool_reports
                .iter()
                .filter(|(reachable, _)| *reachable)
                .map(|(_, wait)| *wait)
                .min()
                .unwrap_or_default(),
        }
    }
}
