//! The whole proxy of one VM in a single process: sessions of callers, connections to upstreams,
//! positions, failover and the tables from the store.
//!
//! Everything here works on types of its own. The protocols of callers, upstreams and the store
//! come in through the traits of [`edge`], so that an adapter can be exchanged without touching a
//! decision. `docs/node.md` shows the way of a statement through these modules. All tasks of a node
//! run on one thread, so tables are shared by `Rc` and no borrow is held across an `await`.

pub mod acknowledgement;
pub mod answers;
pub mod attempt;
pub mod claims;
pub mod command;
pub mod config;
pub mod decision;
pub mod edge;
pub mod failover;
pub mod gauges;
pub mod group;
pub mod health;
pub mod hosts;
pub mod isolation;
pub mod limits;
pub mod member;
pub mod monitor;
pub mod node_log;
pub mod node_tables;
pub mod notices;
pub mod peers;
pub mod pool;
pub mod primary_change;
pub mod probe;
pub mod promotion;
pub mod read_candidate;
pub mod reads;
pub mod relay;
pub mod relay_caller;
pub mod relay_frame;
pub mod request;
pub mod request_report;
pub mod request_window;
pub mod session;
pub mod session_start;
pub mod session_state;
pub mod status;
pub mod stop;
pub mod table_follower;
pub mod transaction;
pub mod upstream_entry;
pub mod upstream_session;
pub mod wait_queue;
pub mod writes;
