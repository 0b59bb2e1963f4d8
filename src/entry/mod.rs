//! The entry: accepts callers and routes their statements.

mod answer;
mod batch;
pub mod board;
mod cancel_forward;
mod cancel_registry;
mod context;
mod explain;
mod forward;
mod local;
mod observer;
mod pool_link;
mod program;
mod route;
mod session;
mod session_start;
mod settings;
mod settlement;
mod startup;
mod tables_link;
mod unit;
mod wire;

pub use program::run;
