//! [`RefusalLog`]: bounds the log lines on operations that are refused because of a limit.

use std::cell;
use std::time;

use crate::decide::rate_stock;
use crate::node::{node_log, request};

/// Refused operations that are logged per second and workspace.
const LINES_PER_SECOND: u32 = 5;
/// Time without a refusal after which a limit counts as no longer refusing.
const QUIET_TIME: time::Duration = time::Duration::from_secs(2);

/// Log lines on the refusals of one workspace.
#[derive(Debug, Default)]
pub struct RefusalLog {
    /// Refusals since the limit began to refuse; zero if it does not.
    refused: cell::Cell<u64>,
    last_refusal: cell::Cell<time::Duration>,
    second: cell::Cell<u64>,
    lines: cell::Cell<u32>,
}

impl RefusalLog {
    /// Records a refused operation at `now`.
    pub fn record(
        &self,
        workspace: &str,
        holder: &str,
        request: &request::CallerRequest,
        cause: rate_stock::RefusalCause,
        now: time::Duration,
    ) {
        let cause_label = cause.to_string();
        metrics::counter!("persimmontack_limit_refusals_total", "reason" => cause_label)
            .increment(1);
        if self.refused.get() == 0 {
            node_log::warn(
                "limit_refuses",
                &[
                    ("workspace", &workspace),
                    ("holder", &holder),
                    ("reason", &cause),
                ],
            );
        }
        self.refused.set(self.refused.get() + 1);
        self.last_refusal.set(now);
        if self.second.replace(now.as_secs()) != now.as_secs() {
            self.lines.set(0);
        }
        if self.lines.get() >= LINES_PER_SECOND {
            return;
        }
        self.lines.set(self.lines.get() + 1);
        node_log::warn(
            "request_limited",
            &[
                ("request", &request.id_text()),
                ("workspace", &workspace),
                ("holder", &holder),
                ("reason", &cause),
            ],
        );
    }

    /// Logs that the limit no longer refuses, once it has not for a while.
    pub fn check_end(&self, workspace: &str, now: time::Duration) {
        let quiet = now.saturating_sub(self.last_refusal.get());
        if self.refused.get() == 0 || quiet < QUIET_TIME {
            return;
        }
        node_log::info(
            "limit_refuses_no_more",
            &[("workspace", &workspace), ("refused", &self.refused.take())],
        );
    }
}
