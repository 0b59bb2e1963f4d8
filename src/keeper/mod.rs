//! The keeper, the control daemon of a VM: polls the platform, maintains the membership by gossip,
//! probes upstreams, runs failovers and distributes the rules.

pub mod control_service;
pub mod daemon;
pub mod gossip_task;
pub mod group_supervisor;
pub mod group_worker;
pub mod lease_task;
pub mod platform_poll;
pub mod rules_watch;
pub mod settings;
pub mod tables_stream;
pub mod upstream_control;
pub mod upstream_prober;
