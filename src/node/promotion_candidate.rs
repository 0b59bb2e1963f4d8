//! [`PromotionCandidate`]: an upstream that a decision compares.

use crate::model::{ids, log_position};
use crate::node::{edge, log_format, pool};

/// State of one upstream of the group other than the primary that is being replaced.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display(
    "{upstream}:{}:{}",
    log_format::format_position(*received),
    if *fenced { "fenced" } else { "open" }
)]
pub struct PromotionCandidate {
    /// The upstream.
    pub upstream: ids::UpstreamId,
    /// Last position that it has received, once it has been fenced or queried.
    pub received: Option<log_position::LogPosition>,
    /// Whether it is fenced, and so acknowledges no further commits.
    pub fenced: bool,
    /// Whether it is leaving.
    pub leaving: bool,
}

impl PromotionCandidate {
    /// Creates the candidate for an upstream whose position is not known yet.
    #[must_use]
    pub fn new<E: edge::NodeEdge>(pool: &pool::UpstreamPool<E>) -> Self {
        Self {
            upstream: pool.upstream().clone(),
            received: None,
            fenced: false,
            leaving: pool.read_entry(|entry| entry.leaving),
        }
    }

    /// Returns whether a decision has to compare the upstream. A replica that leaves and is fenced
    /// under the old primary receives nothing from it, so it has acknowledged none of its commits.
    #[must_use]
    pub fn is_compared<E: edge::NodeEdge>(
        &self,
        pool: &pool::UpstreamPool<E>,
        old: Option<&str>,
    ) -> bool {
        let cut_off = old.is_some_and(|old| pool.fence.is_under(old));
        self.fenced || !(self.leaving && cut_off)
    }
}
