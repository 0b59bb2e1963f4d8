//! [`ClassCache`]: remembers the classes of statement texts.

use std::collections;
use std::sync;

use xxhash_rust::xxh3;

use crate::sql::{classify, statement_class};

/// Parts of the cache, each with a lock of its own, so that sessions rarely meet.
const SHARDS: usize = 64;
/// Texts per part. A full part is emptied, which costs one parse per text still in use.
const SHARD_TEXTS: usize = 512;
/// Longer texts are classified each time, so that the cache stays within a few tens of MB.
const MAX_CACHED_BYTES: usize = 4096;

type ClassShard =
    sync::RwLock<collections::HashMap<Box<str>, sync::Arc<statement_class::StatementClass>>>;

/// Remembers the classes of statement texts, so that each text is parsed once.
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
    /// Returns the class of a text.
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
