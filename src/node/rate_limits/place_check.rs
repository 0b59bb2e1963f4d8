//! [`PlaceCheck`]: asks other VMs whether one may have taken this VM's place as a holder of token buckets.
//!
//! Only while the store does not answer, or this VM has just started. See `docs/design/rate-limits.md`.

use std::cell;
use std::rc;
use std::time;

use futures::future;
use serde::{Deserialize, Serialize};

use crate::decide::{ownership, place_evidence};
use crate::link::{server, stream_kind};
use crate::model::ids;
use crate::node::{edge, node_log, node_tables};

/// Period of the checks.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Period at which it is looked whether a check is needed.
const TICK: time::Duration = time::Duration::from_millis(100);
/// Time within which a VM has to answer.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(200);
/// Age from which on a result does not count.
const MAX_AGE: time::Duration = time::Duration::from_millis(1_000);
/// Number of VMs that are asked if there are more.
const MAX_ASKED: usize = 8;
/// Key of the hash of the members.
const MEMBERS_KEY: &str = "members";

/// What a VM says of the place of the one that asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PlaceReport {
    reaches_store: bool,
    lists_caller: bool,
    entry_vanished: bool,
    established: bool,
    /// Hash of the members that it counts.
    members: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct CheckResult {
    checked_at: time::Duration,
    evidence: place_evidence::PlaceEvidence,
    knows_members: bool,
}

/// The latest answers of other VMs.
#[derive(Debug, Default)]
pub struct PlaceCheck {
    latest: cell::Cell<Option<CheckResult>>,
    /// Whether this VM, which has just started, may take over buckets.
    may_take_over: cell::Cell<bool>,
}

impl PlaceCheck {
    /// Returns what the others say of this VM's place. `now` is a time of
    /// [`edge::NodeEdge::boot_time`].
    #[must_use]
    pub fn evidence(&self, now: time::Duration) -> place_evidence::PlaceEvidence {
        self.recent(now).evidence
    }

    /// Returns whether this VM knows the members although the store does not answer it. `now` is as
    /// above.
    #[must_use]
    pub fn knows_members(&self, now: time::Duration) -> bool {
        self.recent(now).knows_members
    }

    fn recent(&self, now: time::Duration) -> CheckResult {
        let is_recent = |result: &CheckResult| now.saturating_sub(result.checked_at) <= MAX_AGE;
        self.latest.get().filter(is_recent).unwrap_or_default()
    }

    /// Returns whether this VM may take over buckets although it has just started.
    #[must_use]
    pub const fn may_take_over(&self) -> bool {
        self.may_take_over.get()
    }

    fn record(&self, now: time::Duration, views: &[Option<place_evidence::PlaceView>]) {
        let evidence = place_evidence::PlaceEvidence::judge(views);
        let before = self.evidence(now);
        self.latest.set(Some(CheckResult {
            checked_at: now,
            evidence,
            knows_members: place_evidence::knows_members(views),
        }));
        self.may_take_over
            .set(self.may_take_over.get() || place_evidence::may_take_over(views));
        if evidence != before {
            let answers = views.iter().flatten().count();
            node_log::info(
                "limit_place_checked",
                &[
                    ("evidence", &evidence),
                    ("asked", &views.len()),
                    ("answers", &answers),
                ],
            );
        }
    }
}

/// Checks this VM's place as long as the node runs.
pub async fn run<E: edge::NodeEdge>(tables: rc::Rc<node_tables::NodeTables<E>>) {
    loop {
        tokio::time::sleep(TICK).await;
        let limited = tables
            .config()
            .is_some_and(|config| config.workspaces.values().any(Option::is_some));
        let settled = tables.has_complete_list() || tables.rate_limits.place.may_take_over();
        if !limited || (tables.store_available.get() && settled) {
            continue;
        }
        let views = ask_others(&tables).await;
        let now = tables.edge.boot_time();
        tables.rate_limits.place.record(now, &views);
        if settled {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}

async fn ask_others<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
) -> Vec<Option<place_evidence::PlaceView>> {
    let mut others: Vec<_> = tables.members().into_keys().collect();
    others.retain(|vm| *vm != tables.vm);
    others.sort_by_cached_key(|vm| ownership::score(&tables.vm, vm));
    others.truncate(MAX_ASKED);
    let own_members = hash_members(tables);
    let queries = others.iter().map(|vm| async move {
        let query = ask(tables, vm);
        let report = tokio::time::timeout(ANSWER_TIMEOUT, query).await.ok()?;
        let report = report
            .inspect_err(|error| {
                node_log::debug("vm_silent", &[("vm", vm), ("reason", error)]);
            })
            .ok()?;
        Some(place_evidence::PlaceView {
            reaches_store: report.reaches_store,
            lists_caller: report.lists_caller,
            entry_vanished: report.entry_vanished,
            established: report.established,
            same_members: report.members == own_members,
        })
    });
    future::join_all(queries).await
}

async fn ask<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    vm: &str,
) -> Result<PlaceReport, String> {
    let kind = stream_kind::StreamKind::Place;
    tables.peers.ask(tables, vm, kind).await
}

/// Answers another VM that asks for its place.
pub async fn serve<E: edge::NodeEdge>(
    tables: rc::Rc<node_tables::NodeTables<E>>,
    mut stream: server::PeerStream,
) {
    let vm = stream.peer_hello.vm.clone();
    let report = PlaceReport {
        reaches_store: tables.store_available.get(),
        lists_caller: tables.is_member(&vm),
        entry_vanished: tables.vanished_members.borrow().contains(&vm),
        established: tables.has_complete_list(),
        members: hash_members(&tables),
    };
    if let Err(error) = stream.writer.send_last(&report).await {
        node_log::debug("peer_lost", &[("vm", &vm), ("reason", &error)]);
    }
}

/// Returns a hash of the members that does not depend on their order.
fn hash_members<E: edge::NodeEdge>(tables: &node_tables::NodeTables<E>) -> u64 {
    let hash = |vm: &ids::VmId| ownership::score(MEMBERS_KEY, vm);
    let mut members = tables.members();
    members
        .entry(tables.vm.clone())
        .or_insert_with(|| tables.own_entry.clone());
    members.keys().map(hash).fold(0, u64::wrapping_add)
}
