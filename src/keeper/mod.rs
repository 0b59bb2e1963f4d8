//! The keeper: watches the platform, keeps membership, probes upstreams, orders promotions and
//! distributes rules.

pub mod control_answers;
pub mod daemon;
pub mod gossip_task;
pub mod group_supervisor;
pub mod group_worker;
pub mod lease_task;
pub mod platform_poll;
pub mod prober;
pub mod rules_watch;
pub mod settings;
pub mod tables_stream;
pub mod upstream_control;
