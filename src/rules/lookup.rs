//! Finds the rules that apply to a statement, and formats a rule set.

use std::fmt;

use crate::rules::rule_set;

/// Schema that is assumed for a table name without one.
const DEFAULT_SCHEMA: &str = "public.";

impl rule_set::RuleSet {
    /// Returns the strictest `read` rule for a statement on `tables` of `database`. A table without
    /// a rule of its own is subject to the rule of the database. Returns `None` if a table has
    /// neither, because reads of that table accept no stale data.
    #[must_use]
    pub fn read_rule<S: AsRef<str>>(
        &self,
        database: &str,
        tables: &[S],
    ) -> Option<&rule_set::ReadRule> {
        let database_rule = self.reads.iter().find(|rule| rule.target == database);
        if tables.is_empty() {
            return database_rule;
        }
        let rules: Option<Vec<_>> = tables
            .iter()
            .map(|table| {
                self.reads
                    .iter()
                    .find(|rule| is_same_table(&rule.target, table.as_ref()))
                    .or(database_rule)
            })
            .collect();
        rules?.into_iter().min_by_key(|rule| rule.max_age)
    }

    /// Returns the strictest `write` rule for a statement on `tables` of `database`. A table
    /// without a rule of its own is subject to the rule of the database. A table with neither
    /// counts as `acknowledge=replicated`, so a rule with `acknowledge=primary` is returned only if
    /// such rules apply to all tables. Of equally strict rules, the one with the shortest deadline
    /// is returned.
    #[must_use]
    pub fn write_rule<S: AsRef<str>>(
        &self,
        database: &str,
        tables: &[S],
    ) -> Option<&rule_set::WriteRule> {
        let database_rule = self.writes.iter().find(|rule| rule.target == database);
        if tables.is_empty() {
            return database_rule;
        }
        let rules: Vec<_> = tables
            .iter()
            .map(|table| {
                self.writes
                    .iter()
                    .find(|rule| is_same_table(&rule.target, table.as_ref()))
                    .or(database_rule)
            })
            .collect();
        let complete = rules.iter().all(Option::is_some);
        rules
            .into_iter()
            .flatten()
            .filter(|rule| complete || rule.acknowledge == rule_set::AcknowledgeMode::Replicated)
            .min_by_key(|rule| {
                let relaxed = rule.acknowledge == rule_set::AcknowledgeMode::Primary;
                (relaxed, rule.deadline.is_none(), rule.deadline)
            })
    }

    /// Returns the first `long` rule that matches the statement.
    #[must_use]
    pub fn long_rule(&self, statement: &str) -> Option<&rule_set::LongRule> {
        self.longs.iter().find(|rule| rule.matches(statement))
    }
}

impl fmt::Display for rule_set::RuleSet {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fn write_all<T: fmt::Display>(
            rules: &[T],
            formatter: &mut fmt::Formatter<'_>,
        ) -> fmt::Result {
            rules
                .iter()
                .try_for_each(|rule| writeln!(formatter, "{rule}"))
        }
        write_all(&self.customers, formatter)?;
        write_all(&self.logins, formatter)?;
        write_all(&self.longs, formatter)?;
        write_all(&self.reads, formatter)?;
        write_all(&self.writes, formatter)?;
        write_all(&self.drains, formatter)
    }
}

/// Returns whether a rule's target is this table, regardless of case and of the default schema.
fn is_same_table(target: &str, table: &str) -> bool {
    fn plain(name: &str) -> &str {
        name.strip_prefix(DEFAULT_SCHEMA).unwrap_or(name)
    }
    plain(target).eq_ignore_ascii_case(plain(table))
}
