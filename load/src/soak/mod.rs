//! The soak test: clients send requests under a seeded schedule of faults, and checks compare the
//! outcomes that they received with the journals of the database instances.

pub mod check;
pub mod client;
pub mod connection;
pub mod fault;
pub mod history;
pub mod injector;
pub mod network;
pub mod operator;
pub mod options;
pub mod recovery;
pub mod replay;
pub mod report;
pub mod rules_check;
pub mod run;
pub mod schedule;
pub mod topology;
