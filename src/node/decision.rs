//! [`Decision`]: one numbered decision on the primary of a group, from its start to the promotion.
//!
//! Replicas are fenced and compared only after the number was claimed, so a decision never acts on
//! state that was observed before an earlier decision. See `docs/node.md`, "Failover".

use std::rc;
use std::time;

use futures::future;
use tokio::time::Instant;

use crate::model::{ids, log_position, term_start};
use crate::node::{
    edge, group, informed_hosts, leadership, limits, log_evidence, log_format, log_survey, monitor,
    node_log, node_tables, planned_move, pool, primary_change, probe, promotion,
    promotion_candidate,
};

/// How a decision ended.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum DecisionEnd {
    /// This upstream was promoted and is the primary.
    #[display("promoted {_0}")]
    Promoted(ids::UpstreamId),
    /// The group has a primary that answers, so no promotion was needed.
    #[display("kept {_0}")]
    Kept(ids::UpstreamId),
    /// No decision was begun, since no upstream may be promoted yet, for this reason.
    #[display("no successor yet: {_0}")]
    Waiting(String),
    /// Another VM has claimed a later number.
    #[display("another VM decides")]
    Overtaken,
    /// A later term than the one that the decision ends was found.
    #[display("a later term is known")]
    Outdated,
    /// The decision was abandoned, for this reason, and no promotion can still take effect from it.
    #[display("gave up: {_0}")]
    GaveUp(String),
    /// The platform was asked for a promotion that has not taken effect yet but still may.
    #[display("unsettled: {_0}")]
    Unsettled(String),
}

/// One decision with its number.
#[derive(Debug)]
pub struct Decision<'a, E: edge::NodeEdge> {
    pub(super) tables: &'a rc::Rc<node_tables::NodeTables<E>>,
    pub(super) group: &'a rc::Rc<group::GroupState>,
    number: edge::RevisionNumber,
    change: primary_change::PrimaryChange,
    /// When the decision is abandoned, as a time of [`edge::NodeEdge::boot_time`], so that a
    /// suspension doesn't prolong it.
    deadline: time::Duration,
    /// Term of the fences.
    pub(super) term: ids::TermNumber,
    /// Upstreams that this decision has fenced.
    pub fenced: Vec<rc::Rc<pool::UpstreamPool<E>>>,
    /// The other hosts, as far as they have been told of this decision.
    hosts: informed_hosts::InformedHosts<'a, E>,
    /// Log that the next primary begins its term with, if it is known before the promotion.
    pub(super) successor_log: Option<log_position::LogPosition>,
}

impl<'a, E: edge::NodeEdge> Decision<'a, E> {
    /// Starts a decision, and notifies the other hosts of the group.
    pub fn begin(
        tables: &'a rc::Rc<node_tables::NodeTables<E>>,
        group: &'a rc::Rc<group::GroupState>,
        number: edge::RevisionNumber,
        change: primary_change::PrimaryChange,
        deadline: time::Duration,
    ) -> Self {
        let notice = primary_change::ChangeNotice {
            group: group.group.clone(),
            number,
            change: change.clone(),
        };
        Self {
            tables,
            group,
            number,
            deadline,
            term: change.ends + 1,
            change,
            fenced: Vec::new(),
            hosts: informed_hosts::InformedHosts::begin(tables, notice),
            successor_log: None,
        }
    }

    /// Logs the state that this VM starts the decision from.
    pub fn log_begun(&self, problem: monitor::GroupProblem) {
        let pools = self.tables.pools_of(&self.group.group);
        let listed: Vec<_> = pools.iter().map(|pool| pool.upstream().as_str()).collect();
        let age = self.tables.list_age().unwrap_or_default();
        let primary = self.group.primary();
        let log = self.group.log_knowledge();
        node_log::warn(
            "decision_begun",
            &[
                ("group", &self.group.group),
                ("decision", &self.number),
                ("trouble", &problem),
                ("primary", &primary.as_deref().unwrap_or("-")),
                ("ends", &self.change.ends),
                (
                    "acknowledged",
                    &log_format::format_position(log.acknowledged),
                ),
                ("term_start", &log_format::format_start(log.term_start)),
                ("listed", &listed.join(",")),
                ("list_age_ms", &age.as_millis()),
            ],
        );
    }

    /// Runs the decision to its end.
    pub async fn run(&mut self, problem: monitor::GroupProblem) -> DecisionEnd {
        let choice = match (problem, &self.change.successor) {
            (monitor::GroupProblem::Leaving, Some(target)) => {
                let target = target.clone();
                match self.group.primary() {
                    Some(old) => {
                        planned_move::PlannedMove::new(self, old, target)
                            .run()
                            .await
                    }
                    None => Err(DecisionEnd::GaveUp("the primary is gone".to_owned())),
                }
            }
            _ => self.fail_over(problem).await,
        };
        match choice {
            Ok(upstream) if self.change.ends + 1 < self.term => {
                node_log::info("decision_outdated", &[("upstream", &upstream)]);
                DecisionEnd::Outdated
            }
            Ok(upstream) => self.promote(upstream).await,
            Err(end) => end,
        }
    }

    /// Returns the replica to promote once its log is known to hold every acknowledged commit. The
    /// replicas are fenced only when a survey shows that one of them does: a fenced replica receives
    /// nothing, and may be the only one with which the primary could commit again.
    async fn fail_over(
        &mut self,
        problem: monitor::GroupProblem,
    ) -> Result<ids::UpstreamId, DecisionEnd> {
        if problem != monitor::GroupProblem::Stalled
            && let Some(kept) = self.find_serving_primary().await
        {
            return Err(DecisionEnd::Kept(kept));
        }
        // Upstreams that join before all hosts know of the decision are compared as well.
        self.await_current_list().await?;
        let stalled = problem == monitor::GroupProblem::Stalled;
        let mut head = None;
        loop {
            let old = self.group.primary();
            let has_current_list = self.hosts.has_current_list();
            let survey = log_survey::LogSurvey::take(self.tables, self.group).await;
            if self.group.term() > self.change.ends {
                return Err(DecisionEnd::Outdated);
            }
            if let Some(kept) = &old
                && stalled
                && survey.is_replicated(head)
            {
                return Err(DecisionEnd::Kept(kept.clone()));
            }
            head = survey.head;
            let mut candidates = survey.candidates;
            let mut choice = promotion::choose_failover(&candidates, &self.evidence());
            if matches!(choice, promotion::PromotionChoice::Promote(_)) {
                let received = candidates.iter().filter_map(|one| one.received).max();
                if !has_current_list && !self.hosts.suffices_without_list(self.group, received) {
                    self.log_step(&choice, &candidates, head);
                    self.check_kept(old, stalled)?;
                    self.tables.refresh.notify_one();
                    self.pause(|| "the list is not up to date".to_owned())
                        .await?;
                    continue;
                }
                candidates = self.fence_all_but(old.as_deref(), None).await;
                choice = promotion::choose_failover(&candidates, &self.evidence());
            }
            self.log_step(&choice, &candidates, head);
            match choice {
                promotion::PromotionChoice::Promote(upstream) => {
                    let is_chosen = |candidate: &&promotion_candidate::PromotionCandidate| {
                        candidate.upstream == upstream
                    };
                    let chosen = candidates.iter().find(is_chosen);
                    self.successor_log = chosen.and_then(|candidate| candidate.received);
                    return Ok(upstream);
                }
                promotion::PromotionChoice::Nothing => {
                    return Err(DecisionEnd::GaveUp("nothing to promote".to_owned()));
                }
                promotion::PromotionChoice::CatchUp(upstream, deficit)
                    if !self.fenced.is_empty() =>
                {
                    return Err(DecisionEnd::GaveUp(format!("{upstream} lacks {deficit}")));
                }
                promotion::PromotionChoice::Await(upstream)
                | promotion::PromotionChoice::CatchUp(upstream, _) => {
                    self.check_kept(old, stalled)?;
                    self.pause(|| format!("{upstream} is missing or behind"))
                        .await?;
                }
            }
        }
    }

    /// Fails with the end of the decision if the primary answers again while the decision waits.
    fn check_kept(&self, old: Option<ids::UpstreamId>, stalled: bool) -> Result<(), DecisionEnd> {
        match old {
            Some(kept) if !stalled && self.tables.has_primary(self.group) => {
                Err(DecisionEnd::Kept(kept))
            }
            _ => Ok(()),
        }
    }

    /// Returns what is known about the commits that a successor must hold.
    fn evidence(&self) -> log_evidence::LogEvidence {
        self.hosts.evidence(self.group)
    }

    /// Waits until the other hosts have been told of the decision and, for a limited time, until the
    /// list is from after their replies.
    pub(super) async fn await_current_list(&mut self) -> Result<(), DecisionEnd> {
        let deadline = self.deadline;
        let listed = self.hosts.await_current_list(self.group, deadline).await;
        if self.hosts.latest_decision() > self.number {
            return Err(DecisionEnd::Overtaken);
        }
        listed.map_err(DecisionEnd::GaveUp)
    }

    /// Returns whether the time of the decision is up. If the store was lost, the decision may have to
    /// wait until every VM has noticed that.
    fn is_past_deadline(&self) -> bool {
        let noticed_at = self.hosts.outage_noticed_at().unwrap_or_default();
        let deadline = self.deadline.max(noticed_at + limits::PROMOTE_TIMEOUT);
        self.tables.edge.boot_time() >= deadline
    }

    /// Gives the decision the time of a new one: the primary is told to step down, so that the group has
    /// none until an upstream is promoted.
    pub(super) fn extend_deadline(&mut self) {
        let deadline = self.tables.edge.boot_time() + limits::DECISION_TIMEOUT;
        self.deadline = self.deadline.max(deadline);
    }

    /// Pauses before the next attempt. Fails if the decision was overtaken or its deadline has
    /// passed; `missing` gives the reason.
    pub(super) async fn pause(&self, missing: impl FnOnce() -> String) -> Result<(), DecisionEnd> {
        if self.group.decisions.latest() != self.number {
            return Err(DecisionEnd::Overtaken);
        }
        if self.is_past_deadline() {
            return Err(DecisionEnd::GaveUp(missing()));
        }
        tokio::time::sleep(limits::MONITOR_TICK).await;
        Ok(())
    }

    pub(super) fn log_step(
        &self,
        choice: &promotion::PromotionChoice,
        candidates: &[promotion_candidate::PromotionCandidate],
        primary_position: Option<log_position::LogPosition>,
    ) {
        let evidence = self.evidence();
        node_log::info(
            "decision_step",
            &[
                ("group", &self.group.group),
                ("decision", &self.number),
                ("choice", &format!("{choice:?}")),
                ("candidates", &log_format::format_candidates(candidates)),
                ("head", &log_format::format_position(primary_position)),
                (
                    "acknowledged",
                    &log_format::format_position(evidence.own.acknowledged),
                ),
                ("told", &log_format::format_position(evidence.hosts.told)),
                ("term", &evidence.hosts.term),
                (
                    "term_start",
                    &log_format::format_start(evidence.hosts.term_start),
                ),
                ("all_hosts", &evidence.complete),
            ],
        );
    }

    /// Looks for an upstream that answers as the primary.
    async fn find_serving_primary(&self) -> Option<ids::UpstreamId> {
        let pools = self.tables.pools_of(&self.group.group);
        let queries = pools
            .iter()
            .filter(|pool| !pool.is_suspect())
            .map(|pool| async move {
                match probe::query_role(pool, self.group, false).await {
                    probe::RoleAnswer::Primary(lead) => Some((lead.term, pool)),
                    probe::RoleAnswer::Replica | probe::RoleAnswer::Silent => None,
                }
            });
        let found = future::join_all(queries).await;
        let (term, pool) = found.into_iter().flatten().max_by_key(|(term, _)| *term)?;
        leadership::accept_primary(self.tables, self.group, pool, term, "probed")
            .then(|| pool.upstream().clone())
    }

    /// Fences every upstream except the old primary and the target, and returns their states.
    pub(super) async fn fence_all_but(
        &mut self,
        old: Option<&str>,
        target: Option<&str>,
    ) -> Vec<promotion_candidate::PromotionCandidate> {
        let pools = self.tables.pools_of(&self.group.group);
        let term = self.term;
        let queries = pools
            .iter()
            .filter(|pool| old != Some(pool.upstream().as_str()))
            .map(|pool| async move {
                if target == Some(pool.upstream().as_str()) {
                    return (pool, None);
                }
                (pool, probe::fence(pool, term).await)
            });
        let mut candidates = Vec::new();
        for (pool, status) in future::join_all(queries).await {
            let mut candidate = promotion_candidate::PromotionCandidate::new(pool);
            if let Some(status) = status {
                candidate.fenced = !status.primary && status.fenced > 0;
                candidate.received = Some(status.received);
                self.term = self.term.max(status.term + 1);
                self.group.record_term(status.term);
                if candidate.fenced {
                    self.fenced.push(rc::Rc::clone(pool));
                }
            }
            if candidate.is_compared(pool, old) {
                candidates.push(candidate);
            }
        }
        candidates
    }

    /// Asks the platform to promote an upstream. An unanswered call may still take effect, so the
    /// same call is retried until the deadline.
    async fn promote(&mut self, upstream: ids::UpstreamId) -> DecisionEnd {
        let mut unanswered = false;
        loop {
            // A higher number means that another VM has begun a later decision.
            if self.group.decisions.latest() != self.number {
                return DecisionEnd::Overtaken;
            }
            let may_have_missed = self
                .tables
                .isolation
                .may_have_missed_decisions(self.tables.edge.boot_time());
            if may_have_missed || self.is_past_deadline() {
                let reason = format!("no promotion in time, uninformed={may_have_missed}");
                return if unanswered {
                    DecisionEnd::Unsettled(reason)
                } else {
                    DecisionEnd::GaveUp(reason)
                };
            }
            match self.call_platform(&upstream).await {
                Ok(()) => return self.await_promotion(upstream).await,
                Err(edge::PromoteError::Refused(reason)) if unanswered => {
                    return DecisionEnd::Unsettled(reason);
                }
                Err(edge::PromoteError::Refused(reason)) => return DecisionEnd::GaveUp(reason),
                Err(edge::PromoteError::NoAnswer(_)) => {
                    unanswered = true;
                    if self.is_primary(&upstream).await {
                        return self.await_promotion(upstream).await;
                    }
                }
                Err(edge::PromoteError::Busy(_)) => {}
            }
            tokio::time::sleep(limits::MONITOR_TICK).await;
        }
    }

    /// Asks the platform to promote the current primary again under this decision's number, so that
    /// it refuses calls of earlier decisions from then on. Returns whether the upstream is still
    /// the primary after the time in which calls accepted earlier would have taken effect.
    pub async fn confirm_primary(&self, primary: &ids::UpstreamId) -> bool {
        if !self.is_primary(primary).await || self.call_platform(primary).await.is_err() {
            return false;
        }
        tokio::time::sleep(limits::USUAL_PROMOTION_TIME).await;
        self.is_primary(primary).await
    }

    async fn call_platform(&self, upstream: &ids::UpstreamId) -> Result<(), edge::PromoteError> {
        let call =
            self.tables
                .edge
                .promote(&self.group.group, upstream, &self.tables.vm, self.number);
        let result = tokio::time::timeout(limits::PROMOTE_TIMEOUT, call)
            .await
            .unwrap_or_else(|_elapsed| Err(edge::PromoteError::NoAnswer("timeout".to_owned())));
        let text = match &result {
            Ok(()) => "accepted".to_owned(),
            Err(error) => error.to_string(),
        };
        node_log::warn(
            "promotion_called",
            &[
                ("group", &self.group.group),
                ("upstream", &upstream),
                ("decision", &self.number),
                ("result", &text),
            ],
        );
        result
    }

    async fn is_primary(&self, upstream: &str) -> bool {
        self.query_lead(upstream).await.is_some()
    }

    /// Returns what an upstream reports if it acts as the primary.
    pub(super) async fn query_lead(&self, upstream: &str) -> Option<probe::PrimaryLead> {
        let pool = self.tables.pool(upstream)?;
        match probe::query_role(&pool, self.group, false).await {
            probe::RoleAnswer::Primary(lead) => Some(lead),
            probe::RoleAnswer::Replica | probe::RoleAnswer::Silent => None,
        }
    }

    async fn await_promotion(&self, upstream: ids::UpstreamId) -> DecisionEnd {
        let deadline = Instant::now() + limits::PROMOTION_EFFECT_TIMEOUT;
        loop {
            if let Some(lead) = self.query_lead(&upstream).await {
                self.tables
                    .set_primary(self.group, Some(&upstream), "promoted");
                self.group.set_primary_term(&upstream, lead.term);
                if let Some(position) = self.successor_log {
                    let term = lead.term;
                    self.group
                        .record_term_start(term_start::TermStart { term, position });
                }
                return DecisionEnd::Promoted(upstream);
            }
            if self.group.decisions.latest() != self.number {
                return DecisionEnd::Overtaken;
            }
            if Instant::now() >= deadline {
                return DecisionEnd::Unsettled(format!("{upstream} is not the primary yet"));
            }
            tokio::time::sleep(limits::PROMOTION_POLL).await;
        }
    }
}
