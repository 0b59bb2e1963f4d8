//! [`CustomerQueue`]: the batches of one customer that wait for a slot.

use std::collections;
use std::time;

use crate::model::ids;

/// Names a batch within one queue.
pub type QueueTicket = u64;

/// How much is known about the slot time of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkClass {
    /// Known to be short.
    Short,
    /// Never measured. It may turn out to be long.
    Unproven,
    /// Known to be long.
    Long,
}

/// A batch that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingBatch {
    /// Names the batch.
    pub ticket: QueueTicket,
    /// Customer of the caller.
    pub customer: ids::CustomerId,
    /// Order of arrival.
    pub sequence: u64,
    /// Statement.
    pub fingerprint: ids::FingerprintId,
    /// What the entry says about its length.
    pub long: Option<bool>,
    /// What is known about its length.
    pub class: WorkClass,
    /// Slot time expected at arrival.
    pub expected: time::Duration,
    /// Time by which it has to be granted.
    pub deadline: time::Duration,
    /// Whether its unit already holds a connection.
    pub in_transaction: bool,
}

/// The batches of one customer that wait for a slot, by class and in order.
#[derive(Clone, Debug)]
pub struct CustomerQueue {
    /// Whether the customer has bought priority.
    pub high: bool,
    /// Share among customers of equal priority.
    pub weight: u32,
    /// Slot time in seconds that the customer may still use in this round; negative when it used
    /// more than its share.
    pub deficit: f64,
    /// Slot time in seconds by which the customer is behind a fifth of its fair share.
    pub floor_debt: f64,
    lists: [collections::VecDeque<WaitingBatch>; 3],
    /// Expected slot time of all waiting batches.
    pub backlog: time::Duration,
}

impl CustomerQueue {
    /// Creates an empty lane.
    #[must_use]
    pub fn new(high: bool, weight: u32) -> Self {
        Self {
            high,
            weight,
            deficit: 0.0,
            floor_debt: 0.0,
            lists: Default::default(),
            backlog: time::Duration::ZERO,
        }
    }

    /// Returns the number of waiting batches.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lists.iter().map(collections::VecDeque::len).sum()
    }

    /// Tells whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lists.iter().all(collections::VecDeque::is_empty)
    }

    /// Adds a batch.
    pub fn push(&mut self, batch: WaitingBatch) {
        self.backlog += batch.expected;
        self.list(batch.class).push_back(batch);
    }

    /// Returns the first batch that `eligible` accepts. Short and long batches run in order of
    /// arrival, so only the first of each is asked for; unproven ones depend on their statement.
    pub fn first(&self, eligible: impl Fn(&WaitingBatch) -> bool) -> Option<&WaitingBatch> {
        let [short, unproven, long] = &self.lists;
        [
            short.front().filter(|batch| eligible(batch)),
            unproven.iter().find(|batch| eligible(batch)),
            long.front().filter(|batch| eligible(batch)),
        ]
        .into_iter()
        .flatten()
        .min_by_key(|batch| batch.sequence)
    }

    /// Sorts the batches anew after the class of a statement has changed.
    pub fn sort(&mut self, class: impl Fn(&WaitingBatch) -> WorkClass) {
        let mut batches: Vec<_> = self
            .lists
            .iter_mut()
            .flat_map(|list| list.drain(..))
            .collect();
        batches.sort_by_key(|batch| batch.sequence);
        for mut batch in batches {
            batch.class = class(&batch);
            self.list(batch.class).push_back(batch);
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
            // A share that was not asked for is not saved up.
            self.backlog = time::Duration::ZERO;
            self.deficit = self.deficit.min(0.0);
            self.floor_debt = self.floor_debt.min(0.0);
        }
        removed
    }

    /// Iterates over all waiting batches.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingBatch> {
        self.lists.iter().flatten()
    }

    fn list(&mut self, class: WorkClass) -> &mut collections::VecDeque<WaitingBatch> {
        let [short, unproven, long] = &mut self.lists;
        match class {
            WorkClass::Short => short,
            WorkClass::Unproven => unproven,
            WorkClass::Long => long,
        }
    }
}
