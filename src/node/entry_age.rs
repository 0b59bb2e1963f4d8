//! [`EntryAge`]: which of two entries of an upstream is the later one.

use crate::model::ids;

/// Incarnation of an upstream that does not tell it.
const UNKNOWN_INCARNATION: ids::IncarnationId = 0;

/// Run of an upstream that an entry is from, and the change in that run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryAge {
    /// Run of the upstream.
    pub incarnation: ids::IncarnationId,
    /// Change in that run; later ones are higher.
    pub sequence: u64,
}

impl EntryAge {
    /// Returns whether this entry is from before `other` in the same run. A store that was restored from
    /// a copy may have such a one.
    #[must_use]
    pub const fn is_before(self, other: Self) -> bool {
        self.incarnation != UNKNOWN_INCARNATION
            && self.incarnation == other.incarnation
            && self.sequence < other.sequence
    }
}
