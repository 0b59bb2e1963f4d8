//! The rules: reading the whole text, and taking changes one by one.

use persimmontack::decide::rule_log;
use persimmontack::rules::file_parser;

use crate::slopes::{cost, deployment, row};

/// Numbers of groups, each with two rules.
const GROUP_COUNTS: [usize; 5] = [1, 10, 100, 1_000, deployment::FULL_GROUPS];
/// Changes of a day at the full size.
const DAY_CHANGES: u64 = 17_000;
/// Bytes of one value that the store takes.
const VALUE_BYTES: f64 = 1_048_576.0;

/// Measures all sizes.
pub fn measure(report: &mut row::Report) {
    for count in GROUP_COUNTS {
        let text = deployment::rules_text(count);
        let mut add = |measure: &str, value: f64, quantity: &str| {
            report.add(measure, count, "groups", value, quantity);
        };
        add("rules text", text.len() as f64, "bytes");
        add(
            "rules text",
            text.len() as f64 / VALUE_BYTES,
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
    measure_day(report);
}

/// Returns a change that replaces the first line.
fn change(text: &str, revision: u64) -> rule_log::RuleChange {
    let old = text.lines().next().unwrap_or_default().to_owned();
    let new = format!("read database-00000 max-age={revision}s # asked for by: slopes");
    let line = |text| vec![rule_log::RuleLine { line: 1, text }];
    rule_log::RuleChange {
        id: format!("{revision:032x}"),
        revision,
        author: "slopes".to_owned(),
        at: 1_790_000_000_000,
        removed: line(old),
        added: line(new),
    }
}

/// Takes the changes of a day one by one, with the text of 1,000 groups.
fn measure_day(report: &mut row::Report) {
    let groups = 1_000;
    let mut log = rule_log::RuleLog::default();
    log.apply_update(rule_log::RuleUpdate::Snapshot(rule_log::RuleSnapshot {
        revision: 1,
        text: deployment::rules_text(groups),
    }));
    let mut bytes = 0;
    let start = cost::thread_time();
    for revision in 2..DAY_CHANGES + 2 {
        let change = change(&log.current().text, revision);
        bytes += serde_json::to_string(&change).map_or(0, |json| json.len());
        log.apply_update(rule_log::RuleUpdate::Changes(vec![change]));
    }
    let used = cost::thread_time().saturating_sub(start);
    let name = "a day's changes, 1,000 groups";
    let count = usize::try_from(log.current().revision - 1).unwrap_or(0);
    report.add(name, count, "changes", used.as_secs_f64(), "s to take all");
    report.add(name, count, "changes", bytes as f64, "bytes in the store");
}
