//! Decides which connections to one upstream a VM opens, and which it closes for that.
//!
//! It answers the load of 76 workspaces that share 7 connections, each of which belongs to one
//! workspace for life, while an opening takes one of the upstream's slots for 12 ms: a workspace
//! with little load must get a connection, a large one must not take all, and connections must not
//! be opened and closed in turns. It also answers the return of all VMs at once: few connections are
//! opened at a time, in the order in which statements wait.

use std::time;

use crate::decide::share_limits;

/// Connections that are opened concurrently.
pub const MAX_OPENING: u32 = 2;
/// Part of the latency goal for which a statement waits for a busy connection of its workspace
/// before another one is opened.
const PATIENCE_PART: f64 = 0.125;
/// Longest such wait.
const MAX_PATIENCE: time::Duration = time::Duration::from_millis(200);
/// Part of the latency goal after which a connection that was used recently is closed for a waiting
/// statement of another workspace.
const FORCE_PART: f64 = 0.25;
/// Part of the latency goal after which even the only connection of a workspace that needs it is
/// closed, so that workspaces which are always busy cannot keep all connections.
const LAST_PART: f64 = 0.5;
/// Shortest time between two connections that are closed although they were used recently.
const FORCE_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// The same for a statement that has waited for [`LAST_PART`].
const SHORT_FORCE_INTERVAL: time::Duration = time::Duration::from_millis(40);
/// Time without use after which the only connection of a workspace may be closed for another one.
const QUIET: time::Duration = time::Duration::from_millis(250);
/// Time without use after which a connection may be closed for another workspace if its own has
/// others.
const QUIET_SPARE: time::Duration = time::Duration::from_millis(60);

/// A workspace whose statements wait, and the connections that it has.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingWorkspace<W> {
    /// The workspace.
    pub workspace: W,
    /// Its statements that wait.
    pub waiting: u32,
    /// Shortest latency goal among them.
    pub goal: time::Duration,
    /// Longest wait among them, as a part of the statement's latency goal.
    pub waited_part: f64,
    /// Its idle connections.
    pub idle: u32,
    /// Its connections on which statements run outside a transaction.
    pub busy: u32,
    /// Its connections that transactions hold.
    pub held: u32,
    /// Its connections that are being opened.
    pub opening: u32,
}

/// An idle connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdleConnection<W> {
    /// Its workspace.
    pub workspace: W,
    /// Time since it was used last.
    pub idle_for: time::Duration,
    /// All connections of its workspace.
    pub of_workspace: u32,
}

/// A VM's connections to one upstream and the statements that wait for them.
#[derive(Clone, Debug)]
pub struct ConnectionView<W> {
    /// How the share is divided.
    pub limits: share_limits::ShareLimits,
    /// Workspaces that wait, in the order in which they are served.
    pub waiting: Vec<WaitingWorkspace<W>>,
    /// Idle connections, the least recently used one first.
    pub idle: Vec<IdleConnection<W>>,
    /// Open connections.
    pub open: u32,
    /// Connections that are being opened.
    pub opening: u32,
    /// Connections that may be opened concurrently.
    pub max_opening: u32,
    /// Mean answer time of statements.
    pub mean_answer: time::Duration,
    /// Time since a connection was last closed although it had been used recently.
    pub since_forced: Option<time::Duration>,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanStep<W> {
    /// Open a connection for a workspace.
    Open(W),
    /// Close an idle connection, then open one for a workspace.
    Replace {
        /// Workspace that gets the new connection.
        workspace: W,
        /// Index of the idle connection.
        idle: usize,
        /// Whether it was used recently.
        forced: bool,
    },
    /// Wait for connections that are busy or being opened.
    Wait,
}

impl<W: Clone + PartialEq> ConnectionView<W> {
    /// Returns what to do next.
    #[must_use]
    pub fn next_step(&self) -> PlanStep<W> {
        if self.opening >= self.max_opening {
            return PlanStep::Wait;
        }
        for waiting in &self.waiting {
            if !self.needs_connection(waiting) {
                continue;
            }
            let kept = if waiting.connections() == 0 {
                0
            } else {
                self.limits.reserve
            };
            if self.open + self.opening + kept < self.limits.share {
                return PlanStep::Open(waiting.workspace.clone());
            }
            if let Some((idle, forced)) = self.choose_evicted(waiting) {
                return PlanStep::Replace {
                    workspace: waiting.workspace.clone(),
                    idle,
                    forced,
                };
            }
        }
        PlanStep::Wait
    }

    /// Returns whether a statement of the workspace waits for which neither an idle connection nor
    /// one that is being opened is there, and for which waiting for a busy one takes too long.
    fn needs_connection(&self, waiting: &WaitingWorkspace<W>) -> bool {
        let uncovered = waiting
            .waiting
            .saturating_sub(waiting.idle + waiting.opening);
        if uncovered == 0 || waiting.connections() >= self.limits.per_workspace {
            return false;
        }
        if waiting.busy == 0 {
            return true;
        }
        let patience = waiting.goal.mul_f64(PATIENCE_PART).min(MAX_PATIENCE);
        let wait = self.mean_answer.saturating_mul(uncovered) / waiting.busy;
        wait > patience || waiting.waited_part >= PATIENCE_PART
    }

    /// Returns the index of the least recently used connection that may be closed for a workspace,
    /// and whether it was used recently.
    fn choose_evicted(&self, waiting: &WaitingWorkspace<W>) -> Option<(usize, bool)> {
        let spare = |idle: &IdleConnection<W>| {
            idle.workspace != waiting.workspace && self.is_spare(&idle.workspace)
        };
        let quiet = self.idle.iter().position(|idle| {
            let limit = if idle.of_workspace > 1 {
                QUIET_SPARE
            } else {
                QUIET
            };
            spare(idle) && idle.idle_for >= limit
        });
        if let Some(index) = quiet {
            return Some((index, false));
        }
        let interval = if waiting.waited_part < LAST_PART {
            FORCE_INTERVAL
        } else {
            SHORT_FORCE_INTERVAL
        };
        let rested = self.since_forced.is_none_or(|since| since >= interval);
        if !rested || waiting.waited_part < FORCE_PART {
            return None;
        }
        let others = || {
            self.idle
                .iter()
                .enumerate()
                .filter(|(_, idle)| idle.workspace != waiting.workspace)
        };
        // Connections of a workspace that is always busy are idle only for a moment, while its own
        // statements wait for them.
        let forced = others()
            .find(|(_, idle)| self.is_spare(&idle.workspace))
            .or_else(|| others().max_by_key(|(_, idle)| idle.of_workspace))
            .filter(|(_, idle)| {
                idle.of_workspace > 1
                    || self.is_spare(&idle.workspace)
                    || waiting.waited_part >= LAST_PART
            })?;
        Some((forced.0, true))
    }

    /// Returns whether a workspace has more idle connections than statements that wait for one.
    fn is_spare(&self, workspace: &W) -> bool {
        let waiting = self
            .waiting
            .iter()
            .find(|other| other.workspace == *workspace);
        waiting.is_none_or(|other| other.idle > other.waiting)
    }
}

impl<W> WaitingWorkspace<W> {
    const fn connections(&self) -> u32 {
        self.idle + self.busy + self.held + self.opening
    }
}
