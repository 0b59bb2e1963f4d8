//! Serves control streams: operators' explain requests, and cancel requests that other entries
//! forward.

use std::sync;

use crate::decide::routing;
use crate::entry::{cancel_registry, context, group_tracker};
use crate::link::{control, server, stream_kind, work_request};

/// Serves one control stream of a peer; a stream of another kind is reset.
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
    // The peer may have closed the stream already.
    let _finished = stream.writer.finish();
}

/// Opens the pools of a group, which may have no sessions, and waits a limited time for the states
/// of its upstreams.
async fn fetch_views(
    context: &sync::Arc<context::EntryContext>,
    tracker: &group_tracker::GroupTracker,
) -> sync::Arc<Vec<routing::UpstreamView>> {
    let mut changes = tracker.subscribe();
    context.use_group(tracker);
    let known = async {
        while tracker.views().iter().any(|view| view.state.is_none()) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    // A state that has not arrived in time is shown as unknown.
    drop(tokio::time::timeout(context.settings.limits.observe, known).await);
    tracker.views()
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
    let Some(tracker) = tables.databases.get(&request.database) else {
        return control::ControlReply::Failed(format!(
            "database \"{}\" is not known",
            request.database
        ));
    };
    let class = context.classes.classify(&request.sql);
    let views = fetch_views(context, tracker).await;
    let access = class.access();
    let mut steps = vec![format!("The statement is classified as a {access}.")];
    let choice = if access == work_request::WorkAccess::Write {
        routing::route_write(&views, request.position.unwrap_or_default().term)
    } else {
        let age = request.max_age.or_else(|| {
            let rule = tables.rules.read_rule(&request.database, &class.tables);
            rule.map(|rule| rule.max_age)
        });
        let min_position = request.position.unwrap_or_default();
        match age {
            Some(age) => steps.push(format!(
                "It accepts data of the age {} ms.",
                age.as_millis()
            )),
            None => steps.push(format!("It has to see the position {min_position}.")),
        }
        routing::route_read(&views, min_position, &context.settings.data_centre, &[])
            .or_else(|| routing::route_fallback(&views, min_position, &[]))
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
        group: tracker.group.clone(),
        access: access.to_string(),
        upstream: choice.map(|choice| choice.upstream),
        pool,
        steps,
    })
}
