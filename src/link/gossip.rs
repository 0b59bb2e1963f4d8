//! [`GossipFrame`]: what keepers tell each other.

use serde::{Deserialize, Serialize};

use crate::decide::{membership, rule_log};
use crate::model::{group_spec, ids, vm_record};

/// Tables for a keeper that has not reached the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipTables {
    /// Every VM known.
    pub vms: Vec<vm_record::VmRecord>,
    /// All groups.
    pub groups: Vec<group_spec::GroupSpec>,
}

/// One step of an exchange. The caller sends its digest; the answer is the peer's digest with what
/// the caller lacks; if the peer lacks rules, the caller sends one more frame with them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipFrame {
    /// Signs of life.
    pub pulses: Vec<membership::MemberPulse>,
    /// Rules in force on the sender.
    pub rules_revision: ids::RuleRevision,
    /// True if the sender has no tables or hears VMs whose addresses it does not know.
    pub wants_tables: bool,
    /// Tables, if the receiver wanted them.
    pub tables: Option<GossipTables>,
    /// Rules, if the receiver lacks some.
    pub rules: Option<rule_log::RuleUpdate>,
}
