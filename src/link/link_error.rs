//! [`LinkError`]: a failure on a link between two of the system's processes.

/// Operation on a link that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum LinkStep {
    /// Opening the TCP connection.
    Connect,
    /// Exchanging hello messages.
    Hello,
    /// Opening a stream.
    OpenStream,
    /// Sending a frame.
    Send,
    /// Receiving a frame.
    Receive,
    /// Encoding a frame.
    Encode,
    /// Decoding a frame.
    Decode,
}

/// A failure on a link, with the operation that failed and the peer.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("link failed: step={step} peer={peer} cause={cause}")]
pub struct LinkError {
    /// Operation that failed.
    pub step: LinkStep,
    /// Address of the other process.
    pub peer: String,
    /// Error of the library, or a description of the failure.
    pub cause: String,
}

impl LinkError {
    /// Creates an error from its cause.
    #[must_use]
    pub fn new(step: LinkStep, peer: &str, cause: impl ToString) -> Self {
        Self {
            step,
            peer: peer.to_owned(),
            cause: cause.to_string(),
        }
    }
}
