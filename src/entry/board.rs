//! [`GroupBoard`]: what the entry knows about one group, merged from the feeds of all pools.

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
struct BoardInner {
    spec: group_spec::GroupSpec,
    drained: Vec<ids::UpstreamId>,
    states: collections::HashMap<ids::UpstreamId, upstream_state::UpstreamState>,
    sources: collections::HashMap<(ids::UpstreamId, ids::VmId), (bool, time::Duration)>,
}

/// One group's upstreams. Readers take the views without a lock; feeds replace them whole.
#[derive(Debug)]
pub struct GroupBoard {
    /// Name of the group.
    pub group: ids::GroupId,
    /// Confirmed positions read of late.
    pub history: sync::Mutex<read_position::ConfirmedHistory>,
    /// Reads confirmed positions for the sessions that wait.
    pub observer: observer::GroupObserver,
    views: arc_swap::ArcSwap<Vec<routing::UpstreamView>>,
    inner: sync::Mutex<BoardInner>,
    changed: tokio::sync::watch::Sender<u64>,
    /// Time of the last use in milliseconds plus 1; 0 if there was none.
    used: atomic::AtomicU64,
}

impl GroupBoard {
    /// Creates the board of a group of which no state is known.
    #[must_use]
    pub fn new(spec: &group_spec::GroupSpec, rules: &rule_set::RuleSet) -> Self {
        let board = Self {
            group: spec.group.clone(),
            history: sync::Mutex::default(),
            observer: observer::GroupObserver::default(),
            views: arc_swap::ArcSwap::default(),
            inner: sync::Mutex::new(BoardInner {
                spec: spec.clone(),
                drained: Vec::new(),
                states: collections::HashMap::new(),
                sources: collections::HashMap::new(),
            }),
            changed: tokio::sync::watch::Sender::new(0),
            used: atomic::AtomicU64::new(0),
        };
        board.set_spec(spec, rules);
        board
    }

    /// Returns the upstreams as they are known now.
    pub fn views(&self) -> sync::Arc<Vec<routing::UpstreamView>> {
        self.views.load_full()
    }

    /// Notes that a session of the group needs its upstreams.
    pub fn note_use(&self, now: time::Duration) {
        let now = u64::try_from(now.as_millis()).unwrap_or(u64::MAX - 1);
        self.used.store(now + 1, atomic::Ordering::Relaxed);
    }

    /// Tells whether the group was used within `keep`.
    pub fn is_used(&self, now: time::Duration, keep: time::Duration) -> bool {
        let used = self.used.load(atomic::Ordering::Relaxed);
        used > 0 && now <= time::Duration::from_millis(used) + keep
    }

    /// Subscribes to changes of the views.
    pub fn subscribe(&self) -> tokio::sync::watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Replaces what the platform and the rules say about the group.
    pub fn set_spec(&self, spec: &group_spec::GroupSpec, rules: &rule_set::RuleSet) {
        self.change(|inner| {
            inner.spec = spec.clone();
            inner.drained = spec
                .upstreams
                .iter()
                .filter(|upstream| upstream.leaving || rules.drains_upstream(&upstream.upstream))
                .map(|upstream| upstream.upstream.clone())
                .collect();
        });
    }

    /// Merges what the pool of `vm` reports about an upstream.
    pub fn apply(&self, vm: &str, report: &feed_update::UpstreamReport) {
        self.change(|inner| {
            let upstream = &report.state.upstream;
            inner.sources.insert(
                (upstream.clone(), vm.to_owned()),
                (report.reachable, report.wait),
            );
            Self::merge(inner, &report.state);
        });
    }

    /// Merges a state that was observed outside the feeds.
    pub fn apply_state(&self, state: &upstream_state::UpstreamState) {
        self.change(|inner| Self::merge(inner, state));
    }

    /// Forgets whether the pool of `vm` reaches the upstreams; states stay.
    pub fn forget_pool(&self, vm: &str) {
        self.change(|inner| inner.sources.retain(|(_, source), _| source != vm));
    }

    fn merge(inner: &mut BoardInner, state: &upstream_state::UpstreamState) {
        let newer = inner
            .states
            .get(&state.upstream)
            .is_none_or(|known| state.is_newer_than(known));
        if newer {
            inner.states.insert(state.upstream.clone(), state.clone());
        }
    }

    fn change(&self, edit: impl FnOnce(&mut BoardInner)) {
        let mut inner = self
            .inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        edit(&mut inner);
        let views = inner
            .spec
            .upstreams
            .iter()
            .map(|spec| Self::view(&inner, spec))
            .collect();
        // Stored under the lock, so that an older view never replaces a newer one.
        self.views.store(sync::Arc::new(views));
        drop(inner);
        self.changed.send_modify(|version| *version += 1);
    }

    fn view(
        inner: &BoardInner,
        spec: &crate::model::upstream_spec::UpstreamSpec,
    ) -> routing::UpstreamView {
        let sources: Vec<_> = inner
            .sources
            .iter()
            .filter(|((upstream, _), _)| *upstream == spec.upstream)
            .map(|(_, source)| *source)
            .collect();
        let reach = if sources.iter().any(|(reachable, _)| *reachable) {
            routing::UpstreamReach::Reported
        } else if sources.is_empty() {
            routing::UpstreamReach::Assumed
        } else {
            routing::UpstreamReach::Lost
        };
        routing::UpstreamView {
            spec: spec.clone(),
            state: inner.states.get(&spec.upstream).cloned(),
            reach,
            leaving: inner.drained.contains(&spec.upstream),
            wait: sources
                .iter()
                .filter(|(reachable, _)| *reachable)
                .map(|(_, wait)| *wait)
                .min()
                .unwrap_or_default(),
        }
    }
}
