//! Rate limits of workspaces, counted over all VMs. See `docs/design/rate-limits.md`.

pub mod admission;
pub mod bucket_holder;
pub mod holder_link;
pub mod limit_frame;
pub mod limit_table;
pub mod limit_task;
pub mod place_check;
pub mod refusal_log;
pub mod workspace_stock;
