//! Pure decisions: typed events and the time go in, actions come out. Nothing here has a socket, a
//! clock or a random source, so that tests and the load program can drive it.

pub mod failover;
pub mod failover_event;
mod failover_member;
pub mod lease;
pub mod membership;
pub mod ownership;
pub mod rule_log;
