//! Notifies the other hosts of a group that a decision on its primary has begun.
//!
//! They also learn of it from the store, but the store may be slow or unavailable, and commits that
//! they report as acknowledged in the meantime could be missing on the successor. See
//! `docs/node.md`, "Failover".

use std::collections;
use std::rc;

use futures::future;
use serde::{Deserialize, Serialize};

use crate::link::{server, stream_kind};
use crate::model::ids;
use crate::node::{edge, limits, log_knowledge, node_log, node_tables, primary_change};

/// Reply of a host to a notice. The host tells no caller of a commit that the decision may drop
/// after it has replied.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct NoticeReply {
    /// Latest decision number that it knows.
    latest: edge::RevisionNumber,
    /// What it knows about the group's log.
    log: log_knowledge::LogKnowledge,
    /// Upstreams of the group in its list.
    listed: Vec<ids::UpstreamId>,
}

/// Replies of the other hosts of a group to a notice.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NoticeReplies {
    /// Highest decision number that any of them knows.
    pub latest: edge::RevisionNumber,
    /// What they know about the group's log.
    pub log: log_knowledge::LogKnowledge,
    /// Upstreams of the group in any of their lists.
    pub listed: collections::BTreeSet<ids::UpstreamId>,
    /// Whether all of them have replied.
    pub complete: bool,
}

impl NoticeReplies {
    /// Adds the reply of one host, or that it has not replied.
    fn add(&mut self, reply: Option<NoticeReply>) {
        let Some(reply) = reply else {
            self.complete = false;
            return;
        };
        self.latest = self.latest.max(reply.latest);
        self.log.merge(reply.log);
        self.listed.extend(reply.listed);
    }

    /// Adds the replies of further hosts.
    pub fn merge(&mut self, other: Self) {
        self.latest = self.latest.max(other.latest);
        self.log.merge(other.log);
        self.listed.extend(other.listed);
        self.complete &= other.complete;
    }
}

/// Sends a notice to other hosts, and waits a limited time for their confirmation.
pub async fn notify_hosts<E: edge::NodeEdge>(
    tables: rc::Rc<node_tables::NodeTables<E>>,
    notice: primary_change::ChangeNotice,
    hosts: Vec<ids::VmId>,
) -> NoticeReplies {
    let requests = hosts.iter().map(|host| async {
        let request = notify_host(&tables, host, &notice);
        let result = tokio::time::timeout(limits::NOTICE_TIMEOUT, request)
            .await
            .unwrap_or_else(|elapsed| Err(elapsed.to_string()));
        match result {
            Ok(reply) => Some(reply),
            Err(error) => {
                node_log::info(
                    "notice_unconfirmed",
                    &[
                        ("group", &notice.group),
                        ("decision", &notice.number),
                        ("vm", host),
                        ("reason", &error),
                    ],
                );
                None
            }
        }
    });
    let mut replies = NoticeReplies {
        complete: true,
        ..NoticeReplies::default()
    };
    for reply in future::join_all(requests).await {
        replies.add(reply);
    }
    replies
}

async fn notify_host<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    host: &str,
    notice: &primary_change::ChangeNotice,
) -> Result<NoticeReply, String> {
    let kind = stream_kind::StreamKind::Lead;
    tables.peers.exchange(tables, host, kind, notice).await
}

/// Records a decision of another VM, and replies with what this VM knows.
pub async fn serve_notice<E: edge::NodeEdge>(
    tables: rc::Rc<node_tables::NodeTables<E>>,
    mut stream: server::PeerStream,
) {
    let vm = stream.peer_hello.vm.clone();
    let notice = match stream.reader.expect::<primary_change::ChangeNotice>().await {
        Ok(notice) => notice,
        Err(error) => {
            node_log::debug("peer_lost", &[("vm", &vm), ("reason", &error)]);
            return;
        }
    };
    let group = tables.group(&notice.group);
    let is_news = notice.number > group.decisions.latest();
    let opened =
        group
            .decisions
            .open_decision(notice.number, notice.change, node_tables::monotonic_now());
    if is_news || !opened {
        node_log::info(
            "decision_told",
            &[
                ("group", &group.group),
                ("decision", &notice.number),
                ("vm", &vm),
                ("latest", &group.decisions.latest()),
            ],
        );
    }
    let pools = tables.pools_of(&group.group);
    let reply = NoticeReply {
        latest: group.decisions.latest(),
        log: group.log_knowledge(),
        listed: pools.iter().map(|pool| pool.upstream().clone()).collect(),
    };
    if let Err(error) = stream.writer.send_last(&reply).await {
        node_log::debug("peer_lost", &[("vm", &vm), ("reason", &error)]);
    }
}
