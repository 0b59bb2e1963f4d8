//! [`ScramVerifier`]: the verifier against which a login's password is checked.

use std::fmt;
use std::str;

use base64::Engine;
use base64::engine::general_purpose;
use hmac::Mac;
use sha2::Digest;

/// Name of the mechanism, with which every verifier starts.
const MECHANISM: &str = "SCRAM-SHA-256";
/// Length of a SHA-256 hash in bytes.
const KEY_BYTES: usize = 32;
/// Rounds of the key derivation for new verifiers; the default of PostgreSQL.
pub const DEFAULT_ITERATIONS: u32 = 4_096;
/// Limit of the rounds. Clients compute them at each login, and more rounds would take them
/// seconds.
const MAX_ITERATIONS: u32 = 1_000_000;

/// A SCRAM-SHA-256 verifier in PostgreSQL's form. The password cannot be computed from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScramVerifier {
    /// Rounds of the key derivation.
    pub iterations: u32,
    /// Salt of the key derivation.
    pub salt: Vec<u8>,
    /// Hash of the client key.
    pub stored_key: Vec<u8>,
    /// Key by which the server authenticates itself to the client.
    pub server_key: Vec<u8>,
}

/// The error of a text that is not a verifier. It does not quote the text, which may be a password.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display(
    "found a value that is not a verifier, expected SCRAM-SHA-256$ROUNDS:SALT$STORED:SERVER (persimmonctl verifier prints one)"
)]
pub struct VerifierError;

impl ScramVerifier {
    /// Computes the verifier of a password, as RFC 5802 defines it.
    #[must_use]
    pub fn derive(password: &str, salt: &[u8], iterations: u32) -> Self {
        // As in PostgreSQL, a password that SASLprep rejects is used unchanged.
        let prepared = stringprep::saslprep(password).unwrap_or(password.into());
        let mut salted = [0; KEY_BYTES];
        pbkdf2::pbkdf2_hmac::<sha2::Sha256>(prepared.as_bytes(), salt, iterations, &mut salted);
        let client_key = hmac_sha256(&salted, b"Client Key");
        Self {
            iterations,
            salt: salt.to_vec(),
            stored_key: sha2::Sha256::digest(client_key).to_vec(),
            server_key: hmac_sha256(&salted, b"Server Key"),
        }
    }
}

impl fmt::Display for ScramVerifier {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let encode = |bytes: &[u8]| general_purpose::STANDARD.encode(bytes);
        write!(
            formatter,
            "{MECHANISM}${}:{}${}:{}",
            self.iterations,
            encode(&self.salt),
            encode(&self.stored_key),
            encode(&self.server_key)
        )
    }
}

impl str::FromStr for ScramVerifier {
    type Err = VerifierError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or(VerifierError)
    }
}

fn parse(text: &str) -> Option<ScramVerifier> {
    let decode = |part: &str| general_purpose::STANDARD.decode(part).ok();
    let rest = text.strip_prefix(MECHANISM)?.strip_prefix('$')?;
    let (derivation, keys) = rest.split_once('$')?;
    let (iterations, salt) = derivation.split_once(':')?;
    let (stored_key, server_key) = keys.split_once(':')?;
    let verifier = ScramVerifier {
        iterations: iterations.parse().ok()?,
        salt: decode(salt)?,
        stored_key: decode(stored_key)?,
        server_key: decode(server_key)?,
    };
    let valid = (1..=MAX_ITERATIONS).contains(&verifier.iterations)
        && !iterations.starts_with('+')
        && !verifier.salt.is_empty()
        && verifier.stored_key.len() == KEY_BYTES
        && verifier.server_key.len() == KEY_BYTES;
    valid.then_some(verifier)
}

fn hmac_sha256(key: &[u8; KEY_BYTES], text: &[u8]) -> Vec<u8> {
    // HMAC accepts keys of any length, so the default is never used.
    hmac::Hmac::<sha2::Sha256>::new_from_slice(key)
        .map(|mac| mac.chain_update(text).finalize().into_bytes().to_vec())
        .unwrap_or_default()
}
