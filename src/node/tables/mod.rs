//! The tables from the store, passed on between VMs: a few followers in each data centre watch the
//! store, and the other VMs ask them. See `docs/design/tables.md`.

pub mod store_failure;
pub mod store_image;
pub mod store_question;
pub mod table_frame;
pub mod table_origin;
pub mod table_server;
pub mod table_source;
pub mod table_updates;
