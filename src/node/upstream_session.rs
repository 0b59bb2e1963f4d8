//! [`UpstreamSession`]: one connection to an upstream and the session state that is set on it.

use std::collections;
use std::io;
use std::rc;
use std::time;

use bytes::Bytes;
use tokio::time::Instant;

use crate::node::connections::held_transactions;
use crate::node::edge::UpstreamLink as _;
use crate::node::workspaces::workspace_binding;
use crate::node::{answers, command, edge, pool, request, running_guard, session_state};

/// Number of prepared statements on one connection at which the connection is reset.
const MAX_PREPARED: usize = 64;
/// Bytes of values and prepared statements that an idle connection may keep.
const MAX_IDLE_STATE_BYTES: usize = 16 * 1024;

/// One connection to an upstream, taken from its pool. Dropping it closes the connection;
/// [`pool::UpstreamPool::release`] returns it to the pool.
pub struct UpstreamSession<E: edge::NodeEdge> {
    link: E::Upstream,
    pool: rc::Rc<pool::UpstreamPool<E>>,
    workspace: workspace_binding::WorkspaceBinding,
    /// When a statement of the workspace last used the connection, if only the node itself has used
    /// it since.
    last_use: Option<Instant>,
    loan: Option<ConnectionLoan>,
    /// Priority of the statement that got the connection last.
    priority: u8,
    ticket: Option<held_transactions::TransactionTicket>,
    values: collections::BTreeMap<Bytes, Bytes>,
    prepared: collections::HashMap<request::PreparedShape, command::PreparedNumber>,
    /// Queued commands whose answers have not been read.
    unread: u32,
    in_transaction: bool,
}

/// Use of a connection by a statement outside a transaction.
#[derive(Clone, Copy, Debug)]
struct ConnectionLoan {
    began: Instant,
    /// Work that was charged to the workspace.
    charged: time::Duration,
}

impl<E: edge::NodeEdge> std::fmt::Debug for UpstreamSession<E> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("UpstreamSession")
            .field("upstream", &self.pool.upstream())
            .finish_non_exhaustive()
    }
}

impl<E: edge::NodeEdge> UpstreamSession<E> {
    /// Wraps a new connection, which the pool has already counted.
    pub fn new(
        link: E::Upstream,
        pool: rc::Rc<pool::UpstreamPool<E>>,
        workspace: workspace_binding::WorkspaceBinding,
    ) -> Self {
        Self {
            link,
            pool,
            workspace,
            last_use: None,
            loan: None,
            priority: 0,
            ticket: None,
            values: collections::BTreeMap::new(),
            prepared: collections::HashMap::new(),
            unread: 0,
            in_transaction: false,
        }
    }

    /// Returns the pool of the connection.
    #[must_use]
    pub const fn pool(&self) -> &rc::Rc<pool::UpstreamPool<E>> {
        &self.pool
    }

    /// Returns the workspace in whose name the connection was opened.
    #[must_use]
    pub const fn workspace(&self) -> &workspace_binding::WorkspaceBinding {
        &self.workspace
    }

    /// Records that the node itself uses a connection that was used last at `last_use`.
    pub const fn set_probed_after(&mut self, last_use: Instant) {
        self.last_use = Some(last_use);
    }

    /// Returns when the workspace used the connection last, if the node itself has used it since.
    pub const fn take_last_use(&mut self) -> Option<Instant> {
        self.last_use.take()
    }

    /// Records whether a transaction is open. While it is, the connection is not reset, and does
    /// not count against the window, since the caller may pause for long.
    pub fn set_in_transaction(&mut self, in_transaction: bool) {
        if std::mem::replace(&mut self.in_transaction, in_transaction) != in_transaction {
            self.pool.change_count(&self.workspace, |count| {
                count.held = if in_transaction {
                    count.held + 1
                } else {
                    count.held.saturating_sub(1)
                };
            });
        }
        if in_transaction {
            self.settle();
            self.pool.assign_connections();
        } else {
            self.ticket = None;
        }
    }

    /// Gives the transaction that begins on the connection its right to hold it.
    pub fn set_ticket(&mut self, ticket: held_transactions::TransactionTicket) {
        self.ticket = Some(ticket);
    }

    /// Gives back the right of a transaction that has not begun.
    pub fn drop_ticket(&mut self) {
        self.ticket = None;
    }

    /// Records that a statement of this priority gets the connection, whose workspace was charged
    /// for its work.
    pub fn lend(&mut self, priority: u8, charged: time::Duration) {
        self.settle();
        self.priority = priority;
        self.loan = Some(ConnectionLoan {
            began: Instant::now(),
            charged,
        });
        self.pool.count_in_use(true);
    }

    /// Records that no statement outside a transaction holds the connection any more.
    pub fn settle(&mut self) {
        if let Some(loan) = self.loan.take() {
            self.pool.count_in_use(false);
            let actual = loan.began.elapsed();
            self.pool
                .settle_work(self.priority, &self.workspace, loan.charged, actual);
        }
    }

    /// Returns whether the connection was closed while it was idle.
    pub fn is_stale(&mut self) -> bool {
        self.link.is_stale(self.unread > 0)
    }

    /// Queues commands that bring the connection's values and prepared statements in line with
    /// `session`, and returns the command that runs the request on this connection. Returns `None`
    /// if the request executes a statement that the session has not prepared.
    pub fn prepare_command(
        &mut self,
        session: &session_state::SessionState,
        request: &request::CallerRequest,
        min_position: Option<crate::model::log_position::LogPosition>,
    ) -> Option<command::UpstreamCommand> {
        self.sync_values(session);
        let request::StatementKind::Execute { name, arguments } = &request.kind else {
            return Some(command::UpstreamCommand::Caller {
                id: request.id.clone(),
                min_position,
                text: request.text.clone(),
            });
        };
        let shape = session.prepared(name)?;
        Some(command::UpstreamCommand::Execute {
            id: request.id.clone(),
            min_position,
            number: self.prepare(shape),
            arguments: arguments.clone(),
        })
    }

    /// Queues commands that bring the connection's values in line with `session`. This has to
    /// happen before a transaction begins, since the connection cannot be reset inside one.
    pub fn sync_values(&mut self, session: &session_state::SessionState) {
        let stale = self
            .values
            .keys()
            .any(|name| !session.values().contains_key(name));
        if !self.in_transaction && (stale || self.prepared.len() >= MAX_PREPARED) {
            self.queue_ignored(&command::UpstreamCommand::Reset);
            self.values.clear();
            self.prepared.clear();
        }
        for (name, value) in session.values() {
            if self.values.get(name) == Some(value) {
                continue;
            }
            self.queue_ignored(&command::UpstreamCommand::Set {
                name: name.clone(),
                value: value.clone(),
            });
            self.values.insert(name.clone(), value.clone());
        }
    }

    /// Forgets large values and prepared statements, so that a pooled connection does not keep them
    /// after their session has ended. The connection is reset before its next use.
    pub fn forget_large_state(&mut self) {
        let values = self
            .values
            .iter()
            .map(|(name, value)| name.len() + value.len());
        let shapes = self.prepared.keys().map(|shape| shape.shape.len());
        if values.chain(shapes).sum::<usize>() > MAX_IDLE_STATE_BYTES {
            self.queue_ignored(&command::UpstreamCommand::Reset);
            self.values.clear();
            self.prepared.clear();
        }
    }

    fn prepare(&mut self, shape: &request::PreparedShape) -> command::PreparedNumber {
        if let Some(number) = self.prepared.get(shape) {
            return *number;
        }
        let number = command::PreparedNumber::try_from(self.prepared.len())
            .unwrap_or(command::PreparedNumber::MAX);
        self.queue_ignored(&command::UpstreamCommand::Prepare {
            number,
            shape: shape.clone(),
        });
        self.prepared.insert(shape.clone(), number);
        number
    }

    /// Queues a command whose answer is not returned: [`Self::exchange`] reads it first and only
    /// checks that the command succeeded.
    pub fn queue_ignored(&mut self, command: &command::UpstreamCommand) {
        self.link.queue(command);
        self.unread += 1;
    }

    /// Sends the queued commands without waiting for their answers.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub async fn send(&mut self) -> io::Result<()> {
        self.link.flush().await
    }

    /// Sends commands and the queued ones before them in one packet, and returns the answers to
    /// `commands` in order.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or if one of the queued commands fails.
    pub async fn exchange<const N: usize>(
        &mut self,
        commands: [&command::UpstreamCommand; N],
    ) -> io::Result<[answers::UpstreamAnswer; N]> {
        let guard = running_guard::RunningGuard::new(rc::Rc::clone(&self.pool));
        let set_up = self.unread > 0;
        let started = Instant::now();
        if let Some(ticket) = &self.ticket {
            ticket.set_resting(false);
        }
        for command in commands {
            self.link.queue(command);
        }
        self.link.flush().await?;
        while self.unread > 0 {
            let answer = self.link.receive().await?;
            self.unread -= 1;
            guard.record_progress();
            if let Err(error) = &answer.result {
                let text = format!(
                    "setting up the connection failed: {} {}",
                    error.code,
                    String::from_utf8_lossy(&error.text)
                );
                return Err(io::Error::other(text));
            }
        }
        let mut answers = Vec::with_capacity(N);
        for _ in 0..N {
            answers.push(self.link.receive().await?);
            guard.record_progress();
        }
        let statement = commands.iter().any(|command| command.is_statement());
        let busy = answers
            .iter()
            .any(|answer| answer.error_code() == Some(answers::ErrorCode::Busy));
        let kind = if busy {
            running_guard::AnswerKind::Busy
        } else if statement {
            running_guard::AnswerKind::Statement
        } else if !set_up && commands.iter().all(|command| command.is_immediate()) {
            running_guard::AnswerKind::RoundTrip
        } else {
            running_guard::AnswerKind::Other
        };
        let bytes = answers
            .iter()
            .flat_map(|answer| &answer.rows)
            .map(bytes::Bytes::len)
            .sum();
        guard.finish(kind, bytes);
        if busy {
            self.pool.record_load(None);
        }
        if let Some(ticket) = &self.ticket {
            ticket.set_resting(true);
        }
        if self.in_transaction {
            let none = time::Duration::ZERO;
            self.pool
                .settle_work(self.priority, &self.workspace, none, started.elapsed());
        }
        answers
            .try_into()
            .map_err(|_count| io::Error::other("wrong number of answers"))
    }
}

impl<E: edge::NodeEdge> Drop for UpstreamSession<E> {
    fn drop(&mut self) {
        self.settle();
        let in_transaction = self.in_transaction;
        self.pool.change_count(&self.workspace, |count| {
            count.open = count.open.saturating_sub(1);
            count.held = count.held.saturating_sub(u32::from(in_transaction));
        });
        self.pool.record_closed();
    }
}
