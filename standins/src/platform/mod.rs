//! The platform's HTTP/JSON service: key-value store with leases and watches, VM list and groups.

pub mod call_limits;
pub mod fault_plan;
pub mod kv_store;
pub mod platform_server;
pub mod settings;
