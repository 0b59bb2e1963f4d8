//! [`StatementClass`]: the classification of a text of one or more SQL statements.

use crate::link::work_request;
use crate::model::ids;

/// A SET, RESET or SHOW statement that the entry answers itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalStatement {
    /// `SET name = value`; no value means the default.
    Set(String, Option<String>),
    /// `SHOW name`
    Show(String),
}

/// How the entry handles a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// An empty text.
    Empty,
    /// Sent to an upstream.
    Forward,
    /// `BEGIN` or `START TRANSACTION`.
    Begin,
    /// `COMMIT`, `ROLLBACK` or an equivalent.
    End,
    /// Sent to an upstream, but only inside a transaction; the text names the feature.
    TransactionOnly(&'static str),
    /// Answered by the entry.
    Local(LocalStatement),
    /// Refused without being run; the text names the unsupported feature.
    Refused(&'static str),
}

/// The classification of one statement of a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementPart {
    /// How the statement is handled.
    pub kind: StatementKind,
    /// Whether it may change data.
    pub access: work_request::WorkAccess,
    /// Whether it can end a transaction, so that its success may mean a commit.
    pub may_commit: bool,
}

/// The classification of a text of one or more statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementClass {
    /// The statements, in order.
    pub parts: Vec<StatementPart>,
    /// Names of the tables that the text mentions, in lower case.
    pub tables: Vec<String>,
    /// Hash of the text that ignores its constants.
    pub fingerprint: ids::FingerprintId,
}

impl StatementClass {
    /// Returns `Write` if any statement may change data.
    #[must_use]
    pub fn access(&self) -> work_request::WorkAccess {
        if self
            .parts
            .iter()
            .any(|part| part.access == work_request::WorkAccess::Write)
        {
            work_request::WorkAccess::Write
        } else {
            work_request::WorkAccess::Read
        }
    }

    /// Returns the local statements, if all statements of the text are local.
    #[must_use]
    pub fn locals(&self) -> Option<Vec<&LocalStatement>> {
        self.parts
            .iter()
            .map(|part| match &part.kind {
                StatementKind::Local(local) => Some(local),
                _ => None,
            })
            .collect()
    }
}
