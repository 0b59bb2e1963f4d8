//! [`WaitQueue`]: statements that wait for a connection to one upstream.

use std::collections;

use tokio::sync::oneshot;
use tokio::time::Instant;

/// Place in the queue: priority, then arrival.
pub type QueuePlace = (u8, u64);

/// When a statement has to have its connection.
#[derive(Clone, Copy, Debug)]
pub struct WaitOptions {
    /// Order among waiting statements; 0 goes first.
    pub priority: u8,
    /// Until when it is useful in full. After that it waits behind those that still are.
    pub soft_deadline: Instant,
    /// When it stops waiting.
    pub deadline: Instant,
}

#[derive(Debug)]
struct Waiter<T> {
    sender: oneshot::Sender<T>,
    soft_deadline: Instant,
}

/// Statements that wait for a `T`, by priority and by arrival within one priority.
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiting: collections::BTreeMap<QueuePlace, Waiter<T>>,
    sequence: u64,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            waiting: collections::BTreeMap::new(),
            sequence: 0,
        }
    }
}

impl<T> WaitQueue<T> {
    /// Adds a statement, and returns its place and what it waits on.
    pub fn push(&mut self, options: WaitOptions) -> (QueuePlace, oneshot::Receiver<T>) {
        let (sender, receiver) = oneshot::channel();
        let place = (options.priority, self.sequence);
        self.sequence += 1;
        let waiter = Waiter {
            sender,
            soft_deadline: options.soft_deadline,
        };
        self.waiting.insert(place, waiter);
        (place, receiver)
    }

    /// Takes a statement out that has stopped waiting.
    pub fn remove(&mut self, place: QueuePlace) {
        self.waiting.remove(&place);
    }

    /// Takes the first statement that is useful in full if it is answered at `answered`, or the
    /// first of all.
    pub fn take_next(&mut self, answered: Instant) -> Option<oneshot::Sender<T>> {
        let place = self
            .waiting
            .iter()
            .find(|(_, waiter)| answered < waiter.soft_deadline)
            .or_else(|| self.waiting.first_key_value())
            .map(|(place, _)| *place)?;
        self.waiting.remove(&place).map(|waiter| waiter.sender)
    }

    /// Returns how many statements go before a new one.
    #[must_use]
    pub fn count_before(&self, priority: u8) -> u32 {
        let before = self
            .waiting
            .keys()
            .filter(|(other, _)| *other <= priority)
            .count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    /// Returns how many statements wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
