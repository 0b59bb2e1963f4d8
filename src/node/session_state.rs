//! [`SessionState`]: values, prepared statements and last commits of a caller's session.

use std::collections;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::model::{ids, log_position};
use crate::node::request;

/// Values and prepared statements of a session, and its last commit in each group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionState {
    values: collections::BTreeMap<Bytes, Bytes>,
    prepared: collections::HashMap<Bytes, request::PreparedShape>,
    written: Vec<(ids::GroupId, log_position::LogPosition)>,
}

impl SessionState {
    /// Sets a session value.
    pub fn set(&mut self, name: Bytes, value: Bytes) {
        self.values.insert(name, value);
    }

    /// Adds a prepared statement.
    pub fn prepare(&mut self, name: Bytes, shape: request::PreparedShape) {
        self.prepared.insert(name, shape);
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
