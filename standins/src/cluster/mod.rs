//! A replicated group of database instances and a store, as one state machine in memory.
//!
//! It runs the same commands that a node sends, so the tests of the node's decisions need no
//! socket. Faults are set on the state by the test.

pub mod cluster_edge;
pub mod cluster_link;
pub mod cluster_state;
pub mod connection_state;
pub mod cut_table;
pub mod hanging_commit;
pub mod instance_state;
pub mod peer_network;
pub mod platform_state;
pub mod test_caller;
