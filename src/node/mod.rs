//! The proxy of one VM as a single process: client sessions, pools of upstream connections, log
//! positions, failover, and the tables that are replicated from the store.
//!
//! These modules use their own types only. The protocols of callers, upstreams and the store are
//! implemented by adapters behind the traits of [`edge`], so that an adapter can be replaced
//! without changing any other module. `docs/node.md` follows a statement through these modules.
//! All tasks of a node run on one thread, so state is shared through `Rc`, and no `RefCell` borrow
//! is held across an `await`.

pub mod acknowledgement;
pub mod admission;
pub mod answers;
pub mod attempt;
pub mod claims;
pub mod command;
pub mod commit_moment;
pub mod config;
pub mod connections;
mod counted_upstreams;
pub mod decision;
pub mod decision_outcome;
pub mod decision_record;
pub mod edge;
pub mod entry_age;
pub mod era_revision;
pub mod failover;
pub mod former_members;
pub mod gauges;
pub mod group;
pub mod health;
pub mod hosts;
pub mod informed_hosts;
pub mod isolation;
pub mod lead_proof;
mod lead_round;
pub mod leadership;
pub mod limits;
pub mod log_evidence;
mod log_format;
pub mod log_knowledge;
mod log_survey;
pub mod member;
pub mod membership;
pub mod monitor;
pub mod node_log;
pub mod node_tables;
pub mod notices;
pub mod peer_list;
pub mod peers;
pub mod placement;
pub mod planned_move;
pub mod primary_change;
pub mod probe;
pub mod promotion;
pub mod promotion_candidate;
pub mod rate_limits;
pub mod reads;
pub mod relay;
pub mod relay_caller;
pub mod relay_frame;
pub mod removal_reason;
pub mod removed_upstreams;
pub mod request;
pub mod request_report;
pub mod running_guard;
pub mod session;
pub mod session_start;
pub mod session_state;
pub mod status;
pub mod stop;
mod successor_wait;
pub mod table_follower;
pub mod tables;
mod term_search;
pub mod transaction;
pub mod upstream_entry;
pub mod upstream_session;
pub mod watch_schedule;
pub mod workspaces;
pub mod writes;

pub use connections::{pool, request_window, wait_queue};
