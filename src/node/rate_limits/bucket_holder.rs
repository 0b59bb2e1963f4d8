//! [`BucketHolder`]: the token buckets that this VM holds, and the service that grants from them.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use crate::decide::{rate_holder, rate_limit};
use crate::link::server;
use crate::model::ids;
use crate::node::rate_limits::limit_frame;
use crate::node::{config, edge, limits, node_log, node_tables};

/// Workspaces whose buckets this VM holds. They are computed anew only after a change, since that
/// takes a hash for each workspace and member.
#[derive(Debug, Default)]
struct AssignedWorkspaces {
    /// Changes of the members and version of the configuration that this reflects.
    seen: Option<(u64, config::ConfigVersion)>,
    workspaces: collections::BTreeSet<ids::WorkspaceName>,
}

/// The token buckets that this VM holds.
#[derive(Debug)]
pub struct BucketHolder {
    holder: cell::RefCell<rate_holder::RateHolder>,
    /// Workspaces whose buckets this VM holds by the members and the configuration.
    assigned: cell::RefCell<AssignedWorkspaces>,
    /// Number of the latest stream of each VM.
    streams: cell::RefCell<collections::BTreeMap<ids::VmId, u64>>,
    last_stream: cell::Cell<u64>,
    /// Latest version of the configuration for which the tables were refreshed from the store, and
    /// when.
    refreshed: cell::Cell<(config::ConfigVersion, time::Duration)>,
}

impl Default for BucketHolder {
    fn default() -> Self {
        let holder = rate_holder::RateHolder::new(limits::MEMBER_TTL, limits::STORE_RETURN_GRACE);
        Self {
            holder: cell::RefCell::new(holder),
            assigned: cell::RefCell::default(),
            streams: cell::RefCell::default(),
            last_stream: cell::Cell::default(),
            refreshed: cell::Cell::default(),
        }
    }
}

impl BucketHolder {
    /// Grants tokens to `vm`, or returns [`limit_frame::WorkspaceReply::NotValid`].
    pub fn grant<E: edge::NodeEdge>(
        &self,
        tables: &node_tables::NodeTables<E>,
        vm: &str,
        workspace: &str,
        ask: rate_limit::RateAsk,
    ) -> limit_frame::WorkspaceReply {
        let now = tables.edge.boot_time();
        self.record_run(tables, now);
        let limit = limit_of(tables.config().as_deref(), workspace);
        let grant = limit.and_then(|limit| {
            let mut holder = self.holder.borrow_mut();
            holder.grant(vm, workspace, limit, ask, facts(tables), now)
        });
        let Some(grant) = grant else {
            return limit_frame::WorkspaceReply::NotValid;
        };
        metrics::counter!("persimmontack_limit_tokens_granted_total")
            .increment(u64::from(grant.granted));
        limit_frame::WorkspaceReply::Grant {
            granted: grant.granted,
            scale: grant.scale,
            retry_after_ms: u32::try_from(grant.retry_after.as_millis()).unwrap_or(u32::MAX),
            unreplaced_ms: u32::try_from(grant.unreplaced_for.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Takes over and gives up buckets as the members and the configuration say.
    pub fn update<E: edge::NodeEdge>(&self, tables: &node_tables::NodeTables<E>) {
        let now = tables.edge.boot_time();
        self.record_run(tables, now);
        let Some(config) = tables.config() else {
            return;
        };
        let limited = config
            .workspaces
            .keys()
            .filter_map(|workspace| Some((workspace.clone(), limit_of(Some(&config), workspace)?)));
        let mut assigned = self.assigned.borrow_mut();
        let current = Some((tables.member_changes.get(), config.version));
        if assigned.seen != current {
            let workspaces = config.workspaces.keys();
            let own = workspaces.filter(|name| tables.limit_holder(name) == tables.vm);
            assigned.workspaces = own.cloned().collect();
            assigned.seen = current;
        }
        let is_holder = |workspace: &str| assigned.workspaces.contains(workspace);
        let changes =
            self.holder
                .borrow_mut()
                .update(&limited.collect(), is_holder, facts(tables), now);
        for change in changes {
            match change {
                rate_holder::HolderChange::Taken(workspace, delay) => node_log::info(
                    "limit_bucket_taken",
                    &[("workspace", &workspace), ("delay_ms", &delay.as_millis())],
                ),
                rate_holder::HolderChange::GivenUp(workspace) => {
                    node_log::info("limit_bucket_given_up", &[("workspace", &workspace)]);
                }
                rate_holder::HolderChange::NotValid(buckets) => {
                    node_log::warn("limit_holder_not_valid", &[("buckets", &buckets)]);
                }
            }
        }
    }

    /// Notices that the process was suspended or starved.
    fn record_run<E: edge::NodeEdge>(
        &self,
        tables: &node_tables::NodeTables<E>,
        now: time::Duration,
    ) {
        if let Some(gap) = self.holder.borrow_mut().record_run(now) {
            node_log::warn("limit_holder_suspended", &[("gap_ms", &gap.as_millis())]);
            tables.renew.notify_one();
        }
    }

    /// Refreshes the tables if a VM that asks has a newer configuration: once for each version, since
    /// each call to the store is priced.
    fn follow_version<E: edge::NodeEdge>(
        &self,
        tables: &node_tables::NodeTables<E>,
        version: config::ConfigVersion,
    ) {
        let now = tables.edge.boot_time();
        let (seen, refreshed_at) = self.refreshed.get();
        let own = tables.config().map_or(0, |config| config.version);
        let paused = seen > 0 && now.saturating_sub(refreshed_at) < limits::STORE_PAUSE;
        if version <= own.max(seen) || paused {
            return;
        }
        self.refreshed.set((version, now));
        tables.refresh.notify_one();
    }

    fn add_stream(&self, vm: &str) -> u64 {
        let stream = self.last_stream.get() + 1;
        self.last_stream.set(stream);
        self.streams.borrow_mut().insert(vm.to_owned(), stream);
        stream
    }

    /// Stops to reserve the rates of a VM whose latest stream has ended.
    fn remove_stream(&self, vm: &str, stream: u64) {
        let mut streams = self.streams.borrow_mut();
        if streams.get(vm) != Some(&stream) {
            return;
        }
        streams.remove(vm);
        self.holder.borrow_mut().release_vm(vm);
    }
}

fn facts<E: edge::NodeEdge>(tables: &node_tables::NodeTables<E>) -> rate_holder::HolderFacts {
    // Other VMs pass on what the store answered them.
    let table_age = tables.isolation.store_answer_age(tables.edge.boot_time());
    rate_holder::HolderFacts {
        renewed_at: tables.entry_renewed_at.get(),
        reaches_store: tables.store_available.get(),
        isolated: tables.isolation.is_isolated(),
        follows_peers: table_age <= limits::MEMBER_TTL,
        entry_vanished: !tables.is_member(&tables.vm),
        place: tables.rate_limits.place.evidence(tables.edge.boot_time()),
        may_take_over: tables.has_complete_list() || tables.rate_limits.place.may_take_over(),
    }
}

/// Returns whether this VM learns of a new holder in time: the store or another VM has told it recently
/// who the members are, or nobody can have changed them.
#[must_use]
pub fn is_informed<E: edge::NodeEdge>(tables: &node_tables::NodeTables<E>) -> bool {
    let now = tables.edge.boot_time();
    let facts = facts(tables);
    facts.reaches_store || facts.follows_peers || tables.rate_limits.place.knows_members(now)
}

/// Returns the limits of a workspace, if it has some.
#[must_use]
pub fn limit_of(
    config: Option<&config::NodeConfig>,
    workspace: &str,
) -> Option<rate_limit::RateLimit> {
    let limits = (*config?.workspaces.get(workspace)?)?;
    Some(rate_limit::RateLimit::new(
        limits.rate_per_second,
        limits.burst,
    ))
}

/// Answers the asks of another VM until it closes the stream.
pub async fn serve<E: edge::NodeEdge>(
    tables: rc::Rc<node_tables::NodeTables<E>>,
    mut stream: server::PeerStream,
) {
    let vm = stream.peer_hello.vm.clone();
    let holder = &tables.rate_limits.holder;
    let number = holder.add_stream(&vm);
    if let Err(error) = answer_asks(&tables, &vm, &mut stream).await {
        node_log::debug("limit_stream_ended", &[("vm", &vm), ("reason", &error)]);
    }
    holder.remove_stream(&vm, number);
}

async fn answer_asks<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    vm: &str,
    stream: &mut server::PeerStream,
) -> Result<(), String> {
    loop {
        let next = stream.reader.next::<limit_frame::LimitAsk>().await;
        let Some(frame) = next.map_err(|error| error.to_string())? else {
            return Ok(());
        };
        tables
            .rate_limits
            .holder
            .follow_version(tables, frame.version);
        let reply = |ask: &limit_frame::WorkspaceAsk| {
            let wants = rate_limit::RateAsk {
                wanted: ask.wanted,
                demand: ask.demand,
                admitted: ask.admitted,
                keeps_rate: ask.keeps_rate,
            };
            let holder = &tables.rate_limits.holder;
            holder.grant(tables, vm, &ask.workspace, wants)
        };
        let answer = limit_frame::LimitAnswer {
            replies: frame.asks.iter().map(reply).collect(),
        };
        let sent = stream.writer.send(&answer).await;
        sent.map_err(|error| error.to_string())?;
    }
}
