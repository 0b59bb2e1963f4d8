//! [`WorkspaceHosts`]: the hosts of a group that serve a workspace, as [`host_plan`] chooses them.
//! Without a workspace, every host of the group serves.

use std::cell;
use std::collections;
use std::rc;

use crate::decide::host_plan;
use crate::model::ids;
use crate::node::workspaces::workspace_binding;
use crate::node::{edge, hosts, node_tables};

/// The hosts of a group in the order in which they serve a workspace, and how many of them do.
#[derive(Debug)]
struct RankedHosts {
    ranked: Vec<ids::VmId>,
    count: usize,
}

type GroupRanks = collections::BTreeMap<workspace_binding::WorkspaceBinding, rc::Rc<RankedHosts>>;

/// Cached order of the hosts for each group and workspace.
#[derive(Debug, Default)]
pub struct WorkspaceHosts {
    ranks: cell::RefCell<collections::BTreeMap<ids::GroupId, GroupRanks>>,
}

impl WorkspaceHosts {
    /// Drops what is cached, since the members or the configuration have changed.
    pub fn clear(&self) {
        self.ranks.borrow_mut().clear();
    }

    /// Returns the order for a workspace that the configuration lists.
    fn rank<E: edge::NodeEdge>(
        &self,
        tables: &node_tables::NodeTables<E>,
        group: &str,
        workspace: &workspace_binding::WorkspaceBinding,
    ) -> Option<rc::Rc<RankedHosts>> {
        let name = workspace.name()?;
        let known = self.ranks.borrow().get(group).and_then(|ranks| {
            let ranked = ranks.get(workspace)?;
            Some(rc::Rc::clone(ranked))
        });
        if known.is_some() {
            return known;
        }
        let config = tables.config()?;
        let limits = config.workspaces.get(name)?;
        let rate = |limits: &Option<crate::node::config::WorkspaceLimits>| {
            limits.map(|limits| limits.rate_per_second)
        };
        let rates: Vec<_> = config.workspaces.values().map(rate).collect();
        let hosts = tables.hosts(group);
        let ranked = rc::Rc::new(RankedHosts {
            ranked: host_plan::rank_hosts(group, name, &hosts),
            count: host_plan::count_hosts(rate(limits), &rates, hosts.len()),
        });
        self.ranks
            .borrow_mut()
            .entry(group.to_owned())
            .or_default()
            .insert(workspace.clone(), rc::Rc::clone(&ranked));
        Some(ranked)
    }
}

/// Returns the hosts that serve a workspace now, as this VM sees it.
fn serving<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    ranks: &RankedHosts,
    tried: &[ids::VmId],
) -> Vec<ids::VmId> {
    let has_failed =
        |host: &str| tables.peers.is_unreachable(host) || tried.iter().any(|other| other == host);
    let is_reachable = |host: &str| host == tables.vm || !has_failed(host);
    host_plan::choose_serving(&ranks.ranked, ranks.count, is_reachable)
        .into_iter()
        .cloned()
        .collect()
}

/// Returns whether a host of a group serves a workspace.
#[must_use]
pub fn serves<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    group: &str,
    workspace: &workspace_binding::WorkspaceBinding,
    host: &str,
) -> bool {
    match tables.workspace_hosts.rank(tables, group, workspace) {
        Some(ranks) => serving(tables, &ranks, &[])
            .iter()
            .any(|other| other == host),
        None => tables.hosts(group).iter().any(|other| other == host),
    }
}

/// Returns whether this VM serves a workspace after the hosts that were `tried` in vain.
#[must_use]
pub fn takes_over<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    group: &str,
    workspace: &workspace_binding::WorkspaceBinding,
    tried: &[ids::VmId],
) -> bool {
    tables
        .workspace_hosts
        .rank(tables, group, workspace)
        .is_some_and(|ranks| serving(tables, &ranks, tried).contains(&tables.vm))
}

/// Returns the other hosts of a group to which this VM forwards statements of a workspace, the ones
/// that serve it first, in the order in which this VM prefers them, and then those that would take
/// their place.
#[must_use]
pub fn ordered<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    group: &str,
    workspace: &workspace_binding::WorkspaceBinding,
) -> Vec<ids::VmId> {
    let Some(ranks) = tables.workspace_hosts.rank(tables, group, workspace) else {
        return tables.ordered_hosts(group);
    };
    let data_centre = &tables.own_entry.data_centre;
    let mut ordered = hosts::order_hosts(
        &serving(tables, &ranks, &[]),
        &tables.members(),
        &tables.vm,
        data_centre,
    );
    for host in &ranks.ranked {
        if *host != tables.vm && !ordered.contains(host) {
            ordered.push(host.clone());
        }
    }
    ordered
}
