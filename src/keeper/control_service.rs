//! [`ControlService`]: answers operators' requests for the status of the deployment and for planned
//! moves of a primary.

use std::collections;
use std::sync;

use crate::decide::{failover_event, lease};
use crate::dial;
use crate::event;
use crate::keeper::group_supervisor;
use crate::keeper::settings;
use crate::link::{client, control, hello, link_error, server, stream_kind};
use crate::model::{control_tables, ids, vm_record};
use crate::shared_state::keeper_state;

/// Answers requests on `Control` streams. Cheap to clone.
#[derive(Clone, Debug)]
pub struct ControlService {
    /// Control state of the keeper.
    pub state: sync::Arc<keeper_state::KeeperState>,
    /// Workers of the groups in which this keeper has a rank.
    pub groups: group_supervisor::GroupSupervisor,
    /// Dialer for connections to other keepers.
    pub dialer: dial::TcpDialer,
    /// Hello message that the keeper sends on new links.
    pub hello: hello::Hello,
}

impl ControlService {
    /// Reads one request from a stream and answers it.
    ///
    /// # Errors
    ///
    /// Fails if the link breaks.
    pub async fn serve(&self, mut stream: server::PeerStream) -> Result<(), link_error::LinkError> {
        let request: control::ControlRequest = stream.reader.expect().await?;
        // A request from another keeper is not forwarded, so that requests cannot circulate.
        let from_keeper = stream.peer_hello.program == settings::PROGRAM;
        let reply = match request {
            control::ControlRequest::Status => {
                let mut report = self.local_status();
                if !from_keeper {
                    self.add_remote_groups(&mut report).await;
                }
                control::ControlReply::Status(report)
            }
            control::ControlRequest::Promote { group, upstream } => {
                self.promote(group, upstream, from_keeper).await
            }
            control::ControlRequest::Explain(_) | control::ControlRequest::Cancel { .. } => {
                control::ControlReply::Failed("a keeper routes nothing; ask an entry".to_owned())
            }
        };
        stream.writer.send_last(&reply).await
    }

    fn current_tables(&self) -> sync::Arc<control_tables::ControlTables> {
        self.state.follow().borrow().clone()
    }

    fn local_status(&self) -> control::StatusReport {
        let now = self.state.now();
        let own_revisions = self.state.own_revisions();
        let members = self.state.members();
        let vms = members
            .records()
            .into_iter()
            .map(|record| {
                let pulse = members.pulse(&record.vm);
                let revisions = if record.vm == self.state.own() {
                    own_revisions
                } else {
                    pulse.map(|pulse| pulse.revisions).unwrap_or_default()
                };
                control::VmStatus {
                    alive: members.is_alive(&record.vm, now),
                    leaving: record.leaving || pulse.is_some_and(|pulse| pulse.leaving),
                    vm: record.vm,
                    data_centre: record.data_centre,
                    keeper_revision: revisions.keeper,
                    entry_revision: revisions.entry,
                    pool_revision: revisions.pool,
                }
            })
            .collect();
        drop(members);
        let programs = self.state.programs().clone().into_iter().collect();
        let groups = self.state.statuses().values().cloned().collect();
        control::StatusReport {
            vm: self.state.own().to_owned(),
            platform_reachable: self.state.platform_reachable(),
            rules_revision: own_revisions.keeper,
            groups,
            vms,
            programs,
        }
    }

    /// Adds the status of the groups that this keeper does not probe, read from keepers that do.
    async fn add_remote_groups(&self, report: &mut control::StatusReport) {
        let tables = self.current_tables();
        let mut known_groups: collections::BTreeSet<ids::GroupId> = report
            .groups
            .iter()
            .map(|group| group.group.clone())
            .collect();
        for group in &tables.groups {
            if known_groups.contains(&group.group) {
                continue;
            }
            for record in self.probing_vms(&group.group, &tables) {
                let answer = self
                    .send_request(&record, &control::ControlRequest::Status)
                    .await;
                let Ok(control::ControlReply::Status(remote)) = answer else {
                    continue;
                };
                for status in remote.groups {
                    if known_groups.insert(status.group.clone()) {
                        report.groups.push(status);
                    }
                }
                if known_groups.contains(&group.group) {
                    break;
                }
            }
        }
        report
            .groups
            .sort_by(|left, right| left.group.cmp(&right.group));
    }

    fn probing_vms(
        &self,
        group: &str,
        tables: &control_tables::ControlTables,
    ) -> Vec<vm_record::VmRecord> {
        let holder = self.state.holder(lease::shard_of(group));
        lease::acting_order(group, &tables.vms, holder.as_deref())
            .into_iter()
            .filter(|vm| vm != self.state.own())
            .filter_map(|vm| tables.vms.iter().find(|record| record.vm == vm).cloned())
            .collect()
    }

    async fn promote(
        &self,
        group: ids::GroupId,
        target: Option<ids::UpstreamId>,
        from_keeper: bool,
    ) -> control::ControlReply {
        let tables = self.current_tables();
        let Some(spec) = tables.groups.iter().find(|spec| spec.group == group) else {
            return control::ControlReply::Failed(format!("group {group} does not exist"));
        };
        if let Some(target) = &target
            && !spec
                .upstreams
                .iter()
                .any(|upstream| upstream.upstream == *target)
        {
            return control::ControlReply::Failed(format!(
                "group {group} has no upstream {target}"
            ));
        }
        event::info("move_requested", &[("group", &group)]);
        if let Some(outcome) = self.groups.move_primary(&group, target.clone()).await {
            return match outcome {
                failover_event::MoveOutcome::Done(upstream) => control::ControlReply::Done(
                    format!("{upstream} is the primary of group {group}"),
                ),
                failover_event::MoveOutcome::Failed(cause) => control::ControlReply::Failed(cause),
            };
        }
        if !from_keeper {
            let request = control::ControlRequest::Promote {
                group: group.clone(),
                upstream: target,
            };
            let mut failures = Vec::new();
            for record in self.probing_vms(&group, &tables) {
                match self.send_request(&record, &request).await {
                    Ok(reply) => return reply,
                    Err(error) => failures.push(error.to_string()),
                }
            }
            return control::ControlReply::Failed(format!(
                "no keeper of group {group} answered: {}",
                failures.join("; ")
            ));
        }
        control::ControlReply::Failed(format!("this keeper does not act for group {group}"))
    }

    async fn send_request(
        &self,
        record: &vm_record::VmRecord,
        request: &control::ControlRequest,
    ) -> Result<control::ControlReply, link_error::LinkError> {
        let link = client::PeerClient::connect(&self.dialer, record.keeper, &self.hello).await?;
        let (mut writer, mut reader) = link.open(stream_kind::StreamKind::Control).await?;
        writer.send_last(request).await?;
        reader.expect().await
    }
}
