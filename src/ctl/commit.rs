//! Makes the next revision of the rules.

use std::time;

use crate::ctl::ctl_error;
use crate::ctl::rule_store;
use crate::decide::rule_log;
use crate::exit_code;

/// What became of a new text.
#[derive(Debug)]
pub(super) enum CommitOutcome {
    /// The text is in force already.
    Unchanged,
    /// The text is the newest revision; with what went wrong afterwards.
    Made(rule_log::RuleChange, Option<ctl_error::CtlError>),
    /// This other change came first.
    Lost(rule_log::RuleChange),
}

/// Makes `text` the revision after `newest`, unless another change comes first.
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
    let made = rule_log::RuleSnapshot {
        revision: change.revision,
        text: rule_log::apply(&newest.text, &change).map_err(|error| {
            ctl_error::CtlError::new(
                exit_code::ExitCode::Failure,
                format!("{error}; check the file with persimmonctl check"),
            )
        })?,
    };
    // A text that does not fit into a snapshot would stop all later changes.
    rule_store::encode(&made)?;
    match store.create(&change).await? {
        rule_store::CreateOutcome::Lost(winner) => Ok(CommitOutcome::Lost(winner)),
        rule_store::CreateOutcome::Created => {
            let warning = store.refresh_snapshot(&made).await.err();
            Ok(CommitOutcome::Made(change, warning))
        }
    }
}

/// Tells an operator whose change or changes came first.
pub(super) fn conflict(winners: &[rule_log::RuleChange]) -> ctl_error::CtlError {
    let sentences = winners.iter().map(|winner| {
        format!(
            "revision {} was made first by {} at {}; merge its lines into your file and apply again",
            winner.revision,
            winner.author,
            format_time(winner.at)
        )
    });
    ctl_error::CtlError {
        code: exit_code::ExitCode::Conflict,
        sentences: sentences.collect(),
        details: winners.iter().flat_map(changed_lines).collect(),
        json: Some(serde_json::json!({ "came_first": winners })),
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
    // A clock before 1970 only spoils the time that is shown.
    time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .ok()
        .and_then(|since| u64::try_from(since.as_millis()).ok())
        .unwrap_or(0)
}
