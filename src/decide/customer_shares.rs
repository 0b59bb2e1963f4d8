//! [`CustomerShares`]: what the rules give to customers in a queue.

use std::collections;

use crate::model::ids;
use crate::rules::rule_set;

/// What the rules give to customers in a queue.
#[derive(Clone, Debug)]
pub struct CustomerShares {
    customers: collections::HashMap<ids::CustomerId, (bool, u32)>,
    /// Slots that only short work may borrow from priority customers.
    pub reserve: u32,
    /// Slots that long work may hold.
    pub long_slots: u32,
}

impl Default for CustomerShares {
    fn default() -> Self {
        Self {
            customers: collections::HashMap::new(),
            reserve: 0,
            long_slots: 1,
        }
    }
}

impl CustomerShares {
    /// Reads the terms from rules. A queue does not see statements, so the most generous `long`
    /// rule sets the slots of all long work.
    #[must_use]
    pub fn new(rules: &rule_set::RuleSet) -> Self {
        let terms = |rule: &rule_set::CustomerRule| {
            let high = rule.priority == rule_set::CustomerPriority::High;
            (rule.customer.clone(), (high, rule.weight.max(1)))
        };
        Self {
            customers: rules.customers.iter().map(terms).collect(),
            reserve: rules
                .customers
                .iter()
                .fold(0, |sum, rule| sum.saturating_add(rule.reserve)),
            long_slots: rules.longs.iter().map(|rule| rule.slots).max().unwrap_or(1),
        }
    }

    /// Returns whether a customer has priority, and its weight.
    #[must_use]
    pub fn of(&self, customer: &str) -> (bool, u32) {
        self.customers.get(customer).copied().unwrap_or((false, 1))
    }
}
