//! [`RefusalReason`]: why a request was refused without having run.

use serde::{Deserialize, Serialize};

use crate::model::sql_state;

/// Why a request was refused. Each reason has its own counter, and each means that nothing of the
/// request was sent to an upstream.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[display(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The group has no primary that can be reached.
    NoPrimary,
    /// No upstream that is fresh enough can be reached.
    NoFreshUpstream,
    /// No confirmed primary position could be read.
    NoConfirmedPosition,
    /// The upstream is not the primary of the expected term.
    NotPrimary,
    /// The upstream has not applied the required position.
    Lagging,
    /// The upstream or the VM is leaving and takes no new work.
    Leaving,
    /// The upstream cannot be reached.
    Unreachable,
    /// The queue of the upstream is full.
    QueueFull,
    /// The deadline passed or cannot be met.
    Deadline,
    /// The statement needs session state that a pooled connection cannot keep.
    Unsupported,
    /// A `persimmontack.*` parameter has an invalid value.
    Parameter,
    /// The login failed.
    Login,
    /// The login user, the customer or the database is unknown.
    UnknownCustomer,
    /// A message is longer than the limit.
    MessageTooLong,
    /// A message breaks the protocol.
    Protocol,
    /// The caller cancelled the request before it was sent.
    Cancelled,
    /// The process is stopping.
    Stopping,
    /// The control tables have not arrived yet.
    NotReady,
}

impl RefusalReason {
    /// Returns the SQLSTATE that the caller sees.
    #[must_use]
    pub const fn sql_state(self) -> &'static str {
        match self {
            Self::NoPrimary
            | Self::NoFreshUpstream
            | Self::NoConfirmedPosition
            | Self::NotPrimary
            | Self::Lagging
            | Self::Leaving
            | Self::Unreachable
            | Self::NotReady => sql_state::CANNOT_CONNECT_NOW,
            Self::QueueFull => sql_state::TOO_MANY_CONNECTIONS,
            Self::Deadline => sql_state::LIMIT_EXCEEDED,
            Self::Unsupported => sql_state::FEATURE_NOT_SUPPORTED,
            Self::Parameter => sql_state::INVALID_PARAMETER,
            Self::Login => sql_state::INVALID_PASSWORD,
            Self::UnknownCustomer => sql_state::INVALID_AUTHORIZATION,
            Self::MessageTooLong | Self::Protocol => sql_state::PROTOCOL_VIOLATION,
            Self::Cancelled => sql_state::QUERY_CANCELED,
            Self::Stopping => sql_state::ADMIN_SHUTDOWN,
        }
    }
}
