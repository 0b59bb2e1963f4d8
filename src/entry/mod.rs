//! The `persimmon-entry` program: accepts connections of PostgreSQL clients, routes their
//! statements to upstreams through the pools and returns the answers.

mod answer;
mod batch;
mod cancel_forward;
mod cancel_registry;
mod confirmation;
mod context;
mod control_server;
mod forward;
pub mod group_tracker;
mod observer;
mod pool_link;
mod program;
mod route;
mod session;
mod session_parameters;
mod session_start;
mod settings;
mod startup;
mod tables_link;
mod unit;
mod wire;

pub use program::run;
