//! SQLSTATE codes that persimmontack itself sends. `docs/operators.md` says what a caller should do
//! for each.

/// The request may or may not have run.
pub const OUTCOME_UNKNOWN: &str = "40003";
/// The transaction is lost: its primary was replaced before a second upstream had a copy.
pub const WRITE_DROPPED: &str = "40001";
/// No upstream can run the request now; it was not run.
pub const CANNOT_CONNECT_NOW: &str = "57P03";
/// The queue is full; the request was not run.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// The deadline cannot be met; the request was not run.
pub const LIMIT_EXCEEDED: &str = "53400";
/// The request needs a feature that a pooled connection cannot provide; it was not run.
pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
/// The password is wrong.
pub const INVALID_PASSWORD: &str = "28P01";
/// The login user or the database is unknown.
pub const INVALID_AUTHORIZATION: &str = "28000";
/// The caller broke the message protocol.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// The process is stopping; nothing was running.
pub const ADMIN_SHUTDOWN: &str = "57P01";
/// The caller cancelled the request.
pub const QUERY_CANCELED: &str = "57014";
/// The value of a parameter is invalid.
pub const INVALID_PARAMETER: &str = "22023";
/// A write reached an upstream that is not the primary. The upstream ran nothing of it.
pub const READ_ONLY_UPSTREAM: &str = "25006";
/// An upstream found a row with the same unique key.
pub const UNIQUE_VIOLATION: &str = "23505";
