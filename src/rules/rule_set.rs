//! [`RuleSet`]: the rules of one revision, after parsing and checking.

use std::time;

use crate::model::ids;
use crate::rules::scram_verifier;

/// Limit of the sum of all reserves in slots of each upstream. Upstreams have 3 slots, and one must
/// be left for customers without a reserve.
pub const MAX_RESERVE_SLOTS: u32 = 2;

/// Whether a customer has bought priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum CustomerPriority {
    /// Shares the slots by weight.
    #[default]
    Normal,
    /// Is served before customers with normal priority.
    High,
}

/// `customer NAME [priority=high|normal] [reserve=SLOTS] [weight=N]`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerRule {
    /// The customer.
    pub customer: ids::CustomerId,
    /// Priority that the customer has bought.
    pub priority: CustomerPriority,
    /// Slots of each upstream that are reserved for the customer. Others may use them only for
    /// short batches.
    pub reserve: u32,
    /// Relative share among customers of equal priority; 1 by default.
    pub weight: u32,
    /// Who asked for the rule.
    pub requester: String,
}

/// `login USER customer=NAME verifier=SCRAM-SHA-256$...`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoginRule {
    /// Login user.
    pub user: ids::UserName,
    /// Customer to which the login belongs.
    pub customer: ids::CustomerId,
    /// Verifier against which the password is checked.
    pub verifier: scram_verifier::ScramVerifier,
    /// Who asked for the rule.
    pub requester: String,
}

/// `long "PATTERN" [slots=N]`; a double quote within the pattern is written twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LongRule {
    /// Pattern of the start of the statement's text, regardless of case; `%` matches any text.
    pub pattern: String,
    /// Limit of slots of an upstream that matching batches may hold at once; 1 by default.
    pub slots: u32,
    /// Who asked for the rule.
    pub requester: String,
}

/// `read TARGET max-age=TIME`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadRule {
    /// A table or a database. A rule for a table takes precedence over one for its database.
    pub target: String,
    /// Staleness that reads of the target accept.
    pub max_age: time::Duration,
    /// Who asked for the rule.
    pub requester: String,
}

/// When a write counts as acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum AcknowledgeMode {
    /// Once a second upstream holds it.
    #[default]
    Replicated,
    /// Once the primary has committed it; a failover may lose it.
    Primary,
}

/// `write TARGET [acknowledge=replicated|primary] [deadline=TIME]`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteRule {
    /// A table or a database. A rule for a table takes precedence over one for its database.
    pub target: String,
    /// When the write counts as acknowledged.
    pub acknowledge: AcknowledgeMode,
    /// Time within which a write has to be sent to the primary.
    pub deadline: Option<time::Duration>,
    /// Who asked for the rule.
    pub requester: String,
}

/// What a drain rule takes out of service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainTarget {
    /// An upstream gets no new work.
    Upstream(ids::UpstreamId),
    /// A VM gets no new work.
    Vm(ids::VmId),
}

/// `drain upstream=ID` or `drain vm=ID`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainRule {
    /// What gets no new work.
    pub target: DrainTarget,
    /// Who asked for the rule.
    pub requester: String,
}

/// The rules of one revision. `docs/rules.md` describes each kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RuleSet {
    /// Customers.
    pub customers: Vec<CustomerRule>,
    /// Logins.
    pub logins: Vec<LoginRule>,
    /// Patterns of statements that run long.
    pub longs: Vec<LongRule>,
    /// Staleness that reads accept.
    pub reads: Vec<ReadRule>,
    /// How writes are acknowledged.
    pub writes: Vec<WriteRule>,
    /// Upstreams and VMs that are taken out of service.
    pub drains: Vec<DrainRule>,
}

impl RuleSet {
    /// Returns the login rule of a user.
    #[must_use]
    pub fn login(&self, user: &str) -> Option<&LoginRule> {
        self.logins.iter().find(|rule| rule.user == user)
    }

    /// Returns the customer rule of a customer.
    #[must_use]
    pub fn customer(&self, customer: &str) -> Option<&CustomerRule> {
        self.customers.iter().find(|rule| rule.customer == customer)
    }

    /// Returns whether a rule takes the upstream out of service.
    #[must_use]
    pub fn drains_upstream(&self, upstream: &str) -> bool {
        self.drains
            .iter()
            .any(|rule| matches!(&rule.target, DrainTarget::Upstream(id) if id == upstream))
    }

    /// Returns whether a rule takes the VM out of service.
    #[must_use]
    pub fn drains_vm(&self, vm: &str) -> bool {
        self.drains
            .iter()
            .any(|rule| matches!(&rule.target, DrainTarget::Vm(id) if id == vm))
    }
}
