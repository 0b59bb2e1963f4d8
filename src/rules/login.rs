//! Parses and formats `login` rules.

use std::fmt;

use crate::rules::field_reader;
use crate::rules::rule_set;

impl rule_set::LoginRule {
    /// Keys of the fields of a rule.
    pub(super) const KEYS: [&str; 2] = ["customer", "verifier"];

    /// Parses the fields of a rule. Returns `None` after reporting an invalid field that is
    /// required.
    pub(super) fn parse(
        reader: &mut field_reader::FieldReader<'_>,
        requester: String,
    ) -> Option<Self> {
        let user = reader.name_argument("a user name");
        let customer = reader.required_name("customer", "a customer name");
        let verifier = reader.required("verifier", "SCRAM-SHA-256$ROUNDS:SALT$STORED:SERVER");
        Some(Self {
            user: user?,
            customer: customer?,
            verifier: verifier?,
            requester,
        })
    }
}

impl fmt::Display for rule_set::LoginRule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "login {} customer={} verifier={} # asked for by: {}",
            self.user, self.customer, self.verifier, self.requester
        )
    }
}
