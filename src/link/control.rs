//! [`ControlRequest`] and [`ControlReply`]: what `persimmonctl` asks a keeper or an entry.

use std::time;

use serde::{Deserialize, Serialize};

use crate::link::program_report;
use crate::model::{ids, log_position, upstream_state};

/// A statement whose route is to be explained.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainRequest {
    /// Login user.
    pub user: ids::UserName,
    /// Database.
    pub database: ids::DatabaseName,
    /// The statement.
    pub sql: String,
    /// Position that the session carries.
    pub position: Option<log_position::LogPosition>,
    /// Age that the session accepts.
    pub max_age: Option<time::Duration>,
}

/// An operator's request, or another entry's. `Explain` and `Cancel` are answered by entries, the
/// others by keepers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// The whole state as this keeper sees it.
    Status,
    /// Where a statement would go now, and why.
    Explain(ExplainRequest),
    /// Moves the primary of a group, to the named upstream if one is given.
    Promote {
        /// The group.
        group: ids::GroupId,
        /// The wanted primary.
        upstream: Option<ids::UpstreamId>,
    },
    /// Cancels what the session with this key runs now, as the caller's cancel request asks. Entry
    /// to entry; a wrong key does nothing.
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
    /// Whether the upstream takes no new work.
    pub leaving: bool,
    /// Last state known.
    pub state: Option<upstream_state::UpstreamState>,
    /// Log entries that the upstream has not applied, counted against the primary.
    pub lag_entries: Option<u64>,
}

/// One group in a status report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Name.
    pub group: ids::GroupId,
    /// Primary of the highest term seen.
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
    /// Whether its keeper is heard from.
    pub alive: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Rules in force on its keeper.
    pub keeper_revision: ids::RuleRevision,
    /// Rules in force on its entry, once heard from.
    pub entry_revision: Option<ids::RuleRevision>,
    /// Rules in force on its pool, once heard from.
    pub pool_revision: Option<ids::RuleRevision>,
}

/// The state as one keeper sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// VM of the keeper that answers.
    pub vm: ids::VmId,
    /// Whether the platform answered this keeper's last call.
    pub platform_reachable: bool,
    /// Highest rule revision known.
    pub rules_revision: ids::RuleRevision,
    /// Groups.
    pub groups: Vec<GroupStatus>,
    /// VMs.
    pub vms: Vec<VmStatus>,
    /// Reports of the programs on the answering VM, by program name.
    pub programs: Vec<(String, program_report::ProgramReport)>,
}

/// Where a statement goes, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteExplanation {
    /// Customer of the login.
    pub customer: ids::CustomerId,
    /// Group that holds the database.
    pub group: ids::GroupId,
    /// `read` or `write`.
    pub access: String,
    /// Chosen upstream, if there is one now.
    pub upstream: Option<ids::UpstreamId>,
    /// VM whose pool owns that upstream.
    pub pool: Option<ids::VmId>,
    /// The steps of the decision, one sentence each.
    pub steps: Vec<String>,
}

/// The answer to a [`ControlRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlReply {
    /// Answers `Status`.
    Status(StatusReport),
    /// Answers `Explain`.
    Explanation(RouteExplanation),
    /// The request was carried out.
    Done(String),
    /// The request failed, and why.
    Failed(String),
}
