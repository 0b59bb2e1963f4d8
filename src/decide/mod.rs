//! Pure decision logic: each module takes events and the current time and returns decisions or
//! actions. Nothing here uses a socket, a clock or a random source, so that tests and the load
//! program can drive it deterministically.

pub mod admission_budget;
pub mod commit_evidence;
pub mod commit_outcome;
pub mod connection_plan;
pub mod customer_queue;
pub mod customer_shares;
pub mod decayed_rate;
pub mod decayed_share;
pub mod failover;
pub mod failover_event;
mod failover_member;
pub mod fair_queue;
pub mod host_plan;
pub mod leadership;
pub mod lease;
pub mod membership;
pub mod message_bounds;
pub mod ownership;
pub mod place_evidence;
pub mod placement;
pub mod placement_share;
pub mod rate_bucket;
pub mod rate_holder;
pub mod rate_limit;
pub mod rate_stock;
pub mod read_position;
pub mod retry_budget;
pub mod routing;
pub mod rule_log;
pub mod running_batches;
pub mod schedule_event;
pub mod schedule_limits;
pub mod share_limits;
pub mod slot_scheduler;
pub mod slot_times;
pub mod table_followers;
pub mod upstream_load;
pub mod wait_estimate;
