//! [`KeyRefusal`]: why a session is refused or ended because of its key or workspace.

use crate::node::answers;

/// Why a session is refused or ended because of its key or workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum KeyRefusal {
    /// No workspace has the caller's key, and the route requires one.
    NoKey,
    /// The key belongs to another workspace than when the session started. A new session runs
    /// under that one.
    KeyMoved,
    /// Another VM forwards the session, and this VM's configuration does not have its workspace,
    /// or not yet.
    NoWorkspace,
}

impl KeyRefusal {
    /// Returns the error for a statement or session that is refused. Neither has run. In a
    /// transaction, which is rolled back, callers expect [`answers::ErrorCode::Aborted`] instead
    /// of [`answers::ErrorCode::Busy`].
    #[must_use]
    pub fn error(self, in_transaction: bool) -> answers::StatementError {
        let retry = if in_transaction {
            answers::ErrorCode::Aborted
        } else {
            answers::ErrorCode::Busy
        };
        match self {
            Self::NoKey => {
                answers::StatementError::new(answers::ErrorCode::NoKey, "the key is not known")
            }
            Self::KeyMoved => {
                let text = answers::retry_later_text(&"the key has another workspace now");
                answers::StatementError::new(retry, text)
            }
            Self::NoWorkspace => {
                let text = answers::retry_later_text(&"the workspace is not known here");
                answers::StatementError::new(retry, text)
            }
        }
    }
}
