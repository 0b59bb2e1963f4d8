//! [`HangingCommit`]: a commit that no replica has received.

use bytes::Bytes;
use persimmontack::model::log_position;

/// A commit of the present primary that no replica has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HangingCommit {
    /// Id of the statement that commits.
    pub id: Bytes,
    /// Its position.
    pub position: log_position::LogPosition,
}

/// How a commit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitEnd {
    /// A replica has received it.
    Acknowledged,
    /// It waits for a replica.
    Hanging,
    /// Its primary lost the lead first, so it is never answered.
    Lost,
}
