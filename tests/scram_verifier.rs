//! Derives, formats and parses password verifiers.

use persimmontack::rules::scram_verifier;
use postgres_protocol::password;

/// Guards against verifiers that differ from PostgreSQL's, with which clients could not log in. The
/// library computes the expected ones.
#[test]
fn derived_verifiers_equal_those_of_postgresql() {
    for secret in ["pencil", "", "Grüße\u{a0}x", "\u{7}bell"] {
        let text = password::scram_sha_256(secret.as_bytes());
        let expected: scram_verifier::ScramVerifier = text.parse().expect("verifier");
        assert_eq!(expected.to_string(), text);
        let derived =
            scram_verifier::ScramVerifier::derive(secret, &expected.salt, expected.iterations);
        assert_eq!(derived, expected, "{secret:?}");
    }
}

/// Guards against malformed verifiers with which no login or every login would succeed.
#[test]
fn malformed_verifiers_are_refused() {
    let good = scram_verifier::ScramVerifier::derive("secret", b"salt", 1).to_string();
    for bad in [
        "",
        "SCRAM-SHA-256",
        "SCRAM-SHA-256$",
        &good[..good.len() - 2],
        &good.replace("$1:", "$0:"),
        &good.replace("$1:", "$+1:"),
        &good.replace("$1:", "$99999999:"),
        &good.replace("SHA-256", "SHA-1"),
        "SCRAM-SHA-256$1:$:",
    ] {
        assert!(
            bad.parse::<scram_verifier::ScramVerifier>().is_err(),
            "{bad}"
        );
    }
}
