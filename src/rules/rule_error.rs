//! [`RuleError`]: an error in a rules file.

/// An error in a rules file, with its location and what was expected.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("line {line}, column {column}: {problem}")]
pub struct RuleError {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1, in characters.
    pub column: usize,
    /// What was found and what was expected.
    pub problem: String,
}
