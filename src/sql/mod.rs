//! What a statement does, as far as routing is concerned.

pub mod class_cache;
pub mod classify;
pub mod parameters;
pub mod read_functions;
pub mod statement_class;
