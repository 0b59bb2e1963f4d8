//! An in-memory simulation of a replicated group of database instances, the store, the platform
//! and the network between VMs.
//!
//! It runs the commands that a node sends, so tests of the node need no sockets. Tests inject
//! faults by changing the shared state.

pub mod cluster_edge;
pub mod cluster_link;
pub mod cluster_state;
pub mod connection_state;
pub mod cut_table;
pub mod instance_state;
pub mod peer_network;
pub mod pending_commit;
pub mod platform_state;
pub mod test_caller;
