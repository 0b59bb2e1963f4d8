//! `persimmonctl status`: shows the state of the deployment.

use futures::StreamExt;

use crate::ctl;
use crate::ctl::config;
use crate::ctl::control_call;
use crate::ctl::ctl_error;
use crate::ctl::status_view;
use crate::link::control;

/// Largest number of concurrent status requests.
const PARALLEL_CALLS: usize = 16;

/// Shows the state of the deployment as one keeper sees it, and the programs of all VMs that the
/// platform lists.
pub(super) async fn run(config: &config::CtlConfig) -> Result<ctl::CtlOutput, ctl_error::CtlError> {
    let keepers = control_call::find_keepers(config).await?;
    let report = control_call::fetch_status(&keepers).await?;
    let mut view = status_view::StatusView::new(report);
    if let Some(platform) = config.platform_client() {
        match platform.vms().await {
            Ok(vms) => {
                let answering_vm = view.report.vm.clone();
                let others = vms.into_iter().filter(|vm| vm.vm != answering_vm);
                let calls = others.map(async |vm| {
                    let request = control::ControlRequest::Status;
                    let reply =
                        control_call::send_request(vm.keeper, &request, config::CALL_TIMEOUT).await;
                    (vm, reply)
                });
                let mut replies = futures::stream::iter(calls).buffer_unordered(PARALLEL_CALLS);
                while let Some((vm, reply)) = replies.next().await {
                    match reply {
                        Ok(control::ControlReply::Status(other)) => view.add_programs(&other),
                        Ok(reply) => {
                            let cause = control_call::describe_unexpected(vm.keeper, &reply);
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
