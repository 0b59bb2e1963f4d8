//! Parses and formats `write` rules.

use std::fmt;
use std::time;

use crate::rules::field_reader;
use crate::rules::rule_set;
use crate::rules::time_text;

/// Shortest deadline. With a deadline of zero, no write could ever be sent in time.
const MIN_DEADLINE: time::Duration = time::Duration::from_millis(1);

impl rule_set::WriteRule {
    /// Keys of the fields of a rule.
    pub(super) const KEYS: [&str; 2] = ["acknowledge", "deadline"];

    /// Parses the fields of a rule. Returns `None` after reporting an invalid field that is
    /// required.
    pub(super) fn parse(
        reader: &mut field_reader::FieldReader<'_>,
        requester: String,
    ) -> Option<Self> {
        let target = reader.name_argument("the name of a table or a database");
        let modes = [
            ("replicated", rule_set::AcknowledgeMode::Replicated),
            ("primary", rule_set::AcknowledgeMode::Primary),
        ];
        let acknowledge = reader.choice("acknowledge", &modes).unwrap_or_default();
        let deadline = reader.time("deadline", MIN_DEADLINE);
        Some(Self {
            target: target?,
            acknowledge,
            deadline,
            requester,
        })
    }
}

impl fmt::Display for rule_set::WriteRule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "write {}", self.target)?;
        if self.acknowledge != rule_set::AcknowledgeMode::default() {
            write!(formatter, " acknowledge={}", self.acknowledge)?;
        }
        if let Some(deadline) = self.deadline {
            write!(formatter, " deadline={}", time_text::format(deadline))?;
        }
        write!(formatter, " # asked for by: {}", self.requester)
    }
}
