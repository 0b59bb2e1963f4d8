//! [`CustomerQueue`]: the waiting batches of one customer, and its state in the fair scheduling.

use std::collections;
use std::time;

use crate::model::ids;

/// Identifies a batch within the queue of one upstream.
pub type QueueTicket = u64;

/// What is known about the slot time of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkClass {
    /// The batch is known to be short.
    Short,
    /// The statement was never measured and may turn out to be long.
    Unmeasured,
    /// The batch is known to be long.
    Long,
}

/// A batch that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingBatch {
    /// Identifies the batch.
    pub ticket: QueueTicket,
    /// Customer of the caller.
    pub customer: ids::CustomerId,
    /// Order of arrival.
    pub sequence: u64,
    /// Fingerprint of the statement.
    pub fingerprint: ids::FingerprintId,
    /// Whether the entry marked the batch as long or short, if it did.
    pub long: Option<bool>,
    /// Class of the batch.
    pub class: WorkClass,
    /// Slot time that was expected when the batch arrived.
    pub expected: time::Duration,
    /// Time by which the batch has to be granted a slot.
    pub deadline: time::Duration,
    /// Whether the unit of the batch already holds a connection.
    pub in_transaction: bool,
}

/// The waiting batches of one customer, by class and in order of arrival.
#[derive(Clone, Debug)]
pub struct CustomerQueue {
    /// Whether the customer has high priority.
    pub high: bool,
    /// Weight of the customer among customers of equal priority.
    pub weight: u32,
    /// Slot time in seconds that the customer may still use in this round of the deficit round
    /// robin. It is negative if the customer has used more than its share.
    pub deficit: f64,
    /// Slot time in seconds by which the customer is behind its guaranteed minimum, a fifth of its
    /// fair share. It is negative if the customer is ahead.
    pub minimum_debt: f64,
    lists: [collections::VecDeque<WaitingBatch>; 3],
    /// Expected slot time of all waiting batches.
    pub backlog: time::Duration,
}

impl CustomerQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(high: bool, weight: u32) -> Self {
        Self {
            high,
            weight,
            deficit: 0.0,
            minimum_debt: 0.0,
            lists: Default::default(),
            backlog: time::Duration::ZERO,
        }
    }

    /// Returns the number of waiting batches.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lists.iter().map(collections::VecDeque::len).sum()
    }

    /// Returns whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lists.iter().all(collections::VecDeque::is_empty)
    }

    /// Adds a batch.
    pub fn push(&mut self, batch: WaitingBatch) {
        self.backlog += batch.expected;
        self.class_list(batch.class).push_back(batch);
    }

    /// Returns the first batch that `eligible` accepts. Short and long batches run in order of
    /// arrival, so only the first of each is checked. Whether an unmeasured batch is eligible
    /// depends on its statement, so all of them are checked.
    pub fn first(&self, eligible: impl Fn(&WaitingBatch) -> bool) -> Option<&WaitingBatch> {
        let [short, unmeasured, long] = &self.lists;
        [
            short.front().filter(|batch| eligible(batch)),
            unmeasured.iter().find(|batch| eligible(batch)),
            long.front().filter(|batch| eligible(batch)),
        ]
        .into_iter()
        .flatten()
        .min_by_key(|batch| batch.sequence)
    }

    /// Assigns all batches to their classes again, after the class of a statement has changed.
    pub fn reclassify(&mut self, class: impl Fn(&WaitingBatch) -> WorkClass) {
        let mut batches: Vec<_> = self
            .lists
            .iter_mut()
            .flat_map(|list| list.drain(..))
            .collect();
        batches.sort_by_key(|batch| batch.sequence);
        for mut batch in batches {
            batch.class = class(&batch);
            self.class_list(batch.class).push_back(batch);
        }
    }

    /// Returns the batch that arrived last.
    #[must_use]
    pub fn newest(&self) -> Option<&WaitingBatch> {
        self.lists
            .iter()
            .filter_map(collections::VecDeque::back)
            .max_by_key(|batch| batch.sequence)
    }

    /// Removes a batch.
    pub fn remove(&mut self, ticket: QueueTicket) -> Option<WaitingBatch> {
        let removed = self.lists.iter_mut().find_map(|list| {
            let place = list.iter().position(|batch| batch.ticket == ticket)?;
            list.remove(place)
        });
        if let Some(batch) = &removed {
            self.backlog = self.backlog.saturating_sub(batch.expected);
        }
        if self.is_empty() {
            // An idle customer saves up neither its share nor its minimum.
            self.backlog = time::Duration::ZERO;
            self.deficit = self.deficit.min(0.0);
            self.minimum_debt = self.minimum_debt.min(0.0);
        }
        removed
    }

    /// Iterates over all waiting batches.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingBatch> {
        self.lists.iter().flatten()
    }

    fn class_list(&mut self, class: WorkClass) -> &mut collections::VecDeque<WaitingBatch> {
        let [short, unmeasured, long] = &mut self.lists;
        match class {
            WorkClass::Short => short,
            WorkClass::Unmeasured => unmeasured,
            WorkClass::Long => long,
        }
    }
}
