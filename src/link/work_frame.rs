//! [`WorkFrame`]: messages from an entry on a `Work` stream.

use serde::{Deserialize, Serialize};

use crate::link::{batch_request, work_request};

/// A frame from entry to pool. The first is `Open`. A transaction may send several batches, each
/// after the answer to the previous one. Ending or resetting the stream abandons the unit of work:
/// an open transaction is rolled back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkFrame {
    /// Opens the unit of work.
    Open(work_request::WorkRequest),
    /// Runs a batch.
    Batch(batch_request::BatchRequest),
    /// Cancels the running batch at the caller's request. The batch still gets an answer.
    Cancel,
}
