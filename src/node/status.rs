//! Serves operators' requests for the status of a node, as `persimmonctl status` shows it.

use std::rc;

use crate::link::{control, program_report, server};
use crate::model::ids;
use crate::node::{edge, group, node_log, node_tables, peers};

/// Answers an operator's request on a stream.
pub async fn answer<E: edge::NodeEdge>(
    tables: rc::Rc<node_tables::NodeTables<E>>,
    mut stream: server::PeerStream,
) {
    let reply = match stream.reader.expect::<control::ControlRequest>().await {
        Ok(control::ControlRequest::Status) => control::ControlReply::Status(report(&tables)),
        Ok(
            control::ControlRequest::Explain(_)
            | control::ControlRequest::Promote { .. }
            | control::ControlRequest::Cancel { .. },
        ) => control::ControlReply::Failed("a node answers status only".to_owned()),
        Err(error) => control::ControlReply::Failed(error.to_string()),
    };
    if let Err(error) = stream.writer.send_last(&reply).await {
        node_log::debug("operator_lost", &[("reason", &error)]);
    }
}

/// Returns the status of this node: the members, groups and upstreams that it knows, and its
/// queues and sessions.
#[must_use]
pub fn report<E: edge::NodeEdge>(tables: &node_tables::NodeTables<E>) -> control::StatusReport {
    let version = tables.config().map_or(0, |config| config.version);
    let vms = tables.members().into_iter().map(|(vm, entry)| {
        let own = (vm == tables.vm).then_some(version);
        control::VmStatus {
            alive: true,
            leaving: false,
            keeper_revision: own.unwrap_or_default(),
            entry_revision: own,
            pool_revision: own,
            data_centre: entry.data_centre,
            vm,
        }
    });
    control::StatusReport {
        vm: tables.vm.clone(),
        platform_reachable: tables.store_available.get(),
        rules_revision: version,
        groups: tables
            .groups()
            .iter()
            .map(|group| group_status(tables, group))
            .collect(),
        vms: vms.collect(),
        programs: vec![(peers::PROGRAM.to_owned(), program(tables, version))],
    }
}

fn group_status<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    group: &group::GroupState,
) -> control::GroupStatus {
    let upstreams = tables.pools_of(&group.group);
    control::GroupStatus {
        group: group.group.clone(),
        primary: group.primary(),
        term: group.term(),
        holder: group.decisions.has_reserved().then(|| tables.vm.clone()),
        upstreams: upstreams
            .iter()
            .map(|pool| {
                let entry = pool.entry();
                control::UpstreamStatus {
                    upstream: entry.upstream,
                    data_centre: entry.data_centre,
                    reachable: !pool.is_suspect(),
                    leaving: entry.leaving,
                    state: None,
                    lag_entries: None,
                }
            })
            .collect(),
    }
}

fn program<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    version: ids::RuleRevision,
) -> program_report::ProgramReport {
    let queues = tables.pools().into_iter().map(|pool| {
        let health = pool.health.get();
        program_report::QueueReport {
            upstream: pool.upstream().clone(),
            waiting: pool.waiting(),
            running: health.running(),
            connections: pool.connections(),
            wait: health.mean_answer_time().unwrap_or_default(),
        }
    });
    program_report::ProgramReport {
        rules_revision: version,
        sessions: u64::from(tables.sessions.get()),
        queues: queues.collect(),
        refusals: Vec::new(),
        retries: Vec::new(),
    }
}
