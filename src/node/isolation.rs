//! [`IsolationState`]: whether this VM is cut off from the upstreams of other data centres.
//!
//! A VM that is cut off says that it is not ready, so that the balancer sends its callers elsewhere,
//! and after a while closes the sessions that it still has between their requests.

use std::cell;
use std::rc;
use std::time;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::link::{server, stream_kind};
use crate::node::{edge, limits, node_log, node_tables, pool};

/// Whether this VM is cut off.
#[derive(Debug, Default)]
pub struct IsolationState {
    since: cell::Cell<Option<Instant>>,
    /// Time since which the store has to have answered for this VM to know of every decision; a time
    /// of [`edge::NodeEdge::boot_time`].
    owed: cell::Cell<time::Duration>,
    /// When the last call that the store has answered began.
    answered: cell::Cell<time::Duration>,
    /// When the connections were last looked at, by [`edge::NodeEdge::boot_time`].
    looked: cell::Cell<Option<time::Duration>>,
    changed: Notify,
}

impl IsolationState {
    /// Tells whether the VM is cut off.
    #[must_use]
    pub const fn is_isolated(&self) -> bool {
        self.since.get().is_some()
    }

    /// Completes when a session that began at `started` is to be closed between two requests: the
    /// balancer has sent new callers elsewhere by then. Later sessions stay, since it did not.
    pub async fn closes_idle(&self, started: Instant) {
        loop {
            let changed = self.changed.notified();
            match self.since.get().map(|since| since + limits::ISOLATED_CLOSE) {
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

    /// Tells whether the VM may have missed a decision on a primary: it was cut off, or did not run,
    /// and the store has not answered since. `now` is a time of [`edge::NodeEdge::boot_time`].
    #[must_use]
    pub fn is_uninformed(&self, now: time::Duration) -> bool {
        let looked = self.looked.get();
        let paused = looked.is_some_and(|looked| now.saturating_sub(looked) > limits::STALL_GAP);
        paused || self.answered.get() < self.owed.get()
    }

    /// Notes that the store has answered a call that began at `asked`, a time of
    /// [`edge::NodeEdge::boot_time`]. Returns whether this VM is informed again by it.
    pub fn note_answer(&self, asked: time::Duration) -> bool {
        let uninformed = self.answered.get() < self.owed.get();
        self.answered.set(self.answered.get().max(asked));
        let informed = uninformed && self.answered.get() >= self.owed.get();
        if informed {
            node_log::info("vm_informed_again", &[]);
        }
        informed
    }

    /// Notes a look at the connections at `now`; `quiet` says that no other data centre answers.
    /// Returns whether the store should be asked.
    fn note_look(&self, now: time::Duration, quiet: bool) -> bool {
        let looked = self.looked.replace(Some(now));
        let paused = looked.is_some_and(|looked| now.saturating_sub(looked) > limits::STALL_GAP);
        let before = self.answered.get() < self.owed.get();
        if paused {
            self.owed.set(now);
        } else if quiet {
            let owed = now.saturating_sub(limits::DOUBT_AFTER);
            self.owed.set(self.owed.get().max(owed));
        }
        let uninformed = self.answered.get() < self.owed.get();
        if uninformed && !before {
            node_log::warn("vm_uninformed", &[("quiet", &quiet), ("paused", &paused)]);
        }
        let stale = now.saturating_sub(self.answered.get()) > limits::POSITION_INTERVAL;
        uninformed || (quiet && stale)
    }

    fn note(&self, connected: bool) {
        if connected == self.since.get().is_none() {
            return;
        }
        self.since.set((!connected).then(Instant::now));
        self.changed.notify_waiters();
        if connected {
            node_log::info("vm_connected_again", &[]);
        } else {
            node_log::warn("vm_cut_off", &[]);
        }
    }
}

/// Watches the connections of this VM as long as the node runs.
pub async fn watch<E: edge::NodeEdge>(tables: rc::Rc<node_tables::NodeTables<E>>) {
    loop {
        let connected = match silence(&tables) {
            Some(silence) => {
                let quiet = silence > limits::DOUBT_AFTER;
                if tables.isolation.note_look(tables.edge.boot_time(), quiet) {
                    tables.refresh.notify_one();
                }
                tokio::time::sleep(limits::MONITOR_TICK).await;
                silence < limits::ISOLATED_AFTER
            }
            None => {
                tables.isolation.looked.set(None);
                tokio::time::sleep(limits::ASK_INTERVAL).await;
                ask_hosts(&tables).await
            }
        };
        tables.isolation.note(connected);
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
            entry.data_centre != tables.own.data_centre && tables.is_host(&entry.group)
        })
    });
    pools
}

/// Returns for how long no upstream in another data centre has answered. Returns nothing if this
/// VM connects to none.
#[must_use]
pub fn silence<E: edge::NodeEdge>(tables: &node_tables::NodeTables<E>) -> Option<time::Duration> {
    let now = node_tables::steady_now();
    let heard_of = |pool: &rc::Rc<pool::UpstreamPool<E>>| {
        let heard = pool.health.get().heard();
        heard.map_or(time::Duration::MAX, |heard| now.saturating_sub(heard))
    };
    remote_pools(tables).iter().map(heard_of).min()
}

/// Asks the nearest hosts whether they are connected. A VM that does not know any yet counts as
/// connected, since it can only wait.
async fn ask_hosts<E: edge::NodeEdge>(tables: &node_tables::NodeTables<E>) -> bool {
    let groups = tables.groups();
    let Some(group) = groups.first() else {
        return true;
    };
    let hosts = tables.ordered_hosts(&group.group);
    for host in hosts.iter().take(limits::ASKED_HOSTS) {
        match tokio::time::timeout(limits::PEER_TIMEOUT, ask(tables, host)).await {
            Ok(Ok(true)) => return true,
            Ok(Ok(false)) => node_log::debug("host_cut_off", &[("host", host)]),
            Ok(Err(error)) => {
                node_log::debug("host_silent", &[("host", host), ("reason", &error)]);
            }
            Err(elapsed) => {
                node_log::debug("host_silent", &[("host", host), ("reason", &elapsed)]);
                tables.peers.distrust(host).await;
            }
        }
    }
    hosts.is_empty()
}

async fn ask<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    host: &str,
) -> Result<bool, String> {
    let client = tables.peers.connect(tables, host).await?;
    let (mut writer, mut reader) = client
        .open(stream_kind::StreamKind::Reach)
        .await
        .map_err(|error| error.to_string())?;
    writer.finish().map_err(|error| error.to_string())?;
    reader.expect().await.map_err(|error| error.to_string())
}

/// Tells another VM whether this one is connected.
pub async fn answer<E: edge::NodeEdge>(
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
