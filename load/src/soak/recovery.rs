//! Checks that the deployment recovers after all faults have ended.

use std::sync;
use std::time;

use crate::soak::{client, connection, history, topology};

/// Time in which the deployment must recover.
const RECOVERY_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Pause between attempts at one entry and group.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Waits until each entry serves a write and a read of a new session for each group. Reports each
/// entry that does not recover, and returns the time until the last one did.
pub async fn wait_for_recovery(
    history: &sync::Arc<history::RunHistory>,
    entry_addresses: &sync::Arc<connection::EntryAddresses>,
    vms: &[String],
) -> time::Duration {
    let started = time::Instant::now();
    let mut probes = Vec::new();
    for vm in vms {
        for group in topology::GROUPS {
            let probe = probe(
                sync::Arc::clone(history),
                sync::Arc::clone(entry_addresses),
                vm.clone(),
                group.to_owned(),
                started + RECOVERY_TIMEOUT,
            );
            probes.push(tokio::spawn(probe));
        }
    }
    for probe in probes {
        if let Err(error) = probe.await {
            history.report_finding("recovery", error.to_string(), Vec::new());
        }
    }
    started.elapsed()
}

async fn probe(
    history: sync::Arc<history::RunHistory>,
    entry_addresses: sync::Arc<connection::EntryAddresses>,
    vm: String,
    group: String,
    deadline: time::Instant,
) {
    let mut number = 0;
    loop {
        number += 1;
        let key = format!("recovery-{vm}.{number}.0");
        let failure = match write_and_read(&entry_addresses, &vm, &group, &key).await {
            Ok(()) => {
                history.record_acknowledged(&group, &key);
                return;
            }
            Err(failure) => failure,
        };
        if time::Instant::now() > deadline {
            let text = format!(
                "{vm} did not serve {group} within {RECOVERY_TIMEOUT:?}, last error: {failure}"
            );
            history.report_finding("recovery", text, vec![key]);
            return;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

async fn write_and_read(
    entry_addresses: &connection::EntryAddresses,
    vm: &str,
    group: &str,
    key: &str,
) -> Result<(), String> {
    let [user, ..] = topology::USERS;
    let connect = || connection::EntryConnection::open(entry_addresses, vm, user, group, "");
    let simple = connection::QueryProtocol::Simple;
    let value = client::value_of(key);
    let connection = connect().await.map_err(|(_state, text)| text)?;
    let sql = format!("/* id={key} */ INSERT INTO proofs (k, v) VALUES ('{key}', '{value}')");
    let (outcome, _rows) = connection.send(&sql, &[], simple).await;
    if outcome != history::RequestOutcome::Done {
        return Err(format!("write {key}: {outcome:?}"));
    }
    let connection = connect().await.map_err(|(_state, text)| text)?;
    let sql = format!("SELECT v FROM proofs WHERE k = '{key}'");
    let (outcome, rows) = connection.send(&sql, &[], simple).await;
    if outcome == history::RequestOutcome::Done && rows == [value] {
        return Ok(());
    }
    Err(format!("read {key}: {outcome:?} {rows:?}"))
}
