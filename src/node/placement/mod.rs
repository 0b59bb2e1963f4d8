//! Which upstream and data centre a read goes to. See `docs/design/placement.md`.

pub mod group_placement;
pub mod read_placement;
