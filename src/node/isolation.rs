//! [`IsolationState`]: whether this VM is cut off from the upstreams of other data centres.
//!
//! A VM that is cut off reports that it is not ready, so that the load balancer sends new callers
//! to other VMs, and after a delay closes its remaining sessions between two requests.

use std::cell;
use std::rc;
use std::time;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::link::{server, stream_kind};
use crate::node::{edge, limits, node_log, node_tables, pool};

/// Whether this VM is cut off, and whether it may have missed decisions on a primary.
#[derive(Debug, Default)]
pub struct IsolationState {
    cut_off_since: cell::Cell<Option<Instant>>,
    /// The VM knows of every decision only if the store has answered a call that began at or after
    /// this time of [`edge::NodeEdge::boot_time`].
    answer_needed_since: cell::Cell<time::Duration>,
    /// When the latest call that the store answered began.
    last_answered_call: cell::Cell<time::Duration>,
    /// Until this time of [`edge::NodeEdge::boot_time`], a decision that a restored store has lost may be
    /// in progress.
    restored_until: cell::Cell<time::Duration>,
    /// When the connections were last checked, as a time of [`edge::NodeEdge::boot_time`].
    last_check: cell::Cell<Option<time::Duration>>,
    changed: Notify,
}

impl IsolationState {
    /// Returns whether the VM is cut off.
    #[must_use]
    pub const fn is_isolated(&self) -> bool {
        self.cut_off_since.get().is_some()
    }

    /// Waits until a session that began at `started` should be closed between two requests. The
    /// load balancer sends callers to other VMs by then. Sessions that began after that stay open,
    /// since the balancer still sent them here.
    pub async fn await_idle_close(&self, started: Instant) {
        loop {
            let changed = self.changed.notified();
            match self
                .cut_off_since
                .get()
                .map(|since| since + limits::ISOLATED_CLOSE)
            {
                Some(due) if started < due => {
                    tokio::select! {
                        () = tokio::time::sleep_until(due) => return,
                        () = changed => {}
                    }
                }
                _ => changed.await,
            }
        }
    }

    /// Returns whether the VM may have missed a decision on a primary: it was cut off or suspended,
    /// and the store has not answered since, or the store has just been restored. `now` is a time of [`edge::NodeEdge::boot_time`].
    #[must_use]
    pub fn may_have_missed_decisions(&self, now: time::Duration) -> bool {
        let last_check = self.last_check.get();
        let paused =
            last_check.is_some_and(|last_check| now.saturating_sub(last_check) > limits::STALL_GAP);
        paused
            || now < self.restored_until.get()
            || self.last_answered_call.get() < self.answer_needed_since.get()
    }

    /// Records at `now` that the store was restored from a copy. Decisions that it has lost are over
    /// within the time of a decision.
    pub fn record_restore(&self, now: time::Duration) {
        self.restored_until.set(now + limits::DECISION_TIMEOUT);
    }

    /// Returns whether the store has answered a call that began at or after `moment`, a time of
    /// [`edge::NodeEdge::boot_time`].
    #[must_use]
    pub fn has_answer_since(&self, moment: time::Duration) -> bool {
        self.last_answered_call.get() >= moment
    }

    /// Returns how long ago the latest call that the store answered began. `now` is a time of
    /// [`edge::NodeEdge::boot_time`].
    #[must_use]
    pub fn store_answer_age(&self, now: time::Duration) -> time::Duration {
        now.saturating_sub(self.last_answered_call.get())
    }

    /// Records that the store answered a call that was begun at `began_at`, a time of
    /// [`edge::NodeEdge::boot_time`]. Returns whether this VM has thereby caught up on decisions
    /// that it may have missed.
    pub fn record_store_answer(&self, began_at: time::Duration) -> bool {
        let may_have_missed = self.last_answered_call.get() < self.answer_needed_since.get();
        self.last_answered_call
            .set(self.last_answered_call.get().max(began_at));
        let caught_up =
            may_have_missed && self.last_answered_call.get() >= self.answer_needed_since.get();
        if caught_up {
            node_log::info("vm_informed_again", &[]);
        }
        caught_up
    }

    /// Records a check of the connections at `now`; `quiet` means that no other data centre
    /// answers. Returns whether the tables should be refreshed from the store.
    fn record_check(&self, now: time::Duration, quiet: bool) -> bool {
        let last_check = self.last_check.replace(Some(now));
        let paused =
            last_check.is_some_and(|last_check| now.saturating_sub(last_check) > limits::STALL_GAP);
        let may_have_missed_before = self.last_answered_call.get() < self.answer_needed_since.get();
        if paused {
            self.answer_needed_since.set(now);
        } else if quiet {
            let needed_since = now.saturating_sub(limits::MISSED_DECISION_AFTER);
            self.answer_needed_since
                .set(self.answer_needed_since.get().max(needed_since));
        }
        let may_have_missed = self.last_answered_call.get() < self.answer_needed_since.get();
        if may_have_missed && !may_have_missed_before {
            node_log::warn("vm_uninformed", &[("quiet", &quiet), ("paused", &paused)]);
        }
        let stale = now.saturating_sub(self.last_answered_call.get()) > limits::POSITION_INTERVAL;
        may_have_missed || (quiet && stale)
    }

    fn set_connected(&self, connected: bool) {
        if connected == self.cut_off_since.get().is_none() {
            return;
        }
        self.cut_off_since.set((!connected).then(Instant::now));
        self.changed.notify_waiters();
        if connected {
            node_log::info("vm_connected_again", &[]);
        } else {
            node_log::warn("vm_cut_off", &[]);
        }
    }
}

/// Monitors the connections of this VM as long as the node runs.
pub async fn watch<E: edge::NodeEdge>(tables: rc::Rc<node_tables::NodeTables<E>>) {
    loop {
        let connected = match silence(&tables) {
            Some(silence) => {
                let quiet = silence > limits::MISSED_DECISION_AFTER;
                if tables
                    .isolation
                    .record_check(tables.edge.boot_time(), quiet)
                {
                    tables.refresh.notify_one();
                }
                tokio::time::sleep(limits::MONITOR_TICK).await;
                silence < limits::ISOLATED_AFTER
            }
            None => {
                tables.isolation.last_check.set(None);
                tokio::time::sleep(limits::HOST_QUERY_INTERVAL).await;
                query_hosts(&tables).await
            }
        };
        tables.isolation.set_connected(connected);
    }
}

/// Returns the upstreams in other data centres that this VM connects to.
#[must_use]
pub fn remote_pools<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
) -> Vec<rc::Rc<pool::UpstreamPool<E>>> {
    let mut pools = tables.pools();
    pools.retain(|pool| {
        pool.read_entry(|entry| {
            entry.data_centre != tables.own_entry.data_centre && tables.is_host(&entry.group)
        })
    });
    pools
}

/// Returns for how long no upstream in another data centre has answered, or `None` if this VM
/// connects to none.
#[must_use]
pub fn silence<E: edge::NodeEdge>(tables: &node_tables::NodeTables<E>) -> Option<time::Duration> {
    let now = node_tables::monotonic_now();
    let silence_of = |pool: &rc::Rc<pool::UpstreamPool<E>>| {
        let last_answer = pool.health.get().last_answer();
        last_answer.map_or(time::Duration::MAX, |last_answer| {
            now.saturating_sub(last_answer)
        })
    };
    remote_pools(tables).iter().map(silence_of).min()
}

/// Asks the nearest hosts of a group whether they are connected. Returns `true` if no host is known
/// yet: the VM then counts as connected.
async fn query_hosts<E: edge::NodeEdge>(tables: &node_tables::NodeTables<E>) -> bool {
    let groups = tables.groups();
    let Some(group) = groups.first() else {
        return true;
    };
    let hosts = tables.ordered_hosts(&group.group);
    for host in hosts.iter().take(limits::MAX_QUERIED_HOSTS) {
        match tokio::time::timeout(limits::PEER_TIMEOUT, query_host(tables, host)).await {
            Ok(Ok(true)) => return true,
            Ok(Ok(false)) => node_log::debug("host_cut_off", &[("host", host)]),
            Ok(Err(error)) => {
                node_log::debug("host_silent", &[("host", host), ("reason", &error)]);
            }
            Err(elapsed) => {
                node_log::debug("host_silent", &[("host", host), ("reason", &elapsed)]);
                tables.peers.mark_unreachable(host).await;
            }
        }
    }
    hosts.is_empty()
}

async fn query_host<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    host: &str,
) -> Result<bool, String> {
    let kind = stream_kind::StreamKind::Reach;
    tables.peers.ask(tables, host, kind).await
}

/// Answers another VM's query whether this one is connected to other data centres.
pub async fn serve_query<E: edge::NodeEdge>(
    tables: rc::Rc<node_tables::NodeTables<E>>,
    mut stream: server::PeerStream,
) {
    let connected = !tables.isolation.is_isolated();
    if let Err(error) = stream.writer.send_last(&connected).await {
        node_log::debug(
            "peer_lost",
            &[("vm", &stream.peer_hello.vm), ("reason", &error)],
        );
    }
}
