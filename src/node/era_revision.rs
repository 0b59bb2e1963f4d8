//! [`EraRevision`]: a revision of the store together with the era of the store in which it was
//! given out.
//!
//! A store that is restored from a copy gives revisions out again, in a new era. Only the two
//! together never come twice. See `docs/node.md`, "A restored store".

use crate::node::edge;

/// Counts how often the store has been restored from a copy.
pub type EraNumber = u64;

/// Revisions of one era, which is more than a store gives out in years. Decimal, so that era and
/// revision can be read in logs.
const ERA_SPAN: u64 = 1_000_000_000_000;

/// Highest era whose revisions have numbers of their own.
pub const MAX_ERA: EraNumber = u64::MAX / ERA_SPAN - 1;

/// A revision of the store and its era. Later ones compare as greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
#[display("{era}/{revision}")]
pub struct EraRevision {
    /// Era of the store.
    pub era: EraNumber,
    /// Revision within the era.
    pub revision: u64,
}

impl EraRevision {
    /// Returns both as one number, in the same order.
    #[must_use]
    pub const fn number(self) -> edge::RevisionNumber {
        self.era
            .saturating_mul(ERA_SPAN)
            .saturating_add(self.revision)
    }

    /// Returns the era and the revision in a number.
    #[must_use]
    pub const fn from_number(number: edge::RevisionNumber) -> Self {
        Self {
            era: number / ERA_SPAN,
            revision: number % ERA_SPAN,
        }
    }
}
