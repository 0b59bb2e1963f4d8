//! The entry: accepts callers and routes their statements.
