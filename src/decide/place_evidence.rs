//! [`PlaceEvidence`]: what other VMs say of this VM's place among the members, while the store does not
//! answer it.
//!
//! Addresses a holder of token buckets that the store turns away while it serves the others: one of them
//! takes its place, and it cannot learn of that from the store.

/// What one VM says when it is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlaceView {
    /// Whether the store answers it.
    pub reaches_store: bool,
    /// Whether it counts the VM that asks among the members.
    pub lists_caller: bool,
    /// Whether it has seen the entry of that VM vanish from the store, and counts it for a while only.
    pub entry_vanished: bool,
    /// Whether it has followed the members for long enough to know all of them.
    pub established: bool,
    /// Whether it counts the same members as the VM that asks.
    pub same_members: bool,
}

/// What the others say of this VM's place among the members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum PlaceEvidence {
    /// Nothing is known: another VM may have taken its place.
    #[default]
    Unknown,
    /// No other VM has taken its place, or is about to.
    Kept,
    /// The others no longer count it.
    Lost,
}

impl PlaceEvidence {
    /// Judges by the answers of the VMs that were asked, with `None` for each that did not answer. One
    /// that the store answers knows who the members are. If the store answers none of them, nobody can
    /// be taken off the members; but one without an answer may reach the store.
    #[must_use]
    pub fn judge(views: &[Option<PlaceView>]) -> Self {
        let mut known = views.iter().flatten();
        let drops = |view: &PlaceView| view.established && !view.lists_caller;
        if known.clone().any(drops) {
            return Self::Lost;
        }
        if known.any(|view| view.entry_vanished) {
            return Self::Unknown;
        }
        if informed(views).next().is_some() || is_store_down(views) {
            Self::Kept
        } else {
            Self::Unknown
        }
    }
}

/// Returns the answers of VMs that the store answers.
fn informed(views: &[Option<PlaceView>]) -> impl Iterator<Item = &PlaceView> + Clone {
    let known = views.iter().flatten();
    known.filter(|view| view.reaches_store)
}

/// Returns whether all VMs have answered and the store answers none of them.
fn is_store_down(views: &[Option<PlaceView>]) -> bool {
    let all_lack_it = |view: &Option<PlaceView>| view.is_some_and(|view| !view.reaches_store);
    !views.is_empty() && views.iter().all(all_lack_it)
}

/// Returns whether the VM that asks knows the members, and with them the holder of each bucket, although
/// the store does not answer it.
#[must_use]
pub fn knows_members(views: &[Option<PlaceView>]) -> bool {
    let agree = views.iter().flatten().all(|view| view.same_members);
    let down = agree && is_store_down(views);
    down || informed(views).any(|view| view.same_members)
}

/// Returns whether a VM that has just started may take over buckets: none of the VMs that answer was there
/// before, or one that was counts the same members. Otherwise another VM may hold the buckets whose entry
/// had just vanished when this VM first read the members.
#[must_use]
pub fn may_take_over(views: &[Option<PlaceView>]) -> bool {
    let mut known = views.iter().flatten();
    let answered = views.is_empty() || known.clone().next().is_some();
    let nobody_before = answered && known.all(|view| !view.established);
    let agrees = |view: &PlaceView| view.established && view.same_members;
    nobody_before || informed(views).any(agrees)
}
