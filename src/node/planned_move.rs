//! [`PlannedMove`]: the part of a decision that moves the lead from a primary that is leaving, and still
//! answers, to a chosen target.
//!
//! The target must hold every commit that the primary has acknowledged. Either all other replicas are
//! fenced, so that only the target can confirm commits while the primary serves on; or the primary is told
//! to step down, after which it commits nothing more and its log is final. The second way costs the
//! callers the time of the promotion, and needs no answer of the other replicas. See `docs/node.md`,
//! "Planned moves".

use std::rc;

use futures::future;
use tokio::time::Instant;

use crate::model::{ids, log_position};
use crate::node::{
    command, decision, edge, limits, log_format, node_log, pool, probe, promotion,
    promotion_candidate,
};

/// A planned move of the lead.
#[derive(Debug)]
pub struct PlannedMove<'d, 'a, E: edge::NodeEdge> {
    decision: &'d mut decision::Decision<'a, E>,
    old: ids::UpstreamId,
    target: ids::UpstreamId,
}

impl<'d, 'a, E: edge::NodeEdge> PlannedMove<'d, 'a, E> {
    /// Creates the move from `old` to `target`.
    pub const fn new(
        decision: &'d mut decision::Decision<'a, E>,
        old: ids::UpstreamId,
        target: ids::UpstreamId,
    ) -> Self {
        Self {
            decision,
            old,
            target,
        }
    }

    /// Returns the upstream to promote.
    ///
    /// # Errors
    ///
    /// Fails with the end of the decision if the move cannot be made.
    pub async fn run(mut self) -> Result<ids::UpstreamId, decision::DecisionEnd> {
        // Commits of which a caller was told before all hosts knew of the decision are at or below the
        // position that the primary reports after that.
        self.decision.await_current_list().await?;
        let mut earlier = None;
        loop {
            let (choice, candidates, head) = self.compare().await?;
            match choice {
                promotion::PromotionChoice::Promote(upstream) => return Ok(upstream),
                promotion::PromotionChoice::Await(_)
                    if self.must_move() && received_by(&candidates, &self.target) >= earlier =>
                {
                    return self.step_down().await;
                }
                promotion::PromotionChoice::Nothing
                | promotion::PromotionChoice::Await(_)
                | promotion::PromotionChoice::CatchUp(..) => {}
            }
            earlier = Some(head);
            let target = &self.target;
            self.decision
                .pause(|| format!("{target} did not catch up"))
                .await?;
        }
    }

    /// Fences every replica but the target, and compares the target with what the primary has applied
    /// after that.
    async fn compare(
        &mut self,
    ) -> Result<
        (
            promotion::PromotionChoice,
            Vec<promotion_candidate::PromotionCandidate>,
            log_position::LogPosition,
        ),
        decision::DecisionEnd,
    > {
        let mut candidates = self
            .decision
            .fence_all_but(Some(&self.old), Some(&self.target))
            .await;
        let lead = self.decision.query_lead(&self.old).await;
        let Some(head) = lead.and_then(|lead| lead.position) else {
            return Err(primary_silent());
        };
        if let Some(pool) = self.decision.tables.pool(&self.target)
            && let Some(status) =
                probe::query_status(&pool, &command::UpstreamCommand::Status).await
        {
            for candidate in &mut candidates {
                if candidate.upstream == self.target {
                    candidate.received = Some(status.received);
                }
            }
        }
        let choice = promotion::choose_move(&candidates, &self.target, head);
        self.decision.log_step(&choice, &candidates, Some(head));
        Ok((choice, candidates, head))
    }

    /// Returns whether the primary takes statements for a short time only, so that the move has to be
    /// made without the fences.
    fn must_move(&self) -> bool {
        let pool = self.decision.tables.pool(&self.old);
        pool.is_some_and(|pool| pool.closes_soon())
    }

    /// Has the primary step down, and returns an upstream that holds its whole log. The target comes
    /// first. If no replica holds the log in time, the primary itself is promoted again: without a
    /// primary, the group would wait for the replicas that do not answer.
    async fn step_down(&mut self) -> Result<ids::UpstreamId, decision::DecisionEnd> {
        self.decision.extend_deadline();
        let mut ordered_at = None;
        loop {
            let last = self.order_step_down().await;
            let ordered_at = *ordered_at.get_or_insert_with(Instant::now);
            let is_late = ordered_at.elapsed() >= limits::MOVE_CATCH_UP_TIMEOUT;
            if let Some(last) = last {
                let holder = self.find_holder(last).await;
                let successor = holder.or_else(|| is_late.then(|| self.old.clone()));
                if let Some(successor) = successor {
                    node_log::warn(
                        "lead_handed_over",
                        &[
                            ("group", &self.decision.group.group),
                            ("from", &self.old),
                            ("to", &successor),
                            ("log", &last),
                        ],
                    );
                    self.decision.successor_log = Some(last);
                    return Ok(successor);
                }
            }
            // Nothing is known of the primary's log without its answer.
            self.decision
                .pause(|| "the primary stopped answering".to_owned())
                .await?;
        }
    }

    /// Tells the primary to step down, and returns the end of its log once it has. The order is
    /// repeated until it is answered, since an answer may be lost.
    async fn order_step_down(&self) -> Option<log_position::LogPosition> {
        let pool = self.decision.tables.pool(&self.old)?;
        let order = command::UpstreamCommand::StepDown(self.decision.term);
        let status = probe::query_status(&pool, &order).await;
        let last = status
            .filter(|status| !status.primary)
            .map(|status| status.received);
        node_log::info(
            "step_down_ordered",
            &[
                ("group", &self.decision.group.group),
                ("upstream", &self.old),
                ("term", &self.decision.term),
                ("log", &log_format::format_position(last)),
            ],
        );
        last
    }

    /// Returns an upstream that stays and holds the log of the primary up to its end.
    async fn find_holder(&self, last: log_position::LogPosition) -> Option<ids::UpstreamId> {
        let mut pools = self.decision.tables.pools_of(&self.decision.group.group);
        pools.retain(|pool| {
            let leaving = pool.read_entry(|entry| entry.leaving);
            *pool.upstream() != self.old && !leaving && !pool.is_suspect()
        });
        let queries = pools.iter().map(|pool| holds(pool, last));
        let answers = future::join_all(queries).await;
        let holders = pools
            .iter()
            .zip(answers)
            .filter(|(_, holds)| *holds)
            .map(|(pool, _)| pool.upstream().clone());
        holders.max_by_key(|upstream| *upstream == self.target)
    }
}

async fn holds<E: edge::NodeEdge>(
    pool: &rc::Rc<pool::UpstreamPool<E>>,
    last: log_position::LogPosition,
) -> bool {
    let question = command::UpstreamCommand::Fence(probe::NO_FENCE);
    let status = probe::query_status(pool, &question).await;
    status.is_some_and(|status| status.received >= last)
}

fn received_by(
    candidates: &[promotion_candidate::PromotionCandidate],
    upstream: &str,
) -> Option<log_position::LogPosition> {
    let found = candidates.iter().find(|one| one.upstream == upstream);
    found.and_then(|candidate| candidate.received)
}

fn primary_silent() -> decision::DecisionEnd {
    decision::DecisionEnd::GaveUp("the primary stopped answering".to_owned())
}
