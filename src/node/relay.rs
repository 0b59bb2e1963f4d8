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
pub struct RelayOrder<'a> {
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
enum RelayEnd {
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
    known: rc::Rc<session_state::SessionState>,
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
    fn leave(&mut self) {
        self.stream = None;
        self.state = answers::TransactionState::Idle;
        self.wrote = false;
    }

    /// Has a host run a statement, and returns what the caller is told.
    pub async fn answer<E: edge::NodeEdge>(
        &mut self,
        board: &board::NodeBoard<E>,
        order: &RelayOrder<'_>,
    ) -> answers::CallerAnswer {
        let bound = self.in_transaction();
        let end = self.run(board, order).await;
        let host = self.host.clone().unwrap_or_else(|| "-".to_owned());
        let report = request_report::RequestReport {
            board,
            request: order.request,
            database: order.database,
            kind: "relayed",
            route: order.route,
            upstream: &host,
            started: order.started,
        };
        let commits = order.request.kind == request::StatementKind::Commit;
        let (code, reason) = match end {
            RelayEnd::Answered(answer) => {
                report.relayed(&answer);
                return answer;
            }
            RelayEnd::NotRun(reason) if !bound => (answers::ErrorCode::Busy, reason),
            RelayEnd::Unknown(reason) if commits && self.wrote || order.writes && !bound => {
                (answers::ErrorCode::Unknown, reason)
            }
            RelayEnd::NotRun(reason) | RelayEnd::Unknown(reason) => {
                (answers::ErrorCode::Aborted, reason)
            }
        };
        let rolls_back = order.request.kind == request::StatementKind::Rollback;
        if order.request.kind.ends_transaction() {
            self.leave();
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
        order: &RelayOrder<'_>,
    ) -> RelayEnd {
        let bound = self.in_transaction();
        if !bound {
            self.wrote = false;
            self.route = Some(order.route.clone());
        }
        let retry_deadline = order.started + order.route.timeout.mul_f64(limits::HOLD_SHARE);
        let deadline = order.started + order.route.timeout + limits::RELAY_MARGIN;
        let repeatable = !bound && !order.writes;
        let mut tried = Vec::new();
        loop {
            let end = match self.reach(board, order, &mut tried).await {
                Ok(()) => self.exchange(order, deadline).await,
                Err(reason) => RelayEnd::NotRun(reason),
            };
            let reason = match end {
                RelayEnd::Answered(answer) => {
                    self.state = answer.state;
                    return RelayEnd::Answered(answer);
                }
                RelayEnd::NotRun(reason) => reason,
                RelayEnd::Unknown(reason) if repeatable && Instant::now() < retry_deadline => {
                    reason
                }
                RelayEnd::Unknown(reason) => {
                    self.lose(bound);
                    return RelayEnd::Unknown(reason);
                }
            };
            if bound || Instant::now() >= retry_deadline {
                self.lose(bound);
                return RelayEnd::NotRun(reason);
            }
            journal::warn(
                "relay_retried",
                &[
                    ("request", &order.request.id_text()),
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
    fn lose(&mut self, bound: bool) {
        self.stream = None;
        self.state = if bound {
            answers::TransactionState::Failed
        } else {
            answers::TransactionState::Idle
        };
    }

    /// Makes sure that there is a stream to a host of the group.
    async fn reach<E: edge::NodeEdge>(
        &mut self,
        board: &board::NodeBoard<E>,
        order: &RelayOrder<'_>,
        tried: &mut Vec<ids::VmId>,
    ) -> Result<(), String> {
        if self.in_transaction() {
            return if self.stream.is_some() {
                Ok(())
            } else {
                Err("the transaction was lost with its host".to_owned())
            };
        }
        let hosts = board.hosts(&order.route.group);
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
        let ordered = board.ordered_hosts(&order.route.group);
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
        let open = relay_frame::RelayFrame::Open(order.database.to_owned());
        writer
            .send(&open)
            .await
            .map_err(|error| error.to_string())?;
        self.stream = Some(HostStream {
            writer,
            reader,
            welcomed: false,
            known: rc::Rc::default(),
        });
        Ok(())
    }

    async fn exchange(&mut self, order: &RelayOrder<'_>, deadline: Instant) -> RelayEnd {
        let Some(stream) = &mut self.stream else {
            return RelayEnd::NotRun("no host".to_owned());
        };
        self.wrote |= order.writes;
        let state = (!rc::Rc::ptr_eq(&stream.known, order.state))
            .then(|| Box::new((**order.state).clone()));
        stream.known = rc::Rc::clone(order.state);
        let frame = relay_frame::RelayFrame::Request {
            state,
            request: order.request.clone(),
        };
        if let Err(error) = stream.writer.send(&frame).await {
            return RelayEnd::NotRun(error.to_string());
        }
        loop {
            let next = stream.reader.next::<relay_frame::RelayReply>();
            let reply = match tokio::time::timeout_at(deadline, next).await {
                Ok(Ok(Some(reply))) => reply,
                Ok(Ok(None)) => return RelayEnd::Unknown("the host has left".to_owned()),
                Ok(Err(error)) => return RelayEnd::Unknown(error.to_string()),
                Err(_elapsed) => return RelayEnd::Unknown("no answer in time".to_owned()),
            };
            match reply {
                relay_frame::RelayReply::Welcome if !stream.welcomed => stream.welcomed = true,
                relay_frame::RelayReply::Welcome => {
                    return RelayEnd::Unknown("the host broke the protocol".to_owned());
                }
                relay_frame::RelayReply::Rejected(error) => {
                    let text = String::from_utf8_lossy(&error.text).into_owned();
                    return RelayEnd::NotRun(format!("{}: {text}", error.code));
                }
                relay_frame::RelayReply::Closing => {
                    return RelayEnd::NotRun("the host is stopping".to_owned());
                }
                relay_frame::RelayReply::Answer(answer) => return RelayEnd::Answered(answer),
            }
        }
    }
}
