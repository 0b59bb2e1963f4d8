//! [`StatementClass`]: what the entry knows about a statement's text.

use crate::link::work_request;
use crate::model::ids;

/// A statement that the entry answers itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalStatement {
    /// `SET name = value`; no value means the default.
    Set(String, Option<String>),
    /// `SHOW name`
    Show(String),
}

/// What becomes of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// An empty text.
    Empty,
    /// Goes to an upstream.
    Forward,
    /// `BEGIN` or `START TRANSACTION`.
    Begin,
    /// `COMMIT`, `ROLLBACK` and the like.
    End,
    /// Goes to an upstream, but only inside a transaction.
    TransactionOnly(&'static str),
    /// Answered by the entry.
    Local(LocalStatement),
    /// Refused as not run, with the feature that is missing.
    Refused(&'static str),
}

/// One statement of a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementPart {
    /// What becomes of it.
    pub kind: StatementKind,
    /// Whether it may change data.
    pub access: work_request::WorkAccess,
    /// True if it can end a transaction, so that its answer may carry a commit.
    pub may_commit: bool,
}

/// What the entry knows about a text of one or more statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementClass {
    /// The statements in order.
    pub parts: Vec<StatementPart>,
    /// Tables that it names, in lower case.
    pub tables: Vec<String>,
    /// Hash of the text without its constants.
    pub fingerprint: ids::FingerprintId,
}

impl StatementClass {
    /// Returns whether any part may change data.
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

    /// Returns the local statements if all parts are local.
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
