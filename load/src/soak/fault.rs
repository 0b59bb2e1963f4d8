//! [`FaultKind`]: the faults that a schedule consists of.

use standins::platform::fault_plan;

/// Which process a fault is aimed at.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum FaultTarget {
    /// A process by name.
    #[display("{_0}")]
    Process(String),
    /// Whatever is the primary of the group when the fault begins.
    #[display("the primary of {_0}")]
    Primary(String),
}

/// A fault. Data centres count from 0.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum FaultKind {
    /// SIGKILL, and a new start at the end.
    #[display("kill -9 {_0}")]
    Kill(FaultTarget),
    /// SIGSTOP, and SIGCONT at the end.
    #[display("freeze {_0}")]
    Freeze(FaultTarget),
    /// SIGTERM, and a new start at the end.
    #[display("stop {_0}")]
    Stop(FaultTarget),
    /// Connections between two data centres are reset and refused.
    #[display("cut dc-{} and dc-{}", _0 + 1, _1 + 1)]
    Cut(usize, usize),
    /// Bytes between two data centres are held back; connections stay open.
    #[display("hold all bytes between dc-{} and dc-{}", _0 + 1, _1 + 1)]
    Hold(usize, usize),
    /// Bytes from one data centre to another are held back.
    #[display("hold bytes from dc-{} to dc-{}", _0 + 1, _1 + 1)]
    OneWay(usize, usize),
    /// A data centre is cut off from all others and from the platform.
    #[display("isolate dc-{}", _0 + 1)]
    Isolate(usize),
    /// Bytes between two data centres are late by some milliseconds in each direction.
    #[display("delay dc-{} and dc-{} by {_2} ms", _0 + 1, _1 + 1)]
    Delay(usize, usize, u64),
    /// Connections of a data centre to the platform are reset and refused.
    #[display("cut dc-{} from the platform", _0 + 1)]
    PlatformCut(usize),
    /// Answers of the platform to a data centre are held back.
    #[display("hold the platform's answers to dc-{}", _0 + 1)]
    PlatformDeaf(usize),
    /// Open connections to a process go silent for good.
    #[display("silence the open connections to {_0}")]
    Silence(FaultTarget),
    /// The platform is out of service.
    #[display("platform outage {_0:?}")]
    Outage(fault_plan::OutageKind),
    /// The platform is slow by some milliseconds for each call.
    #[display("platform slow by {_0} ms")]
    Slow(u64),
    /// Some writes to the platform take effect without an answer.
    #[display("platform loses {_0} answers")]
    LostAnswers(u32),
    /// A replica shows entries late by some milliseconds.
    #[display("lag of {_0} is {_1} ms")]
    Lag(String, u64),
    /// Two operators apply different rules at the same time.
    #[display("two operators apply rules")]
    RacingRules,
    /// An operator moves the primary of a group to an upstream.
    #[display("promote {_0} to {_1}")]
    Promote(String, String),
    /// An operator drains an upstream or a VM, and undrains it at the end.
    #[display("drain {_0}")]
    Drain(String),
}
