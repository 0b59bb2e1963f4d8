//! Whether the set recovers once all faults are healed.

use std::sync;
use std::time;

use crate::soak::{caller, caller_link, history, place};

/// Time in which the set has to recover.
const RECOVERY_LIMIT: time::Duration = time::Duration::from_secs(60);
/// Pause between two attempts.
const ATTEMPT_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Waits until a write and a read by a new session succeed at each entry for each group. Reports
/// each entry that does not recover, and returns the time that the last one took.
pub async fn wait(
    history: &sync::Arc<history::RunHistory>,
    book: &sync::Arc<caller_link::EntryBook>,
    vms: &[String],
) -> time::Duration {
    let started = time::Instant::now();
    let mut probes = Vec::new();
    for vm in vms {
        for group in place::GROUPS {
            let probe = probe(
                sync::Arc::clone(history),
                sync::Arc::clone(book),
                vm.clone(),
                group.to_owned(),
                started + RECOVERY_LIMIT,
            );
            probes.push(tokio::spawn(probe));
        }
    }
    for probe in probes {
        if let Err(error) = probe.await {
            history.find("recovery", error.to_string(), Vec::new());
        }
    }
    started.elapsed()
}

async fn probe(
    history: sync::Arc<history::RunHistory>,
    book: sync::Arc<caller_link::EntryBook>,
    vm: String,
    group: String,
    ends: time::Instant,
) {
    let mut number = 0;
    loop {
        number += 1;
        let key = format!("recovery-{vm}.{number}.0");
        let failure = match attempt(&book, &vm, &group, &key).await {
            Ok(()) => {
                history.acknowledge(&group, &key);
                return;
            }
            Err(failure) => failure,
        };
        if time::Instant::now() > ends {
            let text =
                format!("{vm} did not serve {group} within {RECOVERY_LIMIT:?}, last: {failure}");
            history.find("recovery", text, vec![key]);
            return;
        }
        tokio::time::sleep(ATTEMPT_PAUSE).await;
    }
}

async fn attempt(
    book: &caller_link::EntryBook,
    vm: &str,
    group: &str,
    key: &str,
) -> Result<(), String> {
    let [user, ..] = place::USERS;
    let open = || caller_link::CallerLink::open(book, vm, user, group, "");
    let simple = caller_link::SendMode::Simple;
    let value = caller::value_of(key);
    let link = open().await.map_err(|(_state, text)| text)?;
    let sql = format!("/* id={key} */ INSERT INTO proofs (k, v) VALUES ('{key}', '{value}')");
    let (outcome, _rows) = link.ask(&sql, &[], simple).await;
    if outcome != history::ToldOutcome::Done {
        return Err(format!("write {key}: {outcome:?}"));
    }
    let link = open().await.map_err(|(_state, text)| text)?;
    let sql = format!("SELECT v FROM proofs WHERE k = '{key}'");
    let (outcome, rows) = link.ask(&sql, &[], simple).await;
    if outcome == history::ToldOutcome::Done && rows == [value] {
        return Ok(());
    }
    Err(format!("read of {key}: {outcome:?} {rows:?}"))
}
