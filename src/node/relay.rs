//! [`RelaySession`]: forwards the statements of a caller's session to a host of the group.
//!
//! Upstreams allow too few connections for every VM to have some, so only the hosts of a group
//! connect to its upstreams. Other VMs forward statements to a host. They keep the session's values
//! and prepared statements, so that outside a transaction any host can serve the next statement.
//! See `docs/node.md`, "Hosts".

use std::rc;

use tokio::time::Instant;

use crate::link::{frame_reader, frame_writer, link_error, stream_kind};
use crate::model::ids;
use crate::node::admission::transit_charge;
use crate::node::connections::workspace_hosts;
use crate::node::workspaces::workspace_binding;
use crate::node::{
    answers, attempt, config, edge, limits, node_log, node_tables, relay_frame, request,
    request_report, session_state,
};

/// Number of times that the content of a frame is held while it is encoded or decoded.
const FRAME_COPIES: usize = 2;

/// A statement to forward to a host.
#[derive(Debug)]
pub struct RelayJob<'a> {
    /// The statement.
    pub request: &'a request::CallerRequest,
    /// Whether the statement may write.
    pub writes: bool,
    /// Database of the session.
    pub database: &'a str,
    /// Workspace of the session.
    pub workspace: &'a workspace_binding::WorkspaceBinding,
    /// Configured route of the database.
    pub route: &'a config::DatabaseRoute,
    /// Session values and prepared statements.
    pub state: &'a rc::Rc<session_state::SessionState>,
    /// When the statement arrived.
    pub started: Instant,
}

/// Outcome of a forwarded statement.
#[derive(Debug)]
enum RelayOutcome {
    /// The host's answer.
    Answered(answers::CallerAnswer),
    /// The statement has not run.
    NotRun(String),
    /// The statement may have run; its outcome is unknown.
    Unknown(String),
    /// The statement has no effect yet, and this VM is the next host in order.
    Own,
}

/// A stream to a host, which serves one session.
#[derive(Debug)]
struct HostStream {
    writer: frame_writer::FrameWriter,
    reader: frame_reader::FrameReader,
    welcomed: bool,
    /// Session state that was last sent to the host.
    sent_state: rc::Rc<session_state::SessionState>,
}

/// Receives the next reply of a host, and waits for room if it is long.
async fn next_reply(
    reader: &mut frame_reader::FrameReader,
    charge: &transit_charge::TransitCharge,
) -> Result<Option<relay_frame::RelayReply>, link_error::LinkError> {
    loop {
        if let Some(reply) = reader.take()? {
            return Ok(Some(reply));
        }
        charge.grow(FRAME_COPIES * reader.buffered()).await;
        if !reader.fill().await? {
            return Ok(None);
        }
    }
}

/// A caller's session whose statements are forwarded to a host.
#[derive(Debug, Default)]
pub struct RelaySession {
    stream: Option<HostStream>,
    /// Host of the stream, or the last one that was tried.
    host: Option<ids::VmId>,
    /// Route of the statement or transaction.
    route: Option<config::DatabaseRoute>,
    state: answers::TransactionState,
    wrote: bool,
    /// Whether a host may have run the latest statement, a read, without answering it.
    may_have_run: bool,
}

impl RelaySession {
    /// Returns the transaction state of the session on the host.
    #[must_use]
    pub const fn state(&self) -> answers::TransactionState {
        self.state
    }

    /// Returns whether a transaction is open on the host, or was lost with it.
    #[must_use]
    pub fn in_transaction(&self) -> bool {
        self.state != answers::TransactionState::Idle
    }

    /// Returns the route under which the last transaction or statement began.
    #[must_use]
    pub const fn route(&self) -> Option<&config::DatabaseRoute> {
        self.route.as_ref()
    }

    /// Returns whether a host may have run the latest statement, a read that is not answered.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Closes the stream to the host, which then rolls back an open transaction.
    pub fn close(&mut self) {
        self.stream = None;
        self.state = answers::TransactionState::Idle;
        self.wrote = false;
    }

    /// Forwards a statement to a host, and returns the answer for the caller. Returns `None` if the
    /// statement has no effect yet and this VM serves its workspace by now, since the hosts before
    /// it cannot be reached.
    pub async fn answer<E: edge::NodeEdge>(
        &mut self,
        tables: &node_tables::NodeTables<E>,
        job: &RelayJob<'_>,
    ) -> Option<answers::CallerAnswer> {
        let in_transaction = self.in_transaction();
        let outcome = self.run(tables, job).await;
        let host = self.host.clone().unwrap_or_else(|| "-".to_owned());
        let report = request_report::RequestReport {
            tables,
            request: job.request,
            database: job.database,
            workspace: job.workspace,
            kind: "relayed",
            route: job.route,
            upstream: &host,
            started: job.started,
        };
        let commits = job.request.kind == request::StatementKind::Commit;
        let (code, reason) = match outcome {
            RelayOutcome::Answered(mut answer) => {
                if self.may_have_run {
                    answer = attempt::retried_as_aborted(answer);
                }
                report.relayed(&answer);
                return Some(answer);
            }
            RelayOutcome::Own => return None,
            RelayOutcome::NotRun(reason) if !in_transaction && !self.may_have_run => {
                (answers::ErrorCode::Busy, reason)
            }
            RelayOutcome::Unknown(reason)
                if commits && self.wrote || job.writes && !in_transaction =>
            {
                (answers::ErrorCode::Unknown, reason)
            }
            RelayOutcome::NotRun(reason) | RelayOutcome::Unknown(reason) => {
                (answers::ErrorCode::Aborted, reason)
            }
        };
        let rolls_back = job.request.kind == request::StatementKind::Rollback;
        if job.request.kind.ends_transaction() {
            self.close();
        }
        if rolls_back {
            // The host rolls back the transaction when it sees that the stream is closed.
            return Some(answers::CallerAnswer::local(self.state));
        }
        Some(report.refuse(code, &reason, self.state))
    }

    /// Forwards a statement to a host. Outside a transaction it is retried on another host if it
    /// has not run, or if it is a read.
    async fn run<E: edge::NodeEdge>(
        &mut self,
        tables: &node_tables::NodeTables<E>,
        job: &RelayJob<'_>,
    ) -> RelayOutcome {
        let in_transaction = self.in_transaction();
        if !in_transaction {
            self.wrote = false;
            self.route = Some(job.route.clone());
        }
        let retry_deadline = job.started + job.route.timeout.mul_f64(limits::QUEUE_TIME_SHARE);
        let deadline = job.started + job.route.timeout + limits::RELAY_MARGIN;
        let retryable = !in_transaction && !job.writes;
        // The host rolls back a transaction whose beginning was not answered, so none of it runs.
        let is_begin = matches!(job.request.kind, request::StatementKind::Begin { .. });
        self.may_have_run = false;
        let mut tried = Vec::new();
        loop {
            let outcome = match self.ensure_stream(tables, job, &mut tried).await {
                Ok(()) => self.exchange(tables, job, deadline).await,
                Err(reason) => RelayOutcome::NotRun(reason),
            };
            let reason = match outcome {
                RelayOutcome::Answered(answer) => {
                    self.state = answer.state;
                    return RelayOutcome::Answered(answer);
                }
                RelayOutcome::Own => return RelayOutcome::Own,
                RelayOutcome::NotRun(reason) => reason,
                RelayOutcome::Unknown(reason) if retryable && Instant::now() < retry_deadline => {
                    self.may_have_run |= !is_begin;
                    reason
                }
                RelayOutcome::Unknown(reason) => {
                    self.drop_stream(in_transaction);
                    return RelayOutcome::Unknown(reason);
                }
            };
            if !in_transaction && takes_over(tables, job, &tried) {
                self.drop_stream(in_transaction);
                return RelayOutcome::Own;
            }
            if in_transaction || Instant::now() >= retry_deadline {
                self.drop_stream(in_transaction);
                return RelayOutcome::NotRun(reason);
            }
            node_log::warn(
                "relay_retried",
                &[
                    ("request", &job.request.id_text()),
                    ("host", &self.host.as_deref().unwrap_or("-")),
                    ("reason", &reason),
                ],
            );
            metrics::counter!("persimmontack_retries_total", "reason" => "relay").increment(1);
            self.stream = None;
            tokio::time::sleep(limits::ROUTE_PAUSE / 3).await;
        }
    }

    /// Drops the stream to the host. A transaction that was open there counts as failed.
    fn drop_stream(&mut self, in_transaction: bool) {
        self.stream = None;
        self.state = if in_transaction {
            answers::TransactionState::Failed
        } else {
            answers::TransactionState::Idle
        };
    }

    /// Opens a stream to a host of the group unless there is one.
    async fn ensure_stream<E: edge::NodeEdge>(
        &mut self,
        tables: &node_tables::NodeTables<E>,
        job: &RelayJob<'_>,
        tried: &mut Vec<ids::VmId>,
    ) -> Result<(), String> {
        if self.in_transaction() {
            return if self.stream.is_some() {
                Ok(())
            } else {
                Err("the transaction was lost with its host".to_owned())
            };
        }
        let group = &job.route.group;
        if self.stream.is_some()
            && let Some(host) = &self.host
            && workspace_hosts::serves(tables, group, job.workspace, host)
        {
            if !tried.contains(host) {
                tried.push(host.clone());
            }
            return Ok(());
        }
        self.stream = None;
        let ordered = workspace_hosts::ordered(tables, group, job.workspace);
        let untried = ordered.iter().find(|host| !tried.contains(*host)).cloned();
        let Some(host) = untried else {
            tried.clear();
            return Err("no host can be reached".to_owned());
        };
        tried.push(host.clone());
        self.host = Some(host.clone());
        let client = tables.peers.connect(tables, &host).await?;
        let (mut writer, reader) = client
            .open(stream_kind::StreamKind::Session)
            .await
            .map_err(|error| error.to_string())?;
        let open = relay_frame::RelayFrame::Open {
            database: job.database.to_owned(),
            workspace: job.workspace.to_name(),
        };
        writer
            .send(&open)
            .await
            .map_err(|error| error.to_string())?;
        self.stream = Some(HostStream {
            writer,
            reader,
            welcomed: false,
            sent_state: rc::Rc::default(),
        });
        Ok(())
    }

    async fn exchange<E: edge::NodeEdge>(
        &mut self,
        tables: &node_tables::NodeTables<E>,
        job: &RelayJob<'_>,
        deadline: Instant,
    ) -> RelayOutcome {
        let Some(stream) = &mut self.stream else {
            return RelayOutcome::NotRun("no host".to_owned());
        };
        let charge = transit_charge::TransitCharge::new(rc::Rc::clone(&tables.admission));
        // The frame holds a copy of the request, and of the session's state if it is sent along.
        let mut bytes = job.request.text.len();
        if !rc::Rc::ptr_eq(&stream.sent_state, job.state) {
            bytes += job.state.bytes();
        }
        let room = tokio::time::timeout_at(deadline, charge.grow(FRAME_COPIES * bytes));
        if let Err(elapsed) = room.await {
            return RelayOutcome::NotRun(elapsed.to_string());
        }
        self.wrote |= job.writes;
        let state = (!rc::Rc::ptr_eq(&stream.sent_state, job.state))
            .then(|| Box::new((**job.state).clone()));
        stream.sent_state = rc::Rc::clone(job.state);
        let frame = relay_frame::RelayFrame::Request {
            route: relay_frame::ForwardedRoute {
                config: tables.config().map_or(0, |config| config.version),
                group: job.route.group.clone(),
            },
            state,
            request: job.request.clone(),
        };
        // The host does not run a statement whose frame is incomplete.
        let sent = tokio::time::timeout_at(deadline, stream.writer.send(&frame)).await;
        let failure = match sent {
            Ok(Ok(())) => None,
            Ok(Err(error)) => Some(error.to_string()),
            Err(_elapsed) => Some("the host did not take the statement in time".to_owned()),
        };
        if let Some(reason) = failure {
            self.stream = None;
            return RelayOutcome::NotRun(reason);
        }
        drop(frame);
        charge.set(0);
        loop {
            let next = next_reply(&mut stream.reader, &charge);
            let reply = match tokio::time::timeout_at(deadline, next).await {
                Ok(Ok(Some(reply))) => reply,
                Ok(Ok(None)) => return RelayOutcome::Unknown("the host has left".to_owned()),
                Ok(Err(error)) => return RelayOutcome::Unknown(error.to_string()),
                Err(_elapsed) => return RelayOutcome::Unknown("no answer in time".to_owned()),
            };
            match reply {
                relay_frame::RelayReply::Welcome if !stream.welcomed => stream.welcomed = true,
                relay_frame::RelayReply::Welcome => {
                    return RelayOutcome::Unknown("the host broke the protocol".to_owned());
                }
                relay_frame::RelayReply::Rejected(error) => {
                    let text = String::from_utf8_lossy(&error.text).into_owned();
                    return RelayOutcome::NotRun(format!("{}: {text}", error.code));
                }
                relay_frame::RelayReply::Closing => {
                    return RelayOutcome::NotRun("the host is stopping".to_owned());
                }
                relay_frame::RelayReply::Behind => {
                    return RelayOutcome::NotRun("the host has an older configuration".to_owned());
                }
                relay_frame::RelayReply::Answer(answer) => return RelayOutcome::Answered(answer),
            }
        }
    }
}

/// Returns whether this VM is the next host of the workspace after those that were tried.
fn takes_over<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    job: &RelayJob<'_>,
    tried: &[ids::VmId],
) -> bool {
    workspace_hosts::takes_over(tables, &job.route.group, job.workspace, tried)
}
