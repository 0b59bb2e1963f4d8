//! Names, defaults and checks of the session parameters that the entry handles itself.

use std::time;

/// Log position that the session's reads must include.
pub const POSITION: &str = "persimmontack.position";
/// Maximum age of the data that the session's reads may return.
pub const MAX_AGE: &str = "persimmontack.max_age";
/// Whether the session's statements are queued as long work.
pub const LONG: &str = "persimmontack.long";
/// Name of a logical session that uses several connections.
pub const SESSION: &str = "persimmontack.session";

/// Standard PostgreSQL parameters that the entry handles, with their defaults. Their accepted
/// values do not change the effect of a statement.
const STANDARD: [(&str, &str); 12] = [
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

/// Standard parameters that clients cannot change.
const READ_ONLY: [&str; 4] = [
    "server_version",
    "server_encoding",
    "integer_datetimes",
    "transaction_read_only",
];

/// Standard parameters that change the text format of values. Only their defaults are accepted,
/// because sessions share the upstream connections.
const DEFAULT_ONLY: [&str; 5] = [
    "client_encoding",
    "datestyle",
    "intervalstyle",
    "standard_conforming_strings",
    "timezone",
];

/// Returns whether the parameter, named in lower case, is one of the `persimmontack.*` parameters.
#[must_use]
pub fn is_product(name: &str) -> bool {
    [POSITION, MAX_AGE, LONG, SESSION].contains(&name)
}

/// Returns whether the entry handles the parameter, named in lower case.
#[must_use]
pub fn is_handled(name: &str) -> bool {
    is_product(name) || default_value(name).is_some()
}

/// Returns the default of a standard parameter.
#[must_use]
pub fn default_value(name: &str) -> Option<&'static str> {
    STANDARD
        .iter()
        .find(|(known, _)| *known == name)
        .map(|(_, value)| *value)
}

/// Checks a new value of a standard parameter.
///
/// # Errors
///
/// Returns the error message for the client if the value is not accepted.
pub fn check_standard(name: &str, value: &str) -> Result<(), String> {
    if READ_ONLY.contains(&name) {
        return Err(format!("parameter \"{name}\" cannot be changed"));
    }
    let plain = |text: &str| text.to_ascii_lowercase().replace(['-', ' '], "");
    let default = default_value(name).unwrap_or_default();
    let (given, wanted) = (plain(value), plain(default));
    // Drivers send only the first part of DateStyle.
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
