//! The edges of a node: callers, upstreams and the store, each behind a trait.

use std::io;
use std::net;
use std::time;

use tokio::io::{AsyncRead, AsyncWrite};

use crate::model::ids;
use crate::node::{
    answers, command, config, member, primary_change, request, session_state, upstream_entry,
};

/// Revision of the store; it only grows.
pub type RevisionNumber = u64;

/// A connection of a caller.
pub trait CallerLink {
    /// Whether another VM relays the session, so that this one has to run its statements itself.
    const RELAYED: bool = false;

    /// Returns the database that the caller wants.
    fn accept(&mut self) -> impl Future<Output = Result<ids::DatabaseName, CallerError>>;
    /// Returns the next request. Dropping the future loses nothing.
    fn receive(&mut self) -> impl Future<Output = Result<request::CallerRequest, CallerError>>;
    /// Tells the caller that the session is open.
    fn welcome(&mut self) -> impl Future<Output = io::Result<()>>;
    /// Answers the last request.
    fn answer(&mut self, answer: &answers::CallerAnswer) -> impl Future<Output = io::Result<()>>;
    /// Tells the caller why the connection ends, and ends it.
    fn reject(&mut self, error: &answers::StatementError) -> impl Future<Output = ()>;
    /// Returns what the session has set up elsewhere, if that came with the last request.
    fn take_state(&mut self) -> Option<session_state::SessionState> {
        None
    }
    /// Ends the connection outside a request.
    fn close(&mut self) -> impl Future<Output = ()> {
        std::future::ready(())
    }
}

/// Why no request came from a caller.
#[derive(Debug)]
pub enum CallerError {
    /// The caller has left.
    Closed,
    /// The caller broke the protocol; it is told why before the connection ends.
    Invalid(answers::StatementError),
}

/// A connection to an upstream.
pub trait UpstreamLink {
    /// Adds a command to what is sent next.
    fn queue(&mut self, command: &command::UpstreamCommand);
    /// Sends everything that was queued.
    fn flush(&mut self) -> impl Future<Output = io::Result<()>>;
    /// Returns the next whole answer.
    fn receive(&mut self) -> impl Future<Output = io::Result<answers::UpstreamAnswer>>;
    /// Tells whether an idle connection has been closed, or holds bytes although no answer is
    /// `owed`.
    fn is_stale(&mut self, owed: bool) -> bool;
    /// Decodes the row of an answer to a status or a fence.
    fn read_status(answer: &answers::UpstreamAnswer) -> Option<command::UpstreamStatus>;
}

/// Why a connection to an upstream did not come about.
#[derive(Debug, derive_more::Display)]
pub enum ConnectError {
    /// The address refuses connections.
    #[display("refused: {_0}")]
    Refused(io::Error),
    /// No answer came in time.
    #[display("no answer")]
    Silent,
    /// All connections that the upstream allows are in use.
    #[display("too many connections")]
    Full,
    /// Another upstream answers at the address.
    #[display("another upstream answers there")]
    Misrouted,
}

/// Why a call to the store has no result.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum StoreError {
    /// Nothing was done, and a later call may succeed.
    #[display("refused with status {_0}")]
    Refused(u16),
    /// The history that a watch needs is no longer there.
    #[display("history is gone")]
    HistoryGone,
    /// The lease has ended.
    #[display("lease has ended")]
    LeaseEnded,
    /// Another change came first.
    #[display("another change came first")]
    Conflict,
    /// No answer came; the call may still be carried out.
    #[display("no answer: {_0}")]
    NoAnswer(String),
    /// The answer cannot be understood.
    #[display("unreadable answer: {_0}")]
    Unreadable(String),
}

/// One change in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlChange {
    /// A configuration.
    Config(config::NodeConfig),
    /// An upstream's entry.
    Upstream(upstream_entry::UpstreamEntry),
    /// An upstream's entry was removed.
    UpstreamGone(ids::UpstreamId),
    /// A VM's entry.
    Member(ids::VmId, member::MemberEntry),
    /// A VM's entry was removed.
    MemberGone(ids::VmId),
    /// A VM has taken a number for a decision on the primary of a group.
    Decision(ids::GroupId, DecisionClaim),
}

/// What a number for a decision is taken for.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ClaimPurpose {
    /// A decision that begins now.
    #[display("now")]
    Now(primary_change::PrimaryChange),
    /// A failover that may come while the store is away.
    #[display("reserve")]
    Reserve,
    /// The end of the decision before it.
    #[display("ended")]
    Ended,
}

/// A number that a VM has taken for a decision on the primary of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecisionClaim {
    /// The number; a later one is higher.
    pub number: RevisionNumber,
    /// The VM.
    pub vm: ids::VmId,
    /// What for.
    pub purpose: ClaimPurpose,
}

/// Changes up to a revision of the store.
#[derive(Clone, Debug, Default)]
pub struct ControlChanges {
    /// The changes, oldest first.
    pub changes: Vec<ControlChange>,
    /// Where to go on.
    pub revision: RevisionNumber,
}

/// How a call for a promotion ended.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum PromoteError {
    /// A newer decision came first, or the upstream does not run.
    #[display("refused: {_0}")]
    Refused(String),
    /// Nothing was done, and the same call may be repeated.
    #[display("busy: status {_0}")]
    Busy(u16),
    /// No answer came; the call may still be carried out.
    #[display("no answer: {_0}")]
    NoAnswer(String),
}

/// Everything outside a node.
pub trait NodeEdge: 'static {
    /// Connections to upstreams.
    type Upstream: UpstreamLink + 'static;
    /// Lease of a VM's entry.
    type Lease: Clone;
    /// Connections to other VMs.
    type PeerSocket: AsyncRead + AsyncWrite + Unpin + Send + 'static;

    /// Returns the time since the start of the VM, suspensions included. The steady clock stands
    /// still during a suspension, and a position from before it would pass for a fresh one.
    fn boot_time(&self) -> time::Duration;

    /// Connects to an upstream.
    fn connect(
        &self,
        entry: &upstream_entry::UpstreamEntry,
    ) -> impl Future<Output = Result<Self::Upstream, ConnectError>>;

    /// Connects to another VM.
    fn connect_peer(
        &self,
        address: net::SocketAddr,
    ) -> impl Future<Output = io::Result<Self::PeerSocket>>;

    /// Reads everything that a node has to know from the store.
    fn read_all(&self) -> impl Future<Output = Result<ControlChanges, StoreError>>;

    /// Waits up to `wait` for changes after `revision`.
    fn watch(
        &self,
        revision: RevisionNumber,
        wait: time::Duration,
    ) -> impl Future<Output = Result<ControlChanges, StoreError>>;

    /// Writes the VM's entry under a new lease.
    fn join(
        &self,
        node: &str,
        entry: &member::MemberEntry,
        ttl: time::Duration,
    ) -> impl Future<Output = Result<Self::Lease, StoreError>>;

    /// Renews the lease of the VM's entry.
    fn renew(&self, lease: &Self::Lease) -> impl Future<Output = Result<(), StoreError>>;

    /// Ends the lease, and with it the VM's entry.
    fn leave(&self, lease: &Self::Lease) -> impl Future<Output = Result<(), StoreError>>;

    /// Takes a number for a decision on the primary of `group` if `previous` is still the latest
    /// one. It is higher than any earlier one.
    fn claim_decision(
        &self,
        group: &str,
        node: &str,
        previous: RevisionNumber,
        purpose: &ClaimPurpose,
    ) -> impl Future<Output = Result<RevisionNumber, StoreError>>;

    /// Has the platform make `upstream` the primary of `group`.
    fn promote(
        &self,
        group: &str,
        upstream: &str,
        node: &str,
        decision: RevisionNumber,
    ) -> impl Future<Output = Result<(), PromoteError>>;
}
