//! [`RuleSet`]: the rules of one revision, parsed and checked.

use std::time;

use crate::model::ids;
use crate::rules::scram_verifier;

/// Most slots of one upstream that all reserves together may keep. Upstreams have 3 slots, and
/// customers without a reserve need one of them.
pub const MAX_RESERVE_SLOTS: u32 = 2;

/// Whether a customer has bought priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum CustomerPriority {
    /// Shares by weight.
    #[default]
    Normal,
    /// Goes first.
    High,
}

/// `customer NAME [priority=high|normal] [reserve=SLOTS] [weight=N]`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerRule {
    /// The customer.
    pub customer: ids::CustomerId,
    /// Bought priority.
    pub priority: CustomerPriority,
    /// Slots of each upstream kept for the customer; others borrow them only with short work.
    pub reserve: u32,
    /// Share among customers of equal priority; 1 by default.
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
    /// What the password is checked against.
    pub verifier: scram_verifier::ScramVerifier,
    /// Who asked for the rule.
    pub requester: String,
}

/// `long "PATTERN" [slots=N]`; a quote within the pattern is doubled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LongRule {
    /// Start of the statement's text, without regard to case; `%` stands for any text.
    pub pattern: String,
    /// Slots of an upstream that matching work may hold at once; 1 by default.
    pub slots: u32,
    /// Who asked for the rule.
    pub requester: String,
}

/// `read TARGET max-age=TIME`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadRule {
    /// A table or a database. A rule for a table goes before one for its database.
    pub target: String,
    /// Age that reads of the target accept.
    pub max_age: time::Duration,
    /// Who asked for the rule.
    pub requester: String,
}

/// When a write counts as acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum AcknowledgeMode {
    /// A second upstream holds it.
    #[default]
    Replicated,
    /// The primary has committed it; a failover may lose it.
    Primary,
}

/// `write TARGET [acknowledge=replicated|primary] [deadline=TIME]`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteRule {
    /// A table or a database. A rule for a table goes before one for its database.
    pub target: String,
    /// When the write counts as acknowledged.
    pub acknowledge: AcknowledgeMode,
    /// How long a write may be held before it is sent.
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
    /// Long work.
    pub longs: Vec<LongRule>,
    /// Ages that reads accept.
    pub reads: Vec<ReadRule>,
    /// How writes are acknowledged.
    pub writes: Vec<WriteRule>,
    /// What is out of service.
    pub drains: Vec<DrainRule>,
}

impl RuleSet {
    /// Returns the login of a user.
    #[must_use]
    pub fn login(&self, user: &str) -> Option<&LoginRule> {
        self.logins.iter().find(|rule| rule.user == user)
    }

    /// Returns the rule of a customer.
    #[must_use]
    pub fn customer(&self, customer: &str) -> Option<&CustomerRule> {
        self.customers.iter().find(|rule| rule.customer == customer)
    }

    /// Tells whether a rule takes the upstream out of service.
    #[must_use]
    pub fn drains_upstream(&self, upstream: &str) -> bool {
        self.drains
            .iter()
            .any(|rule| matches!(&rule.target, DrainTarget::Upstream(id) if id == upstream))
    }

    /// Tells whether a rule takes the VM out of service.
    #[must_use]
    pub fn drains_vm(&self, vm: &str) -> bool {
        self.drains
            .iter()
            .any(|rule| matches!(&rule.target, DrainTarget::Vm(id) if id == vm))
    }
}
