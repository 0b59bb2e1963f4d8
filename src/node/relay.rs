//! [`RelaySession`]: a caller's session whose statements a host of the group runs.
//!
//! Upstreams allow too few connections for every VM to have some. A VM that is not a host of a
//! group hands the statements on, and keeps what the session has set up, so that any host can go on
//! with it outside a transaction. See `docs/node.md`, "Hosts".

use std::rc;

use tokio::time::Instant;

use crate::link::{frame_reader, frame_writer, stream_kind};
use crate::model::ids;
use crate::node::{
    answers, board, config, edge, journal, limits, relay_frame, request, request_report,
    session_state,
};

/// A statement that a host is to run.
#[derive(Debug)]
pub struct RelayJob<'a> {
    /// The statement.
    pub request: &'a request::CallerRequest,
    /// Whether it may write.
    pub writes: bool,
    /// Its database.
    pub database: &'a str,
    /// What the configuration says of the database.
    pub route: &'a config::DatabaseRoute,
    /// What the session has set up.
    pub state: &'a rc::Rc<session_state::SessionState>,
    /// When it arrived.
    pub started: Instant,
}

/// How a relayed statement ended.
#[derive(Debug)]
enum RelayOutcome {
    /// The host's answer.
    Answered(answers::CallerAnswer),
    /// Nothing has run.
    NotRun(String),
    /// It may have run.
    Unknown(String),
}

/// A stream to a host.
#[derive(Debug)]
struct HostStream {
    writer: frame_writer::FrameWriter,
    reader: frame_reader::FrameReader,
    welcomed: bool,
    /// What the host knows of the session.
    sent_state: rc::Rc<session_state::SessionState>,
}

/// A caller's session whose statements a host runs.
#[derive(Debug, Default)]
pub struct RelaySession {
    stream: Option<HostStream>,
    /// Host of the stream, or the one that was turned to last.
    host: Option<ids::VmId>,
    /// Route of the statement or transaction.
    route: Option<config::DatabaseRoute>,
    state: answers::TransactionState,
    wrote: bool,
}

impl RelaySession {
    /// Returns where the session stands at the host.
    #[must_use]
    pub const fn state(&self) -> answers::TransactionState {
        self.state
    }

    /// Tells whether a transaction is open at the host, or has been lost with it.
    #[must_use]
    pub fn in_transaction(&self) -> bool {
        self.state != answers::TransactionState::Idle
    }

    /// Returns the route under which the last transaction or statement began.
    #[must_use]
    pub const fn route(&self) -> Option<&config::DatabaseRoute> {
        self.route.as_ref()
    }

    /// Leaves the host, which rolls back what is open there.
    fn close(&mut self) {
        self.stream = None;
        self.state = answers::TransactionState::Idle;
        self.wrote = false;
    }

    /// Has a host run a statement, and returns what the caller is told.
    pub async fn answer<E: edge::NodeEdge>(
        &mut self,
        board: &board::NodeBoard<E>,
        job: &RelayJob<'_>,
    ) -> answers::CallerAnswer {
        let in_transaction = self.in_transaction();
        let outcome = self.run(board, job).await;
        let host = self.host.clone().unwrap_or_else(|| "-".to_owned());
        let report = request_report::RequestReport {
            board,
            request: job.request,
            database: job.database,
            kind: "relayed",
            route: job.route,
            upstream: &host,
            started: job.started,
        };
        let commits = job.request.kind == request::StatementKind::Commit;
        let (code, reason) = match outcome {
            RelayOutcome::Answered(answer) => {
                report.relayed(&answer);
                return answer;
            }
            RelayOutcome::NotRun(reason) if !in_transaction => (answers::ErrorCode::Busy, reason),
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
            // The host rolls back what it has lost its caller for.
            return answers::CallerAnswer::local(self.state);
        }
        report.refuse(code, &reason, self.state)
    }

    /// Has a host run a statement. What has not run, and reads outside a transaction, go to
    /// another host if the first one fails.
    async fn run<E: edge::NodeEdge>(
        &mut self,
        board: &board::NodeBoard<E>,
        job: &RelayJob<'_>,
    ) -> RelayOutcome {
        let in_transaction = self.in_transaction();
        if !in_transaction {
            self.wrote = false;
            self.route = Some(job.route.clone());
        }
        let retry_deadline = job.started + job.route.timeout.mul_f64(limits::HOLD_SHARE);
        let deadline = job.started + job.route.timeout + limits::RELAY_MARGIN;
        let retryable = !in_transaction && !job.writes;
        let mut tried = Vec::new();
        loop {
            let outcome = match self.ensure_stream(board, job, &mut tried).await {
                Ok(()) => self.exchange(job, deadline).await,
                Err(reason) => RelayOutcome::NotRun(reason),
            };
            let reason = match outcome {
                RelayOutcome::Answered(answer) => {
                    self.state = answer.state;
                    return RelayOutcome::Answered(answer);
                }
                RelayOutcome::NotRun(reason) => reason,
                RelayOutcome::Unknown(reason) if retryable && Instant::now() < retry_deadline => {
                    reason
                }
                RelayOutcome::Unknown(reason) => {
                    self.drop_host(in_transaction);
                    return RelayOutcome::Unknown(reason);
                }
            };
            if in_transaction || Instant::now() >= retry_deadline {
                self.drop_host(in_transaction);
                return RelayOutcome::NotRun(reason);
            }
            journal::warn(
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

    /// Forgets the host. A transaction that was open there can only be ended.
    fn drop_host(&mut self, in_transaction: bool) {
        self.stream = None;
        self.state = if in_transaction {
            answers::TransactionState::Failed
        } else {
            answers::TransactionState::Idle
        };
    }

    /// Makes sure that there is a stream to a host of the group.
    async fn ensure_stream<E: edge::NodeEdge>(
        &mut self,
        board: &board::NodeBoard<E>,
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
        let hosts = board.hosts(&job.route.group);
        if self.stream.is_some()
            && let Some(host) = &self.host
            && hosts.contains(host)
        {
            if !tried.contains(host) {
                tried.push(host.clone());
            }
            return Ok(());
        }
        self.stream = None;
        let ordered = board.ordered_hosts(&job.route.group);
        let untried = ordered.iter().find(|host| !tried.contains(*host)).cloned();
        let Some(host) = untried else {
            tried.clear();
            return Err("no host can be reached".to_owned());
        };
        tried.push(host.clone());
        self.host = Some(host.clone());
        let client = board.peers.connect(board, &host).await?;
        let (mut writer, reader) = client
            .open(stream_kind::StreamKind::Session)
            .await
            .map_err(|error| error.to_string())?;
        let open = relay_frame::RelayFrame::Open(job.database.to_owned());
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

    async fn exchange(&mut self, job: &RelayJob<'_>, deadline: Instant) -> RelayOutcome {
        let Some(stream) = &mut self.stream else {
            return RelayOutcome::NotRun("no host".to_owned());
        };
        self.wrote |= job.writes;
        let state = (!rc::Rc::ptr_eq(&stream.sent_state, job.state))
            .then(|| Box::new((**job.state).clone()));
        stream.sent_state = rc::Rc::clone(job.state);
        let frame = relay_frame::RelayFrame::Request {
            state,
            request: job.request.clone(),
        };
        if let Err(error) = stream.writer.send(&frame).await {
            return RelayOutcome::NotRun(error.to_string());
        }
        loop {
            let next = stream.reader.next::<relay_frame::RelayReply>();
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
                relay_frame::RelayReply::Answer(answer) => return RelayOutcome::Answered(answer),
            }
        }
    }
}
