//! A stand-in database instance that speaks the PostgreSQL protocol and the control statements of
//! `docs/design.md`, "Upstream protocol".

pub mod admin;
pub mod cancel_table;
pub mod core_state;
pub mod db_error;
pub mod executor;
pub mod instance_server;
pub mod journal;
pub mod log_entry;
pub mod replication;
pub mod row_format;
pub mod scanner;
pub mod session;
pub mod settings;
pub mod shared;
pub mod statement;
pub mod tables;
pub mod transaction;
pub mod wire;
