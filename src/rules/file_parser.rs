//! Reads a rules file and checks the rules against each other.

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

/// Where something was found.
#[derive(Clone, Copy)]
struct FilePlace {
    line: usize,
    column: usize,
}

/// Collects the rules of a file and every error in it.
#[derive(Default)]
struct FileParser {
    rules: rule_set::RuleSet,
    errors: Vec<rule_error::RuleError>,
    /// First place of each kind with what it is about, to find rules that stand twice.
    seen: collections::BTreeMap<String, FilePlace>,
    /// Where each login names its customer.
    memberships: Vec<(FilePlace, String)>,
    reserved: u32,
}

impl FileParser {
    fn parse(mut self, text: &str) -> Result<rule_set::RuleSet, Vec<rule_error::RuleError>> {
        for (number, text) in (1..).zip(text.lines()) {
            if let Some(line) = rule_line::RuleLine::split(number, text, &mut self.errors) {
                self.read_line(&line);
            }
        }
        for (place, customer) in std::mem::take(&mut self.memberships) {
            if !self.seen.contains_key(&subject("customer", &customer)) {
                let found = rule_line::quote(&customer);
                self.report(
                    place,
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

    fn read_line(&mut self, line: &rule_line::RuleLine) {
        let Some(kind) = line.tokens.first() else {
            return;
        };
        self.note_subject(line);
        // A rule is read even if its comment is not valid, to report all of its errors.
        let requester = line.requester(&mut self.errors).unwrap_or_default();
        let errors = &mut self.errors;
        match kind.text.as_str() {
            "customer" => {
                let keys = rule_set::CustomerRule::KEYS;
                let mut reader = field_reader::FieldReader::with_argument(line, &keys, errors);
                if let Some(rule) = rule_set::CustomerRule::read(&mut reader, requester) {
                    self.check_reserve(line, rule.reserve);
                    self.rules.customers.push(rule);
                }
            }
            "login" => {
                let keys = rule_set::LoginRule::KEYS;
                let mut reader = field_reader::FieldReader::with_argument(line, &keys, errors);
                let rule = rule_set::LoginRule::read(&mut reader, requester);
                self.rules.logins.extend(rule);
                self.note_membership(line);
            }
            "long" => {
                let keys = rule_set::LongRule::KEYS;
                let mut reader = field_reader::FieldReader::with_argument(line, &keys, errors);
                let rule = rule_set::LongRule::read(&mut reader, requester);
                self.rules.longs.extend(rule);
            }
            "read" => {
                let keys = rule_set::ReadRule::KEYS;
                let mut reader = field_reader::FieldReader::with_argument(line, &keys, errors);
                let rule = rule_set::ReadRule::read(&mut reader, requester);
                self.rules.reads.extend(rule);
            }
            "write" => {
                let keys = rule_set::WriteRule::KEYS;
                let mut reader = field_reader::FieldReader::with_argument(line, &keys, errors);
                let rule = rule_set::WriteRule::read(&mut reader, requester);
                self.rules.writes.extend(rule);
            }
            "drain" => {
                let keys = rule_set::DrainRule::KEYS;
                let mut reader = field_reader::FieldReader::without_argument(line, &keys, errors);
                let rule = rule_set::DrainRule::read(&mut reader, requester);
                self.rules.drains.extend(rule);
            }
            other => {
                let found = rule_line::quote(other);
                let place = FilePlace {
                    line: line.number,
                    column: kind.column,
                };
                self.report(
                    place,
                    format!(
                        "found the unknown kind {found}, expected customer, login, long, read, write or drain"
                    ),
                );
            }
        }
    }

    /// Reports a second rule about the same customer, login, pattern, target or drain. Of two such
    /// rules one would silently have no effect.
    fn note_subject(&mut self, line: &rule_line::RuleLine) {
        let [kind, about, ..] = line.tokens.as_slice() else {
            return;
        };
        let place = FilePlace {
            line: line.number,
            column: about.column,
        };
        if let Some(first) = self.seen.get(&subject(&kind.text, &about.text)) {
            let text = format!(
                "found a second rule \"{} {}\", expected only one (first in line {})",
                kind.text, about.text, first.line
            );
            self.report(place, text);
        } else {
            self.seen.insert(subject(&kind.text, &about.text), place);
        }
    }

    fn note_membership(&mut self, line: &rule_line::RuleLine) {
        for token in &line.tokens {
            if let Some(customer) = token.text.strip_prefix("customer=") {
                let place = FilePlace {
                    line: line.number,
                    column: token.column + "customer=".len(),
                };
                self.memberships.push((place, customer.to_owned()));
            }
        }
    }

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
        let place = FilePlace {
            line: line.number,
            column,
        };
        self.report(
            place,
            format!(
                "found reserves of {} slots in all, expected at most {}",
                self.reserved,
                rule_set::MAX_RESERVE_SLOTS
            ),
        );
    }

    fn report(&mut self, place: FilePlace, problem: String) {
        self.errors.push(rule_error::RuleError {
            line: place.line,
            column: place.column,
            problem,
        });
    }
}

fn subject(kind: &str, about: &str) -> String {
    format!("{kind} {about}")
}
