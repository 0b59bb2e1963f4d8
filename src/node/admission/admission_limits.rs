//! Limits of a single caller. No caller within the documented limits (lines of up to 1 MiB, sessions
//! that are idle for long) meets them.

use std::time;

/// Time within which a caller has to open its session.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Time within which a caller in the middle of a line, or with an unread answer, has to make
/// progress by at least [`MIN_PROGRESS_BYTES`].
pub const PROGRESS_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Least number of bytes that count as progress, so that single bytes do not hold a buffer for long.
pub const MIN_PROGRESS_BYTES: usize = 1024;
/// Bytes that an open connection takes beside its messages and session state: its task, and its entry
/// in the tables. 267 silent callers took 6 KB each in a debug build.
pub const CALLER_BYTES: usize = 8 * 1024;
/// Bytes of values and prepared statements of a session. It holds one value of the maximum length of
/// a line and many short ones.
pub const MAX_STATE_BYTES: usize = 2 * 1024 * 1024;
/// Bytes that a value or prepared statement takes beside its text.
pub const STATE_ENTRY_BYTES: usize = 256;
/// Bytes of an answer that are accepted from an upstream even if the budget is exceeded, since most
/// answers are shorter.
pub const FREE_ANSWER_BYTES: usize = 64 * 1024;
/// Bytes by which the use has to grow beyond the budget before all callers are looked at again, since
/// that takes time proportional to their number.
pub const SEARCH_STEP_BYTES: usize = 64 * 1024;
/// Time after which they are looked at again without that.
pub const SEARCH_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Shortest time between two log lines about closed or refused callers.
pub const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);
