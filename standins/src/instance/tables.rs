//! [`TableSet`]: the rows of an instance.

use std::collections;
use std::sync;

use crate::instance::log_entry;

/// Rows of one table, by key. Shared, so that a long read can keep its snapshot without a copy.
pub type TableRows = sync::Arc<collections::BTreeMap<String, String>>;

/// All tables. A table exists from its first write on.
#[derive(Clone, Debug, Default)]
pub struct TableSet {
    tables: collections::HashMap<String, TableRows>,
}

impl TableSet {
    /// Returns a snapshot of a table; an unknown table is empty.
    #[must_use]
    pub fn rows(&self, table: &str) -> TableRows {
        self.tables.get(table).cloned().unwrap_or_default()
    }

    /// Returns one value.
    #[must_use]
    pub fn value(&self, table: &str, key: &str) -> Option<&String> {
        self.tables.get(table)?.get(key)
    }

    /// Applies one change and tells whether a row was inserted, updated or deleted.
    pub fn apply(&mut self, write: &log_entry::WriteOp) -> bool {
        match write {
            log_entry::WriteOp::Insert { table, k, v } => {
                self.table_mut(table).insert(k.clone(), v.clone()).is_none()
            }
            log_entry::WriteOp::Update { table, k, v } => match self.table_mut(table).get_mut(k) {
                Some(value) => {
                    value.clone_from(v);
                    true
                }
                None => false,
            },
            log_entry::WriteOp::Delete { table, k } => self.table_mut(table).remove(k).is_some(),
        }
    }

    fn table_mut(&mut self, table: &str) -> &mut collections::BTreeMap<String, String> {
        let rows = self.tables.entry(table.to_owned()).or_default();
        sync::Arc::make_mut(rows)
    }
}
