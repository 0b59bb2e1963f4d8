//! [`FaultKind`]: the faults that a schedule can contain, with their texts in schedule lines.

use standins::platform::fault_plan;

/// The process that a fault targets.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum FaultTarget {
    /// A process, by its name in the deployment.
    #[display("{_0}")]
    Process(String),
    /// The upstream that is the primary of the group when the fault begins.
    #[display("the primary of {_0}")]
    Primary(String),
}

/// A fault. Data centres count from 0 here and from 1 in the printed text.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum FaultKind {
    /// SIGKILL, and a restart at the end.
    #[display("kill -9 {_0}")]
    Kill(FaultTarget),
    /// SIGSTOP, and SIGCONT at the end.
    #[display("freeze {_0}")]
    Freeze(FaultTarget),
    /// SIGTERM, and a restart at the end.
    #[display("stop {_0}")]
    Stop(FaultTarget),
    /// Connections between two data centres are reset, and new ones are refused.
    #[display("cut dc-{} and dc-{}", _0 + 1, _1 + 1)]
    Cut(usize, usize),
    /// Data between two data centres is withheld in both directions; connections stay open.
    #[display("hold all bytes between dc-{} and dc-{}", _0 + 1, _1 + 1)]
    HoldBoth(usize, usize),
    /// Data from the first data centre to the second is withheld.
    #[display("hold bytes from dc-{} to dc-{}", _0 + 1, _1 + 1)]
    HoldOneWay(usize, usize),
    /// Connections of a data centre to all others and to the platform are reset and refused.
    #[display("isolate dc-{}", _0 + 1)]
    Isolate(usize),
    /// Data between two data centres is delayed by some milliseconds in each direction.
    #[display("delay dc-{} and dc-{} by {_2} ms", _0 + 1, _1 + 1)]
    Delay(usize, usize, u64),
    /// Connections of a data centre to the platform are reset, and new ones are refused.
    #[display("cut dc-{} from the platform", _0 + 1)]
    PlatformUnreachable(usize),
    /// Responses of the platform to a data centre are withheld.
    #[display("hold the platform's answers to dc-{}", _0 + 1)]
    PlatformResponsesHeld(usize),
    /// Existing connections to a process transfer no more data, permanently.
    #[display("silence the open connections to {_0}")]
    Silence(FaultTarget),
    /// The platform serves no calls: it refuses each with 503 or does not respond.
    #[display("platform outage {_0:?}")]
    Outage(fault_plan::OutageKind),
    /// The platform delays each call by some milliseconds.
    #[display("platform slow by {_0} ms")]
    Slow(u64),
    /// Some writes to the platform take effect, but their responses are lost.
    #[display("platform loses {_0} answers")]
    LostAnswers(u32),
    /// A replica applies entries with a delay of some milliseconds.
    #[display("lag of {_0} is {_1} ms")]
    Lag(String, u64),
    /// Two operators apply different rules concurrently.
    #[display("two operators apply rules")]
    ConcurrentRuleChanges,
    /// An operator moves the primary of a group to an upstream.
    #[display("promote {_0} to {_1}")]
    Promote(String, String),
    /// An operator drains an upstream or a VM, and undrains it at the end.
    #[display("drain {_0}")]
    Drain(String),
}
