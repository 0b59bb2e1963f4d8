//! Stand-ins for the systems around the proxy: database instances, the platform and the network.
//!
//! They serve only tests and measurements, and no program of the proxy links them.

pub mod cluster;
pub mod fault_link;
pub mod instance;
pub mod platform;
