//! `persimmonctl apply`: commits a rules file as the next revision.

use crate::ctl;
use crate::ctl::commit;
use crate::ctl::config;
use crate::ctl::control_call;
use crate::ctl::ctl_error;
use crate::ctl::rule_store;
use crate::ctl::rules_file;
use crate::ctl::wait;
use crate::decide::rule_log;
use crate::exit_code;
use crate::model::ids;

/// Commits a rules file as the next revision, and with `--wait` waits until it is in force.
pub(super) async fn run(
    config: &config::CtlConfig,
    request: &config::ApplyRequest,
) -> Result<ctl::CtlOutput, ctl_error::CtlError> {
    let text = rules_file::read(&request.file)?;
    rules_file::parse(&request.file, &text)?;
    let store = rule_store::RuleStore::new(config)?;
    // Looked up first, so that a missing keeper is reported before the rules are changed.
    let keepers = match request.wait {
        true => control_call::find_keepers(config).await?,
        false => Vec::new(),
    };
    let newest = store.newest().await?;
    if let Some(base) = request.base {
        check_base(&store, base, newest.revision).await?;
    }
    let outcome = commit::commit(&store, &newest, &text, &request.author).await?;
    let mut output = match outcome {
        commit::CommitOutcome::Conflict(conflicting_change) => {
            return Err(commit::conflict_error(&[conflicting_change]));
        }
        commit::CommitOutcome::Unchanged => describe_unchanged(newest.revision),
        commit::CommitOutcome::Committed(change, warning) => describe(&change, warning.as_ref()),
    };
    if request.wait {
        let revision = output
            .json
            .get("revision")
            .and_then(serde_json::Value::as_u64)
            .unwrap_or(newest.revision);
        let vms = wait::until_in_force(config, &keepers, revision).await?;
        output
            .text
            .push_str(&format!("revision {revision} is in force on {vms} VMs\n"));
        if let Some(object) = output.json.as_object_mut() {
            object.insert("in_force_on_vms".to_owned(), vms.into());
        }
    }
    Ok(output)
}

/// Describes a committed change.
pub(super) fn describe(
    change: &rule_log::RuleChange,
    warning: Option<&ctl_error::CtlError>,
) -> ctl::CtlOutput {
    let mut text = format!("revision {} made by {}\n", change.revision, change.author);
    for line in commit::changed_lines(change) {
        text.push_str(&format!("  {line}\n"));
    }
    let warnings: Vec<_> = warning
        .iter()
        .flat_map(|warning| &warning.messages)
        .map(|message| {
            format!("the snapshot was not updated, the next change will retry: {message}")
        })
        .collect();
    for warning in &warnings {
        text.push_str(&format!("{warning}\n"));
    }
    ctl::CtlOutput {
        text,
        json: serde_json::json!({
            "revision": change.revision,
            "changed": true,
            "change": change,
            "warnings": warnings,
        }),
    }
}

/// Reports that the newest revision already has the same text.
pub(super) fn describe_unchanged(revision: ids::RuleRevision) -> ctl::CtlOutput {
    ctl::CtlOutput {
        text: format!("revision {revision} already holds these rules\n"),
        json: serde_json::json!({ "revision": revision, "changed": false }),
    }
}

/// Fails unless `base` is the newest revision.
async fn check_base(
    store: &rule_store::RuleStore,
    base: ids::RuleRevision,
    newest: ids::RuleRevision,
) -> Result<(), ctl_error::CtlError> {
    if base == newest {
        return Ok(());
    }
    if base > newest {
        return Err(ctl_error::CtlError::new(
            exit_code::ExitCode::Failure,
            format!("revision {base} does not exist, the newest is {newest}; correct --base"),
        ));
    }
    Err(commit::conflict_error(
        &store.changes(base + 1, newest).await?,
    ))
}
