//! Parses and formats the times in rules: `250ms`, `2s`, `1m`.

use std::time;

const MS_PER_SECOND: u64 = 1_000;
const MS_PER_MINUTE: u64 = 60 * MS_PER_SECOND;

/// Parses a time. Returns `None` if the text is not a time or the time is too large.
pub(crate) fn parse(text: &str) -> Option<time::Duration> {
    let unit_at = text.find(|c: char| !c.is_ascii_digit())?;
    let (digits, unit) = text.split_at_checked(unit_at)?;
    let factor = match unit {
        "ms" => 1,
        "s" => MS_PER_SECOND,
        "m" => MS_PER_MINUTE,
        _ => return None,
    };
    let number: u64 = digits.parse().ok()?;
    number.checked_mul(factor).map(time::Duration::from_millis)
}

/// Formats a time in the largest unit of which it is a multiple. Fractions of 1 ms are dropped.
pub(crate) fn format(value: time::Duration) -> String {
    let ms = u64::try_from(value.as_millis()).unwrap_or(u64::MAX);
    match ms {
        0 => "0s".to_owned(),
        _ if ms.is_multiple_of(MS_PER_MINUTE) => format!("{}m", ms / MS_PER_MINUTE),
        _ if ms.is_multiple_of(MS_PER_SECOND) => format!("{}s", ms / MS_PER_SECOND),
        _ => format!("{ms}ms"),
    }
}
