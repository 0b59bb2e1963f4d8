//! Parses and formats `long` rules, and matches statements against them.

use std::fmt;

use crate::rules::field_reader;
use crate::rules::rule_set;

/// Largest number of slots in a rule; no upstream has more.
const MAX_SLOTS: u32 = 1_000;

impl rule_set::LongRule {
    /// Keys of the fields of a rule.
    pub(super) const KEYS: [&str; 1] = ["slots"];

    /// Parses the fields of a rule. Returns `None` after reporting an invalid field that is
    /// required.
    pub(super) fn parse(
        reader: &mut field_reader::FieldReader<'_>,
        requester: String,
    ) -> Option<Self> {
        let pattern = reader.quoted_argument("a pattern of the statement");
        let slots = reader.number("slots", 1, MAX_SLOTS).unwrap_or(1);
        Some(Self {
            pattern: pattern?,
            slots,
            requester,
        })
    }

    /// Returns whether the start of the statement matches the pattern. Leading comments are
    /// skipped, case is ignored, white space in the pattern matches any white space, and `%`
    /// matches any text.
    #[must_use]
    pub fn matches(&self, statement: &str) -> bool {
        let mut rest = skip_comments(statement);
        let mut segments = self.pattern.trim().split('%');
        if let Some(first) = segments.next() {
            match strip_segment(rest, first) {
                Some(after) => rest = after,
                None => return false,
            }
        }
        // Any text may follow the pattern, so it suffices to try the first match of each segment.
        segments.all(|segment| {
            let found = rest
                .char_indices()
                .filter_map(|(start, _)| strip_segment(rest.get(start..)?, segment))
                .next();
            match found {
                Some(after) => rest = after,
                None => return segment.is_empty(),
            }
            true
        })
    }
}

impl fmt::Display for rule_set::LongRule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "long \"{}\"", self.pattern.replace('"', "\"\""))?;
        if self.slots != 1 {
            write!(formatter, " slots={}", self.slots)?;
        }
        write!(formatter, " # asked for by: {}", self.requester)
    }
}

/// Returns the text after leading white space and comments.
fn skip_comments(statement: &str) -> &str {
    let mut rest = statement.trim_start();
    loop {
        let after = if let Some(comment) = rest.strip_prefix("/*") {
            comment.split_once("*/").map(|(_, after)| after)
        } else if let Some(comment) = rest.strip_prefix("--") {
            comment.split_once('\n').map(|(_, after)| after)
        } else {
            None
        };
        match after {
            Some(after) => rest = after.trim_start(),
            None => return rest,
        }
    }
}

/// Returns the rest of `text` after `segment`, or `None` if `text` does not start with it.
fn strip_segment<'a>(text: &'a str, segment: &str) -> Option<&'a str> {
    let mut rest = text;
    let mut wanted = segment.chars().peekable();
    while let Some(c) = wanted.next() {
        let mut chars = rest.chars();
        let found = chars.next()?;
        if c.is_whitespace() {
            if !found.is_whitespace() {
                return None;
            }
            while wanted.next_if(|next| next.is_whitespace()).is_some() {}
            rest = rest.trim_start();
        } else {
            if c != found && !c.to_lowercase().eq(found.to_lowercase()) {
                return None;
            }
            rest = chars.as_str();
        }
    }
    Some(rest)
}
