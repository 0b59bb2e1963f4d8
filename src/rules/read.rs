//! Parses and formats `read` rules.

use std::fmt;

use crate::rules::field_reader;
use crate::rules::rule_set;
use crate::rules::time_text;

impl rule_set::ReadRule {
    /// Keys of the fields of a rule.
    pub(super) const KEYS: [&str; 1] = ["max-age"];

    /// Parses the fields of a rule. Returns `None` after reporting an invalid field that is
    /// required.
    pub(super) fn parse(
        reader: &mut field_reader::FieldReader<'_>,
        requester: String,
    ) -> Option<Self> {
        let target = reader.name_argument("the name of a table or a database");
        let max_age = reader.required_time("max-age");
        Some(Self {
            target: target?,
            max_age: max_age?,
            requester,
        })
    }
}

impl fmt::Display for rule_set::ReadRule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "read {} max-age={} # asked for by: {}",
            self.target,
            time_text::format(self.max_age),
            self.requester
        )
    }
}
