//! [`WorkFrame`]: what an entry sends on a work stream.

use serde::{Deserialize, Serialize};

use crate::link::{batch_request, work_request};

/// A frame from entry to pool. The first is `Open`; a transaction may send several batches, each
/// after the answer to the one before. Ending or resetting the stream gives the unit up: an open
/// transaction is rolled back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkFrame {
    /// Opens the unit.
    Open(work_request::WorkRequest),
    /// Runs a batch.
    Batch(batch_request::BatchRequest),
    /// Cancels the running batch, as the caller asked. The batch still gets its answer.
    Cancel,
}
