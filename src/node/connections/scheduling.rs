//! Gives the connections to an upstream to the statements that wait for them, and opens and closes
//! connections as [`connection_plan`] decides.

use std::rc;
use std::time;

use tokio::time::Instant;

use crate::decide::connection_plan;
use crate::node::connections::{opening, pool, share, wait_queue};
use crate::node::workspaces::workspace_binding;
use crate::node::{edge, node_log, upstream_session};

/// Returns a connection of a workspace. Waits if none is free.
///
/// # Errors
///
/// Fails as [`pool::UpstreamPool::acquire`] does.
pub async fn acquire<E: edge::NodeEdge>(
    pool: &rc::Rc<pool::UpstreamPool<E>>,
    workspace: workspace_binding::WorkspaceBinding,
    options: wait_queue::WaitOptions,
) -> Result<upstream_session::UpstreamSession<E>, pool::AcquireError> {
    if pool.removed.get() || !share::is_listed(pool, &workspace) {
        return Err(pool::AcquireError::Moved);
    }
    if pool.is_closed() {
        return Err(pool::AcquireError::Leaving);
    }
    let work = mean_answer_time(pool);
    if pool.waiting.borrow().is_empty() && pool.has_window() {
        let idle = pool.idle.borrow_mut().take(&workspace);
        if let Some(mut session) = idle {
            let mut waiting = pool.waiting.borrow_mut();
            waiting
                .order_mut()
                .charge(options.priority, &workspace, work);
            drop(waiting);
            session.lend(options.priority, work);
            return Ok(session);
        }
    }
    let wait = expected_wait(pool, &workspace, options.priority);
    if Instant::now() + wait > options.deadline {
        log_long_queue(pool, wait);
        return Err(pool::AcquireError::Crowded);
    }
    metrics::counter!("persimmontack_connection_waits_total").increment(1);
    let (place, mut receiver) = pool.waiting.borrow_mut().push(workspace, options);
    let _guard = QueueGuard { pool, place };
    assign(pool);
    loop {
        tokio::select! {
            biased;
            received = &mut receiver => {
                return received.map_err(|_redirected| pool::AcquireError::Moved);
            }
            () = tokio::time::sleep_until(options.deadline) => {
                return Err(pool::AcquireError::Late);
            }
            () = pool.closed.notified() => assign(pool),
        }
    }
}

fn mean_answer_time<E: edge::NodeEdge>(pool: &pool::UpstreamPool<E>) -> time::Duration {
    pool.health.get().mean_answer_time().unwrap_or_default()
}

/// Returns the expected time until a new statement is answered, after all that are ahead of it and,
/// if its workspace has no connection, after one was opened.
fn expected_wait<E: edge::NodeEdge>(
    pool: &pool::UpstreamPool<E>,
    workspace: &workspace_binding::WorkspaceBinding,
    priority: u8,
) -> time::Duration {
    let limits = share::limits(pool);
    let waiting = pool.waiting.borrow();
    let order = waiting.order();
    let before = order.count_before(priority, workspace);
    let mean = mean_answer_time(pool);
    let concurrency = pool.window_size().min(limits.share).max(1);
    let wait = mean + mean.saturating_mul(before.saturating_add(1)) / concurrency;
    if !share::is_divided(pool) {
        return wait;
    }
    let count = pool.counts.borrow().of(workspace);
    // Its own connections serve its own statements; more of them only as others leave it some.
    let part = limits.share.div_ceil(order.count_others(workspace) + 1);
    let usable = part
        .max(count.open.saturating_sub(count.held))
        .min(limits.per_workspace.saturating_sub(count.held))
        .max(1);
    let own = order.count_of(priority, workspace);
    let own_wait = mean + mean.saturating_mul(own.saturating_add(1)) / usable;
    let opening = if count.open > count.held {
        time::Duration::ZERO
    } else {
        pool.opening
            .borrow()
            .expected_time(Instant::now(), workspace)
    };
    wait.max(own_wait) + opening
}

fn log_long_queue<E: edge::NodeEdge>(pool: &pool::UpstreamPool<E>, wait: time::Duration) {
    metrics::counter!("persimmontack_connections_refused_total", "reason" => "crowded")
        .increment(1);
    node_log::warn(
        "queue_crowded",
        &[
            ("upstream", pool.upstream()),
            ("expected_wait_ms", &wait.as_millis()),
            ("usual_ms", &mean_answer_time(pool).as_millis()),
            ("waiting", &pool.waiting()),
            ("window", &pool.window_size()),
            ("lent", &pool.in_use.get()),
            ("open", &pool.counts.borrow().open()),
        ],
    );
}

/// Assigns idle connections to waiting statements, and opens more if there are too few.
pub fn assign<E: edge::NodeEdge>(pool: &rc::Rc<pool::UpstreamPool<E>>) {
    let divided = share::is_divided(pool);
    if divided {
        // A connection that is needed elsewhere must not go to the next statement of its workspace.
        run_plan(pool);
    }
    let mut assigned = false;
    while pool.has_window() && !pool.waiting.borrow().is_empty() {
        let work = mean_answer_time(pool);
        let choice = pool
            .waiting
            .borrow()
            .choose(work, divided, |workspace| pool.idle.borrow().has(workspace));
        let Some(choice) = choice else {
            if !divided {
                open_for_waiting(pool);
            }
            break;
        };
        let idle = pool.idle.borrow_mut().take(&choice.workspace);
        let Some(mut session) = idle else {
            continue;
        };
        let sender = pool.waiting.borrow_mut().take(&choice, work);
        let Some(sender) = sender else {
            pool.put_idle(session);
            break;
        };
        session.lend(choice.place.0, work);
        assigned = true;
        if let Err(mut session) = sender.send(session) {
            session.settle();
            pool.put_idle(session);
        }
    }
    if divided && assigned {
        run_plan(pool);
    }
}

/// Opens connections for waiting statements where the share is not divided between workspaces.
fn open_for_waiting<E: edge::NodeEdge>(pool: &rc::Rc<pool::UpstreamPool<E>>) {
    if pool.removed.get() || pool.opening.borrow().is_paused(Instant::now()) {
        return;
    }
    let wanted = pool.waiting();
    while pool.opening.borrow().count() < wanted
        && pool.connections() < share::max_connections(pool)
    {
        let workspace = workspace_binding::WorkspaceBinding::default();
        opening::open_one(pool, workspace, opening::OpeningCause::Waiting);
    }
}

/// Opens and closes connections as the plan says, until it says to wait.
fn run_plan<E: edge::NodeEdge>(pool: &rc::Rc<pool::UpstreamPool<E>>) {
    let now = Instant::now();
    while can_open(pool)
        && !pool.waiting.borrow().is_empty()
        && !pool.removed.get()
        && !pool.opening.borrow().is_paused(now)
    {
        match view(pool, now).next_step() {
            connection_plan::PlanStep::Wait => return,
            connection_plan::PlanStep::Open(workspace) => {
                opening::open_one(pool, workspace, opening::OpeningCause::Waiting);
            }
            connection_plan::PlanStep::Replace {
                workspace,
                idle,
                forced,
            } => {
                let Some(evicted) = pool.idle.borrow_mut().remove(idle) else {
                    return;
                };
                log_eviction(pool, evicted.workspace(), &workspace, forced);
                drop(evicted);
                opening::open_one(pool, workspace, opening::OpeningCause::Replacing);
            }
        }
    }
}

/// Returns whether the plan may have a connection opened. The plan finds the same, but its view
/// takes time in proportion to the statements that wait.
fn can_open<E: edge::NodeEdge>(pool: &pool::UpstreamPool<E>) -> bool {
    let opening = pool.opening.borrow();
    let has_room = pool.connections() < share::limits(pool).share || !pool.idle.borrow().is_empty();
    opening.count() < opening.max_concurrent() && has_room
}

fn log_eviction<E: edge::NodeEdge>(
    pool: &pool::UpstreamPool<E>,
    evicted: &workspace_binding::WorkspaceBinding,
    workspace: &workspace_binding::WorkspaceBinding,
    forced: bool,
) {
    let reason = if forced { "used_recently" } else { "unused" };
    metrics::counter!("persimmontack_connections_evicted_total", "reason" => reason).increment(1);
    node_log::debug(
        "connection_evicted",
        &[
            ("upstream", pool.upstream()),
            ("workspace", evicted),
            ("for", workspace),
            ("reason", &reason),
        ],
    );
    let mut record = pool.evictions.get();
    let storm = record.record(Instant::now(), forced);
    pool.evictions.set(record);
    if storm {
        node_log::warn(
            "connections_evicted_often",
            &[
                ("upstream", pool.upstream()),
                ("waiting", &pool.waiting()),
                ("open", &pool.counts.borrow().open()),
                ("share", &share::max_connections(pool)),
            ],
        );
    }
}

/// Returns what the plan has to know.
fn view<E: edge::NodeEdge>(
    pool: &pool::UpstreamPool<E>,
    now: Instant,
) -> connection_plan::ConnectionView<workspace_binding::WorkspaceBinding> {
    let counts = pool.counts.borrow();
    let opening = pool.opening.borrow();
    let idle = pool.idle.borrow();
    let waiting = pool.waiting.borrow();
    let mean_answer = mean_answer_time(pool);
    let moment = waiting.moment(now);
    let workspaces = waiting.order().by_service(moment + mean_answer);
    let waiting = workspaces
        .into_iter()
        .map(|(workspace, statements)| {
            let count = counts.of(&workspace);
            let idle = idle.count_of(&workspace);
            let parts = statements.iter().map(|times| {
                let goal = times.goal().as_secs_f64().max(f64::EPSILON);
                times.waited(moment).as_secs_f64() / goal
            });
            connection_plan::WaitingWorkspace {
                waiting: u32::try_from(statements.len()).unwrap_or(u32::MAX),
                goal: statements
                    .iter()
                    .map(|times| times.goal())
                    .min()
                    .unwrap_or_default(),
                waited_part: parts.fold(0.0, f64::max),
                idle,
                busy: count.open.saturating_sub(count.held + idle),
                held: count.held,
                opening: opening.count_of(&workspace),
                workspace,
            }
        })
        .collect();
    let idle = idle
        .iter()
        .map(|(workspace, last_use)| connection_plan::IdleConnection {
            idle_for: now.duration_since(last_use),
            of_workspace: counts.of(workspace).open,
            workspace: workspace.clone(),
        })
        .collect();
    connection_plan::ConnectionView {
        limits: share::limits(pool),
        waiting,
        idle,
        open: counts.open(),
        opening: opening.count(),
        max_opening: opening.max_concurrent(),
        mean_answer,
        since_forced: pool
            .evictions
            .get()
            .last_forced
            .map(|last| now.duration_since(last)),
    }
}

/// Removes a statement from the queue when it stops waiting.
struct QueueGuard<'a, E: edge::NodeEdge> {
    pool: &'a pool::UpstreamPool<E>,
    place: crate::decide::fair_queue::QueuePlace,
}

impl<E: edge::NodeEdge> Drop for QueueGuard<'_, E> {
    fn drop(&mut self) {
        self.pool.waiting.borrow_mut().remove(self.place);
    }
}
