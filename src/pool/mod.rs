//! The pool (`persimmon-pool`): holds connections to upstreams, queues batches of statements for
//! the upstreams' slots and runs units of work for the entries.

pub mod answer_splitter;
pub mod batch_run;
pub mod connection_store;
pub mod daemon;
pub mod feed;
pub mod observer;
pub mod pool_settings;
pub mod postgres_edge;
pub mod slot_queue;
pub mod state_reader;
pub mod tables_client;
pub mod upstream;
pub mod upstream_connection;
pub mod upstream_edge;
pub mod upstream_error;
pub mod upstream_table;
pub mod work;
