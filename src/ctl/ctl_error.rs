//! [`CtlError`]: the failure of a command, with advice for the operator.

use crate::exit_code;
use crate::platform::platform_error;

/// The failure of a command: the program prints the messages and exits with the code.
#[derive(Debug)]
pub(super) struct CtlError {
    pub(super) code: exit_code::ExitCode,
    /// What failed and what to do about it; printed one per line.
    pub(super) messages: Vec<String>,
    /// Further lines, such as those of a conflicting change.
    pub(super) details: Vec<String>,
    /// What `--json` prints on standard output.
    pub(super) json: Option<serde_json::Value>,
}

impl CtlError {
    /// Creates an error with one message.
    pub(super) fn new(code: exit_code::ExitCode, message: impl Into<String>) -> Self {
        Self {
            code,
            messages: vec![message.into()],
            details: Vec::new(),
            json: None,
        }
    }

    /// Creates an error in the use of the command line.
    pub(super) fn usage(message: impl Into<String>) -> Self {
        Self::new(exit_code::ExitCode::Usage, message)
    }

    /// Creates an error for a failed platform call that changed nothing.
    pub(super) fn platform(error: &platform_error::PlatformError) -> Self {
        let advice = "nothing was changed; the rules in force stay in force, try again later";
        Self::new(
            exit_code::ExitCode::Unreachable,
            format!("{error}; {advice}"),
        )
    }
}
