//! The operators' rules: one line a rule, each with a comment naming who asked for it.

pub mod rule_error;
pub mod rule_set;
pub mod scram_verifier;
