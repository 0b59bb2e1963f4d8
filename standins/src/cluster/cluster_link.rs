//! [`ClusterLink`]: the connection of a VM to a simulated instance.

use std::collections;
use std::io;

use persimmontack::model::{ids, log_position};
use persimmontack::node::workspaces::workspace_binding;
use persimmontack::node::{answers, command, edge};

use crate::cluster::{cluster_edge, connection_state, pending_commit};

/// The connection of a VM to a simulated instance.
#[derive(Debug)]
pub struct ClusterLink {
    edge: cluster_edge::ClusterEdge,
    connection: connection_state::ConnectionState,
    /// Workspace in whose name the connection was opened.
    workspace: workspace_binding::WorkspaceBinding,
    queued: Vec<command::UpstreamCommand>,
    answers: collections::VecDeque<connection_state::CommandOutcome>,
}

impl ClusterLink {
    /// Opens a connection of a workspace from the VM of `edge`.
    #[must_use]
    pub fn new(
        edge: cluster_edge::ClusterEdge,
        upstream: ids::UpstreamId,
        workspace: workspace_binding::WorkspaceBinding,
    ) -> Self {
        Self {
            edge,
            connection: connection_state::ConnectionState::new(upstream, workspace.to_name()),
            workspace,
            queued: Vec::new(),
            answers: collections::VecDeque::new(),
        }
    }

    fn run(&mut self, command: &command::UpstreamCommand) -> connection_state::CommandOutcome {
        if !self.edge.reaches(self.connection.instance()) {
            return connection_state::CommandOutcome::NoAnswer;
        }
        self.edge.change(|state| {
            if let command::UpstreamCommand::Caller { text, .. } = command {
                let text = String::from_utf8_lossy(text).into_owned();
                state.sent.push((self.workspace.clone(), text));
            }
            self.connection.run(state, command)
        })
    }

    /// Waits until a commit is acknowledged; forever if it is lost.
    async fn await_commit(&self, position: log_position::LogPosition) {
        loop {
            let changed = self.edge.changed.notified();
            let outcome = self.edge.state.borrow().commit_outcome(position);
            match outcome {
                pending_commit::CommitOutcome::Acknowledged => return,
                pending_commit::CommitOutcome::Pending => changed.await,
                pending_commit::CommitOutcome::Lost => std::future::pending().await,
            }
        }
    }
}

impl Drop for ClusterLink {
    fn drop(&mut self) {
        let mut state = self.edge.state.borrow_mut();
        state.close_connection(self.connection.instance(), &self.workspace);
    }
}

impl edge::UpstreamLink for ClusterLink {
    fn queue(&mut self, command: &command::UpstreamCommand) {
        self.queued.push(command.clone());
    }

    async fn flush(&mut self) -> io::Result<()> {
        for command in std::mem::take(&mut self.queued) {
            let outcome = self.run(&command);
            self.answers.push_back(outcome);
        }
        Ok(())
    }

    async fn receive(&mut self) -> io::Result<answers::UpstreamAnswer> {
        tokio::task::yield_now().await;
        if let Some(connection_state::CommandOutcome::Pending(position, _)) = self.answers.front() {
            self.await_commit(*position).await;
        }
        let outcome = self.answers.pop_front();
        if !self.edge.reaches(self.connection.instance()) {
            return std::future::pending().await;
        }
        match outcome {
            Some(
                connection_state::CommandOutcome::Answer(answer)
                | connection_state::CommandOutcome::Pending(_, answer),
            ) => Ok(answer),
            Some(connection_state::CommandOutcome::NoAnswer) | None => std::future::pending().await,
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
