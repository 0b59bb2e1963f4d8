//! What a process holds for its callers, and which of them it closes when that is too much. See
//! `docs/design/admission.md`.

pub mod admission_control;
pub mod admission_limits;
pub mod caller_account;
pub mod eviction_reason;
pub mod transit_charge;
