//! [`ClassCache`]: caches the classification of statement texts.

use std::collections;
use std::sync;

use xxhash_rust::xxh3;

use crate::sql::{classify, statement_class};

/// Number of shards. Each has its own lock, to reduce contention between sessions.
const SHARDS: usize = 64;
/// Maximum number of texts per shard. A full shard is cleared, which costs one parse for each text
/// that is still in use.
const SHARD_TEXTS: usize = 512;
/// Maximum length of a cached text, which limits the cache to a few tens of MB. Longer texts are
/// classified each time.
const MAX_CACHED_BYTES: usize = 4096;

type ClassShard =
    sync::RwLock<collections::HashMap<Box<str>, sync::Arc<statement_class::StatementClass>>>;

/// A cache of statement classes by text, so that a repeated text is not parsed again.
#[derive(Debug)]
pub struct ClassCache {
    shards: Vec<ClassShard>,
}

impl Default for ClassCache {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| ClassShard::default()).collect(),
        }
    }
}

impl ClassCache {
    /// Returns the class of a text, from the cache if possible.
    #[must_use]
    pub fn classify(&self, sql: &str) -> sync::Arc<statement_class::StatementClass> {
        let number = usize::try_from(xxh3::xxh3_64(sql.as_bytes()) % SHARDS as u64).unwrap_or(0);
        let shard = self
            .shards
            .get(number)
            .filter(|_| sql.len() <= MAX_CACHED_BYTES);
        let Some(shard) = shard else {
            return sync::Arc::new(classify::classify(sql));
        };
        let known = shard
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .get(sql)
            .cloned();
        if let Some(class) = known {
            return class;
        }
        let class = sync::Arc::new(classify::classify(sql));
        let mut texts = shard.write().unwrap_or_else(sync::PoisonError::into_inner);
        if texts.len() >= SHARD_TEXTS {
            texts.clear();
        }
        texts.insert(sql.into(), sync::Arc::clone(&class));
        class
    }
}
