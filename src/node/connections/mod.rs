//! Connections to upstreams as a scarce resource: who holds them, who waits for them, when one is
//! opened and when one is closed for another workspace. See `docs/design/connections.md`.

pub mod connection_counts;
pub mod eviction_record;
pub mod fence_mark;
pub mod held_transactions;
pub mod idle_connections;
pub mod opening;
pub mod pool;
pub mod request_window;
pub mod scheduling;
pub mod share;
pub mod transaction_admission;
pub mod wait_queue;
pub mod workspace_hosts;
