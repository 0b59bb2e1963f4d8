//! Reads log lines of the processes by their time.

use std::io;
use std::time;

use testenv::test_env;

/// One log line.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// Milliseconds since the Unix epoch.
    pub at: u64,
    /// The line.
    pub text: String,
}

/// Returns the milliseconds since the Unix epoch.
#[must_use]
pub fn now_ms() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Returns the lines of all processes of a program since a time, in order of time.
///
/// # Errors
///
/// Fails if a log cannot be read.
pub fn lines_since(
    env: &mut test_env::TestEnv,
    program: &str,
    since: u64,
) -> io::Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for process in env.processes().names(program) {
        for text in env.processes().get(&process)?.stderr_text()?.lines() {
            let at = text
                .strip_prefix("at=")
                .and_then(|rest| rest.split(' ').next())
                .and_then(|number| number.parse().ok());
            if let Some(at) = at.filter(|at| *at >= since) {
                lines.push(LogLine {
                    at,
                    text: text.to_owned(),
                });
            }
        }
    }
    lines.sort_by_key(|line| line.at);
    Ok(lines)
}
