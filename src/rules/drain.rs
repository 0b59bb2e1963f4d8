//! Parses and formats `drain` rules.

use std::fmt;

use crate::rules::field_reader;
use crate::rules::rule_set;

impl rule_set::DrainRule {
    /// Keys of the fields of a rule.
    pub(super) const KEYS: [&str; 2] = ["upstream", "vm"];

    /// Parses the fields of a rule. Returns `None` after reporting an invalid field that is
    /// required.
    pub(super) fn parse(
        reader: &mut field_reader::FieldReader<'_>,
        requester: String,
    ) -> Option<Self> {
        let upstream = reader.name("upstream", "the name of an upstream");
        let vm = reader.name("vm", "the name of a VM");
        let target = match (upstream, vm) {
            (Some(upstream), None) => rule_set::DrainTarget::Upstream(upstream),
            (None, Some(vm)) => rule_set::DrainTarget::Vm(vm),
            (Some(_), Some(_)) => {
                return reader
                    .missing("either upstream= or vm=, not both; write one rule for each");
            }
            // An invalid name has been reported already.
            (None, None) if !reader.is_valid() => return None,
            (None, None) => return reader.missing("upstream= or vm="),
        };
        Some(Self { target, requester })
    }
}

impl fmt::Display for rule_set::DrainTarget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Upstream(upstream) => write!(formatter, "upstream={upstream}"),
            Self::Vm(vm) => write!(formatter, "vm={vm}"),
        }
    }
}

impl fmt::Display for rule_set::DrainRule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "drain {} # asked for by: {}",
            self.target, self.requester
        )
    }
}
