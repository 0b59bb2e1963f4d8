//! Checks that accepted rule changes persist, that refused ones do not appear, and that no process
//! returns to an older revision.

use std::collections;

use persimmontack::decide::rule_log;

use crate::soak::{history, operator};

/// Exit code of persimmonctl: the change was applied.
const EXIT_APPLIED: i32 = 0;
/// Exit code of persimmonctl: no confirmation in time, so the change may have been applied.
const EXIT_TIMEOUT: i32 = 6;

/// Compares the log of rule changes in the platform's store with the results that persimmonctl
/// returned to operators.
pub fn check_rules_log(
    history: &history::RunHistory,
    changes: &[rule_log::RuleChange],
    attempts: &[operator::OperatorChange],
) {
    let report = |text: String| history.report_finding("rules", text, Vec::new());
    let mut revisions_by_author: collections::HashMap<&str, usize> = collections::HashMap::new();
    for (number, change) in (1_u64..).zip(changes) {
        if change.revision != number {
            report(format!(
                "the rules log has revision {} where {number} is expected",
                change.revision
            ));
        }
        *revisions_by_author
            .entry(change.author.as_str())
            .or_default() += 1;
    }
    for attempt in attempts {
        let count = revisions_by_author
            .get(attempt.author.as_str())
            .copied()
            .unwrap_or(0);
        let unchanged = attempt.text.contains("already holds");
        let is_consistent = match attempt.code {
            Some(EXIT_APPLIED) => count == 1 || (count == 0 && unchanged),
            Some(EXIT_TIMEOUT) | None => count <= 1,
            Some(_) => count == 0,
        };
        if !is_consistent {
            report(format!(
                "{}: persimmonctl exited with {:?}, and the rules log has {count} revisions: {}",
                attempt.author, attempt.code, attempt.text
            ));
        }
    }
}

/// Checks the log of a process, which covers all its starts: it must not panic, and its revisions of
/// rules and tables must not decrease until it restarts.
pub fn check_process_log(history: &history::RunHistory, name: &str, stderr: &str) {
    let mut last = 0;
    for line in stderr.lines() {
        // Logged once per start.
        if line.contains("event=listening what=link") {
            last = 0;
        }
        if line.contains("panicked at") {
            history.report_finding("crash", format!("{name}: {line}"), Vec::new());
        }
        let in_force =
            line.contains("event=rules_in_force") || line.contains("event=tables_in_force");
        let revision = line
            .split(' ')
            .find_map(|pair| pair.strip_prefix("revision=")?.parse::<u64>().ok());
        if let (true, Some(revision)) = (in_force, revision) {
            if revision < last {
                let text = format!("{name} returned from revision {last} to {revision}");
                history.report_finding("rules", text, Vec::new());
            }
            last = revision;
        }
    }
}
