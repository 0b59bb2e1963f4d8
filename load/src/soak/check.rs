//! Judges a run by the journals of the instances and by what callers were told.

use std::collections;

use persimmontack::model::{ids, log_position};
use standins::instance::{journal, log_entry};

use crate::soak::{history, replay};

/// The journals of a group, and its primary at the end.
#[derive(Debug)]
pub struct GroupTrace {
    /// Group.
    pub group: String,
    /// Journals by upstream.
    pub journals: collections::BTreeMap<String, Vec<journal::JournalEvent>>,
    /// The primary at the end.
    pub primary: Option<String>,
}

/// What the journals say about an id.
#[derive(Debug, Default)]
struct IdTrace {
    /// Times that a statement with the id ran.
    ran: usize,
    /// Commits that contain the id.
    committed: usize,
}

/// Returns the upstream that was promoted in the highest term. Its log has to have every
/// acknowledged write, whether it serves by now or not.
pub fn last_promoted(
    journals: &collections::BTreeMap<String, Vec<journal::JournalEvent>>,
) -> Option<String> {
    let promotions = journals.iter().flat_map(|(upstream, events)| {
        events.iter().filter_map(move |event| match event {
            journal::JournalEvent::Promote { entry } => Some((entry.term, upstream)),
            _ => None,
        })
    });
    promotions.max().map(|(_term, upstream)| upstream.clone())
}

/// Checks a group and reports what it finds.
pub fn check(history: &history::RunHistory, trace: &GroupTrace) {
    let requests: Vec<history::ToldRequest> = history
        .requests()
        .into_iter()
        .filter(|request| request.group == trace.group)
        .collect();
    let ids = trace_ids(trace);
    check_ids(history, &requests, &ids);
    check_mixing(history, trace);
    check_primaries(history, trace);
    check_logs(history, trace);
    let Some(events) = trace
        .primary
        .as_ref()
        .and_then(|name| trace.journals.get(name))
    else {
        let text = format!("{} has no primary at the end", trace.group);
        history.find("recovery", text, Vec::new());
        return;
    };
    let log = replay::ReplayedLog::new(events);
    let inserts = log.inserts();
    for key in history.acked_keys(&trace.group) {
        if !inserts.contains_key(key.as_str()) {
            let text = format!(
                "{} acknowledged {key}, which its primary lacks",
                trace.group
            );
            history.find("lost", text, vec![key]);
        }
    }
    for (key, places) in &inserts {
        if places.len() > 1 {
            let text = format!("{key} is {} times in the log", places.len());
            history.find("doubled", text, vec![(*key).to_owned()]);
        }
    }
    check_units(history, &requests, &inserts);
}

fn trace_ids(trace: &GroupTrace) -> collections::HashMap<&str, IdTrace> {
    let mut ids: collections::HashMap<&str, IdTrace> = collections::HashMap::new();
    for event in trace.journals.values().flatten() {
        match event {
            journal::JournalEvent::Statement { id: Some(id), .. } => {
                ids.entry(id).or_default().ran += 1;
            }
            journal::JournalEvent::Commit { ids: commit, .. } => {
                for id in commit {
                    ids.entry(id).or_default().committed += 1;
                }
            }
            _ => {}
        }
    }
    ids
}

fn check_ids(
    history: &history::RunHistory,
    requests: &[history::ToldRequest],
    ids: &collections::HashMap<&str, IdTrace>,
) {
    let none = IdTrace::default();
    let failed: collections::HashSet<&str> = requests
        .iter()
        .filter(|request| request.outcome != history::ToldOutcome::Done)
        .map(|request| unit_of(&request.id))
        .collect();
    for request in requests {
        let trace = ids.get(request.id.as_str()).unwrap_or(&none);
        let find = |class, text: String| history.find(class, text, vec![request.id.clone()]);
        let what = format!("{} ({:?}, {:?})", request.id, request.kind, request.outcome);
        if matches!(request.outcome, history::ToldOutcome::NotRun(_)) && trace.ran > 0 {
            find("not-run", format!("{what} ran {} times", trace.ran));
        }
        // A read outside a transaction and BEGIN change nothing and may be sent again.
        let repeatable = matches!(
            request.kind,
            history::RequestKind::Read | history::RequestKind::Begin
        );
        if !repeatable && trace.ran > 1 {
            find("doubled", format!("{what} ran {} times", trace.ran));
        }
        if trace.committed > 1 {
            find(
                "doubled",
                format!("{what} committed {} times", trace.committed),
            );
        }
        if let history::ToldOutcome::Failed(text) = &request.outcome
            && text.starts_with("23505")
        {
            // Keys are used once, so only a repeat can meet its own key.
            find("doubled", what);
        } else if request.outcome == history::ToldOutcome::Done
            && trace.ran == 0
            && !is_lost(request, &failed)
        {
            find("foreign", format!("{what} was answered and ran nowhere"));
        }
    }
}

/// Tells whether the request ends a transaction that its caller knows to be gone. The entry answers
/// such a ROLLBACK itself, since the upstream's connection is gone too.
fn is_lost(request: &history::ToldRequest, failed: &collections::HashSet<&str>) -> bool {
    request.kind == history::RequestKind::Rollback && failed.contains(unit_of(&request.id))
}

/// Returns the part of an id that names its caller and transaction.
fn unit_of(id: &str) -> &str {
    id.rsplit_once('.').map_or(id, |(unit, _step)| unit)
}

fn check_mixing(history: &history::RunHistory, trace: &GroupTrace) {
    for (upstream, events) in &trace.journals {
        let mut units: collections::HashMap<(u64, u64), &str> = collections::HashMap::new();
        for event in events {
            match event {
                // Numbers of transactions begin again with each start.
                journal::JournalEvent::Start { .. } => units.clear(),
                journal::JournalEvent::Statement {
                    id: Some(id),
                    connection,
                    transaction,
                    ..
                } => {
                    let unit = unit_of(id);
                    let known = units.entry((*connection, *transaction)).or_insert(unit);
                    if *known != unit {
                        let text = format!(
                            "transaction {transaction} of {upstream} has statements of {known} and {unit}"
                        );
                        history.find("mixed", text, vec![id.clone()]);
                    }
                }
                journal::JournalEvent::Commit { ids, .. } => {
                    let units: collections::BTreeSet<&str> =
                        ids.iter().map(|id| unit_of(id)).collect();
                    if units.len() > 1 {
                        let text = format!("a commit of {upstream} has statements of {units:?}");
                        history.find("mixed", text, ids.clone());
                    }
                }
                _ => {}
            }
        }
    }
}

fn check_primaries(history: &history::RunHistory, trace: &GroupTrace) {
    let mut primaries: collections::BTreeMap<ids::TermNumber, Vec<&str>> =
        collections::BTreeMap::new();
    for (upstream, events) in &trace.journals {
        for event in events {
            if let journal::JournalEvent::Promote { entry } = event {
                primaries.entry(entry.term).or_default().push(upstream);
            }
        }
    }
    for (term, upstreams) in &primaries {
        if upstreams.len() > 1 {
            let text = format!("term {term} of {} has primaries {upstreams:?}", trace.group);
            history.find("primary", text, Vec::new());
        }
    }
    for (upstream, events) in &trace.journals {
        for event in events {
            if let journal::JournalEvent::Commit { entry, ids, .. } = event
                && primaries
                    .get(&entry.term)
                    .is_none_or(|names| !names.contains(&upstream.as_str()))
            {
                let text = format!(
                    "{upstream} committed in term {}, which it never led",
                    entry.term
                );
                history.find("primary", text, ids.clone());
            }
        }
    }
}

/// Entries of one position are the same wherever they were seen.
fn check_logs(history: &history::RunHistory, trace: &GroupTrace) {
    let mut known: collections::HashMap<log_position::LogPosition, &log_entry::LogEntry> =
        collections::HashMap::new();
    for event in trace.journals.values().flatten() {
        if let journal::JournalEvent::Commit { entry, .. }
        | journal::JournalEvent::Received { entry }
        | journal::JournalEvent::Promote { entry } = event
        {
            let first = known.entry(entry.position()).or_insert(entry);
            if *first != entry {
                let text = format!("{} has two entries at {}", trace.group, entry.position());
                history.find("log", text, Vec::new());
            }
        }
    }
}

/// Transactions are kept whole or not at all, and only if their caller may have been told so.
fn check_units(
    history: &history::RunHistory,
    requests: &[history::ToldRequest],
    inserts: &collections::HashMap<&str, Vec<usize>>,
) {
    let mut units: collections::BTreeMap<&str, Vec<&history::ToldRequest>> =
        collections::BTreeMap::new();
    for request in requests {
        units.entry(unit_of(&request.id)).or_default().push(request);
    }
    for (unit, requests) in units {
        let place = |request: &history::ToldRequest| {
            inserts
                .get(request.id.as_str())
                .and_then(|places| places.first().copied())
        };
        let kept: Vec<&&history::ToldRequest> = requests
            .iter()
            .filter(|request| place(request).is_some())
            .collect();
        if kept.is_empty() {
            continue;
        }
        let ids: Vec<String> = requests.iter().map(|request| request.id.clone()).collect();
        let entries: collections::BTreeSet<usize> =
            kept.iter().filter_map(|request| place(request)).collect();
        let inside = |request: &&&history::ToldRequest| {
            request.kind == history::RequestKind::Inside && !request.id.ends_with(".7")
        };
        let wanted = requests.iter().filter(inside).count();
        if entries.len() > 1 || (wanted > 0 && kept.len() != wanted) {
            let text = format!("{unit} is kept in part: {} of {wanted} writes", kept.len());
            history.find("torn", text, ids.clone());
        }
        let decider = requests.iter().find(|request| {
            matches!(
                request.kind,
                history::RequestKind::Commit | history::RequestKind::Write
            )
        });
        let allowed = decider.is_some_and(|request| {
            matches!(
                request.outcome,
                history::ToldOutcome::Done | history::ToldOutcome::Unknown(_)
            )
        });
        if !allowed {
            let told = decider.map(|request| &request.outcome);
            let text = format!("{unit} is kept, although its caller was told {told:?}");
            history.find("kept", text, ids);
        }
    }
}
