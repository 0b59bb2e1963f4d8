//! [`ReplayedLog`]: the log of an instance, rebuilt from its journal.

use std::collections;

use standins::instance::{journal, log_entry};

/// The log of an instance, rebuilt from its journal.
#[derive(Debug, Default)]
pub struct ReplayedLog {
    /// Log entries in the order of their positions.
    pub entries: Vec<log_entry::LogEntry>,
}

impl ReplayedLog {
    /// Replays the events of a journal, including dropped tails.
    pub fn new(events: &[journal::JournalEvent]) -> Self {
        let mut log = Self::default();
        for event in events {
            match event {
                journal::JournalEvent::Commit { entry, .. }
                | journal::JournalEvent::Received { entry }
                | journal::JournalEvent::Promote { entry } => log.entries.push(entry.clone()),
                journal::JournalEvent::TailDropped { after, .. } => {
                    let keep = usize::try_from(*after).unwrap_or(usize::MAX);
                    log.entries.truncate(keep);
                }
                _ => {}
            }
        }
        log
    }

    /// Returns for each key the indexes of the entries that insert it.
    pub fn inserts(&self) -> collections::HashMap<&str, Vec<usize>> {
        let mut inserts: collections::HashMap<&str, Vec<usize>> = collections::HashMap::new();
        for (index, entry) in self.entries.iter().enumerate() {
            for write in &entry.writes {
                if let log_entry::WriteOp::Insert { k, .. } = write {
                    inserts.entry(k).or_default().push(index);
                }
            }
        }
        inserts
    }
}
