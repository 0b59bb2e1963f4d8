//! [`ExitCode`]: exit codes of all programs.

use std::process;

/// Exit codes of all programs; `docs/operators.md` lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// The request succeeded.
    Success,
    /// The request was valid, but failed.
    Failure,
    /// The command line is not valid.
    Usage,
    /// A settings file or a rules file is not valid.
    Invalid,
    /// Another operator's change came first.
    Conflict,
    /// The platform or a peer cannot be reached.
    Unreachable,
    /// The request was sent, but its effect was not confirmed in time.
    Timeout,
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(match code {
            ExitCode::Success => 0_u8,
            ExitCode::Failure => 1,
            ExitCode::Usage => 2,
            ExitCode::Invalid => 3,
            ExitCode::Conflict => 4,
            ExitCode::Unreachable => 5,
            ExitCode::Timeout => 6,
        })
    }
}
