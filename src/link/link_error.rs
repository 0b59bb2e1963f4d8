//! [`LinkError`]: a failure on a link between two of our processes.

/// What was being done on a link when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum LinkStep {
    /// Opening the TCP connection.
    Connect,
    /// Exchanging versions.
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

/// A failure on a link, with the step and the peer at which it arose.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("link failed: step={step} peer={peer} cause={cause}")]
pub struct LinkError {
    /// What was being done.
    pub step: LinkStep,
    /// Address of the other process.
    pub peer: String,
    /// What the library reported.
    pub cause: String,
}

impl LinkError {
    /// Creates an error from what a library reported.
    #[must_use]
    pub fn new(step: LinkStep, peer: &str, cause: impl ToString) -> Self {
        Self {
            step,
            peer: peer.to_owned(),
            cause: cause.to_string(),
        }
    }
}
