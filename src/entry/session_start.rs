//! [`SessionStart`]: the result of a client's start-up and login.

use std::sync;

use crate::entry::{group_tracker, session_parameters};

/// The user, database and parameters of a client that has logged in.
pub struct SessionStart {
    pub user: String,
    pub customer: String,
    pub database: String,
    pub tracker: sync::Arc<group_tracker::GroupTracker>,
    pub parameters: session_parameters::SessionParameters,
}
