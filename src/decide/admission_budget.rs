//! Decides which callers are closed when a process holds too much for them.
//!
//! The load that this addresses: callers that nobody controls send parts of lines, leave answers
//! unread, or only connect, many at a time, on VMs with 112 to 512 MB and 3,010 to 8,192
//! descriptors.

use std::cmp;
use std::time;

/// Share of the process's memory that may be held for callers. The rest covers the program itself,
/// copies that are made while a message is passed on, and the fragmentation of freed memory.
const CALLER_MEMORY_SHARE: f64 = 0.35;
/// Share of the process's descriptors that callers may use. The others are left for upstreams,
/// other VMs, the store and probes.
const CALLER_DESCRIPTOR_SHARE: f64 = 0.65;
/// Share of the budget down to which callers are closed once it is exceeded, so that the next
/// message does not exceed it again.
const RELIEVED_SHARE: f64 = 0.9;
/// Time without progress after which a caller that is in the middle of a message is closed before
/// those that make progress.
const STALLED_AFTER: time::Duration = time::Duration::from_secs(1);
/// Time that a caller has to send its first line before its descriptor may be given to another.
const GREETING_GRACE: time::Duration = time::Duration::from_millis(200);

/// Bytes below which an idle session is not worth closing, unless such sessions together hold most
/// of what is used: many would have to be closed to make room for one long message.
const CHEAP_BYTES: usize = 32 * 1024;

/// What a caller's connection is doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CallerPhase {
    /// The caller has not opened its session yet.
    #[default]
    Greeting,
    /// A part of a line has arrived.
    MidLine,
    /// A part of a line has arrived, and the node reads no more of it for want of memory.
    Held,
    /// The caller does not read its answer as fast as it is sent.
    Unread,
    /// The session waits for a request.
    Idle,
    /// A request is being served. Such a caller is not closed, since the outcome of its request
    /// would be lost.
    Running,
}

/// What a process holds for one caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLoad {
    /// What the connection is doing.
    pub phase: CallerPhase,
    /// Whether the caller has an open transaction, which is lost when the caller is closed.
    pub in_transaction: bool,
    /// Bytes held for the caller.
    pub bytes: usize,
    /// Time since the caller's last progress.
    pub idle: time::Duration,
}

/// Limits of what a process holds for all callers; `None` means unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Bytes.
    pub bytes: Option<usize>,
    /// Connections.
    pub callers: Option<usize>,
}

impl BudgetLimits {
    /// Returns the limits of a process that may use this memory and this many descriptors.
    #[must_use]
    pub fn of_process(memory_bytes: Option<u64>, descriptors: Option<u64>) -> Self {
        Self {
            bytes: memory_bytes.map(|bytes| share(bytes, CALLER_MEMORY_SHARE)),
            callers: descriptors.map(|count| share(count, CALLER_DESCRIPTOR_SHARE)),
        }
    }

    /// Returns whether the callers hold too many bytes.
    #[must_use]
    pub fn is_exceeded(&self, used: usize) -> bool {
        self.bytes.is_some_and(|limit| used > limit)
    }

    /// Returns how many bytes have to be freed, 0 if the budget is not exceeded.
    #[must_use]
    pub fn excess(&self, used: usize) -> usize {
        match self.bytes {
            Some(limit) if used > limit => used - share(limit as u64, RELIEVED_SHARE),
            _ => 0,
        }
    }
}

#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share of a budget needs no exact bytes"
)]
fn share(whole: u64, share: f64) -> usize {
    (whole as f64 * share) as usize
}

/// Returns the indexes of the callers to close, in order, so that `excess` of the `used` bytes become
/// free. `used` also covers what is held for no particular caller, for example messages in transit.
/// Callers in the middle of a message come before idle ones, stalled ones before those that make
/// progress, idle ones without a transaction before those in one, then the most expensive and
/// longest idle.
///
/// Cheap idle sessions are not closed if something else holds most of what is used, or if closing
/// them would not free enough: that would end hundreds of ordinary sessions without relief.
#[must_use]
pub fn choose_for_memory(callers: &[CallerLoad], used: usize, excess: usize) -> Vec<usize> {
    let is_cheap = |load: &CallerLoad| load.phase == CallerPhase::Idle && load.bytes < CHEAP_BYTES;
    let rank = |load: &CallerLoad| match load.phase {
        CallerPhase::Running => None,
        CallerPhase::Idle => Some(2 + u8::from(load.in_transaction)),
        CallerPhase::Greeting | CallerPhase::MidLine | CallerPhase::Unread => {
            Some(u8::from(load.idle < STALLED_AFTER))
        }
        // The node itself stopped reading, so the caller is not stalled.
        CallerPhase::Held => Some(1),
    };
    let mut candidates: Vec<_> = callers
        .iter()
        .enumerate()
        .filter(|(_, load)| load.bytes > 0)
        .filter_map(|(index, load)| Some((rank(load)?, load, index)))
        .collect();
    let cheap = candidates.iter().filter(|(_, load, _)| is_cheap(load));
    let cheap_bytes: usize = cheap.map(|(_, load, _)| load.bytes).sum();
    let all_bytes: usize = candidates.iter().map(|(_, load, _)| load.bytes).sum();
    let spare_cheap = cheap_bytes < used / 2 || all_bytes < excess;
    candidates.retain(|(_, load, _)| !(spare_cheap && is_cheap(load)));
    candidates
        .sort_by_key(|(rank, load, _)| (*rank, cmp::Reverse(load.bytes), cmp::Reverse(load.idle)));
    let mut freed = 0;
    candidates
        .into_iter()
        .take_while(|(_, load, _)| {
            let wanted = freed < excess;
            freed += load.bytes;
            wanted
        })
        .map(|(_, _, index)| index)
        .collect()
}

/// Returns the index of the caller whose descriptor a new caller gets: the one that has been in the
/// middle of a message, or has kept its session unopened, for longest. Idle sessions keep theirs.
#[must_use]
pub fn choose_for_descriptor(callers: &[CallerLoad]) -> Option<usize> {
    callers
        .iter()
        .enumerate()
        .filter(|(_, load)| match load.phase {
            CallerPhase::Greeting => load.idle >= GREETING_GRACE,
            CallerPhase::MidLine | CallerPhase::Unread => load.idle >= STALLED_AFTER,
            CallerPhase::Held | CallerPhase::Idle | CallerPhase::Running => false,
        })
        .max_by_key(|(_, load)| load.idle)
        .map(|(index, _)| index)
}
