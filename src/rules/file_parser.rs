//! Parses a rules file and checks it, including that the rules are consistent with each other.

use std::collections;

use crate::rules::field_reader;
use crate::rules::rule_error;
use crate::rules::rule_line;
use crate::rules::rule_set;

/// Parses and checks a rules file.
///
/// # Errors
///
/// Returns every error in the file, in the order of its lines.
pub fn parse(text: &str) -> Result<rule_set::RuleSet, Vec<rule_error::RuleError>> {
    FileParser::default().parse(text)
}

/// A line and a column of the file, both from 1.
#[derive(Clone, Copy)]
struct FileLocation {
    line: usize,
    column: usize,
}

/// Collects the rules of a file and every error in it.
#[derive(Default)]
struct FileParser {
    rules: rule_set::RuleSet,
    errors: Vec<rule_error::RuleError>,
    /// Location of the first rule with each kind and subject, to find duplicate rules.
    first_locations: collections::BTreeMap<String, FileLocation>,
    /// Customers that login rules name, with the locations. They are checked at the end, because
    /// the customer rule may follow.
    login_customers: Vec<(FileLocation, String)>,
    /// Sum of the reserves so far.
    reserved: u32,
}

impl FileParser {
    fn parse(mut self, text: &str) -> Result<rule_set::RuleSet, Vec<rule_error::RuleError>> {
        for (number, text) in (1..).zip(text.lines()) {
            if let Some(line) = rule_line::RuleLine::split(number, text, &mut self.errors) {
                self.parse_line(&line);
            }
        }
        for (location, customer) in std::mem::take(&mut self.login_customers) {
            if !self
                .first_locations
                .contains_key(&rule_key("customer", &customer))
            {
                let found = rule_line::quote(&customer);
                self.report(
                    location,
                    format!(
                        "found the unknown customer {found}, expected one with a customer rule"
                    ),
                );
            }
        }
        if self.errors.is_empty() {
            return Ok(self.rules);
        }
        self.errors.sort_by_key(|error| (error.line, error.column));
        Err(self.errors)
    }

    fn parse_line(&mut self, line: &rule_line::RuleLine) {
        let Some(kind) = line.tokens.first() else {
            return;
        };
        self.check_duplicate(line);
        // A rule with an invalid comment is parsed nevertheless, to report all of its errors.
        let requester = line.requester(&mut self.errors).unwrap_or_default();
        let errors = &mut self.errors;
        match kind.text.as_str() {
            "customer" => {
                let keys = rule_set::CustomerRule::KEYS;
                let mut reader = field_reader::FieldReader::with_argument(line, &keys, errors);
                if let Some(rule) = rule_set::CustomerRule::parse(&mut reader, requester) {
                    self.check_reserve(line, rule.reserve);
                    self.rules.customers.push(rule);
                }
            }
            "login" => {
                let keys = rule_set::LoginRule::KEYS;
                let mut reader = field_reader::FieldReader::with_argument(line, &keys, errors);
                let rule = rule_set::LoginRule::parse(&mut reader, requester);
                self.rules.logins.extend(rule);
                self.record_login_customer(line);
            }
            "long" => {
                let keys = rule_set::LongRule::KEYS;
                let mut reader = field_reader::FieldReader::with_argument(line, &keys, errors);
                let rule = rule_set::LongRule::parse(&mut reader, requester);
                self.rules.longs.extend(rule);
            }
            "read" => {
                let keys = rule_set::ReadRule::KEYS;
                let mut reader = field_reader::FieldReader::with_argument(line, &keys, errors);
                let rule = rule_set::ReadRule::parse(&mut reader, requester);
                self.rules.reads.extend(rule);
            }
            "write" => {
                let keys = rule_set::WriteRule::KEYS;
                let mut reader = field_reader::FieldReader::with_argument(line, &keys, errors);
                let rule = rule_set::WriteRule::parse(&mut reader, requester);
                self.rules.writes.extend(rule);
            }
            "drain" => {
                let keys = rule_set::DrainRule::KEYS;
                let mut reader = field_reader::FieldReader::without_argument(line, &keys, errors);
                let rule = rule_set::DrainRule::parse(&mut reader, requester);
                self.rules.drains.extend(rule);
            }
            other => {
                let found = rule_line::quote(other);
                let location = FileLocation {
                    line: line.number,
                    column: kind.column,
                };
                self.report(
                    location,
                    format!(
                        "found the unknown kind {found}, expected customer, login, long, read, write or drain"
                    ),
                );
            }
        }
    }

    /// Reports a duplicate rule for the same customer, login, pattern, target or drain. One of the
    /// two would silently have no effect.
    fn check_duplicate(&mut self, line: &rule_line::RuleLine) {
        let [kind, subject_token, ..] = line.tokens.as_slice() else {
            return;
        };
        let location = FileLocation {
            line: line.number,
            column: subject_token.column,
        };
        if let Some(first) = self
            .first_locations
            .get(&rule_key(&kind.text, &subject_token.text))
        {
            let text = format!(
                "found a second rule \"{} {}\", expected only one (first in line {})",
                kind.text, subject_token.text, first.line
            );
            self.report(location, text);
        } else {
            self.first_locations
                .insert(rule_key(&kind.text, &subject_token.text), location);
        }
    }

    /// Records the customer that a login rule names.
    fn record_login_customer(&mut self, line: &rule_line::RuleLine) {
        for token in &line.tokens {
            if let Some(customer) = token.text.strip_prefix("customer=") {
                let location = FileLocation {
                    line: line.number,
                    column: token.column + "customer=".len(),
                };
                self.login_customers.push((location, customer.to_owned()));
            }
        }
    }

    /// Reports if the sum of all reserves exceeds the limit.
    fn check_reserve(&mut self, line: &rule_line::RuleLine, reserve: u32) {
        self.reserved = self.reserved.saturating_add(reserve);
        if reserve == 0 || self.reserved <= rule_set::MAX_RESERVE_SLOTS {
            return;
        }
        let column = line
            .tokens
            .iter()
            .find(|token| token.text.starts_with("reserve="))
            .map_or(1, |token| token.column);
        let location = FileLocation {
            line: line.number,
            column,
        };
        self.report(
            location,
            format!(
                "found reserves of {} slots in all, expected at most {}",
                self.reserved,
                rule_set::MAX_RESERVE_SLOTS
            ),
        );
    }

    fn report(&mut self, location: FileLocation, problem: String) {
        self.errors.push(rule_error::RuleError {
            line: location.line,
            column: location.column,
            problem,
        });
    }
}

/// Identifies what a rule is about.
fn rule_key(kind: &str, subject: &str) -> String {
    format!("{kind} {subject}")
}
