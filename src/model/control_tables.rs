//! [`ControlTables`]: what a keeper hands to the entry and the pool on its VM.

use serde::{Deserialize, Serialize};

use crate::model::{group_spec, ids, vm_record};

/// The control state that entries and pools work with. It is replaced whole at each change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlTables {
    /// VMs believed to be alive, with those that are leaving marked.
    pub vms: Vec<vm_record::VmRecord>,
    /// All groups.
    pub groups: Vec<group_spec::GroupSpec>,
    /// Revision of the rules in `rules_text`.
    pub rules_revision: ids::RuleRevision,
    /// The whole rules file of that revision.
    pub rules_text: String,
}
