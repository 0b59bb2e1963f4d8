//! Carries out one decision on the primary of a group.
//!
//! A decision has a number from the store, which the platform checks; a later decision has a higher
//! one. Replicas are fenced and compared after the number was drawn, so that a decision never acts
//! on what was seen before an earlier one. See `docs/node.md`, "Failover".

use std::rc;
use std::time;

use futures::future;
use tokio::time::Instant;

use crate::model::{ids, log_position};
use crate::node::{board, command, edge, group, journal, limits, monitor, pool, probe, promotion};

/// How a decision ended.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum DecisionEnd {
    /// The group has this primary.
    #[display("promoted {_0}")]
    Promoted(ids::UpstreamId),
    /// The group has a primary that answers, so nothing was done.
    #[display("kept {_0}")]
    Kept(ids::UpstreamId),
    /// Another VM decides.
    #[display("another VM decides")]
    Overtaken,
    /// The decision was given up, for this reason.
    #[display("gave up: {_0}")]
    GaveUp(String),
}

/// Makes and carries out a decision, and undoes its fences if it comes to nothing.
pub async fn decide<E: edge::NodeEdge>(
    board: &rc::Rc<board::NodeBoard<E>>,
    group: &rc::Rc<group::GroupState>,
    trouble: monitor::GroupTrouble,
) -> DecisionEnd {
    let started = Instant::now();
    if trouble == monitor::GroupTrouble::Stalled
        && let Some(primary) = replicating_primary(board, group).await
    {
        return DecisionEnd::Kept(primary);
    }
    let number = match take_number(board, group, trouble).await {
        Ok(number) => number,
        Err(end) => return end,
    };
    journal::warn(
        "decision_begun",
        &[
            ("group", &group.group),
            ("decision", &number),
            ("trouble", &trouble),
            ("primary", &group.primary().as_deref().unwrap_or("-")),
            ("acknowledged", &position_text(group.acknowledged())),
            ("listed", &listed_text(board, group)),
            ("list_age_ms", &age_text(board.list_age())),
        ],
    );
    let mut decision = Decision {
        board,
        group,
        number,
        limit: started + limits::DECISION_LIMIT,
        term: group.term() + 1,
        fenced: Vec::new(),
    };
    let end = match trouble {
        monitor::GroupTrouble::Leaving => decision.move_lead().await,
        monitor::GroupTrouble::NoPrimary
        | monitor::GroupTrouble::Silent
        | monitor::GroupTrouble::Stalled => decision.fail_over(trouble).await,
    };
    if !matches!(end, DecisionEnd::Promoted(_)) {
        decision.unfence().await;
    }
    end
}

/// Takes the number of a decision from the store, or the one in reserve while the store is away.
///
/// With a number in reserve, this VM may decide beside another one that reaches the store. Both
/// compare the same fenced replicas and choose the same successor, so a failover may use it; a
/// planned move, whose target depends on the moment, may not.
async fn take_number<E: edge::NodeEdge>(
    board: &rc::Rc<board::NodeBoard<E>>,
    group: &rc::Rc<group::GroupState>,
    trouble: monitor::GroupTrouble,
) -> Result<edge::RevisionNumber, DecisionEnd> {
    let purpose = edge::ClaimPurpose::Now;
    let claim = board
        .edge
        .claim_decision(&group.group, &board.node, group.decision(), purpose);
    let claim = tokio::time::timeout(limits::CLAIM_TIMEOUT, claim)
        .await
        .unwrap_or_else(|_elapsed| Err(edge::StoreError::NoAnswer("timeout".to_owned())));
    let error = match claim {
        Ok(number) => {
            group.record_claim(number, purpose, board::steady_now());
            return Ok(number);
        }
        Err(edge::StoreError::Conflict) => return Err(DecisionEnd::Overtaken),
        Err(error) => error,
    };
    if trouble != monitor::GroupTrouble::Leaving
        && let Some(number) = group.take_reserve()
    {
        journal::warn(
            "reserve_used",
            &[
                ("group", &group.group),
                ("decision", &number),
                ("reason", &error),
            ],
        );
        return Ok(number);
    }
    Err(DecisionEnd::GaveUp(format!("store: {error}")))
}

/// Takes a number in reserve for a failover that may come while the store is away.
pub async fn reserve_number<E: edge::NodeEdge>(
    board: &rc::Rc<board::NodeBoard<E>>,
    group: &rc::Rc<group::GroupState>,
) {
    let purpose = edge::ClaimPurpose::Reserve;
    let claim = board
        .edge
        .claim_decision(&group.group, &board.node, group.decision(), purpose)
        .await;
    match claim {
        Ok(number) => {
            group.record_claim(number, purpose, board::steady_now());
            group.keep_reserve(number);
            journal::info(
                "number_reserved",
                &[("group", &group.group), ("decision", &number)],
            );
        }
        Err(error) => journal::info(
            "number_not_reserved",
            &[("group", &group.group), ("reason", &error)],
        ),
    }
}

/// Returns the primary whose commits seem to hang, if its replicas receive what it writes: then
/// only answers were lost, and another primary would not help.
async fn replicating_primary<E: edge::NodeEdge>(
    board: &rc::Rc<board::NodeBoard<E>>,
    group: &rc::Rc<group::GroupState>,
) -> Option<ids::UpstreamId> {
    let primary = board.primary_pool(group)?;
    let head = probe::ask_status(&primary, &command::UpstreamCommand::Status).await?;
    tokio::time::sleep(limits::STALL_CHECK).await;
    let pools = board.pools_of(&group.group);
    let asked = pools
        .iter()
        .filter(|pool| pool.upstream() != primary.upstream() && !pool.is_suspect())
        .map(|pool| probe::ask_status(pool, &command::UpstreamCommand::Status));
    let statuses = future::join_all(asked).await;
    let received = statuses
        .into_iter()
        .flatten()
        .map(|status| status.received)
        .max();
    journal::info(
        "stall_checked",
        &[
            ("group", &group.group),
            ("primary", primary.upstream()),
            ("head", &head.received),
            ("received", &position_text(received)),
        ],
    );
    (received >= Some(head.received)).then(|| primary.upstream().clone())
}

struct Decision<'a, E: edge::NodeEdge> {
    board: &'a rc::Rc<board::NodeBoard<E>>,
    group: &'a rc::Rc<group::GroupState>,
    number: edge::RevisionNumber,
    limit: Instant,
    term: ids::TermNumber,
    fenced: Vec<rc::Rc<pool::UpstreamPool<E>>>,
}

impl<E: edge::NodeEdge> Decision<'_, E> {
    async fn fail_over(&mut self, trouble: monitor::GroupTrouble) -> DecisionEnd {
        if trouble != monitor::GroupTrouble::Stalled
            && let Some(kept) = self.find_primary().await
        {
            return DecisionEnd::Kept(kept);
        }
        loop {
            let old = self.group.primary();
            let candidates = self.fence_all_but(old.as_deref(), None).await;
            let choice = promotion::choose_failover(&candidates, self.group.acknowledged());
            self.report(&choice, &candidates, None);
            match choice {
                promotion::PromotionChoice::Promote(upstream) => {
                    return self.promote(upstream).await;
                }
                promotion::PromotionChoice::Nothing => {
                    return DecisionEnd::GaveUp("nothing to promote".to_owned());
                }
                promotion::PromotionChoice::Await(upstream)
                | promotion::PromotionChoice::CatchUp(upstream) => {
                    let stalled = trouble == monitor::GroupTrouble::Stalled;
                    if let Some(kept) = old
                        && !stalled
                        && self.board.has_primary(self.group)
                    {
                        return DecisionEnd::Kept(kept);
                    }
                    if Instant::now() >= self.limit {
                        return DecisionEnd::GaveUp(format!("{upstream} is missing or behind"));
                    }
                    tokio::time::sleep(limits::MONITOR_TICK).await;
                }
            }
        }
    }

    async fn move_lead(&mut self) -> DecisionEnd {
        let Some(old) = self.group.primary() else {
            return self.fail_over(monitor::GroupTrouble::NoPrimary).await;
        };
        let looked = self.look_at_others(&old).await;
        let Some(target) = promotion::choose_target(&looked).map(|best| best.upstream.clone())
        else {
            return DecisionEnd::GaveUp("no replica can take over".to_owned());
        };
        loop {
            let mut candidates = self.fence_all_but(Some(&old), Some(&target)).await;
            let Some(head) = self.head(&old).await else {
                return DecisionEnd::GaveUp("the primary stopped answering".to_owned());
            };
            if let Some(pool) = self.board.pool(&target)
                && let Some(status) =
                    probe::ask_status(&pool, &command::UpstreamCommand::Status).await
            {
                for candidate in &mut candidates {
                    if candidate.upstream == target {
                        candidate.received = Some(status.received);
                    }
                }
            }
            let choice = promotion::choose_move(&candidates, &target, head);
            self.report(&choice, &candidates, Some(head));
            match choice {
                promotion::PromotionChoice::Promote(upstream) => {
                    return self.promote(upstream).await;
                }
                promotion::PromotionChoice::Nothing
                | promotion::PromotionChoice::Await(_)
                | promotion::PromotionChoice::CatchUp(_) => {
                    if Instant::now() >= self.limit {
                        return DecisionEnd::GaveUp(format!("{target} did not catch up"));
                    }
                    tokio::time::sleep(limits::MONITOR_TICK).await;
                }
            }
        }
    }

    fn report(
        &self,
        choice: &promotion::PromotionChoice,
        candidates: &[promotion::Candidate],
        head: Option<log_position::LogPosition>,
    ) {
        let seen: Vec<_> = candidates
            .iter()
            .map(|candidate| {
                format!(
                    "{}:{}:{}",
                    candidate.upstream,
                    position_text(candidate.received),
                    if candidate.fenced { "fenced" } else { "open" }
                )
            })
            .collect();
        journal::info(
            "decision_step",
            &[
                ("group", &self.group.group),
                ("decision", &self.number),
                ("choice", &format!("{choice:?}")),
                ("candidates", &seen.join(",")),
                ("head", &position_text(head)),
                ("acknowledged", &position_text(self.group.acknowledged())),
            ],
        );
    }

    /// Looks for an upstream that leads and answers.
    async fn find_primary(&self) -> Option<ids::UpstreamId> {
        let pools = self.board.pools_of(&self.group.group);
        let asked = pools
            .iter()
            .filter(|pool| !pool.is_suspect())
            .map(|pool| async {
                let answer = probe::ask_lead(pool, self.group, false).await;
                matches!(answer, probe::LeadAnswer::Leads(_)).then(|| pool.upstream().clone())
            });
        let found = future::join_all(asked).await.into_iter().flatten().next()?;
        self.board.set_primary(self.group, Some(&found), "probed");
        Some(found)
    }

    async fn head(&self, upstream: &str) -> Option<log_position::LogPosition> {
        let pool = self.board.pool(upstream)?;
        match probe::ask_lead(&pool, self.group, false).await {
            probe::LeadAnswer::Leads(position) => position,
            probe::LeadAnswer::Follows | probe::LeadAnswer::Silent => None,
        }
    }

    fn candidate(&self, pool: &pool::UpstreamPool<E>) -> promotion::Candidate {
        let leaving = pool.read_entry(|entry| entry.leaving);
        promotion::Candidate {
            upstream: pool.upstream().clone(),
            received: None,
            fenced: false,
            leaving,
        }
    }

    async fn look_at_others(&self, old: &str) -> Vec<promotion::Candidate> {
        let pools = self.board.pools_of(&self.group.group);
        let asked = pools
            .iter()
            .filter(|pool| pool.upstream() != old && !pool.is_suspect())
            .map(|pool| async {
                let status = probe::ask_status(pool, &command::UpstreamCommand::Status).await;
                let mut candidate = self.candidate(pool);
                candidate.received = status.map(|status| status.received);
                candidate
            });
        future::join_all(asked).await
    }

    /// Fences every upstream but the old primary and the target.
    async fn fence_all_but(
        &mut self,
        old: Option<&str>,
        target: Option<&str>,
    ) -> Vec<promotion::Candidate> {
        let pools = self.board.pools_of(&self.group.group);
        let term = self.term;
        let asked = pools
            .iter()
            .filter(|pool| old != Some(pool.upstream().as_str()))
            .map(|pool| async move {
                if target == Some(pool.upstream().as_str()) {
                    return (pool, None);
                }
                (pool, probe::fence(pool, term).await)
            });
        let mut candidates = Vec::new();
        for (pool, status) in future::join_all(asked).await {
            let mut candidate = self.candidate(pool);
            if let Some(status) = status {
                candidate.fenced = !status.primary && status.fenced > 0;
                candidate.received = Some(status.received);
                self.term = self.term.max(status.term + 1);
                self.group.note_term(status.term);
                if candidate.fenced {
                    self.fenced.push(rc::Rc::clone(pool));
                }
            }
            // A replica that receives nothing under this primary has acknowledged nothing of it.
            let cut_off = old.is_some_and(|old| pool.is_fenced_under(old));
            if candidate.fenced || !(candidate.leaving && cut_off) {
                candidates.push(candidate);
            }
        }
        candidates
    }

    async fn promote(&self, upstream: ids::UpstreamId) -> DecisionEnd {
        let mut called = false;
        while Instant::now() < self.limit {
            // A decision that another VM has begun since then has a higher number.
            if self.group.decision() != self.number {
                return DecisionEnd::Overtaken;
            }
            let call = self.board.edge.promote(
                &self.group.group,
                &upstream,
                &self.board.node,
                self.number,
            );
            let result = tokio::time::timeout(limits::PROMOTE_TIMEOUT, call)
                .await
                .unwrap_or_else(|_elapsed| Err(edge::PromoteError::NoAnswer("timeout".to_owned())));
            let text = match &result {
                Ok(()) => "accepted".to_owned(),
                Err(error) => error.to_string(),
            };
            journal::warn(
                "promotion_called",
                &[
                    ("group", &self.group.group),
                    ("upstream", &upstream),
                    ("decision", &self.number),
                    ("result", &text),
                ],
            );
            match result {
                Ok(()) => {
                    called = true;
                    break;
                }
                Err(edge::PromoteError::Refused(reason)) => return DecisionEnd::GaveUp(reason),
                Err(edge::PromoteError::NoAnswer(_)) => called = true,
                Err(edge::PromoteError::Busy(_)) => {}
            }
            tokio::time::sleep(limits::MONITOR_TICK).await;
        }
        if !called {
            return DecisionEnd::GaveUp("the platform took no call".to_owned());
        }
        self.await_lead(upstream).await
    }

    async fn await_lead(&self, upstream: ids::UpstreamId) -> DecisionEnd {
        while Instant::now() < self.limit {
            let Some(pool) = self.board.pool(&upstream) else {
                return DecisionEnd::GaveUp(format!("{upstream} is gone"));
            };
            let answer = probe::ask_lead(&pool, self.group, false).await;
            if matches!(answer, probe::LeadAnswer::Leads(_)) {
                self.board
                    .set_primary(self.group, Some(&upstream), "promoted");
                return DecisionEnd::Promoted(upstream);
            }
            tokio::time::sleep(limits::LEAD_POLL).await;
        }
        DecisionEnd::GaveUp(format!("{upstream} does not lead yet"))
    }

    async fn unfence(&self) {
        let fenced: Vec<_> = self
            .fenced
            .iter()
            .map(|pool| pool.upstream().as_str())
            .collect();
        journal::info(
            "fences_lifted",
            &[
                ("group", &self.group.group),
                ("decision", &self.number),
                ("latest", &self.group.decision()),
                ("upstreams", &fenced.join(",")),
            ],
        );
        let asked = self
            .fenced
            .iter()
            .filter(|pool| !pool.read_entry(|entry| entry.leaving))
            .map(|pool| probe::ask_status(pool, &command::UpstreamCommand::Unfence));
        future::join_all(asked).await;
    }
}

fn position_text(position: Option<log_position::LogPosition>) -> String {
    position.map_or_else(|| "-".to_owned(), |position| position.to_string())
}

fn listed_text<E: edge::NodeEdge>(
    board: &board::NodeBoard<E>,
    group: &group::GroupState,
) -> String {
    let pools = board.pools_of(&group.group);
    let names: Vec<_> = pools.iter().map(|pool| pool.upstream().as_str()).collect();
    names.join(",")
}

fn age_text(age: Option<time::Duration>) -> String {
    age.map_or_else(|| "-".to_owned(), |age| age.as_millis().to_string())
}
