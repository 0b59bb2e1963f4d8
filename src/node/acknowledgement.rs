//! Decides whether a commit that an upstream has acknowledged survives a change of the primary.
//!
//! An upstream acknowledges a commit once one replica has received it. If the primary is replaced,
//! that replica may not be among those that are compared to choose the successor: it may have
//! joined later, or resumed receiving. A commit is therefore reported to the caller only with
//! evidence that every later primary holds it, which [`commit_evidence`] judges. See
//! `docs/node.md`, "Acknowledgements while the primary changes".
//!
//! [`commit_evidence`]: crate::decide::commit_evidence

use std::cell;
use std::rc;
use std::time;

use futures::future;
use tokio::time::Instant;

use crate::decide::commit_evidence::{
    self, CommitEvidence, CommitKnowledge, CommitVerdict, MissingEvidence,
};
use crate::model::{ids, log_position};
use crate::node::{
    commit_moment, edge, group, isolation, leadership, limits, node_log, node_tables, pool, probe,
    request,
};

/// A commit that an upstream has acknowledged.
#[derive(Clone, Debug)]
pub struct AcknowledgedCommit {
    /// The request that the commit belongs to.
    pub request: request::CallerRequest,
    /// State of the upstream's group.
    pub group: rc::Rc<group::GroupState>,
    /// The upstream that acknowledged the commit.
    pub upstream: ids::UpstreamId,
    /// Log position of the commit.
    pub position: log_position::LogPosition,
    /// When the commit was sent.
    pub moment: commit_moment::CommitMoment,
    /// When the caller is told at the latest that the outcome is unknown.
    pub deadline: Instant,
}

/// Waits until the commit is known to survive a change of the primary, and no longer than until its
/// deadline.
///
/// # Errors
///
/// Fails with the reason if the new primary lacks the commit, or if the outcome is not known in time.
pub async fn await_durable<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    commit: &AcknowledgedCommit,
) -> Result<(), String> {
    let wait = CommitWait {
        tables,
        commit,
        started: Instant::now(),
        acknowledged: node_tables::monotonic_now(),
        missing: cell::Cell::default(),
        held: cell::Cell::default(),
        questioned_at: cell::Cell::new(commit.moment.sent_at),
        lacking_since: cell::Cell::default(),
    };
    match tokio::time::timeout_at(commit.deadline, wait.await_verdict()).await {
        Ok(Ok(evidence)) => {
            let evidence = evidence.to_string();
            wait.log_settled("kept", &evidence);
            metrics::counter!("persimmontack_commits_told_total", "evidence" => evidence)
                .increment(1);
            Ok(())
        }
        Ok(Err(reason)) => {
            wait.log_settled("dropped", &reason);
            Err(reason)
        }
        Err(_elapsed) => {
            let missing = wait.missing.get().map(|missing| missing.to_string());
            let missing = missing.unwrap_or_default();
            wait.log_settled("unknown", &missing);
            Err(format!(
                "acknowledged, but not known to survive a change of the primary: {missing}"
            ))
        }
    }
}

/// The wait for the evidence that one commit survives.
struct CommitWait<'a, E: edge::NodeEdge> {
    tables: &'a rc::Rc<node_tables::NodeTables<E>>,
    commit: &'a AcknowledgedCommit,
    started: Instant,
    /// When the commit was acknowledged, by the monotonic clock.
    acknowledged: time::Duration,
    /// What the commit waits for.
    missing: cell::Cell<Option<MissingEvidence>>,
    /// Whether the wait was logged.
    held: cell::Cell<bool>,
    /// Since when a round of questions to the replicas serves this commit, as a time of
    /// [`edge::NodeEdge::boot_time`].
    questioned_at: cell::Cell<time::Duration>,
    /// Since when the new primary is known to lack the commit. It may still be applying its log.
    lacking_since: cell::Cell<Option<Instant>>,
}

impl<E: edge::NodeEdge> CommitWait<'_, E> {
    async fn await_verdict(&self) -> Result<CommitEvidence, String> {
        loop {
            let missing = match judge(self.tables, self.commit, self.acknowledged) {
                CommitVerdict::Kept(evidence) => return Ok(evidence),
                CommitVerdict::Lost => {
                    return Err("a later term began without the commit".to_owned());
                }
                CommitVerdict::Unknown(missing) => missing,
            };
            let earlier = self.missing.replace(Some(missing));
            match missing {
                MissingEvidence::Unreached => {
                    let probe = probe_other_centres(self.tables.clone(), self.commit.clone());
                    spawn_check(probe).await;
                }
                MissingEvidence::Unreplicated => {
                    if earlier == Some(missing) {
                        self.log_held(missing);
                    }
                    self.question_replicas().await;
                }
                MissingEvidence::Replaced | MissingEvidence::Uninformed => {
                    self.log_held(missing);
                    if let Some(evidence) = self.check(missing).await? {
                        return Ok(evidence);
                    }
                    tokio::select! {
                        () = self.tables.changed.notified() => {}
                        () = tokio::time::sleep(limits::COMMIT_CHECK_PAUSE) => {}
                    }
                }
            }
        }
    }

    /// Waits for a round of questions to the replicas that began after the commit was sent, or after
    /// the round before. Other commits share it.
    async fn question_replicas(&self) {
        let proof = &self.commit.group.proof;
        let advanced = proof.advanced.notified();
        let since = self.questioned_at.get();
        leadership::prove_primary(self.tables, &self.commit.group, since).await;
        self.questioned_at.set(self.tables.edge.boot_time());
        let verdict = judge(self.tables, self.commit, self.acknowledged);
        if verdict == CommitVerdict::Unknown(MissingEvidence::Unreplicated) {
            // A replica that answers later may hold the commit.
            tokio::select! {
                () = advanced => {}
                () = tokio::time::sleep(limits::COMMIT_CHECK_PAUSE) => {}
            }
        }
    }

    /// Asks the upstreams that have to hold the commit. Fails if the new primary lacks it.
    async fn check(&self, missing: MissingEvidence) -> Result<Option<CommitEvidence>, String> {
        let group = &self.commit.group;
        let decision = group.decisions.latest();
        let successor = find_successor(self.commit);
        let (tables, commit) = (self.tables.clone(), self.commit.clone());
        let check = check_commit(tables, commit, missing, successor.clone());
        let kept = spawn_check(check).await.flatten();
        if kept == Some(true) && group.decisions.latest() == decision {
            group
                .decisions
                .record_successor_position(self.commit.position);
            return Ok(Some(match missing {
                MissingEvidence::Uninformed => CommitEvidence::AllReplicas,
                _ => CommitEvidence::Successor,
            }));
        }
        let is_promoted = successor.is_some_and(|successor| group.is_primary(&successor));
        if kept == Some(false) && is_promoted {
            let since = self.lacking_since.get().unwrap_or_else(Instant::now);
            self.lacking_since.set(Some(since));
            if since.elapsed() > limits::COMMIT_APPLY_TIMEOUT {
                return Err("the new primary lacks the commit".to_owned());
            }
        }
        Ok(None)
    }

    fn log_held(&self, missing: MissingEvidence) {
        if !self.held.replace(true) {
            self.log("commit_held", &missing, &"-");
        }
    }

    fn log_settled(&self, outcome: &'static str, evidence: &str) {
        if !self.held.get() {
            return;
        }
        self.log("commit_settled", &outcome, &evidence);
        metrics::counter!("persimmontack_commits_held_total", "outcome" => outcome).increment(1);
    }

    fn log(
        &self,
        event: &'static str,
        what: &dyn std::fmt::Display,
        evidence: &dyn std::fmt::Display,
    ) {
        let commit = self.commit;
        node_log::info(
            event,
            &[
                ("request", &commit.request.id_text()),
                ("group", &commit.group.group),
                ("upstream", &commit.upstream),
                ("position", &commit.position),
                ("decision", &commit.group.decisions.latest()),
                ("primary", &commit.group.primary().as_deref().unwrap_or("-")),
                ("term", &commit.group.term()),
                ("what", what),
                ("evidence", evidence),
                ("elapsed_ms", &self.started.elapsed().as_millis()),
            ],
        );
    }
}

fn judge<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    commit: &AcknowledgedCommit,
    acknowledged: time::Duration,
) -> CommitVerdict {
    let group = &commit.group;
    let change = group.decisions.open_change(node_tables::monotonic_now());
    let log = group.log_knowledge();
    let knowledge = CommitKnowledge {
        latest_term: log.term,
        term_start: log.term_start,
        successor_position: group.decisions.successor_position(),
        ending_term: change.map(|change| change.ends),
        leads: group.is_primary(&commit.upstream),
        uninformed: tables
            .isolation
            .may_have_missed_decisions(tables.edge.boot_time()),
        reached: is_other_centre_reached(tables, acknowledged),
        replicated: group.proof.replicated(),
    };
    commit_evidence::judge_commit(commit.position, &knowledge)
}

/// Returns the upstream that replaces or has replaced the one that acknowledged the commit, if it is
/// known.
fn find_successor(commit: &AcknowledgedCommit) -> Option<ids::UpstreamId> {
    let group = &commit.group;
    let term = commit.position.term;
    let change = group.decisions.open_change(node_tables::monotonic_now());
    let planned = change
        .filter(|change| change.may_drop(commit.position) && group.term() <= term)
        .and_then(|change| change.successor);
    // The upstream itself may have been promoted again.
    let leads_later = group.primary_term().is_some_and(|later| later > term);
    let leader = group
        .primary()
        .filter(|primary| *primary != commit.upstream || leads_later);
    planned.or(leader)
}

/// Runs a check in a task of its own, so that its questions are not abandoned when the time of the
/// commit is up: that would close their connections.
async fn spawn_check<T: 'static>(check: impl Future<Output = T> + 'static) -> Option<T> {
    match tokio::task::spawn_local(check).await {
        Ok(result) => Some(result),
        Err(error) => {
            node_log::warn("commit_check_failed", &[("reason", &error)]);
            None
        }
    }
}

/// Asks the upstreams that have to hold the commit whether they do. Returns `None` if the answer is
/// not known, or if another commit of the group is being checked.
async fn check_commit<E: edge::NodeEdge>(
    tables: rc::Rc<node_tables::NodeTables<E>>,
    commit: AcknowledgedCommit,
    missing: MissingEvidence,
    successor: Option<ids::UpstreamId>,
) -> Option<bool> {
    let _guard = CheckGuard::begin(&commit.group)?;
    if missing == MissingEvidence::Uninformed {
        return all_replicas_hold(&tables, &commit).await.then_some(true);
    }
    let pool = tables.pool(&successor?)?;
    probe::holds_position(&pool, commit.position).await
}

/// Marks that a commit of the group is being checked; at most one check runs at a time.
struct CheckGuard {
    group: rc::Rc<group::GroupState>,
}

impl CheckGuard {
    fn begin(group: &rc::Rc<group::GroupState>) -> Option<Self> {
        (!group.set_checking_commit(true)).then(|| Self {
            group: rc::Rc::clone(group),
        })
    }
}

impl Drop for CheckGuard {
    fn drop(&mut self) {
        self.group.set_checking_commit(false);
    }
}

fn is_other_centre_reached<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    since: time::Duration,
) -> bool {
    let remote = isolation::remote_pools(tables);
    let is_reached = |pool: &rc::Rc<pool::UpstreamPool<E>>| {
        let reached = pool.health.get().last_reached();
        reached.is_some_and(|reached| reached >= since)
    };
    remote.is_empty() || remote.iter().any(is_reached)
}

/// Probes an upstream in another data centre. A VM that is cut off detects it only after a timeout,
/// and until then commits in its data centre may have been acknowledged by a replica that no VM
/// elsewhere knows of.
async fn probe_other_centres<E: edge::NodeEdge>(
    tables: rc::Rc<node_tables::NodeTables<E>>,
    commit: AcknowledgedCommit,
) {
    let mut remote = isolation::remote_pools(&tables);
    remote.retain(|pool| !pool.is_suspect());
    let nearest = remote
        .iter()
        .max_by_key(|pool| (pool.health.get().last_answer(), pool.upstream()));
    let Some((pool, guard)) = nearest.zip(CheckGuard::begin(&commit.group)) else {
        tokio::time::sleep(limits::REMOTE_CHECK_PAUSE).await;
        return;
    };
    let group = tables.group(&pool.read_entry(|entry| entry.group.clone()));
    if probe::query_role(pool, &group, false).await == probe::RoleAnswer::Silent {
        node_log::debug("upstream_unreached", &[("upstream", pool.upstream())]);
        tokio::time::sleep(limits::REMOTE_CHECK_PAUSE).await;
    }
    drop(guard);
}

/// Returns whether every listed replica that is not leaving holds the commit. A failover compares
/// all of them, and one that was fenced for it lacks the commit.
async fn all_replicas_hold<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    commit: &AcknowledgedCommit,
) -> bool {
    let mut replicas = tables.pools_of(&commit.group.group);
    replicas.retain(|pool| {
        *pool.upstream() != commit.upstream && !pool.read_entry(|entry| entry.leaving)
    });
    if replicas.is_empty() || replicas.iter().any(|pool| pool.is_suspect()) {
        return false;
    }
    let queries = replicas
        .iter()
        .map(|pool| probe::holds_position(pool, commit.position));
    let answers = future::join_all(queries).await;
    answers.into_iter().all(|holds| holds == Some(true))
}
