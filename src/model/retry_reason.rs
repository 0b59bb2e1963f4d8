//! [`RetryReason`]: why a request was sent again.

use serde::{Deserialize, Serialize};

/// Why a request was sent a second time. Each reason has its own counter. A request is retried only
/// if it is known not to have run or is a read outside a transaction.
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
pub enum RetryReason {
    /// The pool refused the request before sending it.
    Refused,
    /// The pool could not be reached.
    PoolUnreachable,
    /// The link to the pool broke while a read ran.
    LinkBroken,
    /// The upstream's connection broke while a read ran.
    UpstreamBroken,
    /// The upstream rejected a write because it is not the primary.
    ReadOnlyUpstream,
}

impl RetryReason {
    /// Returns whether a connection broke while the previous attempt ran.
    #[must_use]
    pub const fn connection_broke(self) -> bool {
        match self {
            Self::LinkBroken | Self::UpstreamBroken => true,
            Self::Refused | Self::PoolUnreachable | Self::ReadOnlyUpstream => false,
        }
    }

    /// Returns whether the previous attempt may have reached an upstream. Only such retries add
    /// load to upstreams and count against the retry budget. The others only choose a new route for
    /// a request that reached no upstream, such as a write that was queued for a primary that
    /// failed.
    #[must_use]
    pub const fn may_have_reached_upstream(self) -> bool {
        match self {
            Self::Refused | Self::PoolUnreachable => false,
            Self::LinkBroken | Self::UpstreamBroken | Self::ReadOnlyUpstream => true,
        }
    }
}
