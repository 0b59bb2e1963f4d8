//! [`Hello`]: the first message on every link, in both directions.

use serde::{Deserialize, Serialize};

use crate::model::ids;

/// Version of the protocol between the system's processes. It changes with every incompatible
/// change of a message, and a process refuses a peer of another version.
pub const PROTOCOL_VERSION: u32 = 7;

/// Identifies the process at one end of a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub protocol_version: u32,
    /// VM of the sender; empty for `persimmonctl`.
    pub vm: ids::VmId,
    /// Program of the sender.
    pub program: String,
}

impl Hello {
    /// Creates the hello message of this build.
    #[must_use]
    pub fn new(vm: &str, program: &str) -> Self {
        Self {
            protocol_version: PROTOCOL_VERSION,
            vm: vm.to_owned(),
            program: program.to_owned(),
        }
    }
}
