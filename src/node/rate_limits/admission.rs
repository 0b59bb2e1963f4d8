//! Admits an operation against the limits of its workspace.

use std::rc;
use std::time;

use tokio::time::Instant;

use crate::decide::rate_stock;
use crate::node::rate_limits::{bucket_holder, workspace_stock};
use crate::node::workspaces::workspace_binding;
use crate::node::{answers, edge, node_tables, request};

/// Share of the latency goal for which an operation waits for a token.
const WAIT_SHARE: f64 = 0.5;
/// Shortest time for which an operation waits for a token: a holder with 0.12 cores may be throttled
/// for 100 ms. An operation that arrives while an ask is under way waits as long for the next one.
const MIN_WAIT: time::Duration = time::Duration::from_millis(150);

/// The token of an admitted operation, or nothing if its workspace has no limits.
#[derive(Debug, Default)]
pub struct OperationToken {
    taken: Option<(
        rc::Rc<workspace_stock::WorkspaceStock>,
        rate_stock::RateToken,
    )>,
}

impl OperationToken {
    /// Gives the token back if `answer` says that no upstream has run the operation. `now` is a
    /// time of [`edge::NodeEdge::boot_time`].
    pub fn settle(self, answer: &answers::CallerAnswer, now: time::Duration) {
        let Err(error) = &answer.result else {
            return;
        };
        let ran = match error.code {
            answers::ErrorCode::Busy
            | answers::ErrorCode::Lagging
            | answers::ErrorCode::ReadOnly
            | answers::ErrorCode::Misrouted
            | answers::ErrorCode::TooMany
            | answers::ErrorCode::NoDatabase
            | answers::ErrorCode::NoKey => false,
            // A read that is reported as without effect may have run.
            answers::ErrorCode::Aborted
            | answers::ErrorCode::Failed
            | answers::ErrorCode::NoStatement
            | answers::ErrorCode::Timeout
            | answers::ErrorCode::Unknown
            | answers::ErrorCode::TooLong
            | answers::ErrorCode::Malformed => true,
        };
        if !ran {
            self.give_back(now);
        }
    }

    /// Gives the token back, since the operation does not run. `now` is as above.
    pub fn give_back(self, now: time::Duration) {
        if let Some((stock, token)) = self.taken {
            stock.stock.borrow_mut().give_back(token, now);
        }
    }
}

/// Admits an operation, or returns the refusal for its caller.
///
/// # Errors
///
/// Fails if the limit of the workspace is reached, or if it is not known whether it is.
pub async fn admit<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    workspace: &workspace_binding::WorkspaceBinding,
    database: &str,
    request: &request::CallerRequest,
) -> Result<OperationToken, answers::CallerAnswer> {
    let (Some(workspace), Some(config)) = (workspace.name(), tables.config()) else {
        return Ok(OperationToken::default());
    };
    let Some(limit) = bucket_holder::limit_of(Some(&config), workspace) else {
        return Ok(OperationToken::default());
    };
    let goal = config.routes.get(database).map(|route| route.goal);
    let wait = goal.unwrap_or_default().mul_f64(WAIT_SHARE).max(MIN_WAIT);
    let deadline = Instant::now() + wait;
    let stock = tables.rate_limits.stock(tables, workspace, limit);
    let now = tables.edge.boot_time();
    stock.stock.borrow_mut().record_arrival(now);
    let taken = take(tables, &stock, deadline).await;
    let now = tables.edge.boot_time();
    match taken {
        Ok(token) => {
            tables.rate_limits.ask_if_due(tables, &stock);
            Ok(OperationToken {
                taken: Some((stock, token)),
            })
        }
        Err(cause) => {
            let pause = stock.stock.borrow_mut().record_refusal(rand::random(), now);
            let holder = stock.holder.borrow().clone();
            stock
                .refusals
                .record(workspace, &holder, request, cause, now);
            let reason = match cause {
                rate_stock::RefusalCause::Limit => "the rate limit is reached",
                rate_stock::RefusalCause::HolderUnreachable
                | rate_stock::RefusalCause::HolderNotValid => "the rate limit cannot be checked",
            };
            Err(answers::CallerAnswer::error(
                answers::ErrorCode::Busy,
                answers::retry_after_text(&reason, pause),
                answers::TransactionState::Idle,
            ))
        }
    }
}

async fn take<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    stock: &workspace_stock::WorkspaceStock,
    mut deadline: Instant,
) -> Result<rate_stock::RateToken, rate_stock::RefusalCause> {
    let mut extended = false;
    loop {
        let answered = stock.answered.notified();
        let now = tables.edge.boot_time();
        let found = stock.stock.borrow_mut().take(now);
        match found {
            rate_stock::StockTake::Token(token) => return Ok(token),
            rate_stock::StockTake::Refused(cause) => return Err(cause),
            rate_stock::StockTake::Wait => {}
        }
        stock.waiting.set(stock.waiting.get() + 1);
        tables.rate_limits.ask_if_due(tables, stock);
        // This VM's own buckets answer at once, before the wait begins.
        let answered =
            if stock.stock.borrow().is_asking() || stock.holder.borrow().as_str() != tables.vm {
                tokio::time::timeout_at(deadline, answered).await.is_ok()
            } else {
                true
            };
        stock.waiting.set(stock.waiting.get().saturating_sub(1));
        if !answered {
            return Err(rate_stock::RefusalCause::HolderUnreachable);
        }
        // The holder answers, but an ask that was sent before does not cover this operation.
        if !extended {
            extended = true;
            deadline = deadline.max(Instant::now() + MIN_WAIT);
        }
    }
}
