//! [`LogPosition`]: a place in a group's replicated log.

use std::num;
use std::str;

use serde::{Deserialize, Serialize};

use crate::model::ids;

/// A place in a group's log, ordered by term and then by offset.
///
/// The term is that of the log entry, not the one an upstream promised at a fence. A replica that
/// still holds the unacknowledged tail of a replaced primary therefore never counts as caught up.
/// See `docs/design.md`, "Positions and consistency".
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[display("{term}/{offset}")]
pub struct LogPosition {
    /// Term of the entry.
    pub term: ids::TermNumber,
    /// Offset of the entry in the log.
    pub offset: ids::LogOffset,
}

/// Why a text is not a valid position.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum ParseError {
    /// The text has no slash between term and offset.
    #[display("expected a position like 3/1042")]
    Separator,
    /// The term or the offset is not a number.
    #[display("expected numbers in a position like 3/1042: {_0}")]
    Number(num::ParseIntError),
}

impl LogPosition {
    /// Creates a position from its parts.
    #[must_use]
    pub const fn new(term: ids::TermNumber, offset: ids::LogOffset) -> Self {
        Self { term, offset }
    }
}

impl str::FromStr for LogPosition {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (term, offset) = text.trim().split_once('/').ok_or(ParseError::Separator)?;
        Ok(Self {
            term: term.parse().map_err(ParseError::Number)?,
            offset: offset.parse().map_err(ParseError::Number)?,
        })
    }
}
