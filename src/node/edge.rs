//! Interfaces of a node to its callers, upstreams, the store and the platform, as traits that the
//! adapters implement.

use std::io;
use std::net;
use std::rc;
use std::time;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncWrite};

use crate::model::{ids, term_start};
use crate::node::admission::admission_control;
use crate::node::workspaces::{caller_hello, workspace_binding};
use crate::node::{
    answers, command, config, member, primary_change, relay_frame, request, session_state,
    upstream_entry, watch_schedule,
};

/// Revision of the store; it increases with every change, also when the store is restored from a
/// copy: see [`crate::node::era_revision::EraRevision`].
pub type RevisionNumber = u64;

/// A client connection.
pub trait CallerLink {
    /// Whether another VM forwards the session to this one, so that it must not be forwarded again.
    const RELAYED: bool = false;

    /// Accepts the connection and returns what the caller asks for.
    fn accept(&mut self) -> impl Future<Output = Result<caller_hello::CallerHello, CallerError>>;
    /// Returns the next request. The future is cancel-safe.
    fn receive(&mut self) -> impl Future<Output = Result<request::CallerRequest, CallerError>>;
    /// Confirms to the caller that the session is open.
    fn welcome(&mut self) -> impl Future<Output = io::Result<()>>;
    /// Answers the last request.
    fn answer(&mut self, answer: &answers::CallerAnswer) -> impl Future<Output = io::Result<()>>;
    /// Reports to the caller why the connection ends, and closes it.
    fn reject(&mut self, error: &answers::StatementError) -> impl Future<Output = ()>;
    /// Returns the state that a forwarded session has at the VM that forwards it, if it came with
    /// the last request.
    fn take_state(&mut self) -> Option<session_state::SessionState> {
        None
    }
    /// Returns the route by which another VM forwarded the last request, if one did.
    fn forwarded_route(&self) -> Option<&relay_frame::ForwardedRoute> {
        None
    }
    /// Tells the VM that forwarded the last request that this one has an older configuration, and that the
    /// request has not run.
    fn refuse_behind(&mut self) -> impl Future<Output = io::Result<()>> {
        std::future::ready(Ok(()))
    }
    /// Records the size of the session's values and prepared statements.
    fn record_state(&self, _bytes: usize) {}
    /// Closes the connection between two requests.
    fn close(&mut self) -> impl Future<Output = ()> {
        std::future::ready(())
    }
}

/// Why no request could be received from a caller.
#[derive(Debug)]
pub enum CallerError {
    /// The caller closed the connection.
    Closed,
    /// The caller violated the protocol; the error is sent before the connection is closed.
    Invalid(answers::StatementError),
}

/// A connection to an upstream.
pub trait UpstreamLink {
    /// Appends a command to the send buffer.
    fn queue(&mut self, command: &command::UpstreamCommand);
    /// Sends all queued commands.
    fn flush(&mut self) -> impl Future<Output = io::Result<()>>;
    /// Returns the next complete answer.
    fn receive(&mut self) -> impl Future<Output = io::Result<answers::UpstreamAnswer>>;
    /// Returns whether an idle connection has been closed, or has bytes to read although no answer
    /// is `owed`.
    fn is_stale(&mut self, owed: bool) -> bool;
    /// Decodes the row of the answer to a status or fence command.
    fn read_status(answer: &answers::UpstreamAnswer) -> Option<command::UpstreamStatus>;
}

/// Why a connection to an upstream could not be opened.
#[derive(Debug, derive_more::Display)]
pub enum ConnectError {
    /// The address refuses connections.
    #[display("refused: {_0}")]
    Refused(io::Error),
    /// No answer arrived in time.
    #[display("no answer")]
    Silent,
    /// The upstream has reached its connection limit.
    #[display("too many connections")]
    Full,
    /// The upstream had no free slot for the opening.
    #[display("no free slot")]
    Busy,
    /// Another upstream answers at the address.
    #[display("another upstream answers there")]
    Misrouted,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum StoreError {
    /// The call was refused without effect, and a later call may succeed.
    #[display("refused with status {_0}")]
    Refused(u16),
    /// The changes since the revision of the watch are no longer available.
    #[display("history is gone")]
    HistoryGone,
    /// The store was restored from a copy since the call's revision or lease was given out.
    #[display("the store was restored")]
    Restored,
    /// The lease has ended.
    #[display("lease has ended")]
    LeaseEnded,
    /// A concurrent change was applied first.
    #[display("another change came first")]
    Conflict,
    /// No answer arrived; the call may still take effect.
    #[display("no answer: {_0}")]
    NoAnswer(String),
    /// The answer cannot be decoded.
    #[display("unreadable answer: {_0}")]
    Unreadable(String),
}

/// One change in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlChange {
    /// A new configuration.
    Config(config::NodeConfig),
    /// An upstream's entry was added or changed.
    Upstream(upstream_entry::UpstreamEntry),
    /// An upstream's entry was removed.
    UpstreamGone(ids::UpstreamId),
    /// The entry under an upstream's id is not one that an upstream writes.
    UpstreamInvalid(ids::UpstreamId),
    /// A VM's entry was added or changed.
    Member(ids::VmId, member::MemberEntry),
    /// A VM's entry was removed.
    MemberGone(ids::VmId),
    /// A VM has claimed a number for a decision on the primary of a group.
    Decision(ids::GroupId, DecisionClaim),
    /// It became known where the latest term of a group began.
    TermStart(ids::GroupId, term_start::TermStart),
}

/// Why a decision number is claimed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum ClaimPurpose {
    /// For a decision that begins now.
    #[display("now")]
    Now(primary_change::PrimaryChange),
    /// In reserve, for a failover that may be needed while the store is unavailable.
    #[display("reserve")]
    Reserve,
    /// To mark the end of the preceding decision, which may have replaced the primary.
    #[display("ended")]
    Ended,
    /// To mark the end of the preceding decision, which has replaced no primary. The store reports the
    /// start of the primary's term, if it is known, as a change of its own.
    #[display("kept")]
    Kept(Option<term_start::TermStart>),
    /// To mark the end of the preceding decision, whose primary began this term. The store reports
    /// both as changes of their own.
    #[display("promoted")]
    Promoted(term_start::TermStart),
}

/// A number that a VM has claimed for a decision on the primary of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionClaim {
    /// The number; numbers increase with each claim.
    pub number: RevisionNumber,
    /// The VM that claimed it.
    pub vm: ids::VmId,
    /// Why it was claimed.
    pub purpose: ClaimPurpose,
}

/// Changes up to a revision of the store.
#[derive(Clone, Debug, Default)]
pub struct ControlChanges {
    /// The changes, oldest first.
    pub changes: Vec<ControlChange>,
    /// Revision to continue the watch from.
    pub revision: RevisionNumber,
}

/// Why a promotion call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum PromoteError {
    /// A newer decision is known to the platform, or the upstream is not running.
    #[display("refused: {_0}")]
    Refused(String),
    /// The call had no effect and may be repeated.
    #[display("busy: status {_0}")]
    Busy(u16),
    /// No answer arrived; the call may still take effect.
    #[display("no answer: {_0}")]
    NoAnswer(String),
}

/// The environment of a node: upstreams, the store, other VMs and the platform.
pub trait NodeEdge: 'static {
    /// Connections to upstreams.
    type Upstream: UpstreamLink + 'static;
    /// Lease of a VM's entry in the store.
    type Lease: Clone;
    /// Connections to other VMs.
    type PeerSocket: AsyncRead + AsyncWrite + Unpin + Send + 'static;

    /// Returns the time since the VM booted, including time in suspension. The monotonic clock
    /// stops during a suspension, so with it a position from before would count as fresh.
    fn boot_time(&self) -> time::Duration;

    /// Returns the budget for callers, which is unlimited by default.
    fn admission(&self) -> rc::Rc<admission_control::AdmissionControl> {
        rc::Rc::default()
    }

    /// Connects to an upstream in the name of a workspace.
    fn connect(
        &self,
        entry: &upstream_entry::UpstreamEntry,
        workspace: &workspace_binding::WorkspaceBinding,
    ) -> impl Future<Output = Result<Self::Upstream, ConnectError>>;

    /// Connects to another VM.
    fn connect_peer(
        &self,
        address: net::SocketAddr,
    ) -> impl Future<Output = io::Result<Self::PeerSocket>>;

    /// Reads all entries that a node needs from the store.
    fn read_all(&self) -> impl Future<Output = Result<ControlChanges, StoreError>>;

    /// Returns the changes after `revision`, and waits for them. Fails with
    /// [`StoreError::NoAnswer`] after the limit in `times`.
    fn watch(
        &self,
        revision: RevisionNumber,
        times: watch_schedule::WatchTimes,
    ) -> impl Future<Output = Result<ControlChanges, StoreError>>;

    /// Writes the VM's entry under a new lease.
    fn join(
        &self,
        vm: &str,
        entry: &member::MemberEntry,
        ttl: time::Duration,
    ) -> impl Future<Output = Result<Self::Lease, StoreError>>;

    /// Renews the lease of the VM's entry.
    fn renew(&self, lease: &Self::Lease) -> impl Future<Output = Result<(), StoreError>>;

    /// Revokes the lease, which removes the VM's entry.
    fn leave(&self, lease: &Self::Lease) -> impl Future<Output = Result<(), StoreError>>;

    /// Claims a number for a decision on the primary of `group` if `previous` is still the latest
    /// one, or the store has lost that one in a restore and has none later. The new number is higher
    /// than every earlier one.
    fn claim_decision(
        &self,
        group: &str,
        vm: &str,
        previous: RevisionNumber,
        purpose: &ClaimPurpose,
    ) -> impl Future<Output = Result<RevisionNumber, StoreError>>;

    /// Asks the platform to make `upstream` the primary of `group`.
    fn promote(
        &self,
        group: &str,
        upstream: &str,
        vm: &str,
        decision: RevisionNumber,
    ) -> impl Future<Output = Result<(), PromoteError>>;
}
