//! Formats positions, starts of terms and candidates for log lines.

use crate::model::{log_position, term_start};
use crate::node::promotion_candidate;

/// Formats a position, or returns `-` if there is none.
#[must_use]
pub fn format_position(position: Option<log_position::LogPosition>) -> String {
    position.map_or_else(|| "-".to_owned(), |position| position.to_string())
}

/// Formats the start of a term, or returns `-` if it is not known.
#[must_use]
pub fn format_start(start: Option<term_start::TermStart>) -> String {
    start.map_or_else(|| "-".to_owned(), |start| start.to_string())
}

/// Formats the candidates of a decision.
#[must_use]
pub fn format_candidates(candidates: &[promotion_candidate::PromotionCandidate]) -> String {
    let texts: Vec<_> = candidates.iter().map(ToString::to_string).collect();
    texts.join(",")
}
