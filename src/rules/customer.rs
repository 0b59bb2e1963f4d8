//! Parses and formats `customer` rules.

use std::fmt;

use crate::rules::field_reader;
use crate::rules::rule_set;

/// Largest weight of a customer. With larger ones, the smallest shares would be too small to
/// measure.
const MAX_WEIGHT: u32 = 1_000;

impl rule_set::CustomerRule {
    /// Keys of the fields of a rule.
    pub(super) const KEYS: [&str; 3] = ["priority", "reserve", "weight"];

    /// Parses the fields of a rule. Returns `None` after reporting an invalid field that is
    /// required.
    pub(super) fn parse(
        reader: &mut field_reader::FieldReader<'_>,
        requester: String,
    ) -> Option<Self> {
        let customer = reader.name_argument("a customer name");
        let priorities = [
            ("high", rule_set::CustomerPriority::High),
            ("normal", rule_set::CustomerPriority::Normal),
        ];
        let priority = reader.choice("priority", &priorities).unwrap_or_default();
        let reserve = reader
            .number("reserve", 0, rule_set::MAX_RESERVE_SLOTS)
            .unwrap_or(0);
        let weight = reader.number("weight", 1, MAX_WEIGHT).unwrap_or(1);
        Some(Self {
            customer: customer?,
            priority,
            reserve,
            weight,
            requester,
        })
    }
}

impl fmt::Display for rule_set::CustomerRule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "customer {}", self.customer)?;
        if self.priority != rule_set::CustomerPriority::default() {
            write!(formatter, " priority={}", self.priority)?;
        }
        if self.reserve != 0 {
            write!(formatter, " reserve={}", self.reserve)?;
        }
        if self.weight != 1 {
            write!(formatter, " weight={}", self.weight)?;
        }
        write!(formatter, " # asked for by: {}", self.requester)
    }
}
