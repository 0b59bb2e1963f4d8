//! Asks the other hosts of a group for their lists of its upstreams, while the store does not
//! answer this VM.
//!
//! A proof that the primary leads may rest on one upstream that is not fenced, if every VM that
//! could decide counts that upstream. See `docs/node.md`, "Who leads".

use std::rc;
use std::time;

use futures::future;
use serde::{Deserialize, Serialize};

use crate::link::{server, stream_kind};
use crate::model::ids;
use crate::node::{edge, group, limits, node_log, node_tables, primary_change};

/// What a host knows about a group.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct GroupReport {
    /// Upstreams in its list.
    upstreams: Vec<ids::UpstreamId>,
    /// How long ago the latest call began that the store has answered.
    store_age: time::Duration,
    /// Number of the latest decision that it knows.
    latest: edge::RevisionNumber,
    /// Effect of that decision, if it may still be in progress.
    change: Option<primary_change::PrimaryChange>,
    /// Last term that a decision may have ended which is over, and whose outcome the host does not
    /// know.
    doubtful: ids::TermNumber,
}

/// Asks the other hosts in the background, unless that is under way or was done a moment ago.
pub fn spawn_query<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    group: &rc::Rc<group::GroupState>,
) {
    let now = tables.edge.boot_time();
    if !group.counted.begin_query(now) {
        return;
    }
    let tables = rc::Rc::clone(tables);
    let group = rc::Rc::clone(group);
    tokio::task::spawn_local(async move {
        query_hosts(&tables, &group, now).await;
        group.counted.end_query();
    });
}

/// Asks the other hosts, and records which upstreams all VMs that could decide count.
async fn query_hosts<E: edge::NodeEdge>(
    tables: &rc::Rc<node_tables::NodeTables<E>>,
    group: &rc::Rc<group::GroupState>,
    asked_at: time::Duration,
) {
    let hosts = tables.ordered_hosts(&group.group);
    let queries = hosts.iter().map(|host| async move {
        let query = query_host(tables, host, &group.group);
        tokio::time::timeout(limits::NOTICE_TIMEOUT, query)
            .await
            .unwrap_or_else(|elapsed| Err(elapsed.to_string()))
            .map_err(|error| (host, error))
    });
    let mut reports: Vec<GroupReport> = Vec::new();
    let mut complete = true;
    for result in future::join_all(queries).await {
        match result {
            Ok(report) => reports.push(report),
            Err((host, error)) => {
                complete = false;
                node_log::debug("host_silent", &[("host", host), ("reason", &error)]);
            }
        }
    }
    for report in &reports {
        record_decision(group, report);
    }
    for upstream in reports.iter().flat_map(|report| &report.upstreams) {
        let lists = |report: &&GroupReport| report.upstreams.contains(upstream);
        let grace = limits::STORE_RETURN_GRACE;
        let youngest = reports
            .iter()
            .filter(lists)
            .map(|report| report.store_age)
            .min();
        // An entry is kept for a while after it vanished from the store. Hosts that do not reach
        // the store either keep all entries.
        let by_store = youngest.and_then(|age| (asked_at + grace).checked_sub(age));
        let by_all =
            (complete && reports.iter().all(|report| lists(&report))).then_some(asked_at + grace);
        if let Some(until) = by_store.max(by_all) {
            group.counted.record(upstream, until);
        }
    }
}

/// Records the latest decision that a host knows, if this VM has not heard of it.
fn record_decision(group: &group::GroupState, report: &GroupReport) {
    if report.latest <= group.decisions.latest() {
        return;
    }
    let now = node_tables::monotonic_now();
    let purpose = match &report.change {
        Some(change) => edge::ClaimPurpose::Now(change.clone()),
        None => edge::ClaimPurpose::Ended,
    };
    let decisions = &group.decisions;
    decisions.record_claim_of_peer(report.latest, &purpose, report.doubtful, now);
}

async fn query_host<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    host: &str,
    group: &ids::GroupId,
) -> Result<GroupReport, String> {
    let kind = stream_kind::StreamKind::Group;
    tables.peers.exchange(tables, host, kind, group).await
}

/// Answers another VM's question about a group.
pub async fn serve_query<E: edge::NodeEdge>(
    tables: rc::Rc<node_tables::NodeTables<E>>,
    mut stream: server::PeerStream,
) {
    let vm = stream.peer_hello.vm.clone();
    let group = match stream.reader.expect::<ids::GroupId>().await {
        Ok(group) => tables.group(&group),
        Err(error) => {
            node_log::debug("peer_lost", &[("vm", &vm), ("reason", &error)]);
            return;
        }
    };
    let pools = tables.pools_of(&group.group);
    let report = GroupReport {
        upstreams: pools.iter().map(|pool| pool.upstream().clone()).collect(),
        store_age: tables.isolation.store_answer_age(tables.edge.boot_time()),
        latest: group.decisions.latest(),
        change: group.decisions.open_change(node_tables::monotonic_now()),
        doubtful: group.decisions.doubtful_term(),
    };
    if let Err(error) = stream.writer.send_last(&report).await {
        node_log::debug("peer_lost", &[("vm", &vm), ("reason", &error)]);
    }
}
