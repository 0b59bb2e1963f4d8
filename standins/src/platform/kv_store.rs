//! [`KvStore`]: an in-memory key-value store with revisions and leases.

use std::collections;
use std::time;

use persimmontack::platform::kv_entry;

/// Longest value, in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;

/// Why a write was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteRefusal {
    /// The key does not have the expected revision. Holds its current entry.
    Conflict(Option<kv_entry::KvEntry>),
    /// The lease has expired or never existed.
    LeaseUnknown,
    /// The value is longer than [`VALUE_LIMIT`].
    ValueTooLong,
    /// The key does not exist.
    KeyUnknown,
}

#[derive(Debug)]
struct StoredValue {
    entry: kv_entry::KvEntry,
    lease: Option<String>,
}

#[derive(Debug)]
struct LeaseState {
    ttl: time::Duration,
    ends: time::Instant,
}

/// Key-value store. All keys share one revision counter, which every change increments.
#[derive(Debug, Default)]
pub struct KvStore {
    revision: u64,
    next_lease: u64,
    keys: collections::BTreeMap<String, StoredValue>,
    leases: collections::HashMap<String, LeaseState>,
    // Latest deletions with their revisions, so that a watch also reports deleted keys.
    deletions: collections::VecDeque<(String, u64)>,
}

/// Number of deletions kept for watches.
const KEPT_DELETIONS: usize = 10_000;

impl KvStore {
    /// Lists all keys with a prefix.
    #[must_use]
    pub fn list(&self, prefix: &str) -> kv_entry::KvListing {
        let entries = self
            .keys
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, stored)| stored.entry.clone())
            .collect();
        kv_entry::KvListing {
            revision: self.revision,
            entries,
        }
    }

    /// Returns the entry of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<kv_entry::KvEntry> {
        self.keys.get(key).map(|stored| stored.entry.clone())
    }

    /// Tells whether a key with the prefix may have changed after a revision. Returns true if
    /// deletions after the revision are no longer kept.
    #[must_use]
    pub fn changed_after(&self, prefix: &str, after: u64) -> bool {
        let forgotten = self.deletions.len() == KEPT_DELETIONS
            && self.deletions.front().is_some_and(|(_, at)| *at > after);
        forgotten
            || self.list(prefix).entries.iter().any(|e| e.revision > after)
            || self
                .deletions
                .iter()
                .any(|(key, at)| *at > after && key.starts_with(prefix))
    }

    /// Writes a key and returns its revision.
    ///
    /// # Errors
    ///
    /// Fails if the key does not have the expected revision, the lease has expired or the value is
    /// too long.
    pub fn put(&mut self, key: &str, body: kv_entry::PutBody) -> Result<u64, WriteRefusal> {
        if body.value.len() > VALUE_LIMIT {
            return Err(WriteRefusal::ValueTooLong);
        }
        if let Some(lease) = &body.lease
            && !self.leases.contains_key(lease)
        {
            return Err(WriteRefusal::LeaseUnknown);
        }
        let current = self.get(key);
        let found = current.as_ref().map_or(0, |entry| entry.revision);
        if body.expected.is_some_and(|expected| expected != found) {
            return Err(WriteRefusal::Conflict(current));
        }
        self.revision += 1;
        let entry = kv_entry::KvEntry {
            key: key.to_owned(),
            value: body.value,
            revision: self.revision,
        };
        self.keys.insert(
            key.to_owned(),
            StoredValue {
                entry,
                lease: body.lease,
            },
        );
        Ok(self.revision)
    }

    /// Deletes a key, if it has the expected revision.
    ///
    /// # Errors
    ///
    /// Fails if the key has another revision or does not exist.
    pub fn delete(&mut self, key: &str, expected: Option<u64>) -> Result<u64, WriteRefusal> {
        let Some(current) = self.get(key) else {
            return Err(WriteRefusal::KeyUnknown);
        };
        if expected.is_some_and(|expected| expected != current.revision) {
            return Err(WriteRefusal::Conflict(Some(current)));
        }
        self.remove(key);
        Ok(self.revision)
    }

    /// Grants a lease and returns its id.
    pub fn grant(&mut self, ttl: time::Duration, now: time::Instant) -> String {
        self.next_lease += 1;
        let id = format!("lease-{}", self.next_lease);
        let ends = now + ttl;
        self.leases.insert(id.clone(), LeaseState { ttl, ends });
        id
    }

    /// Renews a lease. Returns false if it has expired.
    pub fn renew(&mut self, id: &str, now: time::Instant) -> bool {
        match self.leases.get_mut(id) {
            Some(lease) => {
                lease.ends = now + lease.ttl;
                true
            }
            None => false,
        }
    }

    /// Ends a lease and deletes its keys. Returns false if it has expired.
    pub fn revoke(&mut self, id: &str) -> bool {
        if self.leases.remove(id).is_none() {
            return false;
        }
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.lease.as_deref() == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
        true
    }

    /// Ends all expired leases and deletes their keys. Returns true if a key was deleted.
    pub fn expire_leases(&mut self, now: time::Instant) -> bool {
        let before = self.revision;
        let expired: Vec<String> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.revoke(&id);
        }
        self.revision > before
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.revision += 1;
            self.deletions.push_back((key.to_owned(), self.revision));
            if self.deletions.len() > KEPT_DELETIONS {
                self.deletions.pop_front();
            }
        }
    }
}
