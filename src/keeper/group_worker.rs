//! [`GroupWorker`]: runs the failover of one group. It feeds probe results to the failover logic
//! and executes the actions that the logic returns.

use std::collections;
use std::sync;
use std::time;

use crate::decide::{failover, failover_event};
use crate::dial;
use crate::event;
use crate::keeper::settings;
use crate::keeper::upstream_control;
use crate::keeper::upstream_prober;
use crate::link::control;
use crate::model::{group_spec, ids};
use crate::shared_state::keeper_state;

/// Interval at which the failover logic is run while no event arrives. All its delays have this
/// precision.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Capacity of a worker's queue of events.
const EVENT_CAPACITY: usize = 256;

/// The group that a worker serves and this keeper's role in it. Replaced when tables or leases
/// change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupAssignment {
    /// The group.
    pub group: group_spec::GroupSpec,
    /// Members, as input of the failover logic.
    pub members: Vec<failover_event::MemberSpec>,
    /// Rank of this keeper among those that may run a failover of the group; 0 acts first.
    pub rank: usize,
    /// VM that holds the lease of the group's shard.
    pub holder: Option<ids::VmId>,
}

/// An operator's request to move the primary.
#[derive(Debug)]
pub struct MoveRequest {
    /// Upstream that is to become the primary; `None` leaves the choice to the failover logic.
    pub target: Option<ids::UpstreamId>,
    /// Receives the outcome.
    pub reply: tokio::sync::oneshot::Sender<failover_event::MoveOutcome>,
}

/// State and configuration of the keeper that all its workers share.
#[derive(Clone, Debug)]
pub struct WorkerContext {
    /// Control state of the keeper.
    pub state: sync::Arc<keeper_state::KeeperState>,
    /// Settings.
    pub settings: sync::Arc<settings::KeeperSettings>,
    /// Dialer for connections to upstreams.
    pub dialer: dial::TcpDialer,
}

/// Runs the failover of one group until the sender of its assignments is dropped.
#[derive(Debug)]
pub struct GroupWorker {
    context: WorkerContext,
    assignment: GroupAssignment,
    failover: failover::GroupFailover,
    event_sender: upstream_prober::EventSender,
    probers:
        collections::BTreeMap<ids::UpstreamId, (std::net::SocketAddr, tokio::task::AbortHandle)>,
    move_reply: Option<tokio::sync::oneshot::Sender<failover_event::MoveOutcome>>,
    logged_primary: (Option<ids::UpstreamId>, ids::TermNumber),
    logged_down: collections::BTreeSet<ids::UpstreamId>,
}

impl Drop for GroupWorker {
    fn drop(&mut self) {
        for (_, handle) in self.probers.values() {
            handle.abort();
        }
        self.context
            .state
            .statuses()
            .remove(&self.assignment.group.group);
    }
}

impl GroupWorker {
    /// Runs a worker until the sender of `assignments` is dropped.
    pub async fn run(
        context: WorkerContext,
        mut assignments: tokio::sync::watch::Receiver<GroupAssignment>,
        mut moves: tokio::sync::mpsc::Receiver<MoveRequest>,
    ) {
        let (event_sender, mut events) = tokio::sync::mpsc::channel(EVENT_CAPACITY);
        let assignment = assignments.borrow_and_update().clone();
        let times = context.settings.failover.times();
        let mut worker = Self {
            context,
            assignment,
            failover: failover::GroupFailover::new(times),
            event_sender,
            probers: collections::BTreeMap::new(),
            move_reply: None,
            logged_primary: (None, 0),
            logged_down: collections::BTreeSet::new(),
        };
        worker.apply_assignment();
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                changed = assignments.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    worker.assignment = assignments.borrow_and_update().clone();
                    worker.apply_assignment();
                }
                Some(received) = events.recv() => {
                    let (now, jitter) = (worker.context.state.now(), worker.jitter());
                    worker.failover.handle(received, now, jitter);
                }
                Some(request) = moves.recv() => {
                    worker.failover.request_move(request.target, worker.context.state.now());
                    worker.move_reply = Some(request.reply);
                }
                _ = ticks.tick() => {}
            }
            worker.run_failover();
        }
    }

    fn jitter(&self) -> time::Duration {
        let max_jitter_ms = self.context.settings.failover.rank_delay_ms / 2;
        time::Duration::from_millis(rand::random_range(0..=max_jitter_ms))
    }

    fn apply_assignment(&mut self) {
        let assignment = &self.assignment;
        self.failover
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
            let unchanged = wanted.get(upstream) == Some(address);
            if !unchanged {
                handle.abort();
            }
            unchanged
        });
        for (upstream, address) in wanted {
            self.probers.entry(upstream.clone()).or_insert_with(|| {
                let prober = upstream_prober::UpstreamProber {
                    upstream,
                    address,
                    database: database.clone(),
                    dialer: self.context.dialer,
                    account: self.context.settings.upstream.clone(),
                    times: self.context.settings.failover,
                };
                let task = tokio::spawn(prober.run(self.event_sender.clone()));
                (address, task.abort_handle())
            });
        }
    }

    fn run_failover(&mut self) {
        let now = self.context.state.now();
        let jitter = self.jitter();
        for action in self.failover.tick(now, jitter) {
            self.execute(action);
        }
        if let Some(outcome) = self.failover.take_outcome()
            && let Some(reply) = self.move_reply.take()
        {
            // Fails if the operator's request has been dropped meanwhile.
            drop(reply.send(outcome));
        }
        self.publish_status();
    }

    fn execute(&self, action: failover_event::FailoverAction) {
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
        let event_sender = self.event_sender.clone();
        // Uses a connection of its own, because the prober's connection is occupied by the long
        // poll.
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
            let is_follow = matches!(action, failover_event::FailoverAction::Follow(..));
            let is_promotion = matches!(action, failover_event::FailoverAction::Promote(..));
            let outcome = match result {
                Ok(state) if is_follow => failover_event::FailoverEvent::Probed(
                    upstream,
                    failover_event::ProbeResult::Answered(state),
                ),
                Ok(state) if is_promotion => {
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
                        _ if is_follow => return,
                        upstream_control::ControlError::Answered { code, .. }
                            if code == TERM_REFUSED_STATE =>
                        {
                            failover_event::FailoverEvent::Overtaken(upstream, term)
                        }
                        _ => failover_event::FailoverEvent::Unanswered(upstream, term),
                    }
                }
            };
            // Fails if the worker has been stopped meanwhile.
            drop(event_sender.send(outcome).await);
        });
    }

    /// Logs each upstream that has newly become down or up.
    fn log_down_changes(&mut self) {
        let group = &self.assignment.group.group;
        let down: collections::BTreeSet<_> = self
            .assignment
            .members
            .iter()
            .map(|member| &member.upstream)
            .filter(|upstream| self.failover.is_down(upstream))
            .cloned()
            .collect();
        for upstream in down.difference(&self.logged_down) {
            event::warn("upstream_down", &[("group", group), ("upstream", upstream)]);
        }
        for upstream in self.logged_down.difference(&down) {
            event::info("upstream_up", &[("group", group), ("upstream", upstream)]);
        }
        self.logged_down = down;
    }

    fn publish_status(&mut self) {
        self.log_down_changes();
        let primary = self
            .failover
            .primary()
            .map(|(upstream, term)| (upstream.clone(), term));
        let (name, term) = primary.map_or((None, 0), |(upstream, term)| (Some(upstream), term));
        if (&name, term) != (&self.logged_primary.0, self.logged_primary.1) {
            self.logged_primary = (name.clone(), term);
            let upstream_name = name.as_deref().unwrap_or("none");
            event::info(
                "primary_seen",
                &[
                    ("group", &self.assignment.group.group),
                    ("upstream", &upstream_name),
                    ("term", &term),
                ],
            );
        }
        let head = name
            .as_deref()
            .and_then(|upstream| self.failover.member(upstream))
            .and_then(|(_, state)| Some(state?.held.offset));
        let upstreams = self
            .assignment
            .members
            .iter()
            .map(|member| {
                let (reachable, state) = self
                    .failover
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
            .state
            .statuses()
            .insert(status.group.clone(), status);
    }
}

/// SQLSTATE with which an upstream refuses a term because it has promised that term or a higher
/// one.
const TERM_REFUSED_STATE: &str = "55000";
