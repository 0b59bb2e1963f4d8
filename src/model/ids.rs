//! Type aliases for the ids that appear in tables and messages.

/// Names a VM, unique within a deployment.
pub type VmId = String;
/// Names a data centre.
pub type DataCentreId = String;
/// Names one database instance.
pub type UpstreamId = String;
/// Names a replication group of upstreams.
pub type GroupId = String;
/// Names a database as a caller gives it when it opens a session.
pub type DatabaseName = String;
/// Names a customer as the rules define it.
pub type CustomerId = String;
/// Names a workspace, whose callers share keys, connections and limits.
pub type WorkspaceName = String;
/// Names a login user.
pub type UserName = String;
/// Number of a primary's term; a higher term replaces a lower one.
pub type TermNumber = u64;
/// Number of a log entry within a group's log, starting at 1.
pub type LogOffset = u64;
/// Number of a rule revision; revision 0 is the empty rule set.
pub type RuleRevision = u64;
/// Number of one run of a database process; each start gets a higher number.
pub type IncarnationId = u64;
/// Number that matches an answer to its request within one process.
pub type RequestId = u64;
/// Hash of a statement's text without its constants.
pub type FingerprintId = u64;
