//! Checks the guarantees of a run: compares the journals of the database instances with the
//! outcomes that clients received.

use std::collections;

use persimmontack::model::{ids, log_position};
use standins::instance::{journal, log_entry};

use crate::soak::{history, replay};

/// The journals of the instances of a group, and its primary at the end of the run.
#[derive(Debug)]
pub struct GroupJournals {
    /// Name of the group.
    pub group: String,
    /// Events of each instance, by upstream.
    pub journals: collections::BTreeMap<String, Vec<journal::JournalEvent>>,
    /// Upstream whose log must contain all acknowledged writes.
    pub final_primary: Option<String>,
}

/// How often the journals of a group contain a request id.
#[derive(Debug, Default)]
struct ExecutionCount {
    /// Executed statements with the id.
    executions: usize,
    /// Commits that contain the id.
    commits: usize,
}

/// Returns the upstream that was promoted in the highest term. Its log must contain every
/// acknowledged write, even if it does not serve requests yet.
pub fn latest_primary(
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

/// Runs all checks on a group and reports each violation to the history.
pub fn check_group(history: &history::RunHistory, group: &GroupJournals) {
    let requests: Vec<history::RequestRecord> = history
        .requests()
        .into_iter()
        .filter(|request| request.group == group.group)
        .collect();
    let counts = count_executions(group);
    check_requests(history, &requests, &counts);
    check_mixed_transactions(history, group);
    check_primaries(history, group);
    check_log_entries(history, group);
    let Some(events) = group
        .final_primary
        .as_ref()
        .and_then(|name| group.journals.get(name))
    else {
        let text = format!("group {} has no primary at the end of the run", group.group);
        history.report_finding("recovery", text, Vec::new());
        return;
    };
    let log = replay::ReplayedLog::new(events);
    let inserts = log.inserts();
    for key in history.acknowledged_keys(&group.group) {
        if !inserts.contains_key(key.as_str()) {
            let text = format!(
                "group {}: the acknowledged write {key} is missing on the final primary",
                group.group
            );
            history.report_finding("lost", text, vec![key]);
        }
    }
    for (key, entries) in &inserts {
        if entries.len() > 1 {
            let text = format!("{key} was inserted by {} entries of the log", entries.len());
            history.report_finding("doubled", text, vec![(*key).to_owned()]);
        }
    }
    check_transactions(history, &requests, &inserts);
}

/// Counts the executions and commits of each request id over all instances of a group.
fn count_executions(group: &GroupJournals) -> collections::HashMap<&str, ExecutionCount> {
    let mut counts: collections::HashMap<&str, ExecutionCount> = collections::HashMap::new();
    for event in group.journals.values().flatten() {
        match event {
            journal::JournalEvent::Statement { id: Some(id), .. } => {
                counts.entry(id).or_default().executions += 1;
            }
            journal::JournalEvent::Commit { ids: commit, .. } => {
                for id in commit {
                    counts.entry(id).or_default().commits += 1;
                }
            }
            _ => {}
        }
    }
    counts
}

/// Compares the outcome of each request with its executions and commits.
fn check_requests(
    history: &history::RunHistory,
    requests: &[history::RequestRecord],
    counts: &collections::HashMap<&str, ExecutionCount>,
) {
    let none = ExecutionCount::default();
    let failed: collections::HashSet<&str> = requests
        .iter()
        .filter(|request| request.outcome != history::RequestOutcome::Done)
        .map(|request| transaction_id_of(&request.id))
        .collect();
    for request in requests {
        let count = counts.get(request.id.as_str()).unwrap_or(&none);
        let report =
            |class, text: String| history.report_finding(class, text, vec![request.id.clone()]);
        let description = format!("{} ({:?}, {:?})", request.id, request.kind, request.outcome);
        if matches!(request.outcome, history::RequestOutcome::NotRun(_)) && count.executions > 0 {
            report(
                "not-run",
                format!("{description} ran {} times", count.executions),
            );
        }
        // A read outside a transaction and BEGIN have no side effects, so the proxy may retry them.
        let repeatable = matches!(
            request.kind,
            history::RequestKind::Read | history::RequestKind::Begin
        );
        if !repeatable && count.executions > 1 {
            report(
                "doubled",
                format!("{description} ran {} times", count.executions),
            );
        }
        if count.commits > 1 {
            report(
                "doubled",
                format!("{description} committed {} times", count.commits),
            );
        }
        if let history::RequestOutcome::Failed(text) = &request.outcome
            && text.starts_with("23505")
        {
            // Each key is inserted by one request, so a unique violation means that the insert ran
            // twice.
            report("doubled", description);
        } else if request.outcome == history::RequestOutcome::Done
            && count.executions == 0
            && !rolls_back_failed_transaction(request, &failed)
        {
            report(
                "foreign",
                format!("{description} got a response, but no instance ran it"),
            );
        }
    }
}

/// Returns whether the request rolls back a transaction in which another request has failed. The
/// entry may answer such a ROLLBACK itself, since the connection to the upstream is lost as well.
fn rolls_back_failed_transaction(
    request: &history::RequestRecord,
    failed: &collections::HashSet<&str>,
) -> bool {
    request.kind == history::RequestKind::Rollback
        && failed.contains(transaction_id_of(&request.id))
}

/// Returns the part of a request id that identifies its client and transaction.
fn transaction_id_of(id: &str) -> &str {
    id.rsplit_once('.')
        .map_or(id, |(transaction_id, _step)| transaction_id)
}

/// Checks that no transaction on an instance contains statements of different transactions of
/// clients.
fn check_mixed_transactions(history: &history::RunHistory, group: &GroupJournals) {
    for (upstream, events) in &group.journals {
        let mut owners: collections::HashMap<(u64, u64), &str> = collections::HashMap::new();
        for event in events {
            match event {
                // Connection and transaction numbers restart with the instance.
                journal::JournalEvent::Start { .. } => owners.clear(),
                journal::JournalEvent::Statement {
                    id: Some(id),
                    connection,
                    transaction,
                    ..
                } => {
                    let transaction_id = transaction_id_of(id);
                    let owner = owners
                        .entry((*connection, *transaction))
                        .or_insert(transaction_id);
                    if *owner != transaction_id {
                        let text = format!(
                            "transaction {transaction} of {upstream} has statements of {owner} and {transaction_id}"
                        );
                        history.report_finding("mixed", text, vec![id.clone()]);
                    }
                }
                journal::JournalEvent::Commit { ids, .. } => {
                    let transaction_ids: collections::BTreeSet<&str> =
                        ids.iter().map(|id| transaction_id_of(id)).collect();
                    if transaction_ids.len() > 1 {
                        let text =
                            format!("a commit of {upstream} has statements of {transaction_ids:?}");
                        history.report_finding("mixed", text, ids.clone());
                    }
                }
                _ => {}
            }
        }
    }
}

/// Checks that each term has at most one primary, and that only this primary commits in it.
fn check_primaries(history: &history::RunHistory, group: &GroupJournals) {
    let mut primaries: collections::BTreeMap<ids::TermNumber, Vec<&str>> =
        collections::BTreeMap::new();
    for (upstream, events) in &group.journals {
        for event in events {
            if let journal::JournalEvent::Promote { entry } = event {
                primaries.entry(entry.term).or_default().push(upstream);
            }
        }
    }
    for (term, upstreams) in &primaries {
        if upstreams.len() > 1 {
            let text = format!(
                "term {term} of group {} has several primaries: {upstreams:?}",
                group.group
            );
            history.report_finding("primary", text, Vec::new());
        }
    }
    for (upstream, events) in &group.journals {
        for event in events {
            if let journal::JournalEvent::Commit { entry, ids, .. } = event
                && primaries
                    .get(&entry.term)
                    .is_none_or(|names| !names.contains(&upstream.as_str()))
            {
                let text = format!(
                    "{upstream} committed in term {}, in which it was not the primary",
                    entry.term
                );
                history.report_finding("primary", text, ids.clone());
            }
        }
    }
}

/// Checks that all instances have the same log entry at a position.
fn check_log_entries(history: &history::RunHistory, group: &GroupJournals) {
    let mut entries: collections::HashMap<log_position::LogPosition, &log_entry::LogEntry> =
        collections::HashMap::new();
    for event in group.journals.values().flatten() {
        if let journal::JournalEvent::Commit { entry, .. }
        | journal::JournalEvent::Received { entry }
        | journal::JournalEvent::Promote { entry } = event
        {
            let first = entries.entry(entry.position()).or_insert(entry);
            if *first != entry {
                let text = format!(
                    "group {} has two different entries at position {}",
                    group.group,
                    entry.position()
                );
                history.report_finding("log", text, Vec::new());
            }
        }
    }
}

/// Checks that each transaction is in the log either completely or not at all, and that it is there
/// only if its client received a success or an unknown outcome.
fn check_transactions(
    history: &history::RunHistory,
    requests: &[history::RequestRecord],
    inserts: &collections::HashMap<&str, Vec<usize>>,
) {
    let mut transactions: collections::BTreeMap<&str, Vec<&history::RequestRecord>> =
        collections::BTreeMap::new();
    for request in requests {
        transactions
            .entry(transaction_id_of(&request.id))
            .or_default()
            .push(request);
    }
    for (transaction_id, requests) in transactions {
        let entry_index = |request: &history::RequestRecord| {
            inserts
                .get(request.id.as_str())
                .and_then(|entries| entries.first().copied())
        };
        let persisted: Vec<&&history::RequestRecord> = requests
            .iter()
            .filter(|request| entry_index(request).is_some())
            .collect();
        if persisted.is_empty() {
            continue;
        }
        let ids: Vec<String> = requests.iter().map(|request| request.id.clone()).collect();
        let entries: collections::BTreeSet<usize> = persisted
            .iter()
            .filter_map(|request| entry_index(request))
            .collect();
        // Step 7 is the read of a transaction, so it is no write.
        let is_transaction_write = |request: &&&history::RequestRecord| {
            request.kind == history::RequestKind::Inside && !request.id.ends_with(".7")
        };
        let expected_writes = requests.iter().filter(is_transaction_write).count();
        if entries.len() > 1 || (expected_writes > 0 && persisted.len() != expected_writes) {
            let text = format!(
                "{transaction_id} is not atomic in the log: {} of {expected_writes} writes",
                persisted.len()
            );
            history.report_finding("torn", text, ids.clone());
        }
        let commit_request = requests.iter().find(|request| {
            matches!(
                request.kind,
                history::RequestKind::Commit | history::RequestKind::Write
            )
        });
        let may_have_committed = commit_request.is_some_and(|request| {
            matches!(
                request.outcome,
                history::RequestOutcome::Done | history::RequestOutcome::Unknown(_)
            )
        });
        if !may_have_committed {
            let outcome = commit_request.map(|request| &request.outcome);
            let text =
                format!("the log has {transaction_id}, although its client was told {outcome:?}");
            history.report_finding("kept", text, ids);
        }
    }
}
