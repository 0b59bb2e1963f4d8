//! persimmontack is a PostgreSQL proxy that keeps sessions consistent while databases change, lag
//! and fail.
//!
//! The library contains the code of all programs. `docs/design.md` describes the processes, their
//! messages and the state that each of them owns.

pub mod bounded_listener;
pub mod counters;
pub mod ctl;
pub mod daemon;
pub mod decide;
pub mod dial;
pub mod entry;
pub mod event;
pub mod exit_code;
pub mod health;
pub mod keeper;
pub mod link;
pub mod log_sink;
pub mod model;
pub mod node;
pub mod platform;
pub mod pool;
pub mod rules;
pub mod shared_state;
pub mod shutdown;
pub mod sql;
