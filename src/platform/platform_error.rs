//! [`PlatformError`]: a failed call to the platform.

use crate::platform::kv_entry;

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum PlatformError {
    /// No answer arrived. The call may have taken effect.
    #[display("platform gave no answer: step={step} peer={peer} cause={cause}")]
    NoAnswer {
        /// The call.
        step: String,
        /// Address of the platform.
        peer: String,
        /// Error of the library.
        cause: String,
    },
    /// The platform answered with an error. The call had no effect.
    #[display("platform refused: step={step} peer={peer} status={status} cause={cause}")]
    Refused {
        /// The call.
        step: String,
        /// Address of the platform.
        peer: String,
        /// HTTP status.
        status: u16,
        /// Text of the answer.
        cause: String,
    },
    /// The key does not have the expected revision. The call had no effect.
    #[display("key was changed by another: step={step} peer={peer}")]
    Conflict {
        /// The call.
        step: String,
        /// Address of the platform.
        peer: String,
        /// Present value of the key; `None` if the key is absent.
        current: Option<kv_entry::KvEntry>,
    },
}
