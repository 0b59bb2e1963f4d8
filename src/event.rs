//! Structured logging: one line of key=value pairs for each event.

use std::fmt;
use std::fmt::Write;

/// A value in a log line.
pub type EventValue<'a> = &'a dyn fmt::Display;

/// Sets up the logger. The level comes from `RUST_LOG` and is `info` by default.
pub fn init() {
    init_with(env_logger::Target::Stderr);
}

/// Sets up the logger with `target` as its output.
pub fn init_with(target: env_logger::Target) {
    let environment = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(environment)
        .target(target)
        .format(|buffer, record| {
            use std::io::Write as _;
            writeln!(
                buffer,
                "at={} level={} {}",
                buffer.timestamp_millis(),
                record.level().as_str().to_ascii_lowercase(),
                record.args()
            )
        })
        .init();
}

/// Formats one event as `event=NAME key=value ...`. Values that are empty or contain white space,
/// control characters or quotes are quoted.
#[must_use]
pub fn format_line(name: &str, pairs: &[(&str, EventValue<'_>)]) -> String {
    let mut line = format!("event={name}");
    for (key, value) in pairs {
        let value = value.to_string();
        let plain = !value.is_empty()
            && value
                .chars()
                .all(|c| !c.is_whitespace() && !c.is_control() && c != '"');
        // Writing to a string cannot fail.
        let _ignored = if plain {
            write!(line, " {key}={value}")
        } else {
            write!(line, " {key}={value:?}")
        };
    }
    line
}

/// Logs an event at level `error`.
pub fn error(name: &str, pairs: &[(&str, EventValue<'_>)]) {
    emit(log::Level::Error, name, pairs);
}

/// Logs an event at level `warn`.
pub fn warn(name: &str, pairs: &[(&str, EventValue<'_>)]) {
    emit(log::Level::Warn, name, pairs);
}

/// Logs an event at level `info`.
pub fn info(name: &str, pairs: &[(&str, EventValue<'_>)]) {
    emit(log::Level::Info, name, pairs);
}

/// Logs an event at level `debug`.
pub fn debug(name: &str, pairs: &[(&str, EventValue<'_>)]) {
    emit(log::Level::Debug, name, pairs);
}

fn emit(level: log::Level, name: &str, pairs: &[(&str, EventValue<'_>)]) {
    if log::log_enabled!(level) {
        log::log!(level, "{}", format_line(name, pairs));
    }
}
