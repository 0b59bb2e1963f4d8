//! [`WatchSchedule`]: how long watches of the store may wait, so that a lost one is noticed in time.
//!
//! Nothing tells a watch that waits from one whose request, answer or connection was lost, so a
//! watch counts as lost at a limit that the bound for configurations sets. See `docs/node.md`,
//! "Store".

use std::time;

use crate::node::limits;

/// Wait and limit of one watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchTimes {
    /// Time for which the store may wait for a change before it answers.
    pub wait: time::Duration,
    /// Time after which the watch counts as lost.
    pub limit: time::Duration,
}

/// Chooses the times of watches from the time within which a configuration has to be in force.
#[derive(Clone, Copy, Debug)]
pub struct WatchSchedule {
    apply_limit: time::Duration,
}

impl WatchSchedule {
    /// Creates the schedule for a bound on the time from the acknowledgement of a configuration
    /// until it is in force.
    #[must_use]
    pub const fn new(apply_limit: time::Duration) -> Self {
        Self { apply_limit }
    }

    /// Returns the times of a watch that waits, for at most `longest`, and that begins up to
    /// `pause` after the one before has ended.
    #[must_use]
    pub fn waiting(self, longest: time::Duration, pause: time::Duration) -> WatchTimes {
        let detection = self.overdue_age();
        let margin = limits::WATCH_MARGIN.min(detection / limits::WATCH_MARGIN_PARTS);
        let wait = detection
            .saturating_sub(margin + pause)
            .max(limits::MIN_WATCH_WAIT)
            .min(longest);
        WatchTimes {
            wait,
            limit: wait + margin,
        }
    }

    /// Returns the age, since the call to the store began, at which a VM that gets its tables from others asks
    /// the store itself. Time is left for a call that is not answered, and for another one.
    #[must_use]
    pub fn question_age(self) -> time::Duration {
        self.apply_limit / limits::QUESTION_AGE_PARTS
    }

    /// Returns the age, since the call to the store began, at which the tables of a VM are overdue,
    /// whoever passed them on: time is left for one call to the store then.
    #[must_use]
    pub fn overdue_age(self) -> time::Duration {
        let max_reserve = self.apply_limit / limits::LOST_WATCH_RESERVE_PARTS;
        self.apply_limit - limits::LOST_WATCH_RESERVE.min(max_reserve)
    }

    /// Returns how long a watch of a VM may wait that passes the tables on. Just before it is answered,
    /// the latest answer is that of the watch before, so two of them and the wait of a question to this
    /// VM have to fit into the age at which the store is asked.
    #[must_use]
    pub fn followed_wait(self) -> time::Duration {
        self.apply_limit / limits::FOLLOWER_WATCH_PARTS
    }

    /// Returns how long another VM may wait for a change before it answers a question.
    #[must_use]
    pub fn follower_wait(self) -> time::Duration {
        limits::FOLLOWER_WAIT.min(self.apply_limit / limits::FOLLOWER_WAIT_PARTS)
    }

    /// Returns the times of a watch that does not wait. It serves as a question whether the store
    /// answers.
    #[must_use]
    pub fn question(self) -> WatchTimes {
        WatchTimes {
            wait: time::Duration::ZERO,
            limit: limits::STORE_CALL_TIMEOUT.min(self.apply_limit / limits::QUESTION_PARTS),
        }
    }
}
