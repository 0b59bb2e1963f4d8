//! [`GossipFrame`]: the message of the gossip between keepers.

use serde::{Deserialize, Serialize};

use crate::decide::{membership, rule_log};
use crate::model::{group_spec, ids, vm_record};

/// Control tables for a keeper that has not reached the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipTables {
    /// All known VMs.
    pub vms: Vec<vm_record::VmRecord>,
    /// All groups.
    pub groups: Vec<group_spec::GroupSpec>,
}

/// One message of an exchange.
///
/// The caller sends the heartbeats that it knows, or complete pulses on a new connection. The
/// answer has the heartbeats that are newer, and the rules and tables that the caller lacks. If
/// either side lacks pulses, or the peer lacks rules or tables, the caller sends one more frame.
/// The peer answers that frame if it asks for pulses.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipFrame {
    /// Heartbeats that have advanced.
    pub beats: Vec<membership::MemberBeat>,
    /// Complete pulses.
    pub pulses: Vec<membership::MemberPulse>,
    /// Keys of received heartbeats whose pulse the sender does not have.
    pub lacks: Vec<membership::PulseKey>,
    /// Revision of the rules in force on the sender.
    pub rules_revision: ids::RuleRevision,
    /// True if the sender has no tables, or receives heartbeats of VMs whose addresses it does not
    /// know.
    pub wants_tables: bool,
    /// Tables, if the receiver asked for them.
    pub tables: Option<GossipTables>,
    /// Rule changes that the receiver lacks.
    pub rules: Option<rule_log::RuleUpdate>,
}
