//! `persimmonctl show`: prints the rules of a revision.

use std::mem;

use crate::ctl;
use crate::ctl::config;
use crate::ctl::ctl_error;
use crate::ctl::rule_store;
use crate::decide::rule_log;
use crate::exit_code;
use crate::model::ids;

/// Returns the rules of a revision. An older revision is rebuilt from the newest one by undoing the
/// changes since.
pub(super) async fn run(
    config: &config::CtlConfig,
    revision: Option<ids::RuleRevision>,
) -> Result<ctl::CtlOutput, ctl_error::CtlError> {
    let store = rule_store::RuleStore::new(config)?;
    let newest = store.newest().await?;
    let revision = revision.unwrap_or(newest.revision);
    if revision > newest.revision {
        return Err(ctl_error::CtlError::new(
            exit_code::ExitCode::Failure,
            format!(
                "revision {revision} does not exist, the newest is {}; persimmonctl history lists them",
                newest.revision
            ),
        ));
    }
    let mut text = newest.text;
    if revision < newest.revision {
        let changes = store.changes(revision + 1, newest.revision).await?;
        for mut change in changes.into_iter().rev() {
            // The inverse of a change removes what it added and adds what it removed.
            mem::swap(&mut change.removed, &mut change.added);
            text = rule_log::apply(&text, &change).map_err(|error| {
                ctl_error::CtlError::new(
                    exit_code::ExitCode::Failure,
                    format!("revision {revision} cannot be rebuilt: {error}; show a newer one"),
                )
            })?;
        }
    }
    Ok(ctl::CtlOutput {
        json: serde_json::json!({ "revision": revision, "text": text }),
        text,
    })
}
