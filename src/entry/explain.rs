//! Answers operators' requests to an entry.

use std::sync;

use crate::decide::routing;
use crate::entry::{board, cancel_registry, context};
use crate::link::{control, server, stream_kind, work_request};

/// Serves one stream of a peer.
pub async fn serve(context: sync::Arc<context::EntryContext>, mut stream: server::PeerStream) {
    if stream.kind != stream_kind::StreamKind::Control {
        stream.writer.abort();
        return;
    }
    while let Ok(Some(request)) = stream.reader.next::<control::ControlRequest>().await {
        let reply = match request {
            control::ControlRequest::Explain(request) => explain(&context, &request).await,
            control::ControlRequest::Cancel { process, secret } => {
                let key = cancel_registry::CancelKey { process, secret };
                context.cancels.cancel(key);
                control::ControlReply::Done(String::new())
            }
            _ => control::ControlReply::Failed(
                "an entry answers explain only; ask a keeper".to_owned(),
            ),
        };
        if stream.writer.send(&reply).await.is_err() {
            return;
        }
    }
    // The peer may have gone already.
    let _finished = stream.writer.finish();
}

/// Opens the pools of a group that no caller uses, and waits a while for what they report.
async fn fetch_views(
    context: &sync::Arc<context::EntryContext>,
    board: &board::GroupBoard,
) -> sync::Arc<Vec<routing::UpstreamView>> {
    let mut changes = board.subscribe();
    context.use_group(board);
    let known = async {
        while board.views().iter().any(|view| view.state.is_none()) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    // What has not arrived in time is shown as unknown.
    drop(tokio::time::timeout(context.settings.limits.observe, known).await);
    board.views()
}

async fn explain(
    context: &sync::Arc<context::EntryContext>,
    request: &control::ExplainRequest,
) -> control::ControlReply {
    let tables = context.tables();
    let Some(login) = tables.rules.login(&request.user) else {
        return control::ControlReply::Failed(format!(
            "login user \"{}\" is not known",
            request.user
        ));
    };
    let Some(board) = tables.databases.get(&request.database) else {
        return control::ControlReply::Failed(format!(
            "database \"{}\" is not known",
            request.database
        ));
    };
    let class = context.classes.classify(&request.sql);
    let views = fetch_views(context, board).await;
    let access = class.access();
    let mut steps = vec![format!("The statement is classified as a {access}.")];
    let choice = if access == work_request::WorkAccess::Write {
        routing::route_write(&views, request.position.unwrap_or_default().term)
    } else {
        let age = request.max_age.or_else(|| {
            let rule = tables.rules.read_rule(&request.database, &class.tables);
            rule.map(|rule| rule.max_age)
        });
        let floor = request.position.unwrap_or_default();
        match age {
            Some(age) => steps.push(format!(
                "It accepts data of the age {} ms.",
                age.as_millis()
            )),
            None => steps.push(format!("It has to see the position {floor}.")),
        }
        routing::route_read(&views, floor, &context.settings.data_centre, &[])
            .or_else(|| routing::route_fallback(&views, floor, &[]))
    };
    for view in views.iter() {
        let applied = view
            .state
            .as_ref()
            .map(|state| state.applied)
            .unwrap_or_default();
        steps.push(format!(
            "Upstream {} in {}: applied {applied}, reach {:?}, leaving {}, wait {} us.",
            view.spec.upstream,
            view.spec.data_centre,
            view.reach,
            view.leaving,
            view.wait.as_micros()
        ));
    }
    steps.push(choice.as_ref().map_or_else(
        || "No upstream qualifies now; the statement would wait.".to_owned(),
        |choice| {
            format!(
                "It goes to {} because of {}.",
                choice.upstream, choice.reason
            )
        },
    ));
    let pool = choice.as_ref().and_then(|choice| {
        let view = views
            .iter()
            .find(|view| view.spec.upstream == choice.upstream)?;
        context
            .owners(&view.spec)
            .first()
            .map(|pool| pool.vm.clone())
    });
    control::ControlReply::Explanation(control::RouteExplanation {
        customer: login.customer.clone(),
        group: board.group.clone(),
        access: access.to_string(),
        upstream: choice.map(|choice| choice.upstream),
        pool,
        steps,
    })
}
