//! Input and output of the failover decisions: [`FailoverEvent`] and [`FailoverAction`], with the
//! timing settings and the group members that they refer to.

use std::net;
use std::time;

use crate::model::{ids, upstream_state};

/// Timeouts and delays of a failover. In all calls, `now` is the time since the process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailoverTimes {
    /// Time without an answer to an open probe after which an upstream counts as down, if a new
    /// connection gets no answer either.
    pub silence: time::Duration,
    /// Delay per rank, so that keepers of a better rank act first.
    pub rank_delay: time::Duration,
    /// Time that a candidate with a majority of fenced upstreams waits for the answers of the
    /// others.
    pub settle: time::Duration,
    /// Time after which a candidate abandons its candidacy.
    pub candidacy: time::Duration,
    /// Delay before the next candidacy after one failed or another candidate was seen.
    pub back_off: time::Duration,
    /// Time after which an upstream that does not follow the primary gets the order again.
    pub follow_retry: time::Duration,
    /// Time within which a planned move of the primary has to complete.
    pub planned: time::Duration,
}

/// Result of a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The upstream reported its state.
    Answered(upstream_state::UpstreamState),
    /// The upstream answered, but without a state, for instance because it has no free connection.
    Alive,
    /// The connection was refused, or closed at once.
    Refused,
    /// An open probe has been without an answer for this long, and a new connection got none
    /// either.
    Silent(time::Duration),
}

/// An observation or the result of an action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailoverEvent {
    /// A probe ended.
    Probed(ids::UpstreamId, ProbeResult),
    /// A fence succeeded and left this state.
    Fenced(
        ids::UpstreamId,
        ids::TermNumber,
        upstream_state::UpstreamState,
    ),
    /// A promotion succeeded and left this state.
    Promoted(
        ids::UpstreamId,
        ids::TermNumber,
        upstream_state::UpstreamState,
    ),
    /// An upstream refused a fence or a promotion, because it has promised a higher term.
    Overtaken(ids::UpstreamId, ids::TermNumber),
    /// A fence or a promotion got no answer and may have taken effect.
    Unanswered(ids::UpstreamId, ids::TermNumber),
}

/// An order to an upstream that the caller has to send. Each action results in one event, except
/// `Follow`: the next probe shows its effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailoverAction {
    /// Fence an upstream.
    Fence(ids::UpstreamId, ids::TermNumber),
    /// Promote an upstream.
    Promote(ids::UpstreamId, ids::TermNumber),
    /// Make an upstream follow the primary of a term at an address.
    Follow(ids::UpstreamId, ids::TermNumber, net::SocketAddr),
}

/// One upstream of the group, as the platform and the rules describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSpec {
    /// The upstream.
    pub upstream: ids::UpstreamId,
    /// Its address.
    pub address: net::SocketAddr,
    /// True if it is leaving or drained.
    pub leaving: bool,
    /// Data centre in which it runs.
    pub data_centre: ids::DataCentreId,
    /// Live VMs in its data centre.
    pub local_vms: usize,
}

/// Outcome of a planned move of the primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveOutcome {
    /// This upstream is the primary now.
    Done(ids::UpstreamId),
    /// The move failed for this reason.
    Failed(String),
}
