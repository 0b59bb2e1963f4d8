//! [`RelayCaller`]: a session that another VM forwards to this one, and the dispatch of all streams
//! from other VMs.

use std::io;
use std::rc;

use tokio::sync::mpsc;

use crate::decide::admission_budget;
use crate::link::{link_error, server, stream_kind};
use crate::node::admission::{admission_limits, caller_account};
use crate::node::rate_limits::{bucket_holder, place_check};
use crate::node::tables::table_server;
use crate::node::workspaces::{caller_hello, workspace_binding};
use crate::node::{
    answers, edge, isolation, node_log, node_tables, notices, peer_list, relay_frame, request,
    session_start, session_state, status, stop,
};

/// Number of times that a request is held while it is served: its text, and the copy for the
/// upstream.
const REQUEST_COPIES: usize = 2;
/// Number of times that an answer is held while it is sent: its rows, and the frame.
const ANSWER_COPIES: usize = 2;

/// Serves the streams that other VMs open, until the channel is closed.
pub async fn serve<E: edge::NodeEdge>(
    tables: rc::Rc<node_tables::NodeTables<E>>,
    stop: rc::Rc<stop::StopState>,
    mut streams: mpsc::UnboundedReceiver<server::PeerStream>,
) {
    while let Some(mut stream) = streams.recv().await {
        match stream.kind {
            stream_kind::StreamKind::Session => {
                let caller = RelayCaller::new(stream, tables.admission.admit_relayed());
                let serve =
                    session_start::serve(rc::Rc::clone(&tables), caller, rc::Rc::clone(&stop));
                tokio::task::spawn_local(serve);
            }
            stream_kind::StreamKind::Reach => {
                tokio::task::spawn_local(isolation::serve_query(rc::Rc::clone(&tables), stream));
            }
            stream_kind::StreamKind::Lead => {
                tokio::task::spawn_local(notices::serve_notice(rc::Rc::clone(&tables), stream));
            }
            stream_kind::StreamKind::Group => {
                tokio::task::spawn_local(peer_list::serve_query(rc::Rc::clone(&tables), stream));
            }
            stream_kind::StreamKind::Follow => {
                tokio::task::spawn_local(table_server::serve(rc::Rc::clone(&tables), stream));
            }
            stream_kind::StreamKind::Limits => {
                tokio::task::spawn_local(bucket_holder::serve(rc::Rc::clone(&tables), stream));
            }
            stream_kind::StreamKind::Place => {
                tokio::task::spawn_local(place_check::serve(rc::Rc::clone(&tables), stream));
            }
            stream_kind::StreamKind::Control => {
                tokio::task::spawn_local(status::answer(rc::Rc::clone(&tables), stream));
            }
            stream_kind::StreamKind::Work
            | stream_kind::StreamKind::Feed
            | stream_kind::StreamKind::Observe
            | stream_kind::StreamKind::Tables
            | stream_kind::StreamKind::Gossip => stream.writer.abort(),
        }
    }
}

/// A session that another VM forwards to this one.
#[derive(Debug)]
pub struct RelayCaller {
    stream: server::PeerStream,
    account: caller_account::CallerAccount,
    state: Option<session_state::SessionState>,
    /// Whether a request was received that is not answered yet.
    unanswered: bool,
    /// The route by which the latest request was forwarded.
    route: Option<relay_frame::ForwardedRoute>,
}

impl RelayCaller {
    /// Creates the session of a stream that another VM has opened.
    #[must_use]
    pub const fn new(stream: server::PeerStream, account: caller_account::CallerAccount) -> Self {
        Self {
            stream,
            account,
            state: None,
            unanswered: false,
            route: None,
        }
    }

    async fn next(&mut self) -> Result<relay_frame::RelayFrame, edge::CallerError> {
        loop {
            let frame = self.stream.reader.take();
            let buffered = self.stream.reader.buffered();
            self.account.charge_line(buffered);
            match frame {
                Ok(Some(frame)) => {
                    self.account
                        .set_phase(admission_budget::CallerPhase::Running);
                    return Ok(frame);
                }
                Ok(None) => {}
                Err(error) => return Err(self.lost(&error)),
            }
            // The other VM has checked the caller's progress, so there is no time limit here.
            self.account.set_phase(if buffered > 0 {
                admission_budget::CallerPhase::MidLine
            } else {
                admission_budget::CallerPhase::Idle
            });
            tokio::select! {
                biased;
                () = self.account.closing() => return Err(edge::CallerError::Closed),
                filled = self.stream.reader.fill() => match filled {
                    Ok(true) => self.account.record_progress(admission_limits::MIN_PROGRESS_BYTES),
                    Ok(false) => return Err(edge::CallerError::Closed),
                    Err(error) => return Err(self.lost(&error)),
                },
            }
        }
    }

    fn lost(&self, reason: &link_error::LinkError) -> edge::CallerError {
        node_log::debug(
            "relayed_session_lost",
            &[("peer", &self.stream.peer_hello.vm), ("reason", reason)],
        );
        edge::CallerError::Closed
    }

    /// Sends the last reply. A failure is only logged, since the other VM has closed the stream
    /// then.
    async fn send_last(&mut self, reply: &relay_frame::RelayReply) {
        if let Err(error) = self.stream.writer.send_last(reply).await {
            node_log::debug("relayed_session_lost", &[("reason", &error)]);
        }
    }

    async fn send(&mut self, reply: &relay_frame::RelayReply) -> io::Result<()> {
        let sent = tokio::select! {
            biased;
            sent = self.stream.writer.send(reply) => sent.map_err(io::Error::other),
            () = self.account.closing() => {
                self.stream.writer.abort();
                Err(io::Error::from(io::ErrorKind::ConnectionAborted))
            }
        };
        self.account.charge_answer(0);
        sent
    }
}

fn invalid(text: &'static str) -> edge::CallerError {
    let code = answers::ErrorCode::Malformed;
    edge::CallerError::Invalid(answers::StatementError::new(code, text))
}

impl edge::CallerLink for RelayCaller {
    const RELAYED: bool = true;

    async fn accept(&mut self) -> Result<caller_hello::CallerHello, edge::CallerError> {
        match self.next().await? {
            relay_frame::RelayFrame::Open {
                database,
                workspace,
            } => Ok(caller_hello::CallerHello {
                database,
                credentials: caller_hello::CallerCredentials::Forwarded(
                    workspace_binding::WorkspaceBinding::from_name(workspace.as_deref()),
                ),
            }),
            relay_frame::RelayFrame::Request { .. } => Err(invalid("the session is not open")),
        }
    }

    async fn receive(&mut self) -> Result<request::CallerRequest, edge::CallerError> {
        match self.next().await? {
            relay_frame::RelayFrame::Request {
                route,
                state,
                request,
            } => {
                self.route = Some(route);
                if let Some(state) = &state {
                    self.account.charge_session(state.bytes());
                }
                if state.is_some() {
                    self.state = state.map(|state| *state);
                }
                self.unanswered = true;
                self.account
                    .charge_request(REQUEST_COPIES * request.text.len());
                Ok(request)
            }
            relay_frame::RelayFrame::Open { .. } => Err(invalid("the session is open already")),
        }
    }

    fn take_state(&mut self) -> Option<session_state::SessionState> {
        self.state.take()
    }

    async fn welcome(&mut self) -> io::Result<()> {
        self.send(&relay_frame::RelayReply::Welcome).await
    }

    async fn answer(&mut self, answer: &answers::CallerAnswer) -> io::Result<()> {
        self.unanswered = false;
        self.account.end_request();
        self.account.set_transaction(answer.state);
        let bytes: usize = answer.rows.iter().map(bytes::Bytes::len).sum();
        self.account.charge_answer(ANSWER_COPIES * bytes);
        // The other VM takes the answer when it has room for it.
        self.account
            .set_phase(admission_budget::CallerPhase::Unread);
        let reply = relay_frame::RelayReply::Answer(answer.clone());
        self.send(&reply).await
    }

    fn forwarded_route(&self) -> Option<&relay_frame::ForwardedRoute> {
        self.route.as_ref()
    }

    async fn refuse_behind(&mut self) -> io::Result<()> {
        self.unanswered = false;
        self.account.end_request();
        self.send(&relay_frame::RelayReply::Behind).await
    }

    fn record_state(&self, bytes: usize) {
        self.account.charge_session(bytes);
    }

    async fn reject(&mut self, error: &answers::StatementError) {
        self.send_last(&relay_frame::RelayReply::Rejected(error.clone()))
            .await;
    }

    async fn close(&mut self) {
        if !self.unanswered {
            self.send_last(&relay_frame::RelayReply::Closing).await;
        }
    }
}
