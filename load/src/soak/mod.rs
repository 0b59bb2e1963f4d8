//! The soak: callers under a seeded schedule of faults, and the checks of what they were told.

pub mod caller;
pub mod caller_link;
pub mod check;
pub mod fault;
pub mod history;
pub mod injector;
pub mod network;
pub mod operator;
pub mod options;
pub mod place;
pub mod recovery;
pub mod replay;
pub mod report;
pub mod rules_check;
pub mod run;
pub mod schedule;
