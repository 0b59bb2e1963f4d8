//! [`RuleError`]: a rule that is not valid.

/// Says where a rules file is not valid, and what was expected.
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
