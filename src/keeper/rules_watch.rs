//! Reads rule changes from the store. One or two keepers of each data centre watch the store; the
//! others receive the changes by gossip.

use std::sync;
use std::time;

use crate::decide::{ownership, rule_log};
use crate::event;
use crate::model::ids;
use crate::platform::client;
use crate::platform::{kv_entry, platform_error};
use crate::shared_state::keeper_state;

/// Number of keepers of a data centre that watch the store.
const WATCHERS: usize = 2;
/// Longest time that a watch call waits for a change. A connection that has gone silent is detected
/// after this time plus the timeout of a call (1 s), which leaves a second for a change to be in
/// force within 4 s. While nothing changes, each watcher makes 0.7 calls a second of about 200
/// bytes.
const WATCH_WAIT: time::Duration = time::Duration::from_millis(1_500);
/// Interval at which a keeper that does not watch checks whether it has to.
const IDLE_PAUSE: time::Duration = time::Duration::from_millis(500);
/// Backoff after the first failed call.
const MIN_BACK_OFF: time::Duration = time::Duration::from_millis(200);
/// Longest backoff after failed calls. It leaves time for a change to be in force within 4 s of the
/// platform's return.
const MAX_BACK_OFF: time::Duration = time::Duration::from_secs(2);

/// Watches the store while this keeper is one of its data centre's watchers. Never returns.
pub async fn run(state: sync::Arc<keeper_state::KeeperState>, platform: client::PlatformClient) {
    let mut watch = RulesWatch {
        state,
        platform,
        synced: false,
        after_revision: 0,
        snapshot_revision: 0,
    };
    let mut back_off = MIN_BACK_OFF;
    loop {
        if watch.synced && !is_watcher(&watch.state) {
            tokio::time::sleep(IDLE_PAUSE).await;
            continue;
        }
        match watch.advance().await {
            Ok(true) => back_off = MIN_BACK_OFF,
            Ok(false) => {
                // The log cannot be followed from here, so the next round starts from the snapshot.
                watch.synced = false;
                tokio::time::sleep(MAX_BACK_OFF).await;
            }
            Err(error) => {
                event::debug("rules_watch_failed", &[("cause", &error)]);
                let jitter = back_off.mul_f64(rand::random_range(0.0..0.5));
                tokio::time::sleep(back_off + jitter).await;
                back_off = (back_off * 2).min(MAX_BACK_OFF);
            }
        }
    }
}

/// Position up to which the rules in the store have been read. Only the key of the next change is
/// watched, because a watch returns everything below its prefix even when it times out.
struct RulesWatch {
    state: sync::Arc<keeper_state::KeeperState>,
    platform: client::PlatformClient,
    /// True once the snapshot and the changes after it have been applied.
    synced: bool,
    /// Store revision after which the watch waits for the next change.
    after_revision: u64,
    /// Rule revision of the snapshot last seen in the store; 0 if there was none.
    snapshot_revision: ids::RuleRevision,
}

impl RulesWatch {
    /// Waits for a change and applies it. Returns whether the log could be followed.
    async fn advance(&mut self) -> Result<bool, platform_error::PlatformError> {
        let followed = if self.synced {
            let known = self.state.rules().current().revision;
            let next = rule_log::log_key(known + 1);
            let listing = self
                .platform
                .watch(&next, self.after_revision, WATCH_WAIT)
                .await?;
            let followed = apply_changes(&self.state, &listing);
            let has_advanced = self.state.rules().current().revision > known;
            self.after_revision = if has_advanced { 0 } else { listing.revision };
            followed
        } else {
            self.catch_up().await?
        };
        if let Err(error) = self.write_snapshot().await {
            event::warn("rules_snapshot_failed", &[("cause", &error)]);
        }
        Ok(followed)
    }

    /// Applies the snapshot, and then the log after it block by block.
    async fn catch_up(&mut self) -> Result<bool, platform_error::PlatformError> {
        self.apply_snapshot().await?;
        loop {
            let prefix = self.next_prefix();
            let listing = self.platform.list(&prefix).await?;
            let followed = apply_changes(&self.state, &listing);
            if followed && self.next_prefix() != prefix {
                continue;
            }
            self.synced = followed;
            self.after_revision = 0;
            // Set only after the rules are published, so that the first tables sent to programs
            // have the rules.
            self.state.set_rules_known();
            return Ok(followed);
        }
    }

    fn next_prefix(&self) -> String {
        rule_log::block_prefix(self.state.rules().current().revision + 1)
    }

    async fn read_snapshot(
        &mut self,
    ) -> Result<(u64, Option<rule_log::RuleSnapshot>), platform_error::PlatformError> {
        let entry = self.platform.get(rule_log::SNAPSHOT_KEY).await?;
        let snapshot = entry.as_ref().and_then(decode::<rule_log::RuleSnapshot>);
        self.snapshot_revision = snapshot.as_ref().map_or(0, |snapshot| snapshot.revision);
        Ok((entry.map_or(0, |entry| entry.revision), snapshot))
    }

    async fn apply_snapshot(&mut self) -> Result<(), platform_error::PlatformError> {
        let (_, Some(snapshot)) = self.read_snapshot().await? else {
            return Ok(());
        };
        let revision = snapshot.revision;
        let outcome = self
            .state
            .rules()
            .apply_update(rule_log::RuleUpdate::Snapshot(snapshot));
        if outcome == rule_log::UpdateOutcome::Applied {
            publish_revision(&self.state, revision);
        }
        Ok(())
    }

    /// Rewrites the snapshot when it has fallen behind. The write is conditional on the snapshot's
    /// revision, so that only one of several concurrent keepers succeeds.
    async fn write_snapshot(&mut self) -> Result<(), platform_error::PlatformError> {
        let current = self.state.rules().current().clone();
        if current.revision < self.snapshot_revision + rule_log::SNAPSHOT_INTERVAL {
            return Ok(());
        }
        let (expected, _) = self.read_snapshot().await?;
        if current.revision < self.snapshot_revision + rule_log::SNAPSHOT_INTERVAL {
            return Ok(());
        }
        let body = kv_entry::PutBody {
            value: serde_json::to_string(&current).unwrap_or_default(),
            expected: Some(expected),
            lease: None,
        };
        match self.platform.put(rule_log::SNAPSHOT_KEY, &body).await {
            Ok(_) => {
                self.snapshot_revision = current.revision;
                Ok(())
            }
            Err(platform_error::PlatformError::Conflict { .. }) => Ok(()),
            Err(error) => Err(error),
        }
    }
}

/// Returns whether this keeper is one of the watchers of its data centre.
fn is_watcher(state: &keeper_state::KeeperState) -> bool {
    let vms = state.members().live_vms(state.now());
    let Some(own) = vms.iter().find(|vm| vm.vm == state.own()) else {
        return true;
    };
    let own_score = ownership::score(rule_log::RULES_PREFIX, &own.vm);
    vms.iter()
        .filter(|vm| vm.data_centre == own.data_centre && !vm.leaving)
        .filter(|vm| ownership::score(rule_log::RULES_PREFIX, &vm.vm) > own_score)
        .count()
        < WATCHERS
}

fn decode<T: serde::de::DeserializeOwned>(entry: &kv_entry::KvEntry) -> Option<T> {
    serde_json::from_str(&entry.value)
        .inspect_err(|error| {
            event::error("rules_unreadable", &[("key", &entry.key), ("cause", error)]);
        })
        .ok()
}

/// Applies the changes of a block. Returns false if they do not continue the rules in force.
fn apply_changes(state: &keeper_state::KeeperState, listing: &kv_entry::KvListing) -> bool {
    let known = state.rules().current().revision;
    let changes = listing
        .entries
        .iter()
        .filter(|entry| {
            let revision = entry.key.strip_prefix(rule_log::LOG_PREFIX);
            let revision = revision.and_then(|revision| revision.parse::<u64>().ok());
            revision.is_some_and(|revision| revision > known)
        })
        .filter_map(decode::<rule_log::RuleChange>)
        .collect();
    let (outcome, revision) = {
        let mut rules = state.rules();
        let outcome = rules.apply_update(rule_log::RuleUpdate::Changes(changes));
        (outcome, rules.current().revision)
    };
    if revision > known {
        publish_revision(state, revision);
    }
    match outcome {
        rule_log::UpdateOutcome::Applied | rule_log::UpdateOutcome::NotNewer => true,
        rule_log::UpdateOutcome::Gap => {
            event::error("rules_missing", &[("revision", &(revision + 1))]);
            false
        }
        rule_log::UpdateOutcome::Inapplicable(error) => {
            event::error("rules_broken", &[("cause", &error)]);
            false
        }
    }
}

fn publish_revision(state: &keeper_state::KeeperState, revision: ids::RuleRevision) {
    event::info(
        "rules_in_force",
        &[("revision", &revision), ("from", &"store")],
    );
    state.publish();
}
