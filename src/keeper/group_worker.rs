//! Runs the failover decisions of one group: feeds them probes and carries out their actions.

use std::collections;
use std::sync;
use std::time;

use crate::decide::{failover, failover_event};
use crate::dial;
use crate::event;
use crate::keeper::prober;
use crate::keeper::settings;
use crate::keeper::upstream_control;
use crate::link::control;
use crate::model::{group_spec, ids};
use crate::shared_state::control_board;

/// Pause between two looks at the decisions while nothing happens. It is the precision of all
/// their delays.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Events that may wait for a worker.
const EVENT_CAPACITY: usize = 256;

/// What a worker shall do for its group; replaced when tables or leases change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupAssignment {
    /// The group.
    pub group: group_spec::GroupSpec,
    /// Members as the decisions see them.
    pub members: Vec<failover_event::MemberSpec>,
    /// Place of this keeper among those that act.
    pub rank: usize,
    /// VM that holds the lease of the group's shard.
    pub holder: Option<ids::VmId>,
}

/// An operator's request to move the primary.
#[derive(Debug)]
pub struct MoveRequest {
    /// Wanted primary.
    pub target: Option<ids::UpstreamId>,
    /// Where the outcome goes.
    pub reply: tokio::sync::oneshot::Sender<failover_event::MoveOutcome>,
}

/// What the worker needs besides its assignment.
#[derive(Clone, Debug)]
pub struct WorkerContext {
    /// Tables.
    pub board: sync::Arc<control_board::ControlBoard>,
    /// Settings.
    pub settings: sync::Arc<settings::KeeperSettings>,
    /// Dialer of the keeper.
    pub dialer: dial::TcpDialer,
}

/// Runs one group until the assignment's sender is gone.
#[derive(Debug)]
pub struct GroupWorker {
    context: WorkerContext,
    assignment: GroupAssignment,
    decisions: failover::GroupFailover,
    sender: prober::ProbeSender,
    probers:
        collections::BTreeMap<ids::UpstreamId, (std::net::SocketAddr, tokio::task::AbortHandle)>,
    move_reply: Option<tokio::sync::oneshot::Sender<failover_event::MoveOutcome>>,
    announced: (Option<ids::UpstreamId>, ids::TermNumber),
    announced_down: collections::BTreeSet<ids::UpstreamId>,
}

impl Drop for GroupWorker {
    fn drop(&mut self) {
        for (_, handle) in self.probers.values() {
            handle.abort();
        }
        self.context
            .board
            .statuses()
            .remove(&self.assignment.group.group);
    }
}

impl GroupWorker {
    /// Runs a worker.
    pub async fn run(
        context: WorkerContext,
        mut assignments: tokio::sync::watch::Receiver<GroupAssignment>,
        mut moves: tokio::sync::mpsc::Receiver<MoveRequest>,
    ) {
        let (sender, mut events) = tokio::sync::mpsc::channel(EVENT_CAPACITY);
        let assignment = assignments.borrow_and_update().clone();
        let times = context.settings.failover.times();
        let mut worker = Self {
            context,
            assignment,
            decisions: failover::GroupFailover::new(times),
            sender,
            probers: collections::BTreeMap::new(),
            move_reply: None,
            announced: (None, 0),
            announced_down: collections::BTreeSet::new(),
        };
        worker.adopt();
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                changed = assignments.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    worker.assignment = assignments.borrow_and_update().clone();
                    worker.adopt();
                }
                Some(found) = events.recv() => {
                    let (now, jitter) = (worker.context.board.now(), worker.jitter());
                    worker.decisions.handle(found, now, jitter);
                }
                Some(request) = moves.recv() => {
                    worker.decisions.request_move(request.target, worker.context.board.now());
                    worker.move_reply = Some(request.reply);
                }
                _ = ticks.tick() => {}
            }
            worker.act();
        }
    }

    fn jitter(&self) -> time::Duration {
        let most = self.context.settings.failover.rank_delay_ms / 2;
        time::Duration::from_millis(rand::random_range(0..=most))
    }

    fn adopt(&mut self) {
        let assignment = &self.assignment;
        self.decisions
            .set_members(assignment.members.clone(), assignment.rank);
        let database = assignment
            .group
            .databases
            .first()
            .cloned()
            .unwrap_or_default();
        let wanted: collections::BTreeMap<_, _> = assignment
            .members
            .iter()
            .map(|member| (member.upstream.clone(), member.address))
            .collect();
        self.probers.retain(|upstream, (address, handle)| {
            let keep = wanted.get(upstream) == Some(address);
            if !keep {
                handle.abort();
            }
            keep
        });
        for (upstream, address) in wanted {
            self.probers.entry(upstream.clone()).or_insert_with(|| {
                let target = prober::ProbeTarget {
                    upstream,
                    address,
                    database: database.clone(),
                    dialer: self.context.dialer,
                    account: self.context.settings.upstream.clone(),
                    times: self.context.settings.failover,
                };
                let task = tokio::spawn(target.run(self.sender.clone()));
                (address, task.abort_handle())
            });
        }
    }

    fn act(&mut self) {
        let now = self.context.board.now();
        let jitter = self.jitter();
        for action in self.decisions.tick(now, jitter) {
            self.carry_out(action);
        }
        if let Some(outcome) = self.decisions.take_outcome()
            && let Some(reply) = self.move_reply.take()
        {
            // The operator may have gone.
            drop(reply.send(outcome));
        }
        self.report();
    }

    fn carry_out(&self, action: failover_event::FailoverAction) {
        let group = &self.assignment.group.group;
        let (name, upstream, term) = match &action {
            failover_event::FailoverAction::Fence(upstream, term) => ("fence", upstream, *term),
            failover_event::FailoverAction::Promote(upstream, term) => ("promote", upstream, *term),
            failover_event::FailoverAction::Follow(upstream, term, _) => {
                ("follow", upstream, *term)
            }
        };
        event::info(
            "failover_step",
            &[
                ("step", &name),
                ("group", group),
                ("upstream", upstream),
                ("term", &term),
            ],
        );
        let Some(address) = self
            .assignment
            .members
            .iter()
            .find(|member| member.upstream == *upstream)
            .map(|member| member.address)
        else {
            return;
        };
        let upstream = upstream.clone();
        let database = self
            .assignment
            .group
            .databases
            .first()
            .cloned()
            .unwrap_or_default();
        let account = self.context.settings.upstream.clone();
        let timeout = time::Duration::from_millis(self.context.settings.failover.candidacy_ms);
        let dialer = dial::TcpDialer {
            timeout,
            ..self.context.dialer
        };
        let sender = self.sender.clone();
        // A connection of its own, because the probe's is held by the open long poll.
        tokio::spawn(async move {
            let step = async {
                let link = upstream_control::UpstreamControl::connect(
                    &dialer, address, &database, &account,
                )
                .await?;
                match &action {
                    failover_event::FailoverAction::Fence(..) => link.fence(term).await,
                    failover_event::FailoverAction::Promote(..) => link.promote(term).await,
                    failover_event::FailoverAction::Follow(_, _, primary) => {
                        link.follow(term, *primary).await
                    }
                }
            };
            let result = tokio::time::timeout(timeout, step)
                .await
                .unwrap_or(Err(upstream_control::ControlError::Silent));
            let follows = matches!(action, failover_event::FailoverAction::Follow(..));
            let promotes = matches!(action, failover_event::FailoverAction::Promote(..));
            let found = match result {
                Ok(state) if follows => failover_event::FailoverEvent::Probed(
                    upstream,
                    failover_event::ProbeResult::Answered(state),
                ),
                Ok(state) if promotes => {
                    failover_event::FailoverEvent::Promoted(upstream, term, state)
                }
                Ok(state) => failover_event::FailoverEvent::Fenced(upstream, term, state),
                Err(error) => {
                    event::warn(
                        "failover_step_failed",
                        &[
                            ("upstream", &upstream),
                            ("term", &term),
                            ("peer", &address),
                            ("cause", &error),
                        ],
                    );
                    match error {
                        _ if follows => return,
                        upstream_control::ControlError::Answered { code, .. }
                            if code == PROMISED_HIGHER =>
                        {
                            failover_event::FailoverEvent::Overtaken(upstream, term)
                        }
                        _ => failover_event::FailoverEvent::Unanswered(upstream, term),
                    }
                }
            };
            // The worker may have been stopped meanwhile.
            drop(sender.send(found).await);
        });
    }

    /// Logs each upstream that has begun or ceased to count as down.
    fn log_down(&mut self) {
        let group = &self.assignment.group.group;
        let down: collections::BTreeSet<_> = self
            .assignment
            .members
            .iter()
            .map(|member| &member.upstream)
            .filter(|upstream| self.decisions.is_down(upstream))
            .cloned()
            .collect();
        for upstream in down.difference(&self.announced_down) {
            event::warn("upstream_down", &[("group", group), ("upstream", upstream)]);
        }
        for upstream in self.announced_down.difference(&down) {
            event::info("upstream_up", &[("group", group), ("upstream", upstream)]);
        }
        self.announced_down = down;
    }

    fn report(&mut self) {
        self.log_down();
        let primary = self
            .decisions
            .primary()
            .map(|(upstream, term)| (upstream.clone(), term));
        let (name, term) = primary.map_or((None, 0), |(upstream, term)| (Some(upstream), term));
        if (&name, term) != (&self.announced.0, self.announced.1) {
            self.announced = (name.clone(), term);
            let shown = name.as_deref().unwrap_or("none");
            event::info(
                "primary_seen",
                &[
                    ("group", &self.assignment.group.group),
                    ("upstream", &shown),
                    ("term", &term),
                ],
            );
        }
        let head = name
            .as_deref()
            .and_then(|upstream| self.decisions.member(upstream))
            .and_then(|(_, state)| Some(state?.held.offset));
        let upstreams = self
            .assignment
            .members
            .iter()
            .map(|member| {
                let (reachable, state) = self
                    .decisions
                    .member(&member.upstream)
                    .unwrap_or((false, None));
                control::UpstreamStatus {
                    upstream: member.upstream.clone(),
                    data_centre: member.data_centre.clone(),
                    reachable,
                    leaving: member.leaving,
                    state: state.cloned(),
                    lag_entries: state
                        .and_then(|state| Some(head?.saturating_sub(state.applied.offset))),
                }
            })
            .collect();
        let status = control::GroupStatus {
            group: self.assignment.group.group.clone(),
            primary: name,
            term,
            holder: self.assignment.holder.clone(),
            upstreams,
        };
        self.context
            .board
            .statuses()
            .insert(status.group.clone(), status);
    }
}

/// SQLSTATE with which an upstream refuses a term.
const PROMISED_HIGHER: &str = "55000";
