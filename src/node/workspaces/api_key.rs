//! [`ApiKey`]: the secret with which a caller proves its workspace.

use serde::{Deserialize, Serialize};
use sha2::Digest as _;

/// Secret with which a caller proves its workspace, as its SHA-256 digest. The text of a key is kept
/// nowhere, so that it cannot reach a log line, an error, a status report or another VM.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ApiKey([u8; 32]);

impl ApiKey {
    /// Computes the digest of a key.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(sha2::Sha256::digest(text.as_bytes()).into())
    }
}

impl std::fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ApiKey(_)")
    }
}
