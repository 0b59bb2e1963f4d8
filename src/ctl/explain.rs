//! `persimmonctl explain`: shows how an entry would route a statement.

use std::net;

use crate::ctl;
use crate::ctl::config;
use crate::ctl::control_call;
use crate::ctl::ctl_error;
use crate::exit_code;
use crate::link::control;

/// Asks an entry where it would route a statement now, and why.
pub(super) async fn run(
    entry: net::SocketAddr,
    request: &control::ExplainRequest,
) -> Result<ctl::CtlOutput, ctl_error::CtlError> {
    let request = control::ControlRequest::Explain(request.clone());
    let reply = control_call::send_request(entry, &request, config::CALL_TIMEOUT)
        .await
        .map_err(|error| {
            ctl_error::CtlError::new(
                exit_code::ExitCode::Unreachable,
                format!("{error}; check that --entry is the link address of an entry"),
            )
        })?;
    let control::ControlReply::Explanation(route) = reply else {
        return Err(ctl_error::CtlError::new(
            exit_code::ExitCode::Failure,
            format!(
                "the entry cannot explain the statement: {}",
                control_call::describe_unexpected(entry, &reply)
            ),
        ));
    };
    let or_none = |name: &Option<String>| name.clone().unwrap_or_else(|| "none now".to_owned());
    let mut text = format!(
        "customer  {}\ngroup     {}\naccess    {}\nupstream  {}\npool      {}\n",
        route.customer,
        route.group,
        route.access,
        or_none(&route.upstream),
        or_none(&route.pool)
    );
    for (number, step) in (1..).zip(&route.steps) {
        text.push_str(&format!("{number}. {step}\n"));
    }
    Ok(ctl::CtlOutput {
        text,
        json: serde_json::json!(route),
    })
}
