//! [`RuleStore`]: reads and commits the changes of the rules in the platform's store.

use std::time;

use serde::de;

use crate::ctl::config;
use crate::ctl::ctl_error;
use crate::decide::rule_log;
use crate::exit_code;
use crate::model::ids;
use crate::platform::{client, kv_entry, platform_error};

/// Attempts of a read-only call.
const READ_ATTEMPTS: u32 = 3;
/// Delay between two attempts.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(100);
/// Largest value that the store accepts, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Outcome of storing a change.
#[derive(Debug)]
pub(super) enum CreateOutcome {
    /// The change was stored at its revision.
    Created,
    /// This other change took the revision first.
    Conflict(rule_log::RuleChange),
}

/// The log of rule changes in the platform's store.
#[derive(Debug)]
pub(super) struct RuleStore {
    platform: client::PlatformClient,
    limit: time::Duration,
}

impl RuleStore {
    /// Creates a client of the store of the configured platform.
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
            match retry_read(|| self.platform.get(rule_log::SNAPSHOT_KEY)).await? {
                Some(entry) => Some(decode(&entry)?),
                None => None,
            };
        let mut log = rule_log::RuleLog::default();
        if let Some(snapshot) = snapshot {
            log.apply_update(rule_log::RuleUpdate::Snapshot(snapshot));
        }
        loop {
            let first = log.current().revision + 1;
            let block = first / rule_log::BLOCK_REVISIONS;
            let changes = self.changes_in_block(block).await?;
            match log.apply_update(rule_log::RuleUpdate::Changes(changes)) {
                rule_log::UpdateOutcome::NotNewer | rule_log::UpdateOutcome::Applied => {}
                rule_log::UpdateOutcome::Gap => {
                    let text = format!("revision {} is missing", log.current().revision + 1);
                    return Err(corruption_error(&text));
                }
                rule_log::UpdateOutcome::Inapplicable(error) => {
                    return Err(corruption_error(&error.to_string()));
                }
            }
            // The next block has changes only if this one is full.
            if (log.current().revision + 1) / rule_log::BLOCK_REVISIONS == block {
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
        for block in first / rule_log::BLOCK_REVISIONS..=last / rule_log::BLOCK_REVISIONS {
            changes.extend(self.changes_in_block(block).await?);
        }
        changes.retain(|change| (first..=last).contains(&change.revision));
        Ok(changes)
    }

    /// Returns the changes in a block of [`rule_log::BLOCK_REVISIONS`] revisions.
    async fn changes_in_block(
        &self,
        block: u64,
    ) -> Result<Vec<rule_log::RuleChange>, ctl_error::CtlError> {
        let prefix = rule_log::block_prefix(block * rule_log::BLOCK_REVISIONS);
        let listing = retry_read(|| self.platform.list(&prefix)).await?;
        listing.entries.iter().map(decode).collect()
    }

    /// Stores a change at its revision, unless another change has the revision. If the answer is
    /// lost, the key is read back to find out whether the change was stored; storing the same
    /// change again is idempotent.
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
        let mut maybe_stored = false;
        loop {
            let error = match self.platform.put(&key, &body).await {
                Ok(_revision) => return Ok(CreateOutcome::Created),
                Err(platform_error::PlatformError::Conflict {
                    current: Some(entry),
                    ..
                }) => return outcome_of_entry(change, &entry),
                Err(error) => error,
            };
            match error {
                platform_error::PlatformError::NoAnswer { .. } => maybe_stored = true,
                platform_error::PlatformError::Refused {
                    status: 400..=428, ..
                } => return Err(ctl_error::CtlError::platform(&error)),
                _ => {}
            }
            if let Ok(Some(entry)) = self.platform.get(&key).await {
                return outcome_of_entry(change, &entry);
            }
            if start.elapsed() >= self.limit {
                return Err(unconfirmed_error(change, &error, maybe_stored));
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Rewrites the snapshot if it is [`rule_log::SNAPSHOT_INTERVAL`] changes old, never to an
    /// older revision. The snapshot only shortens reading, so a rewrite that failed is retried with
    /// the next change.
    pub(super) async fn refresh_snapshot(
        &self,
        newest: &rule_log::RuleSnapshot,
    ) -> Result<(), ctl_error::CtlError> {
        let entry = retry_read(|| self.platform.get(rule_log::SNAPSHOT_KEY)).await?;
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

/// Encodes a value for the store. Fails if it is too large.
pub(super) fn encode<T: serde::Serialize>(value: &T) -> Result<String, ctl_error::CtlError> {
    let text =
        serde_json::to_string(value).map_err(|error| corruption_error(&error.to_string()))?;
    if text.len() > MAX_VALUE_BYTES {
        return Err(ctl_error::CtlError::new(
            exit_code::ExitCode::Invalid,
            format!(
                "the rules or their change are {} bytes long, the limit is {MAX_VALUE_BYTES}; shorten the rules or apply them in several steps",
                text.len()
            ),
        ));
    }
    Ok(text)
}

/// Calls the platform, with retries. Only for calls that change nothing.
async fn retry_read<T, F>(call: impl Fn() -> F) -> Result<T, ctl_error::CtlError>
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
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Returns the outcome by the change that the store has at the revision.
fn outcome_of_entry(
    change: &rule_log::RuleChange,
    entry: &kv_entry::KvEntry,
) -> Result<CreateOutcome, ctl_error::CtlError> {
    let found: rule_log::RuleChange = decode(entry)?;
    if found.id == change.id {
        return Ok(CreateOutcome::Created);
    }
    Ok(CreateOutcome::Conflict(found))
}

/// Returns the error for a change that the store did not confirm within the limit.
fn unconfirmed_error(
    change: &rule_log::RuleChange,
    error: &platform_error::PlatformError,
    maybe_stored: bool,
) -> ctl_error::CtlError {
    if !maybe_stored {
        return ctl_error::CtlError::platform(error);
    }
    let (id, revision) = (&change.id, change.revision);
    ctl_error::CtlError::new(
        exit_code::ExitCode::Timeout,
        format!(
            "{error}; revision {revision} may have been made, look for the id {id} in persimmonctl history before you retry"
        ),
    )
}

fn decode<T: de::DeserializeOwned>(entry: &kv_entry::KvEntry) -> Result<T, ctl_error::CtlError> {
    serde_json::from_str(&entry.value)
        .map_err(|error| corruption_error(&format!("{} cannot be decoded: {error}", entry.key)))
}

fn corruption_error(problem: &str) -> ctl_error::CtlError {
    ctl_error::CtlError::new(
        exit_code::ExitCode::Failure,
        format!("the rules in the store are corrupt ({problem}); restore the keys below rules/"),
    )
}
