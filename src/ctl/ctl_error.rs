//! [`CtlError`]: why a command failed, and what the operator should do.

use crate::exit_code;
use crate::platform::platform_error;

/// Ends the program with an exit code and a message.
#[derive(Debug)]
pub(super) struct CtlError {
    pub(super) code: exit_code::ExitCode,
    /// What failed and what to do; one line each.
    pub(super) sentences: Vec<String>,
    /// Further lines, such as those of the change that came first.
    pub(super) details: Vec<String>,
    /// The same for `--json`.
    pub(super) json: Option<serde_json::Value>,
}

impl CtlError {
    pub(super) fn new(code: exit_code::ExitCode, sentence: impl Into<String>) -> Self {
        Self {
            code,
            sentences: vec![sentence.into()],
            details: Vec::new(),
            json: None,
        }
    }

    pub(super) fn usage(sentence: impl Into<String>) -> Self {
        Self::new(exit_code::ExitCode::Usage, sentence)
    }

    /// Reports a platform call that changed nothing.
    pub(super) fn platform(error: &platform_error::PlatformError) -> Self {
        let advice = "nothing was changed; the rules in force stay in force, try again later";
        Self::new(
            exit_code::ExitCode::Unreachable,
            format!("{error}; {advice}"),
        )
    }
}
