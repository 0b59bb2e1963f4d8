//! [`StoreImage`]: the latest items of the store and the changes that led to them, for other VMs.

use std::collections;
use std::time;

use tokio::sync::Notify;

use crate::model::ids;
use crate::node::edge;

/// Number of changes that are kept. A VM that is further behind gets a full listing.
const MAX_HISTORY: usize = 2_048;

/// What a change is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ItemKey {
    Config,
    Upstream(ids::UpstreamId),
    Member(ids::VmId),
    Decision(ids::GroupId),
    TermStart(ids::GroupId),
}

/// The latest items of the store and the changes that led to them.
///
/// Only what the tables have applied gets here, so an image never goes back: the tables are the
/// authority on which of two entries is the later one.
#[derive(Debug, Default)]
pub struct StoreImage {
    items: collections::BTreeMap<ItemKey, edge::ControlChange>,
    /// Batches of changes by the revision that they lead to, oldest first.
    history: collections::VecDeque<(edge::RevisionNumber, Vec<edge::ControlChange>)>,
    history_changes: usize,
    /// Revision after which the history is complete.
    history_start: edge::RevisionNumber,
    revision: edge::RevisionNumber,
    /// When the call to the store began whose answer was the latest one, by
    /// [`edge::NodeEdge::boot_time`].
    began_at: Option<time::Duration>,
}

impl StoreImage {
    /// Replaces everything by a full listing.
    pub fn replace(&mut self, listing: &edge::ControlChanges, began_at: time::Duration) {
        self.items.clear();
        self.history.clear();
        self.history_changes = 0;
        self.history_start = listing.revision;
        self.revision = listing.revision;
        self.began_at = Some(began_at);
        for change in &listing.changes {
            self.apply(change);
        }
    }

    /// Adds the changes of one answer.
    pub fn extend(&mut self, changes: &edge::ControlChanges, began_at: time::Duration) {
        self.began_at = self.began_at.max(Some(began_at));
        self.revision = self.revision.max(changes.revision);
        if changes.changes.is_empty() {
            return;
        }
        for change in &changes.changes {
            self.apply(change);
        }
        self.history_changes += changes.changes.len();
        self.history
            .push_back((changes.revision, changes.changes.clone()));
        while self.history_changes > MAX_HISTORY
            && let Some((revision, dropped)) = self.history.pop_front()
        {
            self.history_changes -= dropped.len();
            self.history_start = revision;
        }
    }

    fn apply(&mut self, change: &edge::ControlChange) {
        let key = match change {
            edge::ControlChange::Config(_) => ItemKey::Config,
            edge::ControlChange::Upstream(entry) => ItemKey::Upstream(entry.upstream.clone()),
            edge::ControlChange::UpstreamInvalid(upstream) => ItemKey::Upstream(upstream.clone()),
            edge::ControlChange::Member(vm, _) => ItemKey::Member(vm.clone()),
            edge::ControlChange::Decision(group, _) => ItemKey::Decision(group.clone()),
            edge::ControlChange::TermStart(group, _) => ItemKey::TermStart(group.clone()),
            edge::ControlChange::UpstreamGone(upstream) => {
                self.items.remove(&ItemKey::Upstream(upstream.clone()));
                return;
            }
            edge::ControlChange::MemberGone(vm) => {
                self.items.remove(&ItemKey::Member(vm.clone()));
                return;
            }
        };
        self.items.insert(key, change.clone());
    }

    /// Returns the revision that the image reflects.
    #[must_use]
    pub const fn revision(&self) -> edge::RevisionNumber {
        self.revision
    }

    /// Returns when the call to the store began on whose answer the image rests.
    #[must_use]
    pub const fn began_at(&self) -> Option<time::Duration> {
        self.began_at
    }

    /// Returns the changes after `revision`, or `None` if the history does not go back that far.
    #[must_use]
    pub fn changes_after(
        &self,
        revision: edge::RevisionNumber,
    ) -> Option<Vec<edge::ControlChange>> {
        if revision < self.history_start {
            return None;
        }
        let later = self
            .history
            .iter()
            .filter(|(reached, _)| *reached > revision);
        Some(later.flat_map(|(_, changes)| changes.clone()).collect())
    }

    /// Returns all items.
    #[must_use]
    pub fn listing(&self) -> Vec<edge::ControlChange> {
        self.items.values().cloned().collect()
    }
}

/// Image of the store that a VM offers to others, with a signal for those that wait.
#[derive(Debug, Default)]
pub struct SharedImage {
    /// The image.
    pub image: std::cell::RefCell<StoreImage>,
    /// Notified when the image has changed.
    pub changed: Notify,
}
