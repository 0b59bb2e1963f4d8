//! `persimmonctl status`.

use futures::StreamExt;

use crate::ctl;
use crate::ctl::config;
use crate::ctl::control_call;
use crate::ctl::ctl_error;
use crate::ctl::status_view;
use crate::link::control;

/// Keepers that are asked at the same time.
const PARALLEL_CALLS: usize = 16;

/// Shows the state as one keeper sees it, and the programs of all VMs that the platform lists.
pub(super) async fn run(config: &config::CtlConfig) -> Result<ctl::CtlOutput, ctl_error::CtlError> {
    let keepers = control_call::keepers(config).await?;
    let report = control_call::status(&keepers).await?;
    let mut view = status_view::StatusView::new(report);
    if let Some(platform) = config.platform_client() {
        match platform.vms().await {
            Ok(vms) => {
                let asked = view.report.vm.clone();
                let others = vms.into_iter().filter(|vm| vm.vm != asked);
                let calls = others.map(async |vm| {
                    let request = control::ControlRequest::Status;
                    let reply = control_call::ask(vm.keeper, &request, config::CALL_TIMEOUT).await;
                    (vm, reply)
                });
                let mut replies = futures::stream::iter(calls).buffer_unordered(PARALLEL_CALLS);
                while let Some((vm, reply)) = replies.next().await {
                    match reply {
                        Ok(control::ControlReply::Status(other)) => view.add_programs(&other),
                        Ok(reply) => {
                            let cause = control_call::unexpected(vm.keeper, &reply);
                            view.problems.push(format!("{}: {cause}", vm.vm));
                        }
                        Err(error) => view.problems.push(format!("{}: {error}", vm.vm)),
                    }
                }
            }
            Err(error) => view.problems.push(error.to_string()),
        }
    }
    view.sort();
    Ok(ctl::CtlOutput {
        text: view.to_string(),
        json: view.to_json(),
    })
}
