//! Starts a named set of persimmontack processes and stand-ins on one machine.
//!
//! Each VM and each upstream takes a loopback address of its own, `127.0.<data centre>.<n>`, so
//! that a fault link can apply a rule to the connections of one source.

pub mod child_process;
pub mod env_plan;
pub mod http_call;
pub mod operator;
pub mod platform_calls;
pub mod process_set;
pub mod tampering;
pub mod test_client;
pub mod test_env;
pub mod test_support;
pub mod waiting;
pub mod write_load;
