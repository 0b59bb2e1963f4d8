//! [`FieldReader`]: parses the argument and the `key=value` fields of one rule.

use std::collections;
use std::str;
use std::time;

use crate::rules::rule_error;
use crate::rules::rule_line;
use crate::rules::time_text;

/// The value of a `key=value` field, with the columns of the key and the value.
struct RuleField {
    key_column: usize,
    value_column: usize,
    value: String,
}

/// Parses the fields of one rule and reports their errors. Each method returns `None` after it has
/// reported an error, so that the caller can go on to the next field and all errors are found.
pub(super) struct FieldReader<'a> {
    line: usize,
    end: usize,
    argument: Option<rule_line::RuleToken>,
    fields: collections::BTreeMap<String, RuleField>,
    errors: &'a mut Vec<rule_error::RuleError>,
    failed: bool,
}

impl<'a> FieldReader<'a> {
    /// Creates a reader of a rule that has an argument after its kind, and fields with these
    /// `keys`.
    pub(super) fn with_argument(
        line: &rule_line::RuleLine,
        keys: &[&str],
        errors: &'a mut Vec<rule_error::RuleError>,
    ) -> Self {
        let argument = line.tokens.get(1).cloned();
        Self::new(line, argument, 2, keys, errors)
    }

    /// Creates a reader of a rule that has only fields, with these `keys`.
    pub(super) fn without_argument(
        line: &rule_line::RuleLine,
        keys: &[&str],
        errors: &'a mut Vec<rule_error::RuleError>,
    ) -> Self {
        Self::new(line, None, 1, keys, errors)
    }

    fn new(
        line: &rule_line::RuleLine,
        argument: Option<rule_line::RuleToken>,
        first: usize,
        keys: &[&str],
        errors: &'a mut Vec<rule_error::RuleError>,
    ) -> Self {
        let mut reader = Self {
            line: line.number,
            end: line.fields_end,
            argument,
            fields: collections::BTreeMap::new(),
            errors,
            failed: false,
        };
        let expected = keys
            .iter()
            .map(|key| format!("{key}="))
            .collect::<Vec<_>>()
            .join(" or ");
        for token in line.tokens.iter().skip(first) {
            let found = rule_line::quote(&token.text);
            let split = (!token.quoted)
                .then(|| token.text.split_once('='))
                .flatten();
            let Some((key, value)) = split else {
                reader.report(token.column, format!("found {found}, expected {expected}"));
                continue;
            };
            if !keys.contains(&key) {
                let found = rule_line::quote(key);
                reader.report(
                    token.column,
                    format!("found the unknown key {found}, expected {expected}"),
                );
                continue;
            }
            let field = RuleField {
                key_column: token.column,
                value_column: token.column + key.chars().count() + 1,
                value: value.to_owned(),
            };
            if let Some(first) = reader.fields.get(key) {
                let text = format!(
                    "found the key {key:?} again, expected it only once (first in column {})",
                    first.key_column
                );
                reader.report(token.column, text);
            } else {
                reader.fields.insert(key.to_owned(), field);
            }
        }
        reader
    }

    /// Reports an error in this line.
    pub(super) fn report(&mut self, column: usize, problem: String) {
        self.failed = true;
        self.errors.push(rule_error::RuleError {
            line: self.line,
            column,
            problem,
        });
    }

    /// Returns the argument as a name: letters, digits, `-`, `_` and `.`, of which the first is a
    /// letter or a digit.
    pub(super) fn name_argument(&mut self, what: &str) -> Option<String> {
        match self.argument.take() {
            Some(token) if !token.quoted => self.check_name(token.column, token.text, what),
            Some(token) => {
                let found = rule_line::quote(&token.text);
                self.report(
                    token.column,
                    format!("found the quoted text {found}, expected {what} without quotes"),
                );
                None
            }
            None => self.missing(what),
        }
    }

    /// Returns the argument as a quoted text that is not empty.
    pub(super) fn quoted_argument(&mut self, what: &str) -> Option<String> {
        match self.argument.take() {
            Some(token) if token.quoted && !token.text.trim().is_empty() => Some(token.text),
            Some(token) => {
                let found = rule_line::quote(&token.text);
                self.report(
                    token.column,
                    format!("found {found}, expected {what} in double quotes"),
                );
                None
            }
            None => self.missing(what),
        }
    }

    /// Returns a field as a name, or `None` if it is absent.
    pub(super) fn name(&mut self, key: &str, what: &str) -> Option<String> {
        let field = self.fields.remove(key)?;
        self.check_name(field.value_column, field.value, what)
    }

    /// Returns a required field as a name.
    pub(super) fn required_name(&mut self, key: &str, what: &str) -> Option<String> {
        match self.fields.contains_key(key) {
            true => self.name(key, what),
            false => self.missing(&format!("{key}= with {what}")),
        }
    }

    /// Returns a whole number between `least` and `most`, or `None` if the field is absent.
    pub(super) fn number(&mut self, key: &str, least: u32, most: u32) -> Option<u32> {
        let field = self.fields.remove(key)?;
        let number = plain_number(&field.value).filter(|number| (least..=most).contains(number));
        if number.is_none() {
            let found = rule_line::quote(&field.value);
            self.report(
                field.value_column,
                format!("found {found}, expected a whole number from {least} to {most}"),
            );
        }
        number
    }

    /// Returns a time of at least `least`, or `None` if the field is absent.
    pub(super) fn time(&mut self, key: &str, least: time::Duration) -> Option<time::Duration> {
        let field = self.fields.remove(key)?;
        let value = time_text::parse(&field.value).filter(|value| *value >= least);
        if value.is_none() {
            let found = rule_line::quote(&field.value);
            let bound = time_text::format(least);
            let text =
                format!("found {found}, expected a time of at least {bound}, like 250ms, 2s or 1m");
            self.report(field.value_column, text);
        }
        value
    }

    /// Returns a required field as a time.
    pub(super) fn required_time(&mut self, key: &str) -> Option<time::Duration> {
        match self.fields.contains_key(key) {
            true => self.time(key, time::Duration::ZERO),
            false => self.missing(&format!("{key}= with a time like 250ms, 2s or 1m")),
        }
    }

    /// Returns the field's value among `values`, which have names, or `None` if the field is
    /// absent.
    pub(super) fn choice<T: Copy>(&mut self, key: &str, values: &[(&str, T)]) -> Option<T> {
        let field = self.fields.remove(key)?;
        let value = values.iter().find(|(name, _)| *name == field.value);
        if value.is_none() {
            let names: Vec<_> = values.iter().map(|(name, _)| *name).collect();
            let found = rule_line::quote(&field.value);
            self.report(
                field.value_column,
                format!("found {found}, expected {}", names.join(" or ")),
            );
        }
        value.map(|(_, value)| *value)
    }

    /// Returns a required field as a value of another type. `what` describes its form.
    pub(super) fn required<T: str::FromStr>(&mut self, key: &str, what: &str) -> Option<T>
    where
        T::Err: ToString,
    {
        let Some(field) = self.fields.remove(key) else {
            return self.missing(&format!("{key}= with {what}"));
        };
        match field.value.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.report(field.value_column, error.to_string());
                None
            }
        }
    }

    /// Returns whether no error has been reported in this line so far.
    pub(super) const fn is_valid(&self) -> bool {
        !self.failed
    }

    /// Reports that `what` is missing at the end of the rule.
    pub(super) fn missing<T>(&mut self, what: &str) -> Option<T> {
        let column = self.end;
        self.report(column, format!("found no more fields, expected {what}"));
        None
    }

    fn check_name(&mut self, column: usize, name: String, what: &str) -> Option<String> {
        let allowed = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.');
        if name.starts_with(char::is_alphanumeric) && name.chars().all(allowed) {
            return Some(name);
        }
        let text = format!(
            "found {}, expected {what} of letters, digits, -, _ and ., starting with a letter or a digit",
            rule_line::quote(&name)
        );
        self.report(column, text);
        None
    }
}

/// Parses a number of digits only. The library's parser would also accept a sign.
fn plain_number(text: &str) -> Option<u32> {
    text.bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| text.parse().ok())
        .flatten()
}
