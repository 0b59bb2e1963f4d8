//! Value types that all programs share: ids, log positions, upstream states, and the reasons of
//! refusals and retries.

pub mod control_tables;
pub mod group_spec;
pub mod ids;
pub mod log_position;
pub mod refusal_reason;
pub mod retry_reason;
pub mod sql_state;
pub mod term_start;
pub mod upstream_spec;
pub mod upstream_state;
pub mod vm_record;
