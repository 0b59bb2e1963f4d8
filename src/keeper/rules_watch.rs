//! Takes rule changes from the store. One or two keepers of each data centre watch it; the others
//! hear from them by gossip.

use std::sync;
use std::time;

use crate::blackboard::control_board;
use crate::decide::{ownership, rule_log};
use crate::event;
use crate::platform::client;
use crate::platform::{kv_entry, platform_error};

/// Keepers of a data centre that watch the store.
const WATCHERS: usize = 2;
/// Longest time of a waiting watch. A connection that goes silent for good is noticed after this
/// time and that of a call (1 s), which leaves a second to be in force within 4 s. It makes 0.7
/// calls a second for each watcher while nothing changes, each of about 200 bytes.
const WATCH_WAIT: time::Duration = time::Duration::from_millis(1_500);
/// Pause of a keeper that does not watch before it looks again whether it should.
const IDLE_PAUSE: time::Duration = time::Duration::from_millis(500);
/// First and longest pause after a failed call. The longest leaves time to be in force within 4 s
/// of the platform's return.
const MIN_BACK_OFF: time::Duration = time::Duration::from_millis(200);
const MAX_BACK_OFF: time::Duration = time::Duration::from_secs(2);

/// Watches the store for good. The whole log is read once, and then only the next change is waited
/// for, so that the cost of a watch does not grow with the log.
pub async fn run(board: sync::Arc<control_board::ControlBoard>, platform: client::PlatformClient) {
    let mut whole = true;
    let mut after = 0;
    let mut back_off = MIN_BACK_OFF;
    loop {
        let known = board.rules().current().revision;
        if !whole && !watches(&board) {
            tokio::time::sleep(IDLE_PAUSE).await;
            continue;
        }
        let listing = if whole {
            platform.list(rule_log::RULES_PREFIX).await
        } else {
            let next = rule_log::log_key(known + 1);
            platform.watch(&next, after, WATCH_WAIT).await
        };
        let failed = match listing {
            Ok(listing) if whole => {
                take_listing(&board, &listing);
                if let Err(error) = write_snapshot(&board, &platform, &listing).await {
                    event::warn("rules_snapshot_failed", &[("cause", &error)]);
                }
                (whole, after) = (false, 0);
                None
            }
            Ok(listing) => {
                take_listing(&board, &listing);
                let revision = board.rules().current().revision;
                // A change that cannot be taken alone needs the whole log, and a snapshot may be
                // due.
                let stuck = revision == known && !listing.entries.is_empty();
                let interval = rule_log::SNAPSHOT_INTERVAL;
                whole = stuck || revision / interval > known / interval;
                after = if revision > known {
                    0
                } else {
                    listing.revision
                };
                stuck.then(|| "the next change cannot be taken".to_owned())
            }
            Err(error) => Some(error.to_string()),
        };
        let Some(cause) = failed else {
            back_off = MIN_BACK_OFF;
            continue;
        };
        event::debug("rules_watch_failed", &[("cause", &cause)]);
        let jitter = back_off.mul_f64(rand::random_range(0.0..0.5));
        tokio::time::sleep(back_off + jitter).await;
        back_off = (back_off * 2).min(MAX_BACK_OFF);
    }
}

/// Tells whether this keeper is one of those that watch for its data centre.
fn watches(board: &control_board::ControlBoard) -> bool {
    let vms = board.members().live_vms(board.now());
    let Some(own) = vms.iter().find(|vm| vm.vm == board.own()) else {
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

fn take_listing(board: &control_board::ControlBoard, listing: &kv_entry::KvListing) {
    let known = board.rules().current().revision;
    let mut snapshot: Option<rule_log::RuleSnapshot> = None;
    let mut changes = Vec::new();
    for entry in &listing.entries {
        if entry.key == rule_log::SNAPSHOT_KEY {
            snapshot = decode(entry);
        } else if let Some(revision) = entry.key.strip_prefix(rule_log::LOG_PREFIX)
            && revision
                .parse::<u64>()
                .is_ok_and(|revision| revision > known)
            && let Some(change) = decode::<rule_log::RuleChange>(entry)
        {
            changes.push(change);
        }
    }
    let mut rules = board.rules();
    let mut outcome = rules.take(rule_log::RuleUpdate::Changes(changes.clone()));
    if matches!(
        outcome,
        rule_log::TakeOutcome::Missing | rule_log::TakeOutcome::Broken(_)
    ) && let Some(snapshot) = snapshot
    {
        rules.take(rule_log::RuleUpdate::Snapshot(snapshot));
        outcome = rules.take(rule_log::RuleUpdate::Changes(changes));
    }
    let revision = rules.current().revision;
    drop(rules);
    if let rule_log::TakeOutcome::Broken(error) = outcome {
        event::error("rules_broken", &[("cause", &error)]);
    }
    if revision > known {
        event::info(
            "rules_in_force",
            &[("revision", &revision), ("from", &"store")],
        );
        board.publish();
    }
    // After the publication, so that the first tables handed out have the rules.
    board.set_rules_known();
}

/// Rewrites the snapshot when it has fallen behind. The expected revision lets one keeper win.
async fn write_snapshot(
    board: &control_board::ControlBoard,
    platform: &client::PlatformClient,
    listing: &kv_entry::KvListing,
) -> Result<(), platform_error::PlatformError> {
    let entry = listing
        .entries
        .iter()
        .find(|entry| entry.key == rule_log::SNAPSHOT_KEY);
    let stored = entry
        .and_then(decode::<rule_log::RuleSnapshot>)
        .map_or(0, |snapshot| snapshot.revision);
    let current = board.rules().current().clone();
    if current.revision < stored + rule_log::SNAPSHOT_INTERVAL {
        return Ok(());
    }
    let body = kv_entry::PutBody {
        value: serde_json::to_string(&current).unwrap_or_default(),
        expected: Some(entry.map_or(0, |entry| entry.revision)),
        lease: None,
    };
    match platform.put(rule_log::SNAPSHOT_KEY, &body).await {
        Ok(_) | Err(platform_error::PlatformError::Conflict { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}
