//! [`KvEntry`] and [`KvListing`]: what the key-value store returns.

use serde::{Deserialize, Serialize};

/// One key of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvEntry {
    /// The key.
    pub key: String,
    /// Its value, at most 1 MB.
    pub value: String,
    /// Store revision of the last change of this key.
    pub revision: u64,
}

/// All keys below a prefix, at one store revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvListing {
    /// Revision of the store.
    pub revision: u64,
    /// The keys in order.
    pub entries: Vec<KvEntry>,
}

/// Body of a `PUT`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutBody {
    /// New value.
    pub value: String,
    /// Revision that the key must have; 0 means that it must be absent, `None` that any will do.
    pub expected: Option<u64>,
    /// Lease with which the key goes away.
    pub lease: Option<String>,
}

/// Answer to a successful `PUT`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutReply {
    /// Revision of the key after the change.
    pub revision: u64,
}

/// A lease, also the body of the call that asks for one (with an empty id).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Id of the lease.
    #[serde(default)]
    pub id: String,
    /// Time to live in milliseconds.
    pub ttl_ms: u64,
}
