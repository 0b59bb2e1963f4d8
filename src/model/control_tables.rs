//! [`ControlTables`]: the control state that a keeper sends to the entry and the pool on its VM.

use serde::{Deserialize, Serialize};

use crate::model::{group_spec, ids, vm_record};

/// The control state that entries and pools work with. Each change replaces all of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlTables {
    /// VMs that count as alive; those that are leaving are marked.
    pub vms: Vec<vm_record::VmRecord>,
    /// All groups.
    pub groups: Vec<group_spec::GroupSpec>,
    /// Revision of the rules in `rules_text`.
    pub rules_revision: ids::RuleRevision,
    /// Complete text of the rules file at that revision.
    pub rules_text: String,
}
