//! Measures the parsing of the whole rules text and the application of single changes.

use persimmontack::decide::rule_log;
use persimmontack::rules::file_parser;

use crate::slopes::{cost, deployment, report};

/// Numbers of groups, with two rules each.
const GROUP_COUNTS: [usize; 5] = [1, 10, 100, 1_000, deployment::FULL_GROUPS];
/// Number of rule changes in a day at the full size.
const CHANGES_PER_DAY: u64 = 17_000;
/// Largest value that the store accepts, in bytes.
const MAX_VALUE_BYTES: f64 = 1_048_576.0;

/// Measures the rules at all numbers of groups, and a day's changes.
pub fn measure(report: &mut report::ScalingReport) {
    for count in GROUP_COUNTS {
        let text = deployment::rules_text(count);
        let mut add = |measure: &str, value: f64, quantity: &str| {
            report.add(measure, count, "groups", value, quantity);
        };
        add("rules text", text.len() as f64, "bytes");
        add(
            "rules text",
            text.len() as f64 / MAX_VALUE_BYTES,
            "store values",
        );
        let parse = cost::microseconds(|| file_parser::parse(&text).is_ok());
        add("rules, parse of the text", parse, "us");
        let (_set, held) = cost::held_bytes(|| file_parser::parse(&text));
        add("rules, parsed", held as f64, "bytes held");
        let change = change(&text, 1);
        let apply = cost::microseconds(|| rule_log::apply(&text, &change).is_ok());
        add("rules, apply of a change", apply, "us");
        let json = serde_json::to_string(&change).unwrap_or_default();
        add("rules, a change in the store", json.len() as f64, "bytes");
    }
    measure_day_of_changes(report);
}

/// Returns a change that replaces the first line of a rules text.
fn change(text: &str, revision: u64) -> rule_log::RuleChange {
    let old = text.lines().next().unwrap_or_default().to_owned();
    let new = format!("read database-00000 max-age={revision}s # asked for by: slopes");
    let rule_line = |text| vec![rule_log::RuleLine { line: 1, text }];
    rule_log::RuleChange {
        id: format!("{revision:032x}"),
        revision,
        author: "slopes".to_owned(),
        at: 1_790_000_000_000,
        removed: rule_line(old),
        added: rule_line(new),
    }
}

/// Measures a day's changes, applied one by one to the rules text of 1,000 groups.
fn measure_day_of_changes(report: &mut report::ScalingReport) {
    let groups = 1_000;
    let mut log = rule_log::RuleLog::default();
    log.apply_update(rule_log::RuleUpdate::Snapshot(rule_log::RuleSnapshot {
        revision: 1,
        text: deployment::rules_text(groups),
    }));
    let mut bytes = 0;
    let start = cost::thread_time();
    for revision in 2..CHANGES_PER_DAY + 2 {
        let change = change(&log.current().text, revision);
        bytes += serde_json::to_string(&change).map_or(0, |json| json.len());
        log.apply_update(rule_log::RuleUpdate::Changes(vec![change]));
    }
    let processor_time = cost::thread_time().saturating_sub(start);
    let name = "a day's changes, 1,000 groups";
    let count = usize::try_from(log.current().revision - 1).unwrap_or(0);
    report.add(
        name,
        count,
        "changes",
        processor_time.as_secs_f64(),
        "s to take all",
    );
    report.add(name, count, "changes", bytes as f64, "bytes in the store");
}
