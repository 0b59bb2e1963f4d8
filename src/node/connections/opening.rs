//! Opens connections to an upstream: [`OpeningState`] and the tasks that open them.

use std::collections;
use std::rc;
use std::time;

use tokio::time::Instant;

use crate::decide::{connection_plan, ownership};
use crate::node::connections::{pool, share};
use crate::node::workspaces::workspace_binding;
use crate::node::{edge, health, limits, node_log, node_tables, upstream_session};

/// Weight of the latest opening in the mean time of an opening.
const OPENING_TIME_WEIGHT: f64 = 0.2;
/// Failures in succession after which the pause no longer grows.
const MAX_DOUBLINGS: u32 = 4;

/// Why a connection is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum OpeningCause {
    /// Statements of its workspace wait.
    Waiting,
    /// Statements of its workspace wait, and one of another workspace was closed for it.
    Replacing,
    /// The next statement should find one.
    Standby,
    /// A probe needs one.
    Probe,
}

/// Connections to one upstream that are being opened, and the pause after a failure.
#[derive(Debug, Default)]
pub struct OpeningState {
    by_workspace: collections::BTreeMap<workspace_binding::WorkspaceBinding, u32>,
    paused_until: Option<Instant>,
    /// Attempts that have failed since the last success.
    failures: u32,
    mean_time: Option<time::Duration>,
}

impl OpeningState {
    /// Records that a connection is being opened.
    pub fn begin(&mut self, workspace: &workspace_binding::WorkspaceBinding) {
        *self.by_workspace.entry(workspace.clone()).or_default() += 1;
    }

    /// Records that a connection was opened or has failed.
    pub fn end(&mut self, workspace: &workspace_binding::WorkspaceBinding) {
        let count = self.count_of(workspace);
        if count > 1 {
            self.by_workspace.insert(workspace.clone(), count - 1);
        } else {
            self.by_workspace.remove(workspace);
        }
    }

    /// Returns the number of connections that are being opened.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.by_workspace.values().sum()
    }

    /// Returns the number of connections that are being opened for a workspace.
    #[must_use]
    pub fn count_of(&self, workspace: &workspace_binding::WorkspaceBinding) -> u32 {
        self.by_workspace
            .get(workspace)
            .copied()
            .unwrap_or_default()
    }

    /// Records a success that took `elapsed`. With `ends_pause`, further attempts may be made at
    /// once.
    pub fn record_opened(&mut self, elapsed: time::Duration, ends_pause: bool) {
        self.failures = 0;
        if ends_pause {
            self.paused_until = None;
        }
        let mean = self.mean_time.unwrap_or(elapsed);
        self.mean_time =
            Some(mean.mul_f64(1.0 - OPENING_TIME_WEIGHT) + elapsed.mul_f64(OPENING_TIME_WEIGHT));
    }

    /// Records a failure and forbids further attempts for a while.
    pub fn record_failed(&mut self, now: Instant, pause: time::Duration) {
        self.failures = self.failures.saturating_add(1);
        self.paused_until = Some(now + pause);
    }

    /// Returns whether no attempt may be made now.
    #[must_use]
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|moment| now < moment)
    }

    /// Returns how many connections may be opened concurrently: a single one after a failure.
    #[must_use]
    pub const fn max_concurrent(&self) -> u32 {
        if self.failures > 0 {
            1
        } else {
            connection_plan::MAX_OPENING
        }
    }

    /// Returns the factor by which the pause after the next failure is longer than the first one.
    #[must_use]
    pub fn pause_factor(&self) -> u32 {
        2_u32.pow(self.failures.min(MAX_DOUBLINGS))
    }

    /// Returns the expected time until a connection of a workspace that has none is open.
    #[must_use]
    pub fn expected_time(
        &self,
        now: Instant,
        workspace: &workspace_binding::WorkspaceBinding,
    ) -> time::Duration {
        let one = self.mean_time.unwrap_or(limits::FIRST_OPENING_TIME);
        if self.count_of(workspace) > 0 {
            return one;
        }
        let pause = self
            .paused_until
            .map(|moment| moment.saturating_duration_since(now))
            .unwrap_or_default();
        pause + one + one * self.count() / self.max_concurrent()
    }
}

/// Opens a connection for a workspace in the background.
pub fn open_one<E: edge::NodeEdge>(
    pool: &rc::Rc<pool::UpstreamPool<E>>,
    workspace: workspace_binding::WorkspaceBinding,
    cause: OpeningCause,
) {
    pool.opening.borrow_mut().begin(&workspace);
    let pool = rc::Rc::clone(pool);
    tokio::task::spawn_local(async move {
        let result = dial(&pool, &workspace).await;
        pool.opening.borrow_mut().end(&workspace);
        match result {
            Ok(session) => {
                report_opened(&pool, &workspace, cause);
                pool.release(session);
            }
            Err(error) => {
                let pause = handle_error(&pool, &workspace, &error);
                tokio::time::sleep(pause).await;
                pool.review_waiting();
            }
        }
    });
}

/// Opens a connection for a probe at once. It belongs to no workspace.
///
/// # Errors
///
/// Fails if the upstream does not answer or refuses the connection.
pub async fn connect_for_probe<E: edge::NodeEdge>(
    pool: &rc::Rc<pool::UpstreamPool<E>>,
) -> Result<upstream_session::UpstreamSession<E>, edge::ConnectError> {
    let workspace = workspace_binding::WorkspaceBinding::default();
    let result = dial(pool, &workspace).await;
    match &result {
        Ok(_) => report_opened(pool, &workspace, OpeningCause::Probe),
        Err(error) => {
            handle_error(pool, &workspace, error);
        }
    }
    result
}

async fn dial<E: edge::NodeEdge>(
    pool: &rc::Rc<pool::UpstreamPool<E>>,
    workspace: &workspace_binding::WorkspaceBinding,
) -> Result<upstream_session::UpstreamSession<E>, edge::ConnectError> {
    let Some(tables) = pool.tables.upgrade() else {
        return Err(edge::ConnectError::Silent);
    };
    let entry = pool.entry();
    let started = node_tables::monotonic_now();
    let link = tokio::time::timeout(
        limits::CONNECT_TIMEOUT,
        tables.edge.connect(&entry, workspace),
    )
    .await
    .unwrap_or(Err(edge::ConnectError::Silent));
    match link {
        Ok(link) => {
            let now = node_tables::monotonic_now();
            pool.change_count(workspace, |count| count.open += 1);
            // Without workspaces the pause is short and always the same.
            let ends_pause = share::is_divided(pool);
            pool.opening
                .borrow_mut()
                .record_opened(now.saturating_sub(started), ends_pause);
            pool.update_health(|health| {
                health.record_sent(started);
                health.record_answer(now, None);
            });
            Ok(upstream_session::UpstreamSession::new(
                link,
                rc::Rc::clone(pool),
                workspace.clone(),
            ))
        }
        Err(error) => {
            if matches!(error, edge::ConnectError::Silent) {
                pool.update_health(|health| health.record_silent(started));
            }
            Err(error)
        }
    }
}

fn report_opened<E: edge::NodeEdge>(
    pool: &pool::UpstreamPool<E>,
    workspace: &workspace_binding::WorkspaceBinding,
    cause: OpeningCause,
) {
    metrics::counter!("persimmontack_upstream_connections_total", "cause" => cause.to_string())
        .increment(1);
    node_log::debug(
        "upstream_connected",
        &[
            ("upstream", pool.upstream()),
            ("workspace", workspace),
            ("cause", &cause),
            ("open", &pool.counts.borrow().open()),
        ],
    );
}

/// Pauses after a failed attempt and returns for how long. If the workspace has no connection to
/// wait for, its statements have to find another upstream, unless a slot was missing for a moment.
fn handle_error<E: edge::NodeEdge>(
    pool: &pool::UpstreamPool<E>,
    workspace: &workspace_binding::WorkspaceBinding,
    error: &edge::ConnectError,
) -> time::Duration {
    let base = match error {
        edge::ConnectError::Full => limits::CONNECTION_LIMIT_PAUSE,
        edge::ConnectError::Busy => limits::BUSY_PAUSE,
        edge::ConnectError::Refused(_)
        | edge::ConnectError::Silent
        | edge::ConnectError::Misrouted => limits::CONNECT_PAUSE,
    };
    let divided = share::is_divided(pool);
    let pause = if divided {
        spread_pause(pool, base)
    } else {
        base
    };
    pool.opening
        .borrow_mut()
        .record_failed(Instant::now(), pause);
    node_log::warn(
        "upstream_connect_failed",
        &[
            ("upstream", pool.upstream()),
            ("workspace", workspace),
            ("reason", error),
            ("open", &pool.counts.borrow().open()),
            ("pause_ms", &pause.as_millis()),
        ],
    );
    let reason = match error {
        edge::ConnectError::Full => "full",
        edge::ConnectError::Busy => "busy",
        edge::ConnectError::Refused(_) => "refused",
        edge::ConnectError::Silent => "silent",
        edge::ConnectError::Misrouted => "misrouted",
    };
    metrics::counter!("persimmontack_connections_failed_total", "reason" => reason).increment(1);
    let refused = matches!(
        error,
        edge::ConnectError::Refused(_) | edge::ConnectError::Misrouted
    );
    if refused {
        pool.update_health(health::UpstreamHealth::record_refused);
    }
    if divided && matches!(error, edge::ConnectError::Full) {
        close_some_idle(pool);
    }
    let brief = divided && matches!(error, edge::ConnectError::Busy);
    if brief {
        return pause;
    }
    if pool.counts.borrow().open() == 0 {
        pool.redirect_waiting();
    } else if divided && pool.counts.borrow().of(workspace).open == 0 {
        let waiting = pool
            .waiting
            .borrow_mut()
            .extract(|other| other == workspace);
        drop(waiting);
    }
    pause
}

/// Returns a pause that doubles with each failure and differs between VMs, so that they do not try
/// again at the same moment.
fn spread_pause<E: edge::NodeEdge>(
    pool: &pool::UpstreamPool<E>,
    base: time::Duration,
) -> time::Duration {
    let factor = pool.opening.borrow().pause_factor();
    let vm = pool.tables.upgrade().map(|tables| tables.vm.clone());
    let score = ownership::score(
        &vm.unwrap_or_default(),
        &format!("{}/{factor}", pool.upstream()),
    );
    let part = u8::try_from(score % 64).unwrap_or_default();
    let spread = 1.0 + f64::from(part) / 128.0;
    (base * factor)
        .min(limits::MAX_CONNECT_PAUSE)
        .mul_f64(spread)
}

/// Closes the less recently used half of the idle connections of workspaces that do not wait, so
/// that other VMs can open connections to an upstream that allows no more.
fn close_some_idle<E: edge::NodeEdge>(pool: &pool::UpstreamPool<E>) {
    let waiting = pool.waiting.borrow();
    let is_spare = |workspace: &workspace_binding::WorkspaceBinding| {
        waiting.order().iter().all(|(other, _)| other != workspace)
    };
    let count = pool
        .idle
        .borrow()
        .iter()
        .filter(|(workspace, _)| is_spare(workspace))
        .count();
    let mut left = count.div_ceil(2);
    let closed = pool.idle.borrow_mut().extract(|workspace, _| {
        let close = left > 0 && is_spare(workspace);
        left -= usize::from(close);
        close
    });
    drop(waiting);
    if !closed.is_empty() {
        node_log::info(
            "idle_connections_closed",
            &[
                ("upstream", pool.upstream()),
                ("count", &closed.len()),
                ("reason", &"too many connections"),
            ],
        );
        let reason = "limit";
        let count = u64::try_from(closed.len()).unwrap_or(u64::MAX);
        metrics::counter!("persimmontack_connections_evicted_total", "reason" => reason)
            .increment(count);
    }
}
