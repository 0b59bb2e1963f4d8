//! Commits the next revision of the rules.

use std::time;

use crate::ctl::ctl_error;
use crate::ctl::rule_store;
use crate::decide::rule_log;
use crate::exit_code;

/// Outcome of committing a new text.
#[derive(Debug)]
pub(super) enum CommitOutcome {
    /// The newest revision already has this text.
    Unchanged,
    /// The text was committed with this change. The error, if any, is that of updating the
    /// snapshot.
    Committed(rule_log::RuleChange, Option<ctl_error::CtlError>),
    /// Another operator's change took the revision first.
    Conflict(rule_log::RuleChange),
}

/// Commits `text` as the revision after `newest`, unless another change takes that revision first.
pub(super) async fn commit(
    store: &rule_store::RuleStore,
    newest: &rule_log::RuleSnapshot,
    text: &str,
    author: &str,
) -> Result<CommitOutcome, ctl_error::CtlError> {
    let (removed, added) = rule_log::diff(&newest.text, text);
    if removed.is_empty() && added.is_empty() {
        return Ok(CommitOutcome::Unchanged);
    }
    let change = rule_log::RuleChange {
        id: format!("{:032x}", rand::random::<u128>()),
        revision: newest.revision + 1,
        author: author.to_owned(),
        at: now_ms(),
        removed,
        added,
    };
    let snapshot = rule_log::RuleSnapshot {
        revision: change.revision,
        text: rule_log::apply(&newest.text, &change).map_err(|error| {
            ctl_error::CtlError::new(
                exit_code::ExitCode::Failure,
                format!("{error}; check the file with persimmonctl check"),
            )
        })?,
    };
    // If a text were too large for a snapshot, the snapshot could no longer be updated and all
    // later changes would fail.
    rule_store::encode(&snapshot)?;
    match store.create(&change).await? {
        rule_store::CreateOutcome::Conflict(conflicting_change) => {
            Ok(CommitOutcome::Conflict(conflicting_change))
        }
        rule_store::CreateOutcome::Created => {
            let warning = store.refresh_snapshot(&snapshot).await.err();
            Ok(CommitOutcome::Committed(change, warning))
        }
    }
}

/// Returns the error for an operator whose change conflicts with changes that were committed first.
pub(super) fn conflict_error(conflicting_changes: &[rule_log::RuleChange]) -> ctl_error::CtlError {
    let messages = conflicting_changes.iter().map(|change| {
        format!(
            "revision {} was made first by {} at {}; merge its lines into your file and apply again",
            change.revision,
            change.author,
            format_time(change.at)
        )
    });
    ctl_error::CtlError {
        code: exit_code::ExitCode::Conflict,
        messages: messages.collect(),
        details: conflicting_changes.iter().flat_map(changed_lines).collect(),
        json: Some(serde_json::json!({ "came_first": conflicting_changes })),
    }
}

/// Returns the lines of a change, marked with `-` and `+`.
pub(super) fn changed_lines(change: &rule_log::RuleChange) -> Vec<String> {
    let removed = change.removed.iter().map(|line| format!("- {}", line.text));
    let added = change.added.iter().map(|line| format!("+ {}", line.text));
    removed.chain(added).collect()
}

/// Formats milliseconds since the Unix epoch in UTC.
pub(super) fn format_time(at: u64) -> String {
    i64::try_from(at)
        .ok()
        .and_then(|at| jiff::Timestamp::from_millisecond(at).ok())
        .map_or_else(|| format!("{at} ms"), |time| time.to_string())
}

fn now_ms() -> u64 {
    // The time is only displayed, so 0 is good enough for a clock that is set before 1970.
    time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .ok()
        .and_then(|since| u64::try_from(since.as_millis()).ok())
        .unwrap_or(0)
}
