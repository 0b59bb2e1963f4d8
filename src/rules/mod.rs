//! The rules files of the operators: parsing, checking, formatting and lookup. A file has one rule
//! per line, each with a comment that names who asked for it.

mod customer;
mod drain;
mod field_reader;
pub mod file_parser;
mod login;
mod long;
mod lookup;
mod read;
pub mod rule_error;
mod rule_line;
pub mod rule_set;
pub mod scram_verifier;
pub(crate) mod time_text;
mod write;
