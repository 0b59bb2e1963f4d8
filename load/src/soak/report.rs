//! The report at the end of a run: outcomes, error texts and findings.

use std::collections;

use standins::instance::journal;

use crate::soak::{check, history};

/// Maximum number of journal lines per id of a finding.
const MAX_JOURNAL_LINES: usize = 16;
/// Maximum number of findings per class that are printed in detail.
const MAX_FINDINGS_PER_CLASS: usize = 8;

/// Classes of findings, each with the guarantee that it checks.
const CLASSES: [(&str, &str); 16] = [
    ("lost", "no acknowledged write is missing"),
    ("doubled", "no request runs or commits twice"),
    ("not-run", "no request that was reported as not run has run"),
    (
        "kept",
        "no refused, dropped or rolled back write is in the log",
    ),
    (
        "torn",
        "transactions are persisted completely or not at all",
    ),
    ("mixed", "no transaction has statements of two clients"),
    ("stale", "no read misses a write that it must see"),
    ("foreign", "each response belongs to its request"),
    ("primary", "at most one primary per term"),
    ("log", "all instances have the same entry at a position"),
    ("rules", "accepted rules persist, revisions never decrease"),
    ("login", "logins of all revisions are accepted"),
    ("hang", "each request gets an outcome"),
    ("recovery", "the deployment recovers within a minute"),
    ("crash", "no process panics or exits unexpectedly"),
    ("stop", "a process exits in time with code 0 after SIGTERM"),
];

/// Prints the outcome table, the error texts, and the findings with their journal lines.
pub fn print_report(history: &history::RunHistory, groups: &[check::GroupJournals]) {
    let requests = history.requests();
    let mut table: collections::BTreeMap<String, [usize; 6]> = collections::BTreeMap::new();
    for request in &requests {
        let row = table.entry(format!("{:?}", request.kind)).or_default();
        let column = match &request.outcome {
            history::RequestOutcome::Done => 0,
            history::RequestOutcome::NotRun(_) => 1,
            history::RequestOutcome::Dropped(_) => 2,
            history::RequestOutcome::Failed(_) => 3,
            history::RequestOutcome::Unknown(_) => 4,
        };
        if let Some(count) = row.get_mut(column) {
            *count += 1;
        }
        let elapsed_ms = request.ended_at.saturating_sub(request.sent_at).as_millis();
        let [.., longest] = row;
        *longest = (*longest).max(usize::try_from(elapsed_ms).unwrap_or(usize::MAX));
    }
    println!("\nrequest    done  not run  dropped  failed  unknown  longest");
    for (kind, row) in &table {
        let [done, not_run, dropped, failed, unknown, longest] = row;
        println!("{kind:8} {done:6} {not_run:8} {dropped:8} {failed:7} {unknown:8} {longest:5} ms");
    }
    print_error_counts(&requests);
    let findings = history.findings();
    println!("\nclass       findings  what must hold");
    for (class, guarantee) in CLASSES {
        let count = findings.iter().filter(|found| found.class == class).count();
        println!("{class:10} {count:9}  {guarantee}");
    }
    let mut printed: collections::HashMap<&str, usize> = collections::HashMap::new();
    for finding in &findings {
        let count = printed.entry(finding.class).or_default();
        *count += 1;
        if *count <= MAX_FINDINGS_PER_CLASS {
            println!("\nFINDING {}: {}", finding.class, finding.text);
            for id in &finding.ids {
                print_request(&requests, id);
                print_journal_lines(groups, id);
            }
        }
    }
}

/// Prints the number of occurrences of each error text. Cuts the texts so that errors which differ
/// only in details count as one.
fn print_error_counts(requests: &[history::RequestRecord]) {
    let mut counts: collections::BTreeMap<String, usize> = collections::BTreeMap::new();
    for request in requests {
        let (history::RequestOutcome::NotRun(text)
        | history::RequestOutcome::Dropped(text)
        | history::RequestOutcome::Failed(text)
        | history::RequestOutcome::Unknown(text)) = &request.outcome
        else {
            continue;
        };
        let short = text.split(" step=").next().unwrap_or_default();
        *counts.entry(short.chars().take(110).collect()).or_default() += 1;
    }
    println!();
    for (text, count) in counts {
        println!("{count:6} x {text}");
    }
}

fn print_request(requests: &[history::RequestRecord], id: &str) {
    for request in requests.iter().filter(|request| request.id == id) {
        println!(
            "  request {id} {:?} at {} from {:.3} s to {:.3} s: {:?}",
            request.kind,
            request.entry_vm,
            request.sent_at.as_secs_f64(),
            request.ended_at.as_secs_f64(),
            request.outcome
        );
    }
}

fn print_journal_lines(groups: &[check::GroupJournals], id: &str) {
    let mut remaining = MAX_JOURNAL_LINES;
    let quoted = format!("\"{id}\"");
    for group in groups {
        for (upstream, events) in &group.journals {
            for (number, event) in (1..).zip(events) {
                let line = to_json_line(event);
                if remaining > 0 && line.contains(&quoted) {
                    remaining -= 1;
                    println!("  {upstream} line {number}: {line}");
                }
            }
        }
    }
}

fn to_json_line(event: &journal::JournalEvent) -> String {
    serde_json::to_string(event).unwrap_or_default()
}
