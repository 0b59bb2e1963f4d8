//! [`OpenTransaction`]: the uncommitted changes of a transaction.

use std::collections;
use std::sync;

use persimmontack::model::ids;

use crate::instance::core_state;
use crate::instance::db_error;
use crate::instance::log_entry;
use crate::instance::tables;

/// A transaction that is not committed.
#[derive(Clone, Debug, Default)]
pub struct OpenTransaction {
    /// Its number in the journal.
    pub number: u64,
    /// Whether writes are refused.
    pub read_only: bool,
    /// Whether a statement failed, so that only a commit or rollback is accepted.
    pub failed: bool,
    /// Ids of its statements, from their comments.
    pub ids: Vec<String>,
    /// Term in which it made its first write.
    pub term: Option<ids::TermNumber>,
    writes: Vec<log_entry::WriteOp>,
    overlay: collections::HashMap<(String, String), Option<String>>,
}

impl OpenTransaction {
    /// Begins a transaction.
    #[must_use]
    pub fn begin(number: u64, read_only: bool) -> Self {
        Self {
            number,
            read_only,
            ..Self::default()
        }
    }

    /// Returns a value as this transaction sees it.
    #[must_use]
    pub fn value(&self, core: &core_state::CoreState, table: &str, key: &str) -> Option<String> {
        match self.overlay.get(&(table.to_owned(), key.to_owned())) {
            Some(value) => value.clone(),
            None => core.tables().value(table, key).cloned(),
        }
    }

    /// Returns a table as this transaction sees it.
    #[must_use]
    pub fn rows(&self, core: &core_state::CoreState, table: &str) -> tables::TableRows {
        let mut rows = core.tables().rows(table);
        for ((_, key), value) in self.overlay.iter().filter(|((name, _), _)| name == table) {
            let rows = sync::Arc::make_mut(&mut rows);
            match value {
                Some(value) => rows.insert(key.clone(), value.clone()),
                None => rows.remove(key),
            };
        }
        rows
    }

    /// Makes a change that is visible only to this transaction. Returns the number of changed rows.
    ///
    /// # Errors
    ///
    /// Fails with 23505 on a duplicate key.
    pub fn write(
        &mut self,
        core: &core_state::CoreState,
        write: log_entry::WriteOp,
    ) -> Result<u64, db_error::DbError> {
        let exists = |table: &str, key: &str| self.value(core, table, key).is_some();
        let (table, key, value, rows) = match &write {
            log_entry::WriteOp::Insert { table, k, v } => {
                if exists(table, k) {
                    return Err(duplicate_key(table, k));
                }
                (table, k, Some(v.clone()), true)
            }
            log_entry::WriteOp::Update { table, k, v } => {
                (table, k, Some(v.clone()), exists(table, k))
            }
            log_entry::WriteOp::Delete { table, k } => (table, k, None, exists(table, k)),
        };
        if rows {
            self.overlay.insert((table.clone(), key.clone()), value);
            self.writes.push(write);
        }
        Ok(u64::from(rows))
    }

    /// Checks that this transaction may write on this instance, and records the primary's term.
    ///
    /// # Errors
    ///
    /// Fails with 25006 if the transaction is read-only, or if this instance is not the primary or
    /// was promoted again since the transaction's first write.
    pub fn check_writable(
        &mut self,
        core: &core_state::CoreState,
    ) -> Result<(), db_error::DbError> {
        if self.read_only {
            return Err(db_error::DbError::read_only(
                "cannot write in a read-only transaction",
            ));
        }
        let primary_term = core.state().primary_term;
        if primary_term.is_none() || (self.term.is_some() && self.term != primary_term) {
            return Err(db_error::DbError::read_only(
                "cannot write: this instance is not the primary",
            ));
        }
        self.term = primary_term;
        Ok(())
    }

    /// Takes the changes for the log, after a last check against the commits of other transactions.
    ///
    /// # Errors
    ///
    /// Like [`Self::check_writable`] and, for duplicate keys, [`Self::write`].
    pub fn take_writes(
        &mut self,
        core: &core_state::CoreState,
    ) -> Result<Option<(ids::TermNumber, Vec<log_entry::WriteOp>)>, db_error::DbError> {
        if self.writes.is_empty() {
            return Ok(None);
        }
        self.check_writable(core)?;
        let mut checked = Self::default();
        for write in &self.writes {
            checked.write(core, write.clone())?;
        }
        let writes = std::mem::take(&mut self.writes);
        Ok(self.term.map(|term| (term, writes)))
    }

    /// Tells whether the transaction has changes.
    #[must_use]
    pub const fn has_writes(&self) -> bool {
        !self.writes.is_empty()
    }
}

fn duplicate_key(table: &str, key: &str) -> db_error::DbError {
    db_error::DbError::new(
        "23505",
        format!("duplicate key value violates unique constraint: table={table} k={key}"),
    )
}
