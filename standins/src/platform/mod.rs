//! A stand-in for the platform's HTTP/JSON service: a key-value store with leases and watches, the
//! VM list and the groups.

pub mod call_limits;
pub mod fault_plan;
pub mod kv_store;
pub mod platform_server;
pub mod settings;
