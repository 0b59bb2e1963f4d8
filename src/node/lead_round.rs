//! [`LeadRound`]: one round of questions whether a group's primary still leads.

use std::rc;

use crate::decide::leadership::{self, LeadVerdict, ListKnowledge, MemberReport, RoleReport};
use crate::model::ids;
use crate::node::{edge, group, limits, node_tables};

/// One round of questions whether a group's primary still leads, and what it shows about the log.
#[derive(Debug)]
pub struct LeadRound {
    group: rc::Rc<group::GroupState>,
    primary: ids::UpstreamId,
    term: ids::TermNumber,
    /// Whether the lead has not been proved for so long that every decision that this VM may have
    /// missed is over, and its successor is listed.
    expired: bool,
    /// What the VM knew about the group when the round began.
    pub list: ListKnowledge,
    /// The other upstreams, and their reports so far.
    pub reports: Vec<MemberReport>,
}

impl LeadRound {
    /// Begins a round about the primary of `term`.
    pub fn begin<E: edge::NodeEdge>(
        tables: &node_tables::NodeTables<E>,
        group: &rc::Rc<group::GroupState>,
        primary: &str,
        term: ids::TermNumber,
    ) -> Self {
        let listed = has_recent_answer(tables);
        let recent = listed && tables.has_complete_list();
        let now = tables.edge.boot_time();
        // All upstreams that were listed earlier may have gone, or one may be out of reach for good.
        let unproved = group.proof.unproved_time(now);
        let expired = recent && unproved > limits::DECISION_EXPIRY;
        let pools = tables.pools_of(&group.group);
        let others = pools.into_iter().filter(|pool| pool.upstream() != primary);
        let reports = others.map(|pool| MemberReport {
            upstream: pool.upstream().clone(),
            leaving: pool.read_entry(|entry| entry.leaving),
            early: expired || group.counted.is_early(pool.upstream()),
            recent: recent || group.counted.contains(pool.upstream(), now),
            listed,
            role: None,
        });
        Self {
            group: rc::Rc::clone(group),
            primary: primary.to_owned(),
            term,
            expired,
            list: ListKnowledge {
                recent,
                vanished: group.counted.has_vanished(),
                deciding: may_end(group, term),
                doubtful: !expired && group.decisions.is_doubtful(term),
            },
            reports: reports.collect(),
        }
    }

    /// Adds the answer of an upstream, or that it did not answer.
    pub fn add(&mut self, index: usize, role: Option<RoleReport>) {
        if let Some(role) = role {
            self.group.record_term(role.term);
        }
        if let Some(report) = self.reports.get_mut(index) {
            report.role = role;
        }
        // A decision may have become known since the round began.
        self.list.deciding |= may_end(&self.group, self.term);
        self.list.doubtful |= !self.expired && self.group.decisions.is_doubtful(self.term);
        let replicated = leadership::replicated_position(self.term, &self.reports, self.list);
        if let Some(position) = replicated
            && self.group.is_primary(&self.primary)
        {
            self.group.proof.record_replicated(position);
        }
    }

    /// Returns the verdict on the reports so far.
    #[must_use]
    pub fn verdict(&self) -> LeadVerdict {
        leadership::judge_primary(self.term, &self.reports, self.list)
    }
}

/// Returns whether a decision may be in progress that ends `term`. One that ended an earlier term
/// may still be open because its VM does not reach the store.
fn may_end(group: &group::GroupState, term: ids::TermNumber) -> bool {
    group
        .decisions
        .open_change(node_tables::monotonic_now())
        .is_some_and(|change| change.ends >= term)
}

/// Returns whether every decision still counts the upstreams in the list: entries that vanish from
/// the store are kept for [`limits::STORE_RETURN_GRACE`].
fn has_recent_answer<E: edge::NodeEdge>(tables: &node_tables::NodeTables<E>) -> bool {
    let age = tables.isolation.store_answer_age(tables.edge.boot_time());
    age < limits::STORE_RETURN_GRACE
}
