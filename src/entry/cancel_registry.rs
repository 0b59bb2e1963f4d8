//! [`CancelRegistry`]: finds the session that a cancel request names.

use std::collections;
use std::sync;

/// Identifies a session to a cancel request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CancelKey {
    pub process: i32,
    pub secret: i32,
}

/// The sessions by their keys.
#[derive(Debug, Default)]
pub struct CancelRegistry {
    sessions: sync::Mutex<collections::HashMap<CancelKey, sync::Arc<tokio::sync::Notify>>>,
}

impl CancelRegistry {
    /// Registers a session under a new random key.
    pub fn register(&self) -> (CancelKey, sync::Arc<tokio::sync::Notify>) {
        let key = CancelKey {
            process: rand::random::<i32>() & i32::MAX,
            secret: rand::random(),
        };
        let notify = sync::Arc::new(tokio::sync::Notify::new());
        self.lock().insert(key, sync::Arc::clone(&notify));
        (key, notify)
    }

    pub fn remove(&self, key: CancelKey) {
        self.lock().remove(&key);
    }

    /// Cancels what the session runs now. A wrong key does nothing, as in PostgreSQL.
    pub fn cancel(&self, key: CancelKey) {
        if let Some(notify) = self.lock().get(&key) {
            notify.notify_waiters();
        }
    }

    fn lock(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<CancelKey, sync::Arc<tokio::sync::Notify>>> {
        self.sessions
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
