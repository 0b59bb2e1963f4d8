//! [`EvictionReason`]: why a caller was closed or refused.

/// Why a caller was closed or refused. Its text is the label in metrics and log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum EvictionReason {
    /// The memory budget was exceeded.
    Memory,
    /// The descriptor budget was exceeded.
    Descriptors,
    /// The caller did not open its session in time.
    ConnectTimeout,
    /// The caller made no progress in the middle of a line.
    LineTimeout,
    /// The caller did not read its answer.
    ReadTimeout,
}

impl EvictionReason {
    /// Returns the label in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Descriptors => "descriptors",
            Self::ConnectTimeout => "connect_timeout",
            Self::LineTimeout => "line_timeout",
            Self::ReadTimeout => "read_timeout",
        }
    }
}
