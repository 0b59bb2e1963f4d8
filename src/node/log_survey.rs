//! [`LogSurvey`]: the logs of a group's upstreams as they report them, without fences.

use futures::future;

use crate::model::log_position;
use crate::node::{command, edge, group, node_tables, probe, promotion_candidate};

/// The logs of a group's upstreams. A survey changes nothing, so replicas go on to receive and a
/// decision that cannot promote does no harm.
#[derive(Debug)]
pub struct LogSurvey {
    /// The upstreams other than the known primary, as if those that are replicas were fenced.
    pub candidates: Vec<promotion_candidate::PromotionCandidate>,
    /// End of the primary's log, if the primary answers and leads.
    pub head: Option<log_position::LogPosition>,
}

impl LogSurvey {
    /// Asks all upstreams of a group, and records the terms that they know.
    pub async fn take<E: edge::NodeEdge>(
        tables: &node_tables::NodeTables<E>,
        group: &group::GroupState,
    ) -> Self {
        let primary = group.primary();
        let pools = tables.pools_of(&group.group);
        let queries = pools.iter().map(|pool| async move {
            if pool.is_suspect() {
                return (pool, None);
            }
            let question = command::UpstreamCommand::Fence(probe::NO_FENCE);
            (pool, probe::query_status(pool, &question).await)
        });
        let mut survey = Self {
            candidates: Vec::new(),
            head: None,
        };
        for (pool, status) in future::join_all(queries).await {
            if let Some(status) = status {
                group.record_term(status.term);
            }
            if primary.as_ref() == Some(pool.upstream()) {
                survey.head = status
                    .filter(|status| status.primary)
                    .map(|status| status.received);
                continue;
            }
            let mut candidate = promotion_candidate::PromotionCandidate::new(pool);
            candidate.fenced = status.is_some_and(|status| !status.primary);
            candidate.received = status.map(|status| status.received);
            if candidate.is_compared(pool, primary.as_deref()) {
                survey.candidates.push(candidate);
            }
        }
        survey
    }

    /// Returns whether a replica has received what the primary writes: its log as of this survey or
    /// as of an `earlier` one.
    #[must_use]
    pub fn is_replicated(&self, earlier: Option<log_position::LogPosition>) -> bool {
        let received = |candidate: &promotion_candidate::PromotionCandidate| candidate.received;
        let received = self.candidates.iter().filter_map(received).max();
        let has_received = |head: Option<_>| head.is_some() && received >= head;
        self.head.is_some() && (has_received(self.head) || has_received(earlier))
    }
}
