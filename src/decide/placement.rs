//! Chooses the upstream of a read, as pure functions of plain values.
//!
//! Answers uneven load: an upstream that gets several times the mean load, bursts and waves that
//! exceed the upstreams of one data centre, and callers that move between data centres. Traffic to
//! other data centres costs bytes and a round trip, so a read leaves its data centre only:
//!
//! - as part of the share that [`placement_share`] has found to pay,
//! - if this VM's own requests already exceed its part of the slots at home,
//! - if its workspace would need a new connection at home and has one elsewhere, or
//! - if no upstream at home can serve it.
//!
//! Connections of workspaces are scarce, and opening one takes a slot. A read of a workspace therefore
//! goes to an upstream at which the workspace has a connection, or else to the one that the workspace
//! prefers, unless another one is faster by more than the opening costs.
//!
//! [`placement_share`]: crate::decide::placement_share

use std::time;

/// Part of the answer time that each request beyond this VM's part of the slots adds to the wait.
const LOAD_WEIGHT: f64 = 0.6;
/// Advantage from which on a single read leaves: the price of the traffic.
const LEAVE_MARGIN: time::Duration = time::Duration::from_millis(9);
/// Part of that price that is not counted while upstreams at home are under full pressure, since
/// refusals cost more than the traffic.
const PRESSURE_DISCOUNT: f64 = 0.7;
/// Two upstreams whose costs differ by less than this factor count as equal, so that VMs with almost
/// the same observations do not all choose the same one.
const SIMILAR_COST: f64 = 1.1;
/// Wait that counts for a read that has a connection opened: the round trips of the opening, a slot
/// of the upstream for 12 ms, and the use of one of the few connections.
const OPENING_COST: time::Duration = time::Duration::from_millis(25);
/// Share of the slots beyond its part that a VM may use while nobody else seems to.
const UNUSED_SHARE: f64 = 0.5;
/// Part of the wait by which a read at a primary under full pressure counts more.
const PRIMARY_WEIGHT: f64 = 0.5;
/// Share of refusals at which an upstream counts as one without room.
const FULL_SHARE: f64 = 0.1;
/// Smallest cost in seconds that a weight is computed from.
const MIN_COST: f64 = 0.000_1;

/// One upstream that could serve a read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementCandidate {
    /// Number of its data centre in [`PlacementDraw::places`], or `None` if it is at home.
    pub place: Option<usize>,
    /// Whether the upstream does not answer, takes no new work or lagged recently.
    pub avoid: bool,
    /// Whether the workspace of the read has no connection to the upstream that could serve it.
    pub needs_connection: bool,
    /// Whether this read has already been sent to the upstream.
    pub tried: bool,
    /// Requests of this VM that run on or wait for the upstream.
    pub load: u32,
    /// Its slots.
    pub slots: f64,
    /// This VM's part of the slots, if all VMs send it the same number of reads.
    pub part: f64,
    /// Expected answer time without this VM's own queue.
    pub wait: time::Duration,
    /// Share of recent requests that were refused because no slot was free.
    pub refused: f64,
    /// How much the upstream is used beyond what it can run at once, between 0 and 1.
    pub pressure: f64,
}

impl PlacementCandidate {
    /// Returns the number of slots that this VM may use: its part and half of the others, or only one
    /// while answers show that statements wait for slots or are refused.
    fn own_slots(&self) -> f64 {
        let unused = (self.slots - self.part).max(0.0) * UNUSED_SHARE;
        ((self.part + unused) * (1.0 - self.pressure)).max(1.0)
    }

    /// Returns the wait that this VM's own requests beyond its slots add.
    fn own_queue(&self) -> time::Duration {
        let excess = (f64::from(self.load) + 1.0 - self.own_slots()).max(0.0);
        self.wait.mul_f64(LOAD_WEIGHT * excess)
    }

    /// Returns the advantage from which on a read leaves this upstream for another data centre.
    fn leave_margin(&self) -> time::Duration {
        LEAVE_MARGIN.mul_f64(1.0 - PRESSURE_DISCOUNT * self.pressure)
    }

    fn opening_cost(&self) -> time::Duration {
        if self.needs_connection {
            OPENING_COST
        } else {
            time::Duration::ZERO
        }
    }

    fn cost_when_connected(&self) -> time::Duration {
        self.wait + self.own_queue()
    }

    fn cost(&self) -> time::Duration {
        self.cost_when_connected() + self.opening_cost()
    }

    fn weight(&self) -> f64 {
        self.slots.max(MIN_COST) / self.cost().as_secs_f64().max(MIN_COST)
    }

    /// Returns whether a read that another upstream refused may go here at once.
    #[must_use]
    pub fn has_room(&self) -> bool {
        !self.avoid
            && !self.tried
            && f64::from(self.load) < self.own_slots()
            && self.refused < FULL_SHARE
    }
}

/// How one of several upstreams of a data centre is picked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UpstreamPick {
    /// Two are drawn with these numbers between 0 and 1, and the better one is taken.
    Drawn([f64; 2]),
    /// The candidates are in the order in which the workspace of the read prefers them. One with a
    /// connection of the workspace comes before that.
    Preferred,
}

/// Shares and random numbers between 0 and 1 of one choice.
#[derive(Clone, Copy, Debug)]
pub struct PlacementDraw<'a> {
    /// Share of the reads that is sent to each other data centre.
    pub places: &'a [f64],
    /// Decides whether the read leaves.
    pub leave: f64,
    /// Decides between the upstreams of a data centre.
    pub pick: UpstreamPick,
}

/// Why a read is sent to another data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum LeaveReason {
    /// It is part of the share that leaves.
    Share,
    /// This VM's own requests exceed its part of the slots at home.
    OwnQueue,
    /// Its workspace has a connection there and would need a new one at home.
    Connection,
    /// No upstream at home can serve it.
    NoneAtHome,
}

/// The choice for one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementChoice {
    /// Index of the candidate.
    pub index: usize,
    /// Why the read leaves the data centre, if it does.
    pub left: Option<LeaveReason>,
}

/// Returns the wait that counts for a read at the primary: while that is under pressure, the read also
/// delays writes, which no other upstream can run.
#[must_use]
pub fn primary_wait(wait: time::Duration, pressure: f64) -> time::Duration {
    wait.mul_f64(1.0 + PRIMARY_WEIGHT * pressure)
}

/// Chooses the upstream of a read. Candidates that were already tried come last, and those marked
/// `avoid` are excluded.
#[must_use]
pub fn choose(
    candidates: &[PlacementCandidate],
    draw: &PlacementDraw<'_>,
) -> Option<PlacementChoice> {
    let usable = |tried| {
        let fits =
            move |candidate: &PlacementCandidate| !candidate.avoid && candidate.tried == tried;
        candidates
            .iter()
            .enumerate()
            .filter(move |(_, candidate)| fits(candidate))
            .collect::<Vec<_>>()
    };
    let mut usable_ones = usable(false);
    if usable_ones.is_empty() {
        usable_ones = usable(true);
    }
    let (home, away): (Vec<_>, Vec<_>) = usable_ones
        .into_iter()
        .partition(|(_, candidate)| candidate.place.is_none());
    let stay = |index| PlacementChoice { index, left: None };
    let leave = |index, reason| PlacementChoice {
        index,
        left: Some(reason),
    };
    let Some(at_home) = pick_one(&home, draw.pick) else {
        let choice = pick_one(&away, draw.pick)?;
        return Some(leave(choice.0, LeaveReason::NoneAtHome));
    };
    let mut left = draw.leave;
    for (place, share) in draw.places.iter().enumerate() {
        if left < *share {
            let there: Vec<_> = away
                .iter()
                .copied()
                .filter(|(_, candidate)| candidate.place == Some(place))
                .collect();
            if let Some((index, _)) = pick_one(&there, draw.pick) {
                return Some(leave(index, LeaveReason::Share));
            }
            break;
        }
        left -= share;
    }
    let Some(other) = pick_one(&away, draw.pick) else {
        return Some(stay(at_home.0));
    };
    // Only the queue and the connections of this VM are compared here. If answers are slower at home because of other VMs,
    // the share follows in steps; otherwise all VMs would leave at once.
    let extra = other.1.wait.saturating_sub(at_home.1.wait);
    let price = extra + other.1.own_queue() + other.1.opening_cost() + at_home.1.leave_margin();
    if at_home.1.own_queue() > price {
        return Some(leave(other.0, LeaveReason::OwnQueue));
    }
    if at_home.1.own_queue() + at_home.1.opening_cost() > price {
        return Some(leave(other.0, LeaveReason::Connection));
    }
    Some(stay(at_home.0))
}

fn pick_one<'a>(
    candidates: &[(usize, &'a PlacementCandidate)],
    pick: UpstreamPick,
) -> Option<(usize, &'a PlacementCandidate)> {
    match pick {
        UpstreamPick::Drawn(draw) => pick_two(candidates, draw),
        UpstreamPick::Preferred => pick_preferred(candidates),
    }
}

/// Returns the best candidate that needs no connection, or else the first one. Candidates that are
/// slower than the fastest by more than the opening of a connection are left out.
fn pick_preferred<'a>(
    candidates: &[(usize, &'a PlacementCandidate)],
) -> Option<(usize, &'a PlacementCandidate)> {
    let costs = candidates.iter().map(|(_, one)| one.cost_when_connected());
    let limit = costs.min()? + OPENING_COST;
    let close = || {
        let fits = move |one: &PlacementCandidate| one.cost_when_connected() <= limit;
        candidates.iter().copied().filter(move |(_, one)| fits(one))
    };
    let connected = || close().filter(|(_, one)| !one.needs_connection);
    let Some(best) = connected().map(|(_, one)| one.cost()).min() else {
        return close().next();
    };
    connected().find(|(_, one)| one.cost() <= best.mul_f64(SIMILAR_COST))
}

/// Draws two candidates by their weights and returns the better one (power of two choices).
fn pick_two<'a>(
    candidates: &[(usize, &'a PlacementCandidate)],
    draw: [f64; 2],
) -> Option<(usize, &'a PlacementCandidate)> {
    let first = draw_one(candidates, draw[0])?;
    let rest: Vec<_> = candidates
        .iter()
        .copied()
        .filter(|(index, _)| *index != first.0)
        .collect();
    let Some(second) = draw_one(&rest, draw[1]) else {
        return Some(first);
    };
    let (first_cost, second_cost) = (first.1.cost(), second.1.cost());
    if first_cost > second_cost.mul_f64(SIMILAR_COST) {
        Some(second)
    } else {
        Some(first)
    }
}

fn draw_one<'a>(
    candidates: &[(usize, &'a PlacementCandidate)],
    draw: f64,
) -> Option<(usize, &'a PlacementCandidate)> {
    let total: f64 = candidates.iter().map(|(_, one)| one.weight()).sum();
    let mut left = draw * total;
    for (index, candidate) in candidates {
        left -= candidate.weight();
        if left < 0.0 {
            return Some((*index, candidate));
        }
    }
    candidates.last().copied()
}
