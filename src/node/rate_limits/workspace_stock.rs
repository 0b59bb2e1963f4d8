//! [`WorkspaceStock`]: the tokens of one workspace at this VM, and the operations that wait for
//! some.

use std::cell;
use std::time;

use tokio::sync::Notify;

use crate::decide::{rate_limit, rate_stock};
use crate::model::ids;
use crate::node::node_log;
use crate::node::rate_limits::{limit_frame, refusal_log};

/// The tokens of one workspace at this VM.
#[derive(Debug)]
pub struct WorkspaceStock {
    /// Name of the workspace.
    pub workspace: ids::WorkspaceName,
    /// The tokens.
    pub stock: cell::RefCell<rate_stock::RateStock>,
    /// Holder of the bucket.
    pub holder: cell::RefCell<ids::VmId>,
    /// Number of operations that wait.
    pub waiting: cell::Cell<u32>,
    /// Notified on each answer of the holder.
    pub answered: Notify,
    /// Log lines on refusals.
    pub refusals: refusal_log::RefusalLog,
}

impl WorkspaceStock {
    /// Creates an empty stock.
    #[must_use]
    pub fn new(
        workspace: &str,
        holder: ids::VmId,
        limit: rate_limit::RateLimit,
        now: time::Duration,
    ) -> Self {
        Self {
            workspace: workspace.to_owned(),
            stock: cell::RefCell::new(rate_stock::RateStock::new(limit, now)),
            holder: cell::RefCell::new(holder),
            waiting: cell::Cell::new(0),
            answered: Notify::new(),
            refusals: refusal_log::RefusalLog::default(),
        }
    }

    /// Returns whether the holder is to be asked.
    #[must_use]
    pub fn is_ask_due(&self, now: time::Duration) -> bool {
        self.stock.borrow().is_ask_due(self.waiting.get(), now)
    }

    /// Returns what to ask the holder for, if it is to be asked.
    pub fn ask(&self, now: time::Duration) -> Option<rate_limit::RateAsk> {
        self.stock.borrow_mut().ask(self.waiting.get(), now)
    }

    /// Records the holder's reply. `may_continue` tells whether this VM may continue at a low rate
    /// without it.
    pub fn record_reply(
        &self,
        reply: limit_frame::WorkspaceReply,
        may_continue: bool,
        now: time::Duration,
    ) {
        match reply {
            limit_frame::WorkspaceReply::Grant {
                granted,
                scale,
                retry_after_ms,
                unreplaced_ms,
            } => {
                let grant = rate_limit::RateGrant {
                    granted,
                    scale,
                    retry_after: time::Duration::from_millis(u64::from(retry_after_ms)),
                    unreplaced_for: time::Duration::from_millis(u64::from(unreplaced_ms)),
                };
                if self.stock.borrow_mut().record_grant(grant, now) {
                    node_log::info(
                        "limit_holder_reached",
                        &[
                            ("workspace", &self.workspace),
                            ("holder", &self.holder.borrow()),
                        ],
                    );
                }
                self.answered.notify_waiters();
            }
            limit_frame::WorkspaceReply::NotValid => {
                let cause = rate_stock::RefusalCause::HolderNotValid;
                self.record_failure(cause, &"may not grant", may_continue, now);
            }
        }
    }

    /// Records that the holder did not answer or may not grant.
    pub fn record_failure(
        &self,
        cause: rate_stock::RefusalCause,
        reason: &dyn std::fmt::Display,
        may_continue: bool,
        now: time::Duration,
    ) {
        let phase = rand::random();
        let mut stock = self.stock.borrow_mut();
        if stock.record_failure(cause, may_continue, phase, now) {
            node_log::warn(
                "limit_without_holder",
                &[
                    ("workspace", &self.workspace),
                    ("holder", &self.holder.borrow()),
                    ("cause", &cause),
                    ("reason", reason),
                ],
            );
        }
        drop(stock);
        self.answered.notify_waiters();
    }
}
