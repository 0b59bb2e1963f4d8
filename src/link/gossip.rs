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

/// One step of an exchange. The caller sends the heartbeats that it knows, or whole pulses on a new
/// connection; the answer has the heartbeats beyond them, and what the caller lacks. If either side
/// lacks whole pulses or the peer lacks rules, the caller sends one more frame, and the peer answers
/// it if it asks for pulses.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipFrame {
    /// Heartbeats that moved.
    pub beats: Vec<membership::MemberBeat>,
    /// Whole signs of life.
    pub pulses: Vec<membership::MemberPulse>,
    /// Keys of heartbeats received of which the sender has no whole pulse.
    pub lacks: Vec<membership::PulseKey>,
    /// Rules in force on the sender.
    pub rules_revision: ids::RuleRevision,
    /// True if the sender has no tables or hears VMs whose addresses it does not know.
    pub wants_tables: bool,
    /// Tables, if the receiver wanted them.
    pub tables: Option<GossipTables>,
    /// Rules, if the receiver lacks some.
    pub rules: Option<rule_log::RuleUpdate>,
}
