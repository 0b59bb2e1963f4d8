//! [`FairQueue`]: the order in which statements that wait for an upstream get connections.
//!
//! It answers the load of one workspace that sends 7.5 times its rate for some seconds, which must
//! not delay the others, and of one kind of request at 2.6 times its rate, which must not starve
//! lower priorities. Statements that can still meet their soft deadline come first, then priority
//! decides, then the work that each workspace has had (start-time fair queueing with equal weights),
//! then the arrival. Without several workspaces that is the order of priority and arrival.

use std::collections;
use std::time;

/// Part of the time from the arrival to the soft deadline after which a statement is overdue.
const OVERDUE_PART: u32 = 2;
/// Number of statements after which an overdue one of any priority is served. Serving each overdue
/// one at once would invert the priorities whenever the upstream is overloaded.
const TURNS_PER_OVERDUE: u32 = 4;

/// Place of a statement in the queue: priority, then sequence number of the arrival.
pub type QueuePlace = (u8, u64);

/// Priority and times of a waiting statement, measured from any fixed moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatementTimes {
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// When the statement arrived.
    pub arrived: time::Duration,
    /// Latency goal.
    pub soft_deadline: time::Duration,
}

impl StatementTimes {
    /// Returns the time from the arrival to the soft deadline.
    #[must_use]
    pub const fn goal(&self) -> time::Duration {
        self.soft_deadline.saturating_sub(self.arrived)
    }

    /// Returns for how long the statement has waited.
    #[must_use]
    pub const fn waited(&self, now: time::Duration) -> time::Duration {
        now.saturating_sub(self.arrived)
    }
}

#[derive(Clone, Debug)]
struct WaitingStatement<W> {
    workspace: W,
    times: StatementTimes,
}

/// What a workspace has had of the work of a priority.
#[derive(Clone, Copy, Debug, Default)]
struct WorkAccount {
    /// Virtual time up to which the workspace has had its part.
    end: time::Duration,
    /// Statements that wait.
    waiting: u32,
}

/// The statement that is served next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueChoice<W> {
    /// Its place.
    pub place: QueuePlace,
    /// Its workspace.
    pub workspace: W,
    /// Whether it is served before its turn because it has waited for long.
    pub overdue: bool,
}

/// Statements of several workspaces that wait for one upstream.
#[derive(Clone, Debug)]
pub struct FairQueue<W> {
    waiting: collections::BTreeMap<QueuePlace, WaitingStatement<W>>,
    sequence: u64,
    accounts: collections::BTreeMap<(u8, W), WorkAccount>,
    /// Virtual time of each priority: that of the statement that was served last.
    clocks: collections::BTreeMap<u8, time::Duration>,
    turns_since_overdue: u32,
}

impl<W> Default for FairQueue<W> {
    fn default() -> Self {
        Self {
            waiting: collections::BTreeMap::new(),
            sequence: 0,
            accounts: collections::BTreeMap::new(),
            clocks: collections::BTreeMap::new(),
            turns_since_overdue: 0,
        }
    }
}

impl<W: Clone + Ord> FairQueue<W> {
    /// Adds a statement and returns its place.
    pub fn push(&mut self, workspace: W, times: StatementTimes) -> QueuePlace {
        let priority = times.priority;
        // A workspace that had no work gets no credit for that time.
        let end = self.start(priority, &workspace);
        let account = self
            .accounts
            .entry((priority, workspace.clone()))
            .or_default();
        account.end = end;
        account.waiting += 1;
        let place = (priority, self.sequence);
        self.sequence += 1;
        self.waiting
            .insert(place, WaitingStatement { workspace, times });
        place
    }

    /// Removes a statement that has stopped waiting.
    pub fn remove(&mut self, place: QueuePlace) {
        let Some(statement) = self.waiting.remove(&place) else {
            return;
        };
        if let Some(account) = self.accounts.get_mut(&(place.0, statement.workspace)) {
            account.waiting = account.waiting.saturating_sub(1);
        }
    }

    /// Removes the statements of the workspaces for which `remove` holds and returns their places.
    pub fn extract(&mut self, remove: impl Fn(&W) -> bool) -> Vec<QueuePlace> {
        let places: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, statement)| remove(&statement.workspace))
            .map(|(place, _)| *place)
            .collect();
        for place in &places {
            self.remove(*place);
        }
        places
    }

    /// Returns the statement that is served next if it is answered at `answered`, among those of the
    /// workspaces for which `is_ready` holds. With `bound_waits`, an overdue one is served now and
    /// then whatever its priority.
    pub fn choose(
        &self,
        now: time::Duration,
        answered: time::Duration,
        bound_waits: bool,
        is_ready: impl Fn(&W) -> bool,
    ) -> Option<QueueChoice<W>> {
        let ready = || {
            self.waiting
                .iter()
                .filter(|(_, statement)| is_ready(&statement.workspace))
        };
        let overdue = (bound_waits && self.turns_since_overdue >= TURNS_PER_OVERDUE)
            .then(|| {
                ready()
                    .filter(|(_, other)| {
                        let times = &other.times;
                        times.waited(now) >= times.goal() / OVERDUE_PART
                    })
                    .min_by_key(|(_, other)| {
                        (
                            answered >= other.times.soft_deadline,
                            other.times.arrived,
                            other.times.priority,
                        )
                    })
            })
            .flatten();
        let next = overdue
            .or_else(|| ready().min_by_key(|(place, other)| self.order(**place, other, answered)));
        next.map(|(place, statement)| QueueChoice {
            place: *place,
            workspace: statement.workspace.clone(),
            overdue: overdue.is_some(),
        })
    }

    fn order(
        &self,
        (priority, sequence): QueuePlace,
        statement: &WaitingStatement<W>,
        answered: time::Duration,
    ) -> (bool, u8, time::Duration, u64) {
        let late = answered >= statement.times.soft_deadline;
        let start = self.start(priority, &statement.workspace);
        (late, priority, start, sequence)
    }

    /// Removes a chosen statement, whose work is expected to take `cost`.
    pub fn take(&mut self, choice: &QueueChoice<W>, cost: time::Duration) {
        self.turns_since_overdue = if choice.overdue {
            0
        } else {
            self.turns_since_overdue.saturating_add(1)
        };
        self.charge(choice.place.0, &choice.workspace, cost);
        self.remove(choice.place);
    }

    /// Charges work to a workspace that gets it now.
    pub fn charge(&mut self, priority: u8, workspace: &W, cost: time::Duration) {
        let start = self.start(priority, workspace);
        let clock = self.clocks.entry(priority).or_default();
        *clock = start.max(*clock);
        let account = self
            .accounts
            .entry((priority, workspace.clone()))
            .or_default();
        account.end = start.saturating_add(cost);
        if self.waiting.is_empty() {
            let clocks = &self.clocks;
            self.accounts.retain(|(of, _), account| {
                clocks.get(of).is_some_and(|clock| account.end > *clock)
            });
        }
    }

    /// Corrects the charge for work that was expected to take `expected` and has taken `actual`.
    pub fn settle(
        &mut self,
        priority: u8,
        workspace: &W,
        expected: time::Duration,
        actual: time::Duration,
    ) {
        if let Some(account) = self.accounts.get_mut(&(priority, workspace.clone())) {
            account.end = account.end.saturating_add(actual).saturating_sub(expected);
        }
    }

    /// Returns the virtual time at which the next statement of a workspace starts. It is never
    /// before that of the statement that was served last, except for one that waits since then.
    fn start(&self, priority: u8, workspace: &W) -> time::Duration {
        let clock = self.clocks.get(&priority).copied().unwrap_or_default();
        match self.accounts.get(&(priority, workspace.clone())) {
            Some(account) if account.waiting > 0 => account.end,
            Some(account) => clock.max(account.end),
            None => clock,
        }
    }

    fn of_priority(
        &self,
        priority: u8,
    ) -> impl Iterator<Item = (&QueuePlace, &WaitingStatement<W>)> {
        self.waiting.range((priority, 0)..=(priority, u64::MAX))
    }

    /// Returns how many statements are expected to be served before a new one: those of a higher
    /// priority, those of its own workspace, and of each other workspace as many as are in turn
    /// before it.
    #[must_use]
    pub fn count_before(&self, priority: u8, workspace: &W) -> u32 {
        let higher = self.waiting.range(..(priority, 0)).count();
        let mut counts: collections::BTreeMap<&W, usize> = collections::BTreeMap::new();
        for (_, statement) in self.of_priority(priority) {
            *counts.entry(&statement.workspace).or_default() += 1;
        }
        let own = counts.remove(workspace).unwrap_or_default();
        let others: usize = counts.values().map(|count| (*count).min(own + 1)).sum();
        u32::try_from(higher + own + others).unwrap_or(u32::MAX)
    }

    /// Returns how many statements of a workspace with this priority or a higher one wait.
    #[must_use]
    pub fn count_of(&self, priority: u8, workspace: &W) -> u32 {
        let own = self
            .iter()
            .filter(|(other, times)| *other == workspace && times.priority <= priority);
        u32::try_from(own.count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of other workspaces that wait.
    #[must_use]
    pub fn count_others(&self, workspace: &W) -> u32 {
        let others: collections::BTreeSet<&W> = self
            .iter()
            .map(|(other, _)| other)
            .filter(|other| *other != workspace)
            .collect();
        u32::try_from(others.len()).unwrap_or(u32::MAX)
    }

    /// Returns the workspaces that wait in the order in which their first statements would be
    /// served, each with the times of all its statements.
    #[must_use]
    pub fn by_service(&self, answered: time::Duration) -> Vec<(W, Vec<StatementTimes>)> {
        let mut ordered: Vec<_> = self.waiting.iter().collect();
        ordered.sort_by_cached_key(|(place, other)| self.order(**place, other, answered));
        let mut workspaces: Vec<(W, Vec<StatementTimes>)> = Vec::new();
        for (_, statement) in ordered {
            let known = workspaces
                .iter_mut()
                .find(|(workspace, _)| *workspace == statement.workspace);
            match known {
                Some((_, times)) => times.push(statement.times),
                None => workspaces.push((statement.workspace.clone(), vec![statement.times])),
            }
        }
        workspaces
    }

    /// Returns the workspace and the times of each statement, by priority and then by arrival.
    pub fn iter(&self) -> impl Iterator<Item = (&W, &StatementTimes)> {
        self.waiting
            .values()
            .map(|statement| (&statement.workspace, &statement.times))
    }

    /// Returns the number of waiting statements.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no statement waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
