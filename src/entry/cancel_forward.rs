//! Forwards a cancel request to the entry that holds the session.

use std::sync;

use crate::entry::{cancel_registry, context};
use crate::event;
use crate::link::{client, control, link_error, stream_kind};
use crate::model::vm_record;

/// Cancels the running statement of a session on this entry or on another one. A load balancer may
/// send a cancel request to any entry; the key contains a hash of the VM that holds the session.
pub async fn cancel(context: &sync::Arc<context::EntryContext>, key: cancel_registry::CancelKey) {
    context.cancels.cancel(key);
    let tables = context.tables();
    let named = tables
        .vms
        .iter()
        .filter(|vm| vm.vm != context.settings.vm && key.names_vm(&vm.vm));
    for vm in named {
        if let Err(error) = forward(context, vm, key).await {
            event::warn("cancel_not_forwarded", &[("vm", &vm.vm), ("cause", &error)]);
        }
    }
}

async fn forward(
    context: &context::EntryContext,
    vm: &vm_record::VmRecord,
    key: cancel_registry::CancelKey,
) -> Result<(), link_error::LinkError> {
    let link = client::PeerClient::connect(&context.dialer, vm.entry, &context.hello).await?;
    let (mut writer, mut reader) = link.open(stream_kind::StreamKind::Control).await?;
    let request = control::ControlRequest::Cancel {
        process: key.process,
        secret: key.secret,
    };
    writer.send_last(&request).await?;
    reader.expect::<control::ControlReply>().await.map(drop)
}
