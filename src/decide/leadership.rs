//! Decides whether an upstream is still the primary of its group, from what the upstreams of the
//! group report about themselves.
//!
//! A primary that was replaced while it was cut off may go on serving as one, so its own word does
//! not prove that it leads. `docs/node.md`, "Who leads", gives the reasons for the rules.

use crate::model::{ids, log_position};

/// What an upstream reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleReport {
    /// Whether it acts as the primary.
    pub primary: bool,
    /// Latest term that it knows.
    pub term: ids::TermNumber,
    /// Term up to which it is fenced; 0 if it is not fenced.
    pub fenced: ids::TermNumber,
    /// Last log position that it has received.
    pub received: log_position::LogPosition,
}

/// An upstream of the group other than the primary, and its report if it has answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberReport {
    /// The upstream.
    pub upstream: ids::UpstreamId,
    /// Whether it is leaving. Replicas that leave are fenced without a decision.
    pub leaving: bool,
    /// Whether it was listed when the primary was last proved to lead. One that was listed later may
    /// have joined after a decision that the VM has missed.
    pub early: bool,
    /// Whether its entry in the list is recent, so that every decision counts it.
    pub recent: bool,
    /// Whether the store has listed it lately, so that every decision counts it, though others may be
    /// missing from the list.
    pub listed: bool,
    /// Its report, which has to be requested after the moment to be judged.
    pub role: Option<RoleReport>,
}

/// What a VM knows about the group besides the reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListKnowledge {
    /// Whether the list of upstreams is recent enough to contain every one that a decision in
    /// progress could promote.
    pub recent: bool,
    /// Whether an upstream has vanished from the list since the primary was last proved to lead.
    pub vanished: bool,
    /// Whether a decision that ends the primary's term may be in progress.
    pub deciding: bool,
    /// Whether a decision that ended the primary's term may be over, and what came of it is not known.
    /// Its promotion would have lifted the fences, also of replicas that have not heard of it.
    pub doubtful: bool,
}

/// Whether an upstream led its group when the reports were requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeadVerdict {
    /// No later primary had taken over.
    Leads,
    /// A later term exists; its primary is this upstream, if it is known.
    Superseded(Option<ids::UpstreamId>),
    /// The reports do not exclude a later primary.
    Unproved,
}

/// Judges whether an upstream that acts as the primary of `term` still led when `reports` were
/// requested from all others. Answers may arrive one at a time: a verdict other than
/// [`LeadVerdict::Unproved`] stays valid.
///
/// A promotion takes effect only after a decision has fenced every listed upstream that stays,
/// except for the promoted one. So the primary led if one of the others is not fenced, provided that
/// the decision counted it. It also led if all others deny that they lead, but the successor may
/// be missing from the list: then a fence that no known decision explains gives it away, at an
/// upstream that was listed before. Without a recent list, all that were listed before have to deny.
#[must_use]
pub fn judge_primary(
    term: ids::TermNumber,
    reports: &[MemberReport],
    list: ListKnowledge,
) -> LeadVerdict {
    let answered = answers(reports);
    let latest = answered
        .clone()
        .filter(|(_, role)| role.term > term)
        .max_by_key(|(_, role)| (role.primary, role.term));
    if let Some((report, role)) = latest {
        return LeadVerdict::Superseded(role.primary.then(|| report.upstream.clone()));
    }
    if all_deny(term, reports, list) {
        return LeadVerdict::Leads;
    }
    if !list.deciding && !list.doubtful && free_members(term, reports).next().is_some() {
        return LeadVerdict::Leads;
    }
    LeadVerdict::Unproved
}

/// Returns the highest position that every later primary holds, as far as the reports show.
///
/// A replica has received it that is not fenced and that every decision counts: a decision that is
/// still to come compares it, and one that has compared it has fenced it. A promotion lifts fences,
/// so after a decision whose outcome is not known, or with a list that may lack the successor, all
/// upstreams have to deny that they lead. If the store has not listed them lately, a decision may
/// not count each of them any more, and all that stay have to have received the position.
#[must_use]
pub fn replicated_position(
    term: ids::TermNumber,
    reports: &[MemberReport],
    list: ListKnowledge,
) -> Option<log_position::LogPosition> {
    let superseded = answers(reports).any(|(_, role)| role.term > term);
    if superseded || list.deciding {
        return None;
    }
    let received = |(_, role): (&MemberReport, RoleReport)| role.received;
    if !all_deny(term, reports, list) {
        let free = free_members(term, reports).filter(|_| !list.doubtful);
        return free.map(received).max();
    }
    let staying = answers(reports).filter(|(report, _)| !report.leaving);
    let counted = staying
        .clone()
        .filter(|(report, _)| report.early && (report.recent || report.listed));
    counted.map(received).max().max(staying.map(received).min())
}

/// Returns the upstreams that have answered, with their reports.
fn answers(reports: &[MemberReport]) -> impl Iterator<Item = (&MemberReport, RoleReport)> + Clone {
    reports
        .iter()
        .filter_map(|report| Some((report, report.role?)))
}

/// Returns the upstreams that every decision counts and that none has fenced.
fn free_members(
    term: ids::TermNumber,
    reports: &[MemberReport],
) -> impl Iterator<Item = (&MemberReport, RoleReport)> {
    answers(reports).filter(move |(report, role)| {
        let counted = report.early && report.recent && !report.leaving;
        counted && role.fenced <= term
    })
}

/// Returns whether all upstreams have answered, none of them leads, and no fence is unexplained. One
/// that knows a later term is expected to have been ruled out.
fn all_deny(term: ids::TermNumber, reports: &[MemberReport], list: ListKnowledge) -> bool {
    let complete = reports.iter().all(|report| report.role.is_some())
        && reports.iter().any(|report| report.early);
    let explained = list.recent && list.deciding;
    let is_fenced =
        |(report, role): (&MemberReport, RoleReport)| !report.leaving && role.fenced > term;
    complete && (list.recent || !list.vanished) && (explained || !answers(reports).any(is_fenced))
}
