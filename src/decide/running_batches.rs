//! [`RunningBatches`]: the batches that hold slots of one upstream.

use std::collections;
use std::time;

use crate::decide::customer_queue;
use crate::model::ids;

/// A batch that holds a slot.
#[derive(Clone, Debug)]
pub struct RunningBatch {
    /// Customer to which the slot time is charged.
    pub customer: ids::CustomerId,
    /// Fingerprint of the statement.
    pub fingerprint: ids::FingerprintId,
    /// Class of the batch; it becomes long once the batch has run for long enough.
    pub class: customer_queue::WorkClass,
    /// Expected slot time, which was charged to the customer when the batch started.
    pub expected: time::Duration,
    /// Time at which the batch got the slot.
    pub started: time::Duration,
    /// Whether the customer has high priority.
    pub high: bool,
}

/// The batches that hold slots of one upstream, counted by class.
#[derive(Clone, Debug, Default)]
pub struct RunningBatches {
    batches: collections::HashMap<customer_queue::QueueTicket, RunningBatch>,
    long: u32,
    unmeasured: u32,
    maybe_long_normal: u32,
}

impl RunningBatches {
    /// Adds a batch.
    pub fn insert(&mut self, ticket: customer_queue::QueueTicket, batch: RunningBatch) {
        self.count(&batch);
        self.batches.insert(ticket, batch);
    }

    /// Removes a batch.
    pub fn remove(&mut self, ticket: customer_queue::QueueTicket) -> Option<RunningBatch> {
        let batch = self.batches.remove(&ticket)?;
        self.count_all();
        Some(batch)
    }

    /// Marks the batches that have held their slot for more than `limit` as long. Returns their
    /// fingerprints with the time that they have run so far.
    pub fn reclassify(
        &mut self,
        limit: time::Duration,
        now: time::Duration,
    ) -> Vec<(ids::FingerprintId, time::Duration)> {
        let mut changed = Vec::new();
        for batch in self.batches.values_mut() {
            let elapsed = now.saturating_sub(batch.started);
            if batch.class != customer_queue::WorkClass::Long && elapsed > limit {
                batch.class = customer_queue::WorkClass::Long;
                changed.push((batch.fingerprint, elapsed));
            }
        }
        if !changed.is_empty() {
            self.count_all();
        }
        changed
    }

    /// Returns the number of batches.
    #[must_use]
    pub fn len(&self) -> usize {
        self.batches.len()
    }

    /// Returns whether nothing runs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Returns the number of long batches.
    #[must_use]
    pub const fn long(&self) -> u32 {
        self.long
    }

    /// Returns the number of batches whose statement was never measured.
    #[must_use]
    pub const fn unmeasured(&self) -> u32 {
        self.unmeasured
    }

    /// Returns whether an unmeasured batch of this statement runs.
    #[must_use]
    pub fn has_unmeasured(&self, fingerprint: ids::FingerprintId) -> bool {
        self.batches.values().any(|batch| {
            batch.class == customer_queue::WorkClass::Unmeasured && batch.fingerprint == fingerprint
        })
    }

    /// Returns the number of batches that are long or may turn out to be long.
    #[must_use]
    pub const fn maybe_long(&self) -> u32 {
        self.long + self.unmeasured
    }

    /// Returns how many of the batches counted by [`Self::maybe_long`] belong to customers without
    /// high priority.
    #[must_use]
    pub const fn maybe_long_normal(&self) -> u32 {
        self.maybe_long_normal
    }

    fn count_all(&mut self) {
        (self.long, self.unmeasured, self.maybe_long_normal) = (0, 0, 0);
        // There are at most as many batches as slots, so a full recount is cheap.
        let classes: Vec<_> = self.batches.values().cloned().collect();
        for batch in &classes {
            self.count(batch);
        }
    }

    fn count(&mut self, batch: &RunningBatch) {
        match batch.class {
            customer_queue::WorkClass::Short => return,
            customer_queue::WorkClass::Unmeasured => self.unmeasured += 1,
            customer_queue::WorkClass::Long => self.long += 1,
        }
        self.maybe_long_normal += u32::from(!batch.high);
    }
}
