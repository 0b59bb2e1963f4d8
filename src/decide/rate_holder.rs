//! [`RateHolder`]: the token buckets that one VM holds, and whether it may grant from them.
//!
//! Addresses holders that die, freeze and resume, hand over and are cut off: at most one VM grants
//! a workspace's tokens in full, except while a joining VM is known to some VMs only. A holder that the
//! store does not answer gives up its buckets when the others may drop its entry, unless other VMs say
//! that none has taken its place.

use std::collections;
use std::time;

use crate::decide::{place_evidence, rate_bucket, rate_limit};
use crate::model::ids;

/// Time before its entry expires from which a holder no longer grants.
const ENTRY_MARGIN: time::Duration = time::Duration::from_millis(500);
/// Time for which a new holder does not grant, since the other VMs learn of it at different times
/// and continue meanwhile without the old one. The bucket is empty then, so an overlap of the same
/// length adds half a second of the rate, a tenth of a window of 5 s.
pub const TAKEOVER_DELAY: time::Duration = time::Duration::from_millis(500);
/// Pause of the process after which the time in it does not refill the buckets: the other VMs
/// continued without this one.
const PAUSE_GAP: time::Duration = time::Duration::from_millis(300);
/// Pause of the process after which its entry has to be renewed before it grants.
const SUSPENSION_GAP: time::Duration = time::Duration::from_millis(1_500);

/// What a VM knows about its own place among the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderFacts {
    /// When the last successful renewal of its entry in the store was sent.
    pub renewed_at: Option<time::Duration>,
    /// Whether the store answers it.
    pub reaches_store: bool,
    /// Whether it is cut off from other data centres.
    pub isolated: bool,
    /// Whether its tables are current although the store does not answer it.
    pub follows_peers: bool,
    /// Whether its tables show that its entry in the store has vanished.
    pub entry_vanished: bool,
    /// What other VMs say of its place among the members.
    pub place: place_evidence::PlaceEvidence,
    /// Whether no VM that it does not know can hold a bucket: it has followed the members for long
    /// enough, or other VMs say so.
    pub may_take_over: bool,
}

impl HolderFacts {
    /// Returns whether the VM knows that no other one has taken its place, although the store does not
    /// answer it.
    fn keeps_place(&self) -> bool {
        let kept = self.place == place_evidence::PlaceEvidence::Kept;
        !self.isolated && (self.follows_peers || kept)
    }
}

/// Change of the buckets that a VM holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HolderChange {
    /// It holds the bucket of a workspace, and grants from it after a delay.
    Taken(ids::WorkspaceName, time::Duration),
    /// It no longer holds the bucket of a workspace.
    GivenUp(ids::WorkspaceName),
    /// It may not grant any more, and has dropped this number of buckets.
    NotValid(usize),
}

#[derive(Clone, Debug)]
struct HeldBucket {
    bucket: rate_bucket::RateBucket,
    ready_at: time::Duration,
}

/// The token buckets that one VM holds.
#[derive(Clone, Debug)]
pub struct RateHolder {
    entry_ttl: time::Duration,
    /// Time for which the other VMs keep an entry that has vanished.
    entry_grace: time::Duration,
    buckets: collections::BTreeMap<ids::WorkspaceName, HeldBucket>,
    /// Workspaces with limits in the last configuration that was looked at.
    listed: Option<collections::BTreeSet<ids::WorkspaceName>>,
    /// When the process was last seen to run.
    last_run: Option<time::Duration>,
    /// The entry has to be renewed by a call that was sent at or after this time.
    renewal_needed_since: time::Duration,
}

impl RateHolder {
    /// Creates a holder without buckets on a VM whose entry in the store expires after `entry_ttl`, and
    /// is then kept by the other VMs for `entry_grace`.
    #[must_use]
    pub const fn new(entry_ttl: time::Duration, entry_grace: time::Duration) -> Self {
        Self {
            entry_ttl,
            entry_grace,
            buckets: collections::BTreeMap::new(),
            listed: None,
            last_run: None,
            renewal_needed_since: time::Duration::ZERO,
        }
    }

    /// Records that the process runs at `now`. Returns the length of a suspension after which the
    /// entry has to be renewed.
    pub fn record_run(&mut self, now: time::Duration) -> Option<time::Duration> {
        let gap = now.saturating_sub(self.last_run.replace(now)?);
        if gap <= PAUSE_GAP {
            return None;
        }
        for held in self.buckets.values_mut() {
            held.bucket.skip(now);
        }
        if gap <= SUSPENSION_GAP || self.buckets.is_empty() {
            return None;
        }
        self.renewal_needed_since = now;
        Some(gap)
    }

    /// Takes over and gives up buckets; `is_holder` tells whether this VM is the holder of a
    /// workspace's bucket.
    pub fn update(
        &mut self,
        limits: &collections::BTreeMap<ids::WorkspaceName, rate_limit::RateLimit>,
        is_holder: impl Fn(&str) -> bool,
        facts: HolderFacts,
        now: time::Duration,
    ) -> Vec<HolderChange> {
        let listed = limits.keys().cloned().collect();
        let before = self.listed.replace(listed);
        let mut changes = Vec::new();
        if self.grant_mode(facts, now).is_none() {
            let dropped = std::mem::take(&mut self.buckets).len();
            if dropped > 0 {
                changes.push(HolderChange::NotValid(dropped));
            }
            return changes;
        }
        self.buckets.retain(|workspace, _held| {
            let keep = limits.contains_key(workspace) && is_holder(workspace);
            if !keep {
                changes.push(HolderChange::GivenUp(workspace.clone()));
            }
            keep
        });
        for (workspace, limit) in limits {
            if self.buckets.contains_key(workspace) || !is_holder(workspace) {
                continue;
            }
            // Nobody has granted tokens of a workspace that was not listed before.
            let is_new = before
                .as_ref()
                .is_some_and(|before| !before.contains(workspace));
            if !is_new && !facts.may_take_over {
                continue;
            }
            let delay = if is_new {
                time::Duration::ZERO
            } else {
                TAKEOVER_DELAY
            };
            let held = HeldBucket {
                bucket: rate_bucket::RateBucket::new(*limit, now + delay),
                ready_at: now + delay,
            };
            self.buckets.insert(workspace.clone(), held);
            changes.push(HolderChange::Taken(workspace.clone(), delay));
        }
        changes
    }

    /// Grants tokens to a VM, or returns `None` if this VM may not.
    pub fn grant(
        &mut self,
        vm: &str,
        workspace: &str,
        limit: rate_limit::RateLimit,
        ask: rate_limit::RateAsk,
        facts: HolderFacts,
        now: time::Duration,
    ) -> Option<rate_limit::RateGrant> {
        let mode = self.grant_mode(facts, now)?;
        let held = self.buckets.get_mut(workspace)?;
        if now < held.ready_at {
            return None;
        }
        held.bucket.set_limit(limit, now);
        let grant = held.bucket.grant(vm, ask, mode, now);
        Some(rate_limit::RateGrant {
            unreplaced_for: self.unreplaced_for(facts, now),
            ..grant
        })
    }

    /// Returns the time for which no other VM can grant from this one's buckets.
    fn unreplaced_for(&self, facts: HolderFacts, now: time::Duration) -> time::Duration {
        let renewed_at = facts.renewed_at.unwrap_or_default();
        // The new holder's delay is left for VMs that learn of it late.
        let replaced_at = renewed_at + self.entry_ttl + self.entry_grace;
        let left = replaced_at.saturating_sub(now);
        if facts.keeps_place() {
            left.max(self.entry_grace)
        } else {
            left
        }
    }

    /// Stops to reserve the rates of a VM that has closed its stream.
    pub fn release_vm(&mut self, vm: &str) {
        for held in self.buckets.values_mut() {
            held.bucket.release_vm(vm);
        }
    }

    /// Returns how much this VM may grant, or `None` if another VM may have taken its place.
    fn grant_mode(
        &self,
        facts: HolderFacts,
        now: time::Duration,
    ) -> Option<rate_bucket::GrantMode> {
        let renewed_at = facts.renewed_at?;
        let age = now.saturating_sub(renewed_at);
        let valid = renewed_at >= self.renewal_needed_since && age + ENTRY_MARGIN < self.entry_ttl;
        // A failed call to the store does not matter while nobody can have replaced this VM.
        if valid && !facts.isolated {
            return Some(rate_bucket::GrantMode::Full);
        }
        let lost = facts.place == place_evidence::PlaceEvidence::Lost;
        if !valid && (facts.reaches_store || facts.entry_vanished || lost) {
            return None;
        }
        // By then the other VMs may have dropped the entry, and one of them takes over.
        let is_over = age + ENTRY_MARGIN >= self.entry_ttl + self.entry_grace;
        if is_over && !facts.keeps_place() {
            return None;
        }
        // Either way the store may answer other VMs, one of which is then about to take over.
        let is_replaceable = !valid && (facts.follows_peers || facts.isolated);
        let most_scale = if is_replaceable {
            1.0
        } else {
            rate_limit::MAX_SCALE
        };
        Some(if facts.isolated {
            // VMs that cannot reach this one continue at their own rates, and so do these.
            rate_bucket::GrantMode::CutOff { most_scale }
        } else {
            rate_bucket::GrantMode::Pooled { most_scale }
        })
    }
}
