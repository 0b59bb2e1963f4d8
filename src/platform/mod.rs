//! Client of the platform's HTTP/JSON service: key-value store, VM list and groups.
//!
//! `docs/design.md`, "Platform protocol", lists the calls.

pub mod client;
pub mod kv_entry;
pub mod platform_error;
