//! `persimmonctl promote`: moves the primary of a group.

use crate::ctl;
use crate::ctl::config;
use crate::ctl::control_call;
use crate::ctl::ctl_error;
use crate::exit_code;
use crate::link::{control, link_error};

/// Requests that a keeper move the primary of a group, to `upstream` if one is given.
pub(super) async fn run(
    config: &config::CtlConfig,
    group: &str,
    upstream: Option<&str>,
) -> Result<ctl::CtlOutput, ctl_error::CtlError> {
    let request = control::ControlRequest::Promote {
        group: group.to_owned(),
        upstream: upstream.map(str::to_owned),
    };
    let mut failures = Vec::new();
    for keeper in control_call::find_keepers(config).await? {
        match control_call::send_request(keeper, &request, config.limit).await {
            Ok(control::ControlReply::Done(text)) => {
                return Ok(ctl::CtlOutput {
                    json: serde_json::json!({ "group": group, "result": text }),
                    text: format!("{text}\n"),
                });
            }
            Ok(reply) => {
                let cause = control_call::describe_unexpected(keeper, &reply);
                return Err(ctl_error::CtlError::new(
                    exit_code::ExitCode::Failure,
                    format!(
                        "the primary of {group} was not moved: {cause}; see persimmonctl status"
                    ),
                ));
            }
            // This keeper may have started the promotion, so no other keeper is tried.
            Err(error) if error.step == link_error::LinkStep::Receive => {
                return Err(ctl_error::CtlError::new(
                    exit_code::ExitCode::Timeout,
                    format!(
                        "{error}; the primary of {group} may have moved, see persimmonctl status"
                    ),
                ));
            }
            Err(error) => failures.push(error.to_string()),
        }
    }
    Err(ctl_error::CtlError::new(
        exit_code::ExitCode::Unreachable,
        format!(
            "no keeper could be reached ({}); try another one with --keeper ADDR",
            failures.join("; ")
        ),
    ))
}
