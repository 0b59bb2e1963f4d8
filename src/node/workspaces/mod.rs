//! Workspaces: whose statements a session runs, and the keys that prove it. See
//! `docs/design/workspaces.md`.

pub mod api_key;
pub mod caller_hello;
pub mod key_check;
pub mod key_refusal;
pub mod session_end;
pub mod workspace_binding;
