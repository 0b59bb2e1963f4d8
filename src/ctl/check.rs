//! `persimmonctl check`: validates a rules file.

use crate::ctl;
use crate::ctl::ctl_error;
use crate::ctl::rules_file;

/// Validates a rules file without contacting the platform.
pub(super) fn run(file: &str) -> Result<ctl::CtlOutput, ctl_error::CtlError> {
    let text = rules_file::read(file)?;
    let rules = rules_file::parse(file, &text)?;
    let count = rules.customers.len()
        + rules.logins.len()
        + rules.longs.len()
        + rules.reads.len()
        + rules.writes.len()
        + rules.drains.len();
    Ok(ctl::CtlOutput {
        text: format!("{file}: {count} rules are valid\n"),
        json: serde_json::json!({ "file": file, "valid": true, "rules": count }),
    })
}
