//! `persimmonctl history`: lists the changes of the rules.

use crate::ctl;
use crate::ctl::commit;
use crate::ctl::config;
use crate::ctl::ctl_error;
use crate::ctl::rule_store;

/// Lists the newest `last` changes, newest first.
pub(super) async fn run(
    config: &config::CtlConfig,
    last: u64,
) -> Result<ctl::CtlOutput, ctl_error::CtlError> {
    let store = rule_store::RuleStore::new(config)?;
    let newest = store.newest().await?.revision;
    let first = newest.saturating_sub(last.saturating_sub(1)).max(1);
    let mut changes = match newest {
        0 => Vec::new(),
        _ if last == 0 => Vec::new(),
        _ => store.changes(first, newest).await?,
    };
    changes.reverse();
    let mut text = String::new();
    for change in &changes {
        text.push_str(&format!(
            "revision {}  {}  {}  {}\n",
            change.revision,
            commit::format_time(change.at),
            change.author,
            change.id
        ));
        for line in commit::changed_lines(change) {
            text.push_str(&format!("  {line}\n"));
        }
    }
    Ok(ctl::CtlOutput {
        text,
        json: serde_json::json!(changes),
    })
}
