//! [`DecisionOutcome`]: what came of a decision that is over.

/// What came of a decision that is over, as far as the VM that closes it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecisionOutcome {
    /// An upstream was promoted.
    Promoted,
    /// No upstream was promoted, and none can be any more.
    Kept,
    /// A promotion may have been called, for instance before a restart of the VM.
    Unknown,
}
