//! `persimmonctl drain` and `persimmonctl undrain`: add and remove drain rules.

use crate::ctl;
use crate::ctl::apply;
use crate::ctl::commit;
use crate::ctl::config;
use crate::ctl::ctl_error;
use crate::ctl::rule_store;
use crate::ctl::rules_file;
use crate::exit_code;
use crate::rules::{file_parser, rule_set};

/// Attempts to commit while other operators commit changes too. Adding or removing one line is
/// possible at any revision, so a conflict is resolved by a retry.
const MAX_ATTEMPTS: u32 = 16;

/// Adds a drain rule, unless the target has one.
pub(super) async fn add(
    config: &config::CtlConfig,
    rule: &rule_set::DrainRule,
    author: &str,
) -> Result<ctl::CtlOutput, ctl_error::CtlError> {
    let store = rule_store::RuleStore::new(config)?;
    check_target(&store, &rule.target).await?;
    commit_edit(&store, author, |text| {
        if contains_drain(text, &rule.target) {
            return Ok(text.to_owned());
        }
        Ok(format!("{text}{rule}\n"))
    })
    .await
}

/// Removes a drain rule.
pub(super) async fn remove(
    config: &config::CtlConfig,
    target: &rule_set::DrainTarget,
    author: &str,
) -> Result<ctl::CtlOutput, ctl_error::CtlError> {
    let store = rule_store::RuleStore::new(config)?;
    commit_edit(&store, author, |text| {
        if !contains_drain(text, target) {
            return Err(ctl_error::CtlError::new(
                exit_code::ExitCode::Failure,
                format!("no rule drains {target}; persimmonctl show prints the rules"),
            ));
        }
        let kept = text.lines().filter(|line| !contains_drain(line, target));
        Ok(kept.flat_map(|line| [line, "\n"]).collect())
    })
    .await
}

/// Applies an edit to the newest rules and commits the result, with a retry after a conflict.
async fn commit_edit(
    store: &rule_store::RuleStore,
    author: &str,
    edit: impl Fn(&str) -> Result<String, ctl_error::CtlError>,
) -> Result<ctl::CtlOutput, ctl_error::CtlError> {
    let mut conflicting_changes = Vec::new();
    for _attempt in 0..MAX_ATTEMPTS {
        let newest = store.newest().await?;
        let text = edit(&newest.text)?;
        rules_file::parse("the newest revision", &text)?;
        match commit::commit(store, &newest, &text, author).await? {
            commit::CommitOutcome::Unchanged => {
                return Ok(apply::describe_unchanged(newest.revision));
            }
            commit::CommitOutcome::Committed(change, warning) => {
                return Ok(apply::describe(&change, warning.as_ref()));
            }
            commit::CommitOutcome::Conflict(conflicting_change) => {
                conflicting_changes.push(conflicting_change);
            }
        }
    }
    Err(commit::conflict_error(&conflicting_changes))
}

/// Returns whether the text contains a drain rule for the target. Each line is parsed on its own,
/// so that an invalid line does not hide the rules on the others.
fn contains_drain(text: &str, target: &rule_set::DrainTarget) -> bool {
    text.lines()
        .filter_map(|line| file_parser::parse(line).ok())
        .any(|rules| rules.drains.iter().any(|rule| rule.target == *target))
}

/// Rejects a target that the platform does not list, which is probably misspelt.
async fn check_target(
    store: &rule_store::RuleStore,
    target: &rule_set::DrainTarget,
) -> Result<(), ctl_error::CtlError> {
    let platform = store.platform();
    let (wanted, known) = match target {
        rule_set::DrainTarget::Upstream(upstream) => {
            let groups = platform.groups().await;
            let groups = groups.map_err(|error| ctl_error::CtlError::platform(&error))?;
            let upstreams = groups.into_iter().flat_map(|group| group.upstreams);
            (upstream, upstreams.map(|spec| spec.upstream).collect())
        }
        rule_set::DrainTarget::Vm(vm) => {
            let vms = platform.vms().await;
            let vms = vms.map_err(|error| ctl_error::CtlError::platform(&error))?;
            (vm, vms.into_iter().map(|record| record.vm).collect())
        }
    };
    let known: Vec<String> = known;
    if known.contains(wanted) {
        return Ok(());
    }
    let mut error = ctl_error::CtlError::new(
        exit_code::ExitCode::Failure,
        format!(
            "the platform does not list {target}; check the name (a new VM is listed after a delay)"
        ),
    );
    error.details = known;
    Err(error)
}
