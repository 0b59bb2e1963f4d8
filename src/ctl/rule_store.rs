//! [`RuleStore`]: the rules as the platform's store holds them.

use std::time;

use serde::de;

use crate::ctl::config;
use crate::ctl::ctl_error;
use crate::decide::rule_log;
use crate::exit_code;
use crate::model::ids;
use crate::platform::{client, kv_entry, platform_error};

/// Attempts of a call that only reads.
const READ_ATTEMPTS: u32 = 3;
/// Pause between two attempts.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Largest value that the store takes, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// What became of a change.
#[derive(Debug)]
pub(super) enum CreateOutcome {
    /// It holds its revision.
    Created,
    /// This other change took the revision first.
    Lost(rule_log::RuleChange),
}

/// Reads and extends the log of rule changes.
#[derive(Debug)]
pub(super) struct RuleStore {
    platform: client::PlatformClient,
    limit: time::Duration,
}

impl RuleStore {
    pub(super) fn new(config: &config::CtlConfig) -> Result<Self, ctl_error::CtlError> {
        Ok(Self {
            platform: config.require_platform()?,
            limit: config.limit,
        })
    }

    pub(super) const fn platform(&self) -> &client::PlatformClient {
        &self.platform
    }

    /// Returns the newest revision and its text.
    pub(super) async fn newest(&self) -> Result<rule_log::RuleSnapshot, ctl_error::CtlError> {
        let snapshot: Option<rule_log::RuleSnapshot> =
            match read(|| self.platform.get(rule_log::SNAPSHOT_KEY)).await? {
                Some(entry) => Some(decode(&entry)?),
                None => None,
            };
        let mut log = rule_log::RuleLog::default();
        if let Some(snapshot) = snapshot {
            log.apply_update(rule_log::RuleUpdate::Snapshot(snapshot));
        }
        loop {
            let first = log.current().revision + 1;
            let hundred = first / rule_log::BLOCK_REVISIONS;
            let changes = self.changes_of_hundred(hundred).await?;
            match log.apply_update(rule_log::RuleUpdate::Changes(changes)) {
                rule_log::UpdateOutcome::NotNewer | rule_log::UpdateOutcome::Applied => {}
                rule_log::UpdateOutcome::Gap => {
                    let text = format!("the store lacks revision {}", log.current().revision + 1);
                    return Err(damaged(&text));
                }
                rule_log::UpdateOutcome::Inapplicable(error) => {
                    return Err(damaged(&error.to_string()));
                }
            }
            // The log goes on only if it fills this listing to its end.
            if (log.current().revision + 1) / rule_log::BLOCK_REVISIONS == hundred {
                return Ok(log.current().clone());
            }
        }
    }

    /// Returns the changes from `first` to `last`, in order.
    pub(super) async fn changes(
        &self,
        first: ids::RuleRevision,
        last: ids::RuleRevision,
    ) -> Result<Vec<rule_log::RuleChange>, ctl_error::CtlError> {
        let mut changes = Vec::new();
        for hundred in first / rule_log::BLOCK_REVISIONS..=last / rule_log::BLOCK_REVISIONS {
            changes.extend(self.changes_of_hundred(hundred).await?);
        }
        changes.retain(|change| (first..=last).contains(&change.revision));
        Ok(changes)
    }

    async fn changes_of_hundred(
        &self,
        hundred: u64,
    ) -> Result<Vec<rule_log::RuleChange>, ctl_error::CtlError> {
        let prefix = rule_log::block_prefix(hundred * rule_log::BLOCK_REVISIONS);
        let listing = read(|| self.platform.list(&prefix)).await?;
        listing.entries.iter().map(decode).collect()
    }

    /// Puts a change at its revision unless another one is there. An answer that is lost is
    /// settled by reading the key back; putting the same change again is harmless.
    pub(super) async fn create(
        &self,
        change: &rule_log::RuleChange,
    ) -> Result<CreateOutcome, ctl_error::CtlError> {
        let key = rule_log::log_key(change.revision);
        let body = kv_entry::PutBody {
            value: encode(change)?,
            expected: Some(0),
            lease: None,
        };
        let start = time::Instant::now();
        let mut maybe_made = false;
        loop {
            let error = match self.platform.put(&key, &body).await {
                Ok(_revision) => return Ok(CreateOutcome::Created),
                Err(platform_error::PlatformError::Conflict {
                    current: Some(entry),
                    ..
                }) => return settle(change, &entry),
                Err(error) => error,
            };
            match error {
                platform_error::PlatformError::NoAnswer { .. } => maybe_made = true,
                platform_error::PlatformError::Refused {
                    status: 400..=428, ..
                } => return Err(ctl_error::CtlError::platform(&error)),
                _ => {}
            }
            if let Ok(Some(entry)) = self.platform.get(&key).await {
                return settle(change, &entry);
            }
            if start.elapsed() >= self.limit {
                return Err(unsettled(change, &error, maybe_made));
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Rewrites the snapshot if it is 64 changes old, never to an older revision. The snapshot
    /// only saves reading, so whoever makes the next change repeats a rewrite that failed.
    pub(super) async fn refresh_snapshot(
        &self,
        newest: &rule_log::RuleSnapshot,
    ) -> Result<(), ctl_error::CtlError> {
        let entry = read(|| self.platform.get(rule_log::SNAPSHOT_KEY)).await?;
        let (expected, revision) = match &entry {
            Some(entry) => (
                entry.revision,
                decode::<rule_log::RuleSnapshot>(entry)?.revision,
            ),
            None => (0, 0),
        };
        if newest.revision < revision + rule_log::SNAPSHOT_INTERVAL {
            return Ok(());
        }
        let body = kv_entry::PutBody {
            value: encode(newest)?,
            expected: Some(expected),
            lease: None,
        };
        match self.platform.put(rule_log::SNAPSHOT_KEY, &body).await {
            Ok(_) | Err(platform_error::PlatformError::Conflict { .. }) => Ok(()),
            Err(error) => Err(ctl_error::CtlError::platform(&error)),
        }
    }
}

/// Encodes a value for the store, if it fits.
pub(super) fn encode<T: serde::Serialize>(value: &T) -> Result<String, ctl_error::CtlError> {
    let text = serde_json::to_string(value).map_err(|error| damaged(&error.to_string()))?;
    if text.len() > MAX_VALUE_BYTES {
        return Err(ctl_error::CtlError::new(
            exit_code::ExitCode::Invalid,
            format!(
                "the rules or their change take {} bytes, expected at most {MAX_VALUE_BYTES}; shorten them or apply them in steps",
                text.len()
            ),
        ));
    }
    Ok(text)
}

async fn read<T, F>(call: impl Fn() -> F) -> Result<T, ctl_error::CtlError>
where
    F: Future<Output = Result<T, platform_error::PlatformError>>,
{
    let mut attempt = 1;
    loop {
        match call().await {
            Ok(value) => return Ok(value),
            Err(_error) if attempt < READ_ATTEMPTS => attempt += 1,
            Err(error) => return Err(ctl_error::CtlError::platform(&error)),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

fn settle(
    change: &rule_log::RuleChange,
    entry: &kv_entry::KvEntry,
) -> Result<CreateOutcome, ctl_error::CtlError> {
    let found: rule_log::RuleChange = decode(entry)?;
    if found.id == change.id {
        return Ok(CreateOutcome::Created);
    }
    Ok(CreateOutcome::Lost(found))
}

fn unsettled(
    change: &rule_log::RuleChange,
    error: &platform_error::PlatformError,
    maybe_made: bool,
) -> ctl_error::CtlError {
    if !maybe_made {
        return ctl_error::CtlError::platform(error);
    }
    let (id, revision) = (&change.id, change.revision);
    ctl_error::CtlError::new(
        exit_code::ExitCode::Timeout,
        format!(
            "{error}; revision {revision} may have been made, look for the id {id} in persimmonctl history before you apply again"
        ),
    )
}

fn decode<T: de::DeserializeOwned>(entry: &kv_entry::KvEntry) -> Result<T, ctl_error::CtlError> {
    serde_json::from_str(&entry.value)
        .map_err(|error| damaged(&format!("{} cannot be decoded: {error}", entry.key)))
}

fn damaged(problem: &str) -> ctl_error::CtlError {
    ctl_error::CtlError::new(
        exit_code::ExitCode::Failure,
        format!("the rules in the store are damaged ({problem}); restore the keys below rules/"),
    )
}
