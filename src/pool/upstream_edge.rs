//! [`UpstreamEdge`]: the interface to upstreams, for connections, states and cancel requests.

use std::time;

use futures::future;

use crate::model::{log_position, upstream_spec, upstream_state};
use crate::pool::{upstream_connection, upstream_error};

/// Meaning of a parameter that an upstream reports within an answer (ParameterStatus).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParameterMeaning {
    /// The log position of a commit.
    Position(log_position::LogPosition),
    /// A change of session state, after which the connection cannot serve another unit.
    Session,
}

/// Result of an operation on an upstream.
pub type EdgeFuture<'a, T> = future::BoxFuture<'a, Result<T, upstream_error::UpstreamError>>;

/// Connects to upstreams and reads their states. Platforms differ in how upstreams report log
/// positions, so everything that depends on the platform is behind this trait. See
/// `docs/design.md`, "Upstream protocol".
pub trait UpstreamEdge: Send + Sync + 'static {
    /// Opens a connection to a database and logs in.
    fn connect<'a>(
        &'a self,
        spec: &'a upstream_spec::UpstreamSpec,
        database: &'a str,
    ) -> EdgeFuture<'a, upstream_connection::UpstreamConnection>;

    /// Reads the upstream's current state.
    fn read_state<'a>(
        &'a self,
        connection: &'a mut upstream_connection::UpstreamConnection,
    ) -> EdgeFuture<'a, upstream_state::UpstreamState>;

    /// Reads the upstream's state as soon as its version differs from `version`, at the latest
    /// after `wait` (a long poll).
    fn wait_state<'a>(
        &'a self,
        connection: &'a mut upstream_connection::UpstreamConnection,
        version: u64,
        wait: time::Duration,
    ) -> EdgeFuture<'a, upstream_state::UpstreamState>;

    /// Asks the upstream to cancel the statement that runs on the connection with this key.
    fn cancel(&self, key: upstream_connection::CancelKey) -> EdgeFuture<'_, ()>;

    /// Interprets a parameter that was reported within an answer.
    fn interpret(&self, name: &[u8], value: &[u8]) -> ParameterMeaning;
}
