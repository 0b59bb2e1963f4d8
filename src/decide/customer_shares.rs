//! [`CustomerShares`]: priorities, weights and slot limits that the rules set for a queue.

use std::collections;

use crate::model::ids;
use crate::rules::rule_set;

/// Priorities, weights and slot limits that the rules set for the queue of an upstream.
#[derive(Clone, Debug)]
pub struct CustomerShares {
    customers: collections::HashMap<ids::CustomerId, (bool, u32)>,
    /// Slots reserved for customers with high priority; only short batches of others may use them.
    pub reserve: u32,
    /// Slots that long batches may hold at once.
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
    /// Takes the shares from the rules. A queue does not see the text of statements, so the largest
    /// number of slots in any `long` rule applies to all long batches.
    #[must_use]
    pub fn new(rules: &rule_set::RuleSet) -> Self {
        let share = |rule: &rule_set::CustomerRule| {
            let high = rule.priority == rule_set::CustomerPriority::High;
            (rule.customer.clone(), (high, rule.weight.max(1)))
        };
        Self {
            customers: rules.customers.iter().map(share).collect(),
            reserve: rules
                .customers
                .iter()
                .fold(0, |sum, rule| sum.saturating_add(rule.reserve)),
            long_slots: rules.longs.iter().map(|rule| rule.slots).max().unwrap_or(1),
        }
    }

    /// Returns whether a customer has high priority, and its weight.
    #[must_use]
    pub fn of(&self, customer: &str) -> (bool, u32) {
        self.customers.get(customer).copied().unwrap_or((false, 1))
    }
}
