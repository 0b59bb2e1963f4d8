//! [`FormerMembers`]: VMs whose entries have vanished from the store, and that may run all the same.
//!
//! A store that turns VMs away lets their entries end. Should it serve these again and turn this VM away,
//! they are the ones to ask for tables. See `docs/design/tables.md`.

use std::collections;
use std::net;
use std::time;

use crate::model::ids;
use crate::node::{limits, member};

#[derive(Debug)]
struct FormerMember {
    entry: member::MemberEntry,
    /// Time of the removal, by the monotonic clock.
    removed_at: time::Duration,
}

/// VMs that were members until a while ago.
#[derive(Debug, Default)]
pub struct FormerMembers {
    members: collections::BTreeMap<ids::VmId, FormerMember>,
}

impl FormerMembers {
    /// Records at `now` that a VM is no member any more.
    pub fn record(&mut self, vm: ids::VmId, entry: member::MemberEntry, now: time::Duration) {
        self.members.retain(|_, former| is_recent(former, now));
        let removed_at = now;
        self.members.insert(vm, FormerMember { entry, removed_at });
    }

    /// Forgets a VM that is a member again.
    pub fn forget(&mut self, vm: &str) {
        self.members.remove(vm);
    }

    /// Returns the VMs that were members until a while before `now`.
    #[must_use]
    pub fn names(&self, now: time::Duration) -> Vec<ids::VmId> {
        let recent = self.members.iter();
        recent
            .filter(|(_, former)| is_recent(former, now))
            .map(|(vm, _)| vm.clone())
            .collect()
    }

    /// Returns the address of a VM.
    #[must_use]
    pub fn address(&self, vm: &str) -> Option<net::SocketAddr> {
        self.members.get(vm).map(|former| former.entry.address)
    }
}

fn is_recent(former: &FormerMember, now: time::Duration) -> bool {
    now.saturating_sub(former.removed_at) < limits::REMOVED_MEMORY
}
