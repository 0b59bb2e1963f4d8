//! Waits until a revision of the rules is in force on all live VMs.

use std::net;
use std::time;

use crate::ctl::config;
use crate::ctl::control_call;
use crate::ctl::ctl_error;
use crate::exit_code;
use crate::link::control;
use crate::model::ids;

/// Interval between two status requests.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Polls the status until every program on every live VM has the revision, and returns the number
/// of live VMs.
pub(super) async fn until_in_force(
    config: &config::CtlConfig,
    keepers: &[net::SocketAddr],
    revision: ids::RuleRevision,
) -> Result<usize, ctl_error::CtlError> {
    let start = time::Instant::now();
    loop {
        let outdated = match control_call::fetch_status(keepers).await {
            Ok(report) => {
                let outdated = outdated_programs(&report, revision);
                let live = report.vms.iter().filter(|vm| vm.alive).count();
                if outdated.is_empty() && live > 0 {
                    return Ok(live);
                }
                outdated
            }
            Err(error) => error.messages,
        };
        if start.elapsed() >= config.limit {
            return Err(ctl_error::CtlError {
                details: outdated,
                ..ctl_error::CtlError::new(
                    exit_code::ExitCode::Timeout,
                    format!(
                        "revision {revision} was made and will not be rolled back, but was not confirmed in force on all live VMs within {} s; see persimmonctl status",
                        config.limit.as_secs_f64()
                    ),
                )
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Lists the programs on live VMs that have an older revision in force, or have reported none.
pub(super) fn outdated_programs(
    report: &control::StatusReport,
    revision: ids::RuleRevision,
) -> Vec<String> {
    let mut programs = Vec::new();
    for vm in report.vms.iter().filter(|vm| vm.alive) {
        for (program, reported) in [
            ("keeper", Some(vm.keeper_revision)),
            ("entry", vm.entry_revision),
            ("pool", vm.pool_revision),
        ] {
            match reported {
                Some(reported) if reported >= revision => {}
                Some(reported) => {
                    programs.push(format!("{} {program} has revision {reported}", vm.vm));
                }
                None => programs.push(format!("{} {program} has not reported a revision", vm.vm)),
            }
        }
    }
    programs
}
