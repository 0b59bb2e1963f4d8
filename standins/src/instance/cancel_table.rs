//! [`CancelTable`]: maps cancel requests to connections.

use std::collections;
use std::sync;

type CancelSender = sync::Arc<tokio::sync::watch::Sender<bool>>;

/// Open connections by process number, with their secret keys.
#[derive(Debug, Default)]
pub struct CancelTable {
    entries: sync::Mutex<collections::HashMap<i32, (i32, CancelSender)>>,
}

impl CancelTable {
    /// Registers a connection; its sender becomes true when a cancel request arrives.
    pub fn register(&self, process: i32, secret: i32, sender: CancelSender) {
        self.lock().insert(process, (secret, sender));
    }

    /// Removes a connection.
    pub fn remove(&self, process: i32) {
        self.lock().remove(&process);
    }

    /// Cancels the running statement of a connection if the secret key matches.
    pub fn cancel(&self, process: i32, secret: i32) {
        if let Some((known, sender)) = self.lock().get(&process)
            && *known == secret
        {
            sender.send_replace(true);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<i32, (i32, CancelSender)>> {
        self.entries
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
