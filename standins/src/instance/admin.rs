//! Executes the control statements and the admin statement.

use std::sync::atomic;
use std::time;

use persimmontack::model::ids;

use crate::instance::core_state;
use crate::instance::db_error;
use crate::instance::shared;

/// Runs a control statement and returns its result as text.
///
/// # Errors
///
/// Fails with 55000 if the current state does not allow it, with 42883 for an unknown function and
/// with 22P02 or 22023 for an invalid argument.
pub async fn run(
    instance: &shared::SharedInstance,
    name: &str,
    arguments: &[String],
) -> Result<String, db_error::DbError> {
    let journal = &instance.journal;
    match (name, arguments) {
        ("group_state", []) => {}
        ("group_wait", [version, wait]) => {
            let version: u64 = number(version)?;
            let wait = time::Duration::from_millis(number(wait)?);
            let mut receiver = instance.watch_version();
            // The answer is the same whether the state changed or the wait timed out.
            let _elapsed =
                tokio::time::timeout(wait, receiver.wait_for(|now| *now != version)).await;
        }
        ("group_fence", [term]) => {
            let term: ids::TermNumber = number(term)?;
            instance.with_core(|core| core.fence(term, journal))?;
        }
        ("group_promote", [term]) => {
            let term: ids::TermNumber = number(term)?;
            instance.with_core(|core| core.promote(term, journal))?;
        }
        ("group_follow", [term, address]) => {
            let target = core_state::FollowTarget {
                term: number(term)?,
                address: address.clone(),
            };
            instance.with_core(|core| core.follow(target, journal))?;
        }
        ("admin_set", [name, value]) => return set(instance, name, number(value)?),
        _ => {
            return Err(db_error::DbError::new(
                "42883",
                format!(
                    "function {name} with {} arguments does not exist",
                    arguments.len()
                ),
            ));
        }
    }
    let state = instance.with_core(|core| core.state().clone());
    serde_json::to_string(&state)
        .map_err(|error| db_error::DbError::new("XX000", error.to_string()))
}

fn set(
    instance: &shared::SharedInstance,
    name: &str,
    value: u64,
) -> Result<String, db_error::DbError> {
    let target = match name {
        "open_delay_ms" => &instance.times.open_delay_ms,
        "receive_delay_ms" => &instance.times.receive_delay_ms,
        "apply_delay_ms" => &instance.times.apply_delay_ms,
        "statement_us" => &instance.times.statement_us,
        _ => {
            return Err(db_error::DbError::new(
                "22023",
                format!("admin_set does not know {name}"),
            ));
        }
    };
    target.store(value, atomic::Ordering::Relaxed);
    instance.times.changes.send_modify(|count| *count += 1);
    Ok(value.to_string())
}

fn number(text: &str) -> Result<u64, db_error::DbError> {
    text.parse()
        .map_err(|error| db_error::DbError::new("22P02", format!("number {text:?}: {error}")))
}
