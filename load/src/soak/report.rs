//! What a run prints at its end.

use std::collections;

use standins::instance::journal;

use crate::soak::{check, history};

/// Journal lines that are printed for a finding.
const PRINTED_LINES: usize = 16;
/// Findings of one class that are printed with their lines.
const PRINTED_FINDINGS: usize = 8;

/// Classes of findings, with what each one guards.
const CLASSES: [(&str, &str); 16] = [
    ("lost", "no acknowledged write is missing"),
    ("doubled", "no request runs or commits twice"),
    ("not-run", "what is told as not run did not run"),
    (
        "kept",
        "what was refused, dropped or rolled back is not kept",
    ),
    ("torn", "transactions are kept whole or not at all"),
    ("mixed", "no transaction has statements of two callers"),
    ("stale", "no read misses what it has to show"),
    ("foreign", "each answer belongs to its request"),
    ("primary", "at most one primary per term"),
    ("log", "entries of one position are the same everywhere"),
    ("rules", "accepted rules stay, revisions never go back"),
    ("login", "logins of all revisions are accepted"),
    ("hang", "each request gets an outcome"),
    ("recovery", "the set recovers within a minute"),
    ("crash", "no process ends by itself"),
    ("stop", "a process ends in time after SIGTERM, with code 0"),
];

/// Prints outcomes and findings.
pub fn print(history: &history::RunHistory, traces: &[check::GroupTrace]) {
    let requests = history.requests();
    let mut counts: collections::BTreeMap<String, [usize; 6]> = collections::BTreeMap::new();
    for request in &requests {
        let row = counts.entry(format!("{:?}", request.kind)).or_default();
        let column = match &request.outcome {
            history::ToldOutcome::Done => 0,
            history::ToldOutcome::NotRun(_) => 1,
            history::ToldOutcome::Dropped(_) => 2,
            history::ToldOutcome::Failed(_) => 3,
            history::ToldOutcome::Unknown(_) => 4,
        };
        if let Some(count) = row.get_mut(column) {
            *count += 1;
        }
        let took = request.ended.saturating_sub(request.sent).as_millis();
        let [.., longest] = row;
        *longest = (*longest).max(usize::try_from(took).unwrap_or(usize::MAX));
    }
    println!("\nrequest    done  not run  dropped  failed  unknown  longest");
    for (kind, row) in &counts {
        let [done, not_run, dropped, failed, unknown, longest] = row;
        println!("{kind:8} {done:6} {not_run:8} {dropped:8} {failed:7} {unknown:8} {longest:5} ms");
    }
    print_texts(&requests);
    let findings = history.findings();
    println!("\nclass       findings  what must hold");
    for (class, meaning) in CLASSES {
        let count = findings.iter().filter(|found| found.class == class).count();
        println!("{class:10} {count:9}  {meaning}");
    }
    let mut printed: collections::HashMap<&str, usize> = collections::HashMap::new();
    for finding in &findings {
        let count = printed.entry(finding.class).or_default();
        *count += 1;
        if *count <= PRINTED_FINDINGS {
            println!("\nFINDING {}: {}", finding.class, finding.text);
            for id in &finding.ids {
                print_request(&requests, id);
                print_lines(traces, id);
            }
        }
    }
}

/// Prints how often each error text was seen, without its details.
fn print_texts(requests: &[history::ToldRequest]) {
    let mut texts: collections::BTreeMap<String, usize> = collections::BTreeMap::new();
    for request in requests {
        let (history::ToldOutcome::NotRun(text)
        | history::ToldOutcome::Dropped(text)
        | history::ToldOutcome::Failed(text)
        | history::ToldOutcome::Unknown(text)) = &request.outcome
        else {
            continue;
        };
        let short = text.split(" step=").next().unwrap_or_default();
        *texts.entry(short.chars().take(110).collect()).or_default() += 1;
    }
    println!();
    for (text, count) in texts {
        println!("{count:6} x {text}");
    }
}

fn print_request(requests: &[history::ToldRequest], id: &str) {
    for request in requests.iter().filter(|request| request.id == id) {
        println!(
            "  told {id} {:?} at {} from {:.3} s to {:.3} s: {:?}",
            request.kind,
            request.entry,
            request.sent.as_secs_f64(),
            request.ended.as_secs_f64(),
            request.outcome
        );
    }
}

fn print_lines(traces: &[check::GroupTrace], id: &str) {
    let mut left = PRINTED_LINES;
    let quoted = format!("\"{id}\"");
    for trace in traces {
        for (upstream, events) in &trace.journals {
            for (number, event) in (1..).zip(events) {
                let line = line_of(event);
                if left > 0 && line.contains(&quoted) {
                    left -= 1;
                    println!("  {upstream} line {number}: {line}");
                }
            }
        }
    }
}

fn line_of(event: &journal::JournalEvent) -> String {
    serde_json::to_string(event).unwrap_or_default()
}
