//! [`GroupSupervisor`]: runs a worker for each group in which this keeper has a rank.

use std::collections;
use std::sync;
use std::time;

use crate::decide::{failover_event, lease};
use crate::event;
use crate::keeper::group_worker;
use crate::model::{control_tables, group_spec, ids};
use crate::rules::{file_parser, rule_set};

/// Interval between two checks of the lease holders and of the liveness of VMs.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Capacity of a worker's queue of move requests.
const MOVE_CAPACITY: usize = 8;

#[derive(Debug)]
struct RunningWorker {
    assignments: tokio::sync::watch::Sender<group_worker::GroupAssignment>,
    moves: tokio::sync::mpsc::Sender<group_worker::MoveRequest>,
}

/// Starts and stops the workers. Cheap to clone.
#[derive(Clone, Debug)]
pub struct GroupSupervisor {
    context: group_worker::WorkerContext,
    workers: sync::Arc<sync::Mutex<collections::BTreeMap<ids::GroupId, RunningWorker>>>,
}

impl GroupSupervisor {
    /// Creates a supervisor without workers.
    #[must_use]
    pub fn new(context: group_worker::WorkerContext) -> Self {
        Self {
            context,
            workers: sync::Arc::default(),
        }
    }

    /// Starts and stops workers as the tables and the leases change. Never returns.
    pub async fn run(self) {
        let mut tables = self.context.state.follow();
        loop {
            let current = tables.borrow_and_update().clone();
            self.reconcile(&current);
            // The timeout usually lapses; the next round then picks up new lease holders.
            drop(tokio::time::timeout(CHECK_INTERVAL, tables.changed()).await);
        }
    }

    /// Moves the primary of a group. Returns `None` if this keeper runs no worker for the group.
    pub async fn move_primary(
        &self,
        group: &str,
        target: Option<ids::UpstreamId>,
    ) -> Option<failover_event::MoveOutcome> {
        let moves = self.lock().get(group)?.moves.clone();
        let (reply, outcome) = tokio::sync::oneshot::channel();
        let request = group_worker::MoveRequest { target, reply };
        moves.send(request).await.ok()?;
        let replaced =
            || failover_event::MoveOutcome::Failed("another request replaced this one".to_owned());
        Some(outcome.await.unwrap_or_else(|_closed| replaced()))
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<ids::GroupId, RunningWorker>> {
        self.workers
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn reconcile(&self, tables: &control_tables::ControlTables) {
        let state = &self.context.state;
        // Rules that cannot be parsed drain nothing. The store holds only rules that were checked.
        let rules = file_parser::parse(&tables.rules_text).unwrap_or_default();
        let mut workers = self.lock();
        let mut ranked = collections::BTreeSet::new();
        for group in &tables.groups {
            let holder = state.holder(lease::shard_of(&group.group));
            let order = lease::acting_order(&group.group, &tables.vms, holder.as_deref());
            let Some(rank) = order.iter().position(|vm| vm == state.own()) else {
                continue;
            };
            ranked.insert(group.group.clone());
            let assignment = group_worker::GroupAssignment {
                group: group.clone(),
                members: member_specs(group, tables, &rules),
                rank,
                holder,
            };
            if let Some(worker) = workers.get(&group.group) {
                worker.assignments.send_if_modified(|current| {
                    let changed = *current != assignment;
                    *current = assignment;
                    changed
                });
                continue;
            }
            event::info("group_ranked", &[("group", &group.group), ("rank", &rank)]);
            let (assignments, receiver) = tokio::sync::watch::channel(assignment);
            let (moves, requests) = tokio::sync::mpsc::channel(MOVE_CAPACITY);
            tokio::spawn(group_worker::GroupWorker::run(
                self.context.clone(),
                receiver,
                requests,
            ));
            workers.insert(group.group.clone(), RunningWorker { assignments, moves });
        }
        // A worker ends once its senders are dropped.
        workers.retain(|group, _| ranked.contains(group));
    }
}

fn member_specs(
    group: &group_spec::GroupSpec,
    tables: &control_tables::ControlTables,
    rules: &rule_set::RuleSet,
) -> Vec<failover_event::MemberSpec> {
    group
        .upstreams
        .iter()
        .map(|spec| failover_event::MemberSpec {
            upstream: spec.upstream.clone(),
            address: spec.address,
            leaving: spec.leaving || rules.drains_upstream(&spec.upstream),
            data_centre: spec.data_centre.clone(),
            local_vms: tables
                .vms
                .iter()
                .filter(|vm| vm.data_centre == spec.data_centre && !vm.leaving)
                .count(),
        })
        .collect()
}
