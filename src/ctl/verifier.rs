//! `persimmonctl verifier`: derives a login verifier from a password.

use std::io;

use crate::ctl;
use crate::ctl::ctl_error;
use crate::exit_code;
use crate::rules::scram_verifier;

/// Length of a salt in bytes, the same as in PostgreSQL.
const SALT_BYTES: usize = 16;

/// Derives a verifier with a random salt from the password on the first line of standard input.
pub(super) fn run(user: &str) -> Result<ctl::CtlOutput, ctl_error::CtlError> {
    let mut line = String::new();
    io::stdin().read_line(&mut line).map_err(|error| {
        let text = format!("the password cannot be read ({error}); write it in UTF-8");
        ctl_error::CtlError::new(exit_code::ExitCode::Failure, text)
    })?;
    let password = line.trim_end_matches(['\n', '\r']);
    if password.is_empty() {
        return Err(ctl_error::CtlError::usage(
            "no password was found on standard input; write it on the first line",
        ));
    }
    let salt: [u8; SALT_BYTES] = rand::random();
    let iterations = scram_verifier::DEFAULT_ITERATIONS;
    let verifier = scram_verifier::ScramVerifier::derive(password, &salt, iterations);
    Ok(ctl::CtlOutput {
        text: format!("{verifier}\n"),
        json: serde_json::json!({ "user": user, "verifier": verifier.to_string() }),
    })
}
