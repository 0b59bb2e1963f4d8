//! [`KvEntry`], [`KvListing`] and the other messages of the platform's key-value store.

use serde::{Deserialize, Serialize};

/// A key of the store with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvEntry {
    /// The key.
    pub key: String,
    /// Value of the key, at most 1 MB.
    pub value: String,
    /// Store revision of the last change of this key.
    pub revision: u64,
}

/// All keys below a prefix, at one store revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvListing {
    /// Revision of the store.
    pub revision: u64,
    /// The entries, ordered by key.
    pub entries: Vec<KvEntry>,
}

/// Body of a `PUT`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutBody {
    /// New value.
    pub value: String,
    /// Revision that the key must have. 0 means that the key must be absent, `None` that any
    /// revision is accepted.
    pub expected: Option<u64>,
    /// Lease to which the key is bound: the key is deleted when the lease ends.
    pub lease: Option<String>,
}

/// Answer to a successful `PUT`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutReply {
    /// Revision of the key after the change.
    pub revision: u64,
}

/// A lease. Also the body of the call that requests a lease, with an empty id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Id of the lease.
    #[serde(default)]
    pub id: String,
    /// Time to live in milliseconds.
    pub ttl_ms: u64,
}
