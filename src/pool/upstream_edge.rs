//! [`UpstreamEdge`]: how upstreams are reached and how they report positions.

use std::time;

use futures::future;

use crate::model::{log_position, upstream_spec, upstream_state};
use crate::pool::{upstream_connection, upstream_error};

/// What a parameter that an upstream reports during an answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParameterMeaning {
    /// The position that a commit reached.
    Position(log_position::LogPosition),
    /// Session state, with which the connection cannot serve another unit.
    Session,
}

/// Result of an operation at an upstream.
pub type EdgeFuture<'a, T> = future::BoxFuture<'a, Result<T, upstream_error::UpstreamError>>;

/// Reaches upstreams. Another platform may report positions in another way, so everything that
/// depends on it is behind this trait. See `docs/design.md`, "Upstream protocol".
pub trait UpstreamEdge: Send + Sync + 'static {
    /// Opens a connection to a database and logs in.
    fn connect<'a>(
        &'a self,
        spec: &'a upstream_spec::UpstreamSpec,
        database: &'a str,
    ) -> EdgeFuture<'a, upstream_connection::UpstreamConnection>;

    /// Reads the state.
    fn read_state<'a>(
        &'a self,
        connection: &'a mut upstream_connection::UpstreamConnection,
    ) -> EdgeFuture<'a, upstream_state::UpstreamState>;

    /// Reads the state once its version differs from `version`, or after `wait`.
    fn wait_state<'a>(
        &'a self,
        connection: &'a mut upstream_connection::UpstreamConnection,
        version: u64,
        wait: time::Duration,
    ) -> EdgeFuture<'a, upstream_state::UpstreamState>;

    /// Asks the upstream to cancel what the connection with this key runs.
    fn cancel(&self, key: upstream_connection::CancelKey) -> EdgeFuture<'_, ()>;

    /// Interprets a parameter that was reported during an answer.
    fn interpret(&self, name: &[u8], value: &[u8]) -> ParameterMeaning;
}
