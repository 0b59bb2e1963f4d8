//! [`ControlRequest`] and [`ControlReply`]: requests of `persimmonctl` to a keeper or an entry, and
//! their answers.

use std::time;

use serde::{Deserialize, Serialize};

use crate::link::program_report;
use crate::model::{ids, log_position, upstream_state};

/// A statement whose route is to be explained.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainRequest {
    /// User of the login.
    pub user: ids::UserName,
    /// Database.
    pub database: ids::DatabaseName,
    /// The statement.
    pub sql: String,
    /// Log position of the session, if it has one.
    pub position: Option<log_position::LogPosition>,
    /// Greatest age of data that the session accepts, if it set one.
    pub max_age: Option<time::Duration>,
}

/// A request of an operator, or of another process of the system. Entries answer `Explain` and
/// `Cancel`, keepers the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Asks for the state of the deployment as the answering keeper sees it.
    Status,
    /// Asks where a statement would be routed now, and why.
    Explain(ExplainRequest),
    /// Moves the primary of a group, to the named upstream if one is given.
    Promote {
        /// The group.
        group: ids::GroupId,
        /// Upstream that is to become the primary.
        upstream: Option<ids::UpstreamId>,
    },
    /// Forwards a caller's cancel request from one entry to another. Cancels what the session with
    /// this key is running; an unknown key has no effect.
    Cancel {
        /// Process id of the key.
        process: i32,
        /// Secret of the key.
        secret: i32,
    },
}

/// One upstream in a status report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name.
    pub upstream: ids::UpstreamId,
    /// Data centre.
    pub data_centre: ids::DataCentreId,
    /// Whether the keeper's last probe was answered.
    pub reachable: bool,
    /// Whether the upstream is leaving and accepts no new work.
    pub leaving: bool,
    /// Last known state.
    pub state: Option<upstream_state::UpstreamState>,
    /// Number of the primary's log entries that the upstream has not applied.
    pub lag_entries: Option<u64>,
}

/// One group in a status report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Name.
    pub group: ids::GroupId,
    /// Primary of the highest known term.
    pub primary: Option<ids::UpstreamId>,
    /// That term.
    pub term: ids::TermNumber,
    /// VM whose keeper holds the lease for this group.
    pub holder: Option<ids::VmId>,
    /// Members.
    pub upstreams: Vec<UpstreamStatus>,
}

/// One VM in a status report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStatus {
    /// Name.
    pub vm: ids::VmId,
    /// Data centre.
    pub data_centre: ids::DataCentreId,
    /// Whether heartbeats of its keeper arrive.
    pub alive: bool,
    /// Whether it is leaving and accepts no new work.
    pub leaving: bool,
    /// Revision of the rules in force on its keeper.
    pub keeper_revision: ids::RuleRevision,
    /// Revision of the rules in force on its entry, once the entry has reported it.
    pub entry_revision: Option<ids::RuleRevision>,
    /// Revision of the rules in force on its pool, once the pool has reported it.
    pub pool_revision: Option<ids::RuleRevision>,
}

/// The state of the deployment as one keeper sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// VM of the keeper that answers.
    pub vm: ids::VmId,
    /// Whether the platform answered this keeper's last call.
    pub platform_reachable: bool,
    /// Highest known rule revision.
    pub rules_revision: ids::RuleRevision,
    /// Groups.
    pub groups: Vec<GroupStatus>,
    /// VMs.
    pub vms: Vec<VmStatus>,
    /// Reports of the programs on the answering VM, by program name.
    pub programs: Vec<(String, program_report::ProgramReport)>,
}

/// Where a statement is routed, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteExplanation {
    /// Customer that the login belongs to.
    pub customer: ids::CustomerId,
    /// Group that holds the database.
    pub group: ids::GroupId,
    /// `read` or `write`.
    pub access: String,
    /// Chosen upstream, if one is available.
    pub upstream: Option<ids::UpstreamId>,
    /// VM whose pool owns that upstream.
    pub pool: Option<ids::VmId>,
    /// The steps of the routing decision, one sentence each.
    pub steps: Vec<String>,
}

/// The answer to a [`ControlRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlReply {
    /// Answers `Status`.
    Status(StatusReport),
    /// Answers `Explain`.
    Explanation(RouteExplanation),
    /// The request succeeded, with a message for the operator.
    Done(String),
    /// The request failed, with the reason.
    Failed(String),
}
