//! Checks that accepted rules stay, that refused ones do not appear, and that no process goes back
//! to an older revision.

use std::collections;

use persimmontack::decide::rule_log;

use crate::soak::{history, operator};

/// Exit codes of persimmonctl after which a change is in force, or may be.
const MADE: i32 = 0;
const PERHAPS: i32 = 6;

/// Checks the log of the store against what operators were told.
pub fn check_store(
    history: &history::RunHistory,
    changes: &[rule_log::RuleChange],
    told: &[operator::OperatorChange],
) {
    let find = |text: String| history.find("rules", text, Vec::new());
    let mut authors: collections::HashMap<&str, usize> = collections::HashMap::new();
    for (number, change) in (1_u64..).zip(changes) {
        if change.revision != number {
            find(format!(
                "revision {} stands at place {number}",
                change.revision
            ));
        }
        *authors.entry(change.author.as_str()).or_default() += 1;
    }
    for change in told {
        let count = authors.get(change.author.as_str()).copied().unwrap_or(0);
        let unchanged = change.text.contains("already holds");
        let fits = match change.code {
            Some(MADE) => count == 1 || (count == 0 && unchanged),
            Some(PERHAPS) | None => count <= 1,
            Some(_) => count == 0,
        };
        if !fits {
            find(format!(
                "{} was told {:?} and has {count} revisions: {}",
                change.author, change.code, change.text
            ));
        }
    }
}

/// Checks the revisions that a process logged, over all its starts.
pub fn check_process(history: &history::RunHistory, name: &str, stderr: &str) {
    let mut last = 0;
    for line in stderr.lines() {
        if line.contains("event=listening what=link") {
            last = 0;
        }
        if line.contains("panicked at") {
            history.find("crash", format!("{name}: {line}"), Vec::new());
        }
        let in_force =
            line.contains("event=rules_in_force") || line.contains("event=tables_in_force");
        let revision = line
            .split(' ')
            .find_map(|pair| pair.strip_prefix("revision=")?.parse::<u64>().ok());
        if let (true, Some(revision)) = (in_force, revision) {
            if revision < last {
                let text = format!("{name} went from revision {last} to {revision}");
                history.find("rules", text, Vec::new());
            }
            last = revision;
        }
    }
}
