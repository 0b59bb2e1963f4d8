//! [`Hello`]: the first message on every link.

use serde::{Deserialize, Serialize};

use crate::model::ids;

/// Version of the messages between our processes. It changes with every incompatible change of a
/// message, and a process refuses a peer of another version.
pub const PROTOCOL_VERSION: u32 = 1;

/// Says who is at the other end of a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub protocol_version: u32,
    /// VM of the sender; empty for the command line.
    pub vm: ids::VmId,
    /// Program of the sender.
    pub program: String,
}

impl Hello {
    /// Creates the greeting of this build.
    #[must_use]
    pub fn new(vm: &str, program: &str) -> Self {
        Self {
            protocol_version: PROTOCOL_VERSION,
            vm: vm.to_owned(),
            program: program.to_owned(),
        }
    }
}
