//! Links between the system's own processes, and their messages: bincode frames on HTTP/2 streams.
//!
//! `docs/design.md`, "Messages between processes", lists the streams.

pub mod batch_request;
pub mod client;
pub mod control;
mod counted_stream;
pub mod feed_update;
pub mod frame_reader;
pub mod frame_writer;
pub mod gossip;
pub mod hello;
pub mod link_error;
pub mod observe;
pub mod program_report;
pub mod server;
pub mod stream_kind;
pub mod work_frame;
pub mod work_reply;
pub mod work_request;
