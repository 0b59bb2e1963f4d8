//! [`InformedHosts`]: the hosts that were told of a decision, and whether the list of upstreams is from
//! after their replies.
//!
//! A host that was told reports no further commit that the decision may drop. What it has reported
//! before may rest on an upstream that has just joined, so the upstreams are compared by a list that the
//! store gave after all hosts had replied. See `docs/node.md`, "Failover".

use std::collections;
use std::rc;
use std::time;

use crate::model::{ids, log_position};
use crate::node::{edge, group, log_evidence, log_knowledge, node_tables, notices, primary_change};

/// The hosts that were told of a decision, and their replies.
#[derive(Debug)]
pub struct InformedHosts<'a, E: edge::NodeEdge> {
    tables: &'a rc::Rc<node_tables::NodeTables<E>>,
    notice: primary_change::ChangeNotice,
    /// Hosts that the notice was sent to.
    told: collections::BTreeSet<ids::VmId>,
    /// Task that tells the latest of them.
    telling: Option<tokio::task::JoinHandle<notices::NoticeReplies>>,
    replies: Option<notices::NoticeReplies>,
    /// When the latest of them had replied, as a time of [`edge::NodeEdge::boot_time`].
    replied_at: Option<time::Duration>,
}

impl<'a, E: edge::NodeEdge> InformedHosts<'a, E> {
    /// Begins to tell the other hosts of a group.
    pub fn begin(
        tables: &'a rc::Rc<node_tables::NodeTables<E>>,
        notice: primary_change::ChangeNotice,
    ) -> Self {
        let mut informed = Self {
            tables,
            notice,
            told: collections::BTreeSet::new(),
            telling: None,
            replies: None,
            replied_at: None,
        };
        informed.tell(tables.ordered_hosts(&informed.notice.group));
        informed
    }

    /// Returns the highest number of a decision that a host knows.
    #[must_use]
    pub fn latest_decision(&self) -> edge::RevisionNumber {
        self.replies.as_ref().map_or(0, |replies| replies.latest)
    }

    /// Returns what is known about the commits that a successor must hold.
    #[must_use]
    pub fn evidence(&self, group: &group::GroupState) -> log_evidence::LogEvidence {
        let own = group.log_knowledge();
        let mut hosts = own;
        if let Some(replies) = &self.replies {
            hosts.merge(replies.log);
        }
        log_evidence::LogEvidence {
            own,
            hosts,
            complete: self
                .replies
                .as_ref()
                .is_some_and(|replies| replies.complete),
        }
    }

    /// Waits until all hosts have replied or failed to, and a limited time for a list that is from
    /// after that. Hosts that only this list has are told as well.
    ///
    /// # Errors
    ///
    /// Fails if the task that tells them has failed.
    pub async fn await_current_list(
        &mut self,
        group: &group::GroupState,
        deadline: time::Duration,
    ) -> Result<(), String> {
        loop {
            self.await_replies(group).await?;
            let Some(replied_at) = self.replied_at else {
                return Ok(());
            };
            let current = self.tables.await_list_since(replied_at).await;
            let mut hosts = self.tables.ordered_hosts(&self.notice.group);
            hosts.retain(|host| !self.told.contains(host));
            if !current || hosts.is_empty() || self.tables.edge.boot_time() >= deadline {
                return Ok(());
            }
            self.tell(hosts);
        }
    }

    /// Returns whether the list is from after the replies of the hosts. Every upstream that has
    /// confirmed a commit of which a host has told a caller is in it.
    #[must_use]
    pub fn has_current_list(&self) -> bool {
        self.replied_at
            .is_some_and(|replied_at| self.tables.isolation.has_answer_since(replied_at))
    }

    /// Returns whether a log that ends at `received` may be promoted although the store does not give
    /// a current list: it holds whatever the hosts have told, or the store has been away for so long
    /// that every VM without it reports only commits that a listed replica holds. A list of a host that
    /// has another upstream rules both out.
    #[must_use]
    pub fn suffices_without_list(
        &self,
        group: &group::GroupState,
        received: Option<log_position::LogPosition>,
    ) -> bool {
        let Some(replies) = &self.replies else {
            return false;
        };
        let knows = |upstream: &ids::UpstreamId| self.tables.knows_upstream(upstream);
        if !replies.listed.iter().all(knows) {
            return false;
        }
        let now = self.tables.edge.boot_time();
        let noticed = self.outage_noticed_at().is_some_and(|at| now >= at);
        noticed || self.evidence(group).covers_told(received)
    }

    /// Returns when every VM without the store has noticed that, as a time of
    /// [`edge::NodeEdge::boot_time`], while the store does not answer this VM.
    #[must_use]
    pub fn outage_noticed_at(&self) -> Option<time::Duration> {
        let lost_at = self.tables.store_outage_start()?;
        Some(lost_at + self.tables.outage_notice_time())
    }

    fn tell(&mut self, hosts: Vec<ids::VmId>) {
        self.told.extend(hosts.iter().cloned());
        let tables = rc::Rc::clone(self.tables);
        let telling = notices::notify_hosts(tables, self.notice.clone(), hosts);
        self.telling = Some(tokio::task::spawn_local(telling));
    }

    /// Waits for the replies, and records what the hosts know.
    async fn await_replies(&mut self, group: &group::GroupState) -> Result<(), String> {
        let Some(telling) = self.telling.take() else {
            return Ok(());
        };
        let replies = telling.await.map_err(|error| error.to_string())?;
        group.learn(log_knowledge::LogKnowledge {
            acknowledged: None,
            ..replies.log
        });
        match &mut self.replies {
            Some(earlier) => earlier.merge(replies),
            None => self.replies = Some(replies),
        }
        self.replied_at = Some(self.tables.edge.boot_time());
        Ok(())
    }
}
