//! Classification of SQL statements for routing: reads, writes, transaction control and the
//! statements that the entry answers itself.

pub mod class_cache;
pub mod classify;
pub mod parameters;
pub mod read_functions;
pub mod statement_class;
