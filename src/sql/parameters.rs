//! Session parameters that the entry keeps itself.

use std::time;

/// Position that the session carries.
pub const POSITION: &str = "persimmontack.position";
/// Age that the session's reads accept.
pub const MAX_AGE: &str = "persimmontack.max_age";
/// Whether the session's work is long.
pub const LONG: &str = "persimmontack.long";
/// Name of a session that uses several connections.
pub const SESSION: &str = "persimmontack.session";

/// Parameters whose values do not change what a statement does, with their defaults.
const HARMLESS: [(&str, &str); 12] = [
    ("application_name", ""),
    ("client_encoding", "UTF8"),
    ("client_min_messages", "notice"),
    ("datestyle", "ISO, MDY"),
    ("extra_float_digits", "1"),
    ("intervalstyle", "postgres"),
    ("standard_conforming_strings", "on"),
    ("timezone", "UTC"),
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("integer_datetimes", "on"),
    ("transaction_read_only", "off"),
];

/// Parameters that only the server sets.
const FIXED: [&str; 4] = [
    "server_version",
    "server_encoding",
    "integer_datetimes",
    "transaction_read_only",
];

/// Parameters that change how values are written. Their defaults alone are accepted, because the
/// connections behind the entry are shared.
const DEFAULT_ONLY: [&str; 5] = [
    "client_encoding",
    "datestyle",
    "intervalstyle",
    "standard_conforming_strings",
    "timezone",
];

/// Tells whether the name, in lower case, is one of the product's own.
#[must_use]
pub fn is_own(name: &str) -> bool {
    [POSITION, MAX_AGE, LONG, SESSION].contains(&name)
}

/// Tells whether the entry keeps the parameter, given in lower case.
#[must_use]
pub fn is_kept(name: &str) -> bool {
    is_own(name) || default_value(name).is_some()
}

/// Returns the default of a harmless parameter.
#[must_use]
pub fn default_value(name: &str) -> Option<&'static str> {
    HARMLESS
        .iter()
        .find(|(known, _)| *known == name)
        .map(|(_, value)| *value)
}

/// Checks a new value of a harmless parameter and says what is wrong with it.
///
/// # Errors
///
/// Returns what was expected.
pub fn check_harmless(name: &str, value: &str) -> Result<(), String> {
    if FIXED.contains(&name) {
        return Err(format!("parameter \"{name}\" cannot be changed"));
    }
    let plain = |text: &str| text.to_ascii_lowercase().replace(['-', ' '], "");
    let default = default_value(name).unwrap_or_default();
    let (given, wanted) = (plain(value), plain(default));
    // Drivers shorten DateStyle to its first part.
    if DEFAULT_ONLY.contains(&name) && given != wanted && !wanted.starts_with(&format!("{given},"))
    {
        let accepted = match name {
            "timezone" => matches!(given.as_str(), "utc" | "gmt" | "etc/utc"),
            "client_encoding" => matches!(given.as_str(), "utf8" | "unicode"),
            _ => false,
        };
        if !accepted {
            return Err(format!(
                "parameter \"{name}\" can only be \"{default}\" on shared connections, not \"{value}\""
            ));
        }
    }
    Ok(())
}

/// Parses a time such as `500ms`, `2s` or `1min`; a plain number is in milliseconds.
#[must_use]
pub fn parse_duration(text: &str) -> Option<time::Duration> {
    let text = text.trim();
    let digits = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let (number, unit) = text.split_at_checked(digits)?;
    let number: u64 = number.parse().ok()?;
    match unit.trim() {
        "" | "ms" => Some(time::Duration::from_millis(number)),
        "s" => Some(time::Duration::from_secs(number)),
        "min" => number.checked_mul(60).map(time::Duration::from_secs),
        _ => None,
    }
}
