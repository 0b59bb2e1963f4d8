//! `persimmonctl apply`.

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

/// Makes a rules file the next revision.
pub(super) async fn run(
    config: &config::CtlConfig,
    request: &config::ApplyRequest,
) -> Result<ctl::CtlOutput, ctl_error::CtlError> {
    let text = rules_file::read(&request.file)?;
    rules_file::parse(&request.file, &text)?;
    let store = rule_store::RuleStore::new(config)?;
    // A keeper that cannot be found is reported before anything is changed.
    let keepers = match request.wait {
        true => control_call::keepers(config).await?,
        false => Vec::new(),
    };
    let newest = store.newest().await?;
    if let Some(base) = request.base {
        check_base(&store, base, newest.revision).await?;
    }
    let outcome = commit::commit(&store, &newest, &text, &request.author).await?;
    let mut output = match outcome {
        commit::CommitOutcome::Lost(winner) => return Err(commit::conflict(&[winner])),
        commit::CommitOutcome::Unchanged => describe_unchanged(newest.revision),
        commit::CommitOutcome::Made(change, warning) => describe(&change, warning.as_ref()),
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

/// Describes a change that was made.
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
        .flat_map(|warning| &warning.sentences)
        .map(|sentence| format!("the snapshot is left to the next change: {sentence}"))
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

/// Describes that there was nothing to change.
pub(super) fn describe_unchanged(revision: ids::RuleRevision) -> ctl::CtlOutput {
    ctl::CtlOutput {
        text: format!("revision {revision} already holds these rules\n"),
        json: serde_json::json!({ "revision": revision, "changed": false }),
    }
}

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
    Err(commit::conflict(&store.changes(base + 1, newest).await?))
}
