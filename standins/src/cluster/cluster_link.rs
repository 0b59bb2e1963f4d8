//! [`ClusterLink`]: a connection of a VM to an instance of the group.

use std::collections;
use std::io;

use persimmontack::model::{ids, log_position};
use persimmontack::node::{answers, command, edge};

use crate::cluster::{cluster_edge, connection_state, hanging_commit};

/// A connection to an instance of the group.
#[derive(Debug)]
pub struct ClusterLink {
    edge: cluster_edge::ClusterEdge,
    connection: connection_state::ConnectionState,
    queued: Vec<command::UpstreamCommand>,
    answers: collections::VecDeque<connection_state::CommandEnd>,
}

impl ClusterLink {
    /// Opens a connection of the VM of `edge`.
    #[must_use]
    pub fn new(edge: cluster_edge::ClusterEdge, upstream: ids::UpstreamId) -> Self {
        Self {
            edge,
            connection: connection_state::ConnectionState::new(upstream),
            queued: Vec::new(),
            answers: collections::VecDeque::new(),
        }
    }

    fn run(&mut self, command: &command::UpstreamCommand) -> connection_state::CommandEnd {
        if !self.edge.reaches(self.connection.instance()) {
            return connection_state::CommandEnd::Silence;
        }
        self.edge
            .change(|state| self.connection.run(state, command))
    }

    /// Waits until a commit is acknowledged, which may be never.
    async fn await_commit(&self, position: log_position::LogPosition) {
        loop {
            let changed = self.edge.changed.notified();
            let end = self.edge.state.borrow().commit_end(position);
            match end {
                hanging_commit::CommitEnd::Acknowledged => return,
                hanging_commit::CommitEnd::Hanging => changed.await,
                hanging_commit::CommitEnd::Lost => std::future::pending().await,
            }
        }
    }
}

impl edge::UpstreamLink for ClusterLink {
    fn queue(&mut self, command: &command::UpstreamCommand) {
        self.queued.push(command.clone());
    }

    async fn flush(&mut self) -> io::Result<()> {
        for command in std::mem::take(&mut self.queued) {
            let end = self.run(&command);
            self.answers.push_back(end);
        }
        Ok(())
    }

    async fn receive(&mut self) -> io::Result<answers::UpstreamAnswer> {
        tokio::task::yield_now().await;
        if let Some(connection_state::CommandEnd::Hanging(position, _)) = self.answers.front() {
            self.await_commit(*position).await;
        }
        let end = self.answers.pop_front();
        if !self.edge.reaches(self.connection.instance()) {
            return std::future::pending().await;
        }
        match end {
            Some(
                connection_state::CommandEnd::Answer(answer)
                | connection_state::CommandEnd::Hanging(_, answer),
            ) => Ok(answer),
            Some(connection_state::CommandEnd::Silence) | None => std::future::pending().await,
        }
    }

    fn is_stale(&mut self, _owed: bool) -> bool {
        false
    }

    fn read_status(answer: &answers::UpstreamAnswer) -> Option<command::UpstreamStatus> {
        let row = std::str::from_utf8(answer.rows.first()?).ok()?;
        let mut fields = row.split(' ');
        let primary = fields.next()? == "primary";
        let term = fields.next()?.parse().ok()?;
        let (received_term, offset) = fields.next()?.split_once('.')?;
        Some(command::UpstreamStatus {
            primary,
            term,
            received: log_position::LogPosition::new(
                received_term.parse().ok()?,
                offset.parse().ok()?,
            ),
            fenced: fields.next()?.parse().ok()?,
        })
    }
}
