//! [`ScramVerifier`]: what a login's password is checked against.

/// A SCRAM-SHA-256 verifier in PostgreSQL's form. The password cannot be computed from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScramVerifier {
    /// Rounds of the key derivation.
    pub iterations: u32,
    /// Salt of the key derivation.
    pub salt: Vec<u8>,
    /// Hash of the client key.
    pub stored_key: Vec<u8>,
    /// Key with which the server proves itself.
    pub server_key: Vec<u8>,
}
