//! Stand-ins for what the proxy talks to: database instances, the platform and faulty networks.
//!
//! They are built for tests and measurements only and are never linked into the product.

pub mod cluster;
pub mod fault_link;
pub mod instance;
pub mod platform;
