//! Reads the log lines of the processes in order of time.

use std::io;
use std::time;

use testenv::test_env;

/// One log line with its time.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// Time of the event, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The whole line, which includes the time.
    pub text: String,
}

/// Returns the current time in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_time_ms() -> u64 {
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Returns the log lines that all processes of a program have written since a time, in order of
/// time. Lines without a time are left out.
///
/// # Errors
///
/// Fails if a log cannot be read.
pub fn lines_since(
    env: &mut test_env::TestEnv,
    program: &str,
    since_ms: u64,
) -> io::Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for process in env.processes().names(program) {
        for text in env.processes().get(&process)?.stderr_text()?.lines() {
            let at_ms = text
                .strip_prefix("at=")
                .and_then(|rest| rest.split(' ').next())
                .and_then(|number| number.parse().ok());
            if let Some(at_ms) = at_ms.filter(|at_ms| *at_ms >= since_ms) {
                lines.push(LogLine {
                    at_ms,
                    text: text.to_owned(),
                });
            }
        }
    }
    lines.sort_by_key(|line| line.at_ms);
    Ok(lines)
}
