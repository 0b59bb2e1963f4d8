//! [`RunningBatches`]: the batches that hold slots of one upstream.

use std::collections;
use std::time;

use crate::decide::customer_queue;
use crate::model::ids;

/// A batch that holds a slot.
#[derive(Clone, Debug)]
pub struct RunningBatch {
    /// Customer that is charged.
    pub customer: ids::CustomerId,
    /// Statement.
    pub fingerprint: ids::FingerprintId,
    /// What is known about its length by now.
    pub class: customer_queue::WorkClass,
    /// Slot time charged at its start.
    pub expected: time::Duration,
    /// When it got the slot.
    pub started: time::Duration,
    /// Whether the customer has bought priority.
    pub high: bool,
}

/// The batches that hold slots of one upstream, counted by class.
#[derive(Clone, Debug, Default)]
pub struct RunningBatches {
    batches: collections::HashMap<customer_queue::QueueTicket, RunningBatch>,
    long: u32,
    unproven: u32,
    borrowing: u32,
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

    /// Counts as long what holds its slot for more than `limit`, and returns the fingerprints
    /// concerned with the time so far.
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

    /// Tells whether nothing runs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Returns the number of long batches.
    #[must_use]
    pub const fn long(&self) -> u32 {
        self.long
    }

    /// Returns the number of batches that were never measured.
    #[must_use]
    pub const fn unproven(&self) -> u32 {
        self.unproven
    }

    /// Tells whether an unmeasured batch of a statement runs.
    #[must_use]
    pub fn has_trial(&self, fingerprint: ids::FingerprintId) -> bool {
        self.batches.values().any(|batch| {
            batch.class == customer_queue::WorkClass::Unproven && batch.fingerprint == fingerprint
        })
    }

    /// Returns the number of batches that are long or may turn out to be.
    #[must_use]
    pub const fn heavy(&self) -> u32 {
        self.long + self.unproven
    }

    /// Returns the number of such batches of customers without priority.
    #[must_use]
    pub const fn borrowing(&self) -> u32 {
        self.borrowing
    }

    fn count_all(&mut self) {
        (self.long, self.unproven, self.borrowing) = (0, 0, 0);
        // There are no more batches than slots, so counting anew costs next to nothing.
        let classes: Vec<_> = self.batches.values().cloned().collect();
        for batch in &classes {
            self.count(batch);
        }
    }

    fn count(&mut self, batch: &RunningBatch) {
        match batch.class {
            customer_queue::WorkClass::Short => return,
            customer_queue::WorkClass::Unproven => self.unproven += 1,
            customer_queue::WorkClass::Long => self.long += 1,
        }
        self.borrowing += u32::from(!batch.high);
    }
}
