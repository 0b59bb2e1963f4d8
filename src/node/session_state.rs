//! [`SessionState`]: values, prepared statements and last commits of a caller's session.

use std::collections;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::model::{ids, log_position};
use crate::node::admission::admission_limits;
use crate::node::request;

/// Returns the bytes of an entry, including those beside its text.
const fn entry_bytes(name: &Bytes, text: &Bytes) -> usize {
    name.len() + text.len() + admission_limits::STATE_ENTRY_BYTES
}

/// Values and prepared statements of a session, and its last commit in each group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionState {
    values: collections::BTreeMap<Bytes, Bytes>,
    prepared: collections::HashMap<Bytes, request::PreparedShape>,
    written: Vec<(ids::GroupId, log_position::LogPosition)>,
}

impl SessionState {
    /// Sets a session value. It is copied, since it may be a part of a much longer message.
    pub fn set(&mut self, name: &Bytes, value: &Bytes) {
        let value = Bytes::copy_from_slice(value);
        self.values.insert(Bytes::copy_from_slice(name), value);
    }

    /// Adds a prepared statement. It is copied, since it may be a part of a much longer message.
    pub fn prepare(&mut self, name: &Bytes, shape: &request::PreparedShape) {
        let shape = request::PreparedShape {
            access: shape.access,
            shape: Bytes::copy_from_slice(&shape.shape),
        };
        self.prepared.insert(Bytes::copy_from_slice(name), shape);
    }

    /// Returns the bytes of all values and prepared statements after a statement, given those before
    /// it, or `None` if they would exceed [`admission_limits::MAX_STATE_BYTES`].
    #[must_use]
    pub fn bytes_after(&self, kind: &request::StatementKind, bytes: usize) -> Option<usize> {
        let prepared = |name: &Bytes| {
            let shape = self.prepared.get(name);
            shape.map_or(0, |shape| entry_bytes(name, &shape.shape))
        };
        let (added, freed) = match kind {
            request::StatementKind::Set { name, value } => {
                let before = self.values.get(name);
                let freed = before.map_or(0, |value| entry_bytes(name, value));
                (entry_bytes(name, value), freed)
            }
            request::StatementKind::Prepare { name, shape } => {
                (entry_bytes(name, &shape.shape), prepared(name))
            }
            request::StatementKind::Forget { name } => (0, prepared(name)),
            _ => return Some(bytes),
        };
        let after = bytes.saturating_sub(freed) + added;
        (added == 0 || after <= admission_limits::MAX_STATE_BYTES).then_some(after)
    }

    /// Returns the bytes of all values and prepared statements.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let values = self.values.iter();
        let prepared = self.prepared.iter();
        values
            .map(|(name, value)| entry_bytes(name, value))
            .chain(prepared.map(|(name, shape)| entry_bytes(name, &shape.shape)))
            .sum()
    }

    /// Removes a prepared statement. Returns whether it existed.
    pub fn forget(&mut self, name: &Bytes) -> bool {
        self.prepared.remove(name).is_some()
    }

    /// Returns a prepared statement.
    #[must_use]
    pub fn prepared(&self, name: &Bytes) -> Option<&request::PreparedShape> {
        self.prepared.get(name)
    }

    /// Returns the session values.
    #[must_use]
    pub const fn values(&self) -> &collections::BTreeMap<Bytes, Bytes> {
        &self.values
    }

    /// Records the log position of a commit in `group`.
    pub fn record_commit(&mut self, group: &str, position: log_position::LogPosition) {
        match self.written.iter_mut().find(|(other, _)| other == group) {
            Some((_, written)) => *written = position.max(*written),
            None => self.written.push((group.to_owned(), position)),
        }
    }

    /// Returns the log position of the session's last commit in `group`.
    #[must_use]
    pub fn written(&self, group: &str) -> Option<log_position::LogPosition> {
        self.written
            .iter()
            .find(|(other, _)| other == group)
            .map(|(_, position)| *position)
    }
}
