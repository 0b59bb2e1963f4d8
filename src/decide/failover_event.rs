//! What goes into the decisions on a failover and what comes out: [`FailoverEvent`] and
//! [`FailoverAction`], with the times and the members they speak of.

use std::net;
use std::time;

use crate::model::{ids, upstream_state};

/// Times of a failover. `now` is always the time since the start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailoverTimes {
    /// Silence on an open probe after which an upstream counts as down, if a fresh connection
    /// fails too.
    pub silence: time::Duration,
    /// Time that each rank leaves to the one before it.
    pub rank_delay: time::Duration,
    /// Time that a candidate with enough fenced upstreams leaves to the others' answers.
    pub settle: time::Duration,
    /// Time after which a candidacy is given up.
    pub candidacy: time::Duration,
    /// Time that a candidate leaves to a competitor.
    pub back_off: time::Duration,
    /// Time after which an upstream that does not follow is told again.
    pub follow_retry: time::Duration,
    /// Time within which a planned move has to be done.
    pub planned: time::Duration,
}

/// What a probe found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The upstream reported its state.
    Answered(upstream_state::UpstreamState),
    /// The upstream answered without a state, for instance because it has no free connection.
    Alive,
    /// A connect was refused, or the connection was closed at once.
    Refused,
    /// An open probe has been silent for this long, and so has a fresh connection.
    Silent(time::Duration),
}

/// What happened in the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailoverEvent {
    /// A probe ended.
    Probed(ids::UpstreamId, ProbeResult),
    /// A fence succeeded; the state is that after it.
    Fenced(
        ids::UpstreamId,
        ids::TermNumber,
        upstream_state::UpstreamState,
    ),
    /// A promotion succeeded.
    Promoted(
        ids::UpstreamId,
        ids::TermNumber,
        upstream_state::UpstreamState,
    ),
    /// An upstream refused to be fenced or promoted, because it has promised a higher term.
    Overtaken(ids::UpstreamId, ids::TermNumber),
    /// A fence or a promotion got no answer; it may have taken effect.
    Unanswered(ids::UpstreamId, ids::TermNumber),
}

/// What the shell is to do. Every action is answered by one event, but `Follow`, whose effect the
/// next probe shows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailoverAction {
    /// Fence an upstream.
    Fence(ids::UpstreamId, ids::TermNumber),
    /// Promote an upstream.
    Promote(ids::UpstreamId, ids::TermNumber),
    /// Make an upstream follow the primary of a term at an address.
    Follow(ids::UpstreamId, ids::TermNumber, net::SocketAddr),
}

/// One member of the group, as the platform and the rules describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSpec {
    /// The upstream.
    pub upstream: ids::UpstreamId,
    /// Its address.
    pub address: net::SocketAddr,
    /// True if it leaves or is drained.
    pub leaving: bool,
    /// Data centre in which it runs.
    pub data_centre: ids::DataCentreId,
    /// Live VMs in its data centre.
    pub local_vms: usize,
}

/// State of a planned move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveOutcome {
    /// The primary is now this upstream.
    Done(ids::UpstreamId),
    /// The move was given up, and why.
    Failed(String),
}
