//! [`UpstreamError`]: a failure at an upstream.

/// What was being done at an upstream when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum UpstreamStep {
    /// Opening the TCP connection.
    Connect,
    /// Logging in.
    Login,
    /// Sending messages.
    Send,
    /// Receiving an answer.
    Receive,
    /// Reading a state.
    ReadState,
}

/// A failure at an upstream, with the step and the peer.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("upstream failed: step={step} peer={peer} cause={cause}")]
pub struct UpstreamError {
    /// What was being done.
    pub step: UpstreamStep,
    /// Address of the upstream.
    pub peer: String,
    /// What the library or the upstream reported.
    pub cause: String,
    /// True when the upstream has no connection left (53300).
    pub full: bool,
}

impl UpstreamError {
    /// Creates an error from what a library reported.
    #[must_use]
    pub fn new(step: UpstreamStep, peer: impl ToString, cause: impl ToString) -> Self {
        Self {
            step,
            peer: peer.to_string(),
            cause: cause.to_string(),
            full: false,
        }
    }
}
