//! Waits until a revision of the rules is in force.

use std::net;
use std::time;

use crate::ctl::config;
use crate::ctl::control_call;
use crate::ctl::ctl_error;
use crate::exit_code;
use crate::link::control;
use crate::model::ids;

/// Pause between two looks at a keeper's status.
const POLL_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Returns, once every program on every live VM has the revision, how many VMs that are.
pub(super) async fn until_in_force(
    config: &config::CtlConfig,
    keepers: &[net::SocketAddr],
    revision: ids::RuleRevision,
) -> Result<usize, ctl_error::CtlError> {
    let start = time::Instant::now();
    loop {
        let missing = match control_call::status(keepers).await {
            Ok(report) => {
                let missing = behind(&report, revision);
                let live = report.vms.iter().filter(|vm| vm.alive).count();
                if missing.is_empty() && live > 0 {
                    return Ok(live);
                }
                missing
            }
            Err(error) => error.sentences,
        };
        if start.elapsed() >= config.limit {
            return Err(ctl_error::CtlError {
                details: missing,
                ..ctl_error::CtlError::new(
                    exit_code::ExitCode::Timeout,
                    format!(
                        "revision {revision} is made and stays, but was not seen in force everywhere within {} s; look at persimmonctl status",
                        config.limit.as_secs_f64()
                    ),
                )
            });
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

/// Lists the programs on live VMs that have an older revision in force.
pub(super) fn behind(report: &control::StatusReport, revision: ids::RuleRevision) -> Vec<String> {
    let mut programs = Vec::new();
    for vm in report.vms.iter().filter(|vm| vm.alive) {
        for (program, seen) in [
            ("keeper", Some(vm.keeper_revision)),
            ("entry", vm.entry_revision),
            ("pool", vm.pool_revision),
        ] {
            match seen {
                Some(seen) if seen >= revision => {}
                Some(seen) => programs.push(format!("{} {program} has revision {seen}", vm.vm)),
                None => programs.push(format!("{} {program} is not heard from", vm.vm)),
            }
        }
    }
    programs
}
