//! Sends control requests to a keeper or an entry over the link.

use std::net;
use std::time;

use crate::ctl::config;
use crate::ctl::ctl_error;
use crate::exit_code;
use crate::link::{client, control, hello, link_error, stream_kind};

/// Sends a request and returns the answer. An error with [`link_error::LinkStep::Receive`] means
/// that the request may have been executed.
pub(super) async fn send_request(
    peer: net::SocketAddr,
    request: &control::ControlRequest,
    timeout: time::Duration,
) -> Result<control::ControlReply, link_error::LinkError> {
    let hello = hello::Hello::new("", "persimmonctl");
    let client = client::PeerClient::connect(&config::dialer(), peer, &hello).await?;
    let (mut writer, mut reader) = client.open(stream_kind::StreamKind::Control).await?;
    writer.send_last(request).await?;
    tokio::time::timeout(timeout, reader.expect::<control::ControlReply>())
        .await
        .map_err(|elapsed| {
            link_error::LinkError::new(link_error::LinkStep::Receive, &peer.to_string(), elapsed)
        })?
}

/// Returns the addresses of the keepers to try, in order: the one from the configuration, or those
/// that the platform lists.
pub(super) async fn find_keepers(
    config: &config::CtlConfig,
) -> Result<Vec<net::SocketAddr>, ctl_error::CtlError> {
    if let Some(keeper) = config.keeper {
        return Ok(vec![keeper]);
    }
    let Some(platform) = config.platform_client() else {
        return Err(ctl_error::CtlError::usage(
            "no keeper is given; use --keeper ADDR, or --platform ADDR to look one up",
        ));
    };
    let vms = platform.vms().await.map_err(|error| {
        ctl_error::CtlError::new(
            exit_code::ExitCode::Unreachable,
            format!("{error}; name a keeper with --keeper ADDR"),
        )
    })?;
    Ok(vms.into_iter().map(|vm| vm.keeper).collect())
}

/// Requests the status from the keepers in turn until one answers.
pub(super) async fn fetch_status(
    keepers: &[net::SocketAddr],
) -> Result<control::StatusReport, ctl_error::CtlError> {
    let mut failures = Vec::new();
    for keeper in keepers {
        match send_request(
            *keeper,
            &control::ControlRequest::Status,
            config::CALL_TIMEOUT,
        )
        .await
        {
            Ok(control::ControlReply::Status(report)) => return Ok(report),
            Ok(reply) => failures.push(describe_unexpected(*keeper, &reply)),
            Err(error) => failures.push(error.to_string()),
        }
    }
    let causes = match failures.is_empty() {
        true => "the platform lists no VM".to_owned(),
        false => failures.join("; "),
    };
    Err(ctl_error::CtlError::new(
        exit_code::ExitCode::Unreachable,
        format!("no keeper answered ({causes}); try another one with --keeper ADDR"),
    ))
}

/// Describes an answer of the wrong kind, or a failure that the peer reports.
pub(super) fn describe_unexpected(peer: net::SocketAddr, reply: &control::ControlReply) -> String {
    match reply {
        control::ControlReply::Failed(cause) => format!("peer={peer} cause={cause}"),
        _ => format!("peer={peer} cause=the answer is not of the kind that was requested"),
    }
}
