//! [`RuleLine`]: one line of a rules file, split into tokens.

use crate::rules::rule_error;

/// Prefix that the comment of every rule must have.
const REQUESTER_PREFIX: &str = "asked for by:";
/// Number of characters of a token that an error message quotes at most.
const QUOTED_CHARS: usize = 60;

/// A word or a quoted text, with the column of its first character.
#[derive(Clone, Debug)]
pub(super) struct RuleToken {
    pub(super) column: usize,
    pub(super) text: String,
    pub(super) quoted: bool,
}

/// The tokens of one line.
#[derive(Debug)]
pub(super) struct RuleLine {
    pub(super) number: usize,
    pub(super) tokens: Vec<RuleToken>,
    /// The text after `#`, with the column of the `#`.
    comment: Option<RuleToken>,
    /// Column after the last token.
    pub(super) fields_end: usize,
    /// Column after the last character that is not white space.
    end: usize,
}

impl RuleLine {
    /// Splits a line. Returns `None` after reporting an error if that is not possible.
    pub(super) fn split(
        number: usize,
        text: &str,
        errors: &mut Vec<rule_error::RuleError>,
    ) -> Option<Self> {
        // The change log stores whole lines, and other tools take a carriage return for a line end.
        if let Some(index) = text.chars().position(|c| c == '\r') {
            errors.push(rule_error::RuleError {
                line: number,
                column: index + 1,
                problem: "found a carriage return within a line, expected line ends only"
                    .to_owned(),
            });
            return None;
        }
        let mut line = Self {
            number,
            tokens: Vec::new(),
            comment: None,
            fields_end: 1,
            end: text.trim_end().chars().count() + 1,
        };
        let mut chars = (1..).zip(text.trim_end().chars()).peekable();
        while let Some((column, first)) = chars.next() {
            if first.is_whitespace() {
                continue;
            }
            let mut text = String::new();
            if first == '#' {
                text.extend(chars.by_ref().map(|(_, c)| c));
                line.comment = Some(RuleToken {
                    column,
                    text,
                    quoted: false,
                });
                break;
            }
            let quoted = first == '"';
            if quoted {
                loop {
                    match chars.next() {
                        Some((_, '"')) if chars.next_if(|(_, c)| *c == '"').is_some() => {
                            text.push('"');
                        }
                        Some((_, '"')) => break,
                        Some((_, c)) => text.push(c),
                        None => {
                            errors.push(rule_error::RuleError {
                                line: number,
                                column,
                                problem: "found a quote that is not closed, expected \" before the end of the line"
                                    .to_owned(),
                            });
                            return None;
                        }
                    }
                }
            } else {
                text.push(first);
                while let Some((_, c)) = chars.next_if(|(_, c)| !c.is_whitespace()) {
                    text.push(c);
                }
            }
            line.fields_end = chars.peek().map_or(line.end, |(next, _)| *next);
            line.tokens.push(RuleToken {
                column,
                text,
                quoted,
            });
        }
        Some(line)
    }

    /// Returns who asked for the rule, or reports that the comment does not name anyone.
    pub(super) fn requester(&self, errors: &mut Vec<rule_error::RuleError>) -> Option<String> {
        let (column, found) = match &self.comment {
            None => (self.end, "the end of the line".to_owned()),
            Some(comment) => match comment.text.trim().strip_prefix(REQUESTER_PREFIX) {
                Some(name) if !name.trim().is_empty() => return Some(name.trim().to_owned()),
                Some(_) => (self.end, "no name".to_owned()),
                None => (
                    comment.column,
                    format!("the comment {}", quote(&comment.text)),
                ),
            },
        };
        errors.push(rule_error::RuleError {
            line: self.number,
            column,
            problem: format!("found {found}, expected \"# {REQUESTER_PREFIX} NAME\""),
        });
        None
    }
}

/// Quotes a text for an error message, shortened so that the message stays one readable line.
pub(super) fn quote(text: &str) -> String {
    if text.chars().nth(QUOTED_CHARS).is_none() {
        format!("{text:?}")
    } else {
        let start: String = text.chars().take(QUOTED_CHARS).collect();
        format!("{:?}", format!("{start}..."))
    }
}
