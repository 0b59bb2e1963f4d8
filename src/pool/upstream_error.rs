//! [`UpstreamError`]: a failed operation on an upstream.

/// Operation on an upstream that failed.
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

/// A failed operation on an upstream, with the step and the peer.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("upstream failed: step={step} peer={peer} cause={cause}")]
pub struct UpstreamError {
    /// Operation that failed.
    pub step: UpstreamStep,
    /// Address of the upstream.
    pub peer: String,
    /// Error that the library or the upstream reported.
    pub cause: String,
    /// True if the upstream refused the connection because all are in use (SQLSTATE 53300).
    pub full: bool,
}

impl UpstreamError {
    /// Creates an error from that of a library.
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
