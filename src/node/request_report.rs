//! [`RequestReport`]: log line and metrics of a finished request.

use std::time;

use tokio::time::Instant;

use crate::node::workspaces::workspace_binding;
use crate::node::{answers, config, edge, node_log, node_tables, request};

/// A finished request, for its log line and metrics.
#[derive(Debug)]
pub struct RequestReport<'a, E: edge::NodeEdge> {
    /// Shared tables of the node.
    pub tables: &'a node_tables::NodeTables<E>,
    /// The request.
    pub request: &'a request::CallerRequest,
    /// Database of the session.
    pub database: &'a str,
    /// Workspace of the session.
    pub workspace: &'a workspace_binding::WorkspaceBinding,
    /// Kind of request: the `kind` in the log line and in the metric's label.
    pub kind: &'static str,
    /// Configured route of the database.
    pub route: &'a config::DatabaseRoute,
    /// Upstream that ran the request, the host if it was forwarded, or `-`.
    pub upstream: &'a str,
    /// When the request arrived.
    pub started: Instant,
}

impl<E: edge::NodeEdge> RequestReport<'_, E> {
    /// Reports an upstream's answer.
    pub fn answered(&self, answer: &answers::UpstreamAnswer) {
        let elapsed = self.started.elapsed();
        match &answer.result {
            Ok(_signature) => {
                self.count("served", elapsed);
                let pairs: [(&str, &dyn std::fmt::Display); 7] = [
                    ("request", &self.request.id_text()),
                    ("database", &self.database),
                    ("workspace", self.workspace),
                    ("kind", &self.kind),
                    ("upstream", &self.upstream),
                    ("policy", &self.route.policy),
                    ("elapsed_ms", &elapsed.as_millis()),
                ];
                if elapsed > self.route.goal {
                    node_log::warn("request_slow", &pairs);
                } else {
                    node_log::request_served("request_served", &pairs);
                }
            }
            Err(error) => self.failed(error.code, &String::from_utf8_lossy(&error.text)),
        }
    }

    /// Reports the answer to a request that was forwarded. The host logs the details.
    pub fn relayed(&self, answer: &answers::CallerAnswer) {
        let elapsed = self.started.elapsed();
        let outcome = answer.result.as_ref().err().map(|error| error.code);
        self.count(outcome.map_or("served", |_code| "failed"), elapsed);
        let outcome = outcome.map_or_else(|| "served".to_owned(), |code| code.to_string());
        let pairs: [(&str, &dyn std::fmt::Display); 6] = [
            ("request", &self.request.id_text()),
            ("database", &self.database),
            ("workspace", self.workspace),
            ("host", &self.upstream),
            ("outcome", &outcome),
            ("elapsed_ms", &elapsed.as_millis()),
        ];
        if answer.result.is_err() {
            node_log::warn("request_relayed", &pairs);
        } else {
            node_log::request_served("request_relayed", &pairs);
        }
    }

    /// Reports an error, with the primary, the configuration and the age of the newest known
    /// position of the group, which explain the decision.
    pub fn failed(&self, code: answers::ErrorCode, reason: &dyn std::fmt::Display) {
        let elapsed = self.started.elapsed();
        self.count("failed", elapsed);
        metrics::counter!("persimmontack_refusals_total", "reason" => code.to_string())
            .increment(1);
        let group = self.tables.group(&self.route.group);
        let age = group.newest_position_time().map_or_else(
            || "-".to_owned(),
            |newest| {
                let age = self.tables.edge.boot_time().saturating_sub(newest);
                age.as_millis().to_string()
            },
        );
        let config = self.tables.config().map_or(0, |config| config.version);
        node_log::warn(
            "request_failed",
            &[
                ("request", &self.request.id_text()),
                ("database", &self.database),
                ("workspace", self.workspace),
                ("kind", &self.kind),
                ("upstream", &self.upstream),
                ("policy", &self.route.policy),
                ("outcome", &code),
                ("reason", reason),
                ("elapsed_ms", &elapsed.as_millis()),
                ("group", &self.route.group),
                ("primary", &group.primary().as_deref().unwrap_or("-")),
                ("position_age_ms", &age),
                ("config", &config),
            ],
        );
    }

    /// Reports an error and returns the answer for the caller. If the request had no effect, the
    /// answer's text also says when to retry.
    pub fn refuse(
        &self,
        code: answers::ErrorCode,
        reason: &dyn std::fmt::Display,
        state: answers::TransactionState,
    ) -> answers::CallerAnswer {
        self.failed(code, reason);
        let text = match code {
            answers::ErrorCode::Busy | answers::ErrorCode::Aborted => {
                answers::retry_later_text(reason)
            }
            _ => reason.to_string(),
        };
        answers::CallerAnswer::error(code, text, state)
    }

    fn count(&self, outcome: &'static str, elapsed: time::Duration) {
        metrics::counter!(
            "persimmontack_requests_total",
            "kind" => self.kind,
            "outcome" => outcome
        )
        .increment(1);
        metrics::histogram!("persimmontack_request_seconds", "kind" => self.kind)
            .record(elapsed.as_secs_f64());
    }
}

/// Logs a request to a database that the configuration no longer has.
pub fn log_no_database<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    request: &request::CallerRequest,
    database: &str,
    workspace: &workspace_binding::WorkspaceBinding,
) {
    let version = tables.config().map_or(0, |config| config.version);
    node_log::warn(
        "request_refused",
        &[
            ("request", &request.id_text()),
            ("database", &database),
            ("workspace", workspace),
            ("reason", &"no_database"),
            ("config", &version),
            ("config_age_ms", &tables.config_age().as_millis()),
        ],
    );
}
