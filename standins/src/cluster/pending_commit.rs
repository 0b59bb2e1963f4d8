//! [`PendingCommit`]: a commit that no replica has received.

use bytes::Bytes;
use persimmontack::model::log_position;

/// A commit of the current primary that no replica has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingCommit {
    /// Id of the statement that commits.
    pub id: Bytes,
    /// Its log position.
    pub position: log_position::LogPosition,
}

/// Outcome of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// A replica has received it.
    Acknowledged,
    /// No replica has received it yet.
    Pending,
    /// Another instance was promoted before a replica received it, so it is never answered.
    Lost,
}
