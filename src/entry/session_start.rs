//! [`SessionStart`]: what a caller said at start-up.

use std::sync;

use crate::entry::{board, local};

/// What a caller said at start-up.
pub struct SessionStart {
    pub user: String,
    pub customer: String,
    pub database: String,
    pub board: sync::Arc<board::GroupBoard>,
    pub parameters: local::SessionParameters,
}
