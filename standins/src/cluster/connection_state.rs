//! [`ConnectionState`]: a connection to an instance, which executes commands on the cluster.

use std::collections;

use bytes::Bytes;
use persimmontack::model::{ids, log_position};
use persimmontack::node::{answers, command, request};

use crate::cluster::{cluster_state, instance_state, pending_commit};

#[derive(Debug)]
struct OpenTransaction {
    read_only: bool,
    changes: Vec<(Bytes, Bytes)>,
}

/// A connection to an instance. Dropping it rolls back its open transaction.
#[derive(Debug)]
pub struct ConnectionState {
    instance: String,
    workspace: Option<ids::WorkspaceName>,
    values: collections::BTreeMap<Bytes, Bytes>,
    prepared: collections::BTreeMap<command::PreparedNumber, request::PreparedShape>,
    transaction: Option<OpenTransaction>,
    failed: bool,
    /// Position of the commit that the current command made.
    committed: Option<log_position::LogPosition>,
}

/// Outcome of a command.
#[derive(Debug)]
pub enum CommandOutcome {
    /// An answer.
    Answer(answers::UpstreamAnswer),
    /// An answer that is sent once the commit at this position is acknowledged.
    Pending(log_position::LogPosition, answers::UpstreamAnswer),
    /// No answer is ever sent.
    NoAnswer,
}

impl ConnectionState {
    /// Opens a connection to an instance in the name of a workspace.
    #[must_use]
    pub const fn new(instance: String, workspace: Option<ids::WorkspaceName>) -> Self {
        Self {
            instance,
            workspace,
            values: collections::BTreeMap::new(),
            prepared: collections::BTreeMap::new(),
            transaction: None,
            failed: false,
            committed: None,
        }
    }

    /// Returns the name of the instance.
    #[must_use]
    pub fn instance(&self) -> &str {
        &self.instance
    }

    /// Returns the values that are set on the connection.
    #[must_use]
    pub const fn values(&self) -> &collections::BTreeMap<Bytes, Bytes> {
        &self.values
    }

    /// Runs a command and returns its outcome.
    pub fn run(
        &mut self,
        state: &mut cluster_state::ClusterState,
        command: &command::UpstreamCommand,
    ) -> CommandOutcome {
        if !state.instance(&self.instance).up {
            return CommandOutcome::NoAnswer;
        }
        let statement = command.is_statement();
        let mut rows = Vec::new();
        self.committed = None;
        let result = self.result(state, command, &mut rows);
        if result.is_err() && self.transaction.is_some() {
            self.failed = true;
        }
        let pending = self
            .committed
            .filter(|at| state.commit_outcome(*at) != pending_commit::CommitOutcome::Acknowledged);
        let instance = state.instance(&self.instance);
        if matches!(command, command::UpstreamCommand::StepDown(_)) && instance.lost_step_downs > 0
        {
            instance.lost_step_downs -= 1;
            return CommandOutcome::NoAnswer;
        }
        if pending.is_none() && statement && instance.lost_statement_answers > 0 {
            instance.lost_statement_answers -= 1;
            return CommandOutcome::NoAnswer;
        }
        let session = match (&self.transaction, self.failed) {
            (None, _) => answers::TransactionState::Idle,
            (Some(_), true) => answers::TransactionState::Failed,
            (Some(_), false) => answers::TransactionState::Open,
        };
        let answer = answers::UpstreamAnswer {
            rows,
            result,
            state: session,
            position: Some(instance.applied_position()),
        };
        match pending {
            Some(position) => CommandOutcome::Pending(position, answer),
            None => CommandOutcome::Answer(answer),
        }
    }

    /// Executes a command and appends its rows to `rows`.
    fn result(
        &mut self,
        state: &mut cluster_state::ClusterState,
        command: &command::UpstreamCommand,
        rows: &mut Vec<Bytes>,
    ) -> Result<Bytes, answers::StatementError> {
        let own = Ok(Bytes::from_static(b"-"));
        let instance = state.instance(&self.instance);
        match command {
            command::UpstreamCommand::Begin {
                read_only,
                min_position,
            } => {
                if lacks_position(instance, *min_position) {
                    return cluster_state::error(answers::ErrorCode::Lagging);
                }
                if !read_only && !instance.primary {
                    return cluster_state::error(answers::ErrorCode::ReadOnly);
                }
                self.transaction = Some(OpenTransaction {
                    read_only: *read_only,
                    changes: Vec::new(),
                });
                own
            }
            command::UpstreamCommand::Rollback => {
                if self.transaction.take().is_none() {
                    return cluster_state::error(answers::ErrorCode::Malformed);
                }
                self.failed = false;
                own
            }
            command::UpstreamCommand::Reset => {
                self.values.clear();
                self.prepared.clear();
                own
            }
            command::UpstreamCommand::Set { name, value } => {
                self.values.insert(name.clone(), value.clone());
                own
            }
            command::UpstreamCommand::Prepare { number, shape } => {
                self.prepared.insert(*number, shape.clone());
                own
            }
            command::UpstreamCommand::Fence(term) => {
                if !instance.primary && *term > instance.term {
                    instance.fenced = *term;
                }
                rows.push(status_row(instance));
                own
            }
            command::UpstreamCommand::Unfence => {
                instance.fenced = 0;
                rows.push(status_row(instance));
                own
            }
            command::UpstreamCommand::StepDown(term) => {
                if *term > instance.term {
                    instance.primary = false;
                    instance.term = *term;
                }
                rows.push(status_row(instance));
                own
            }
            command::UpstreamCommand::Status => {
                rows.push(status_row(instance));
                own
            }
            command::UpstreamCommand::Caller {
                id,
                min_position,
                text,
            } => {
                let text = String::from_utf8_lossy(text).into_owned();
                self.statement(state, id, *min_position, &text, rows)
            }
            command::UpstreamCommand::Execute {
                id,
                min_position,
                number,
                arguments,
            } => {
                let Some(shape) = self.prepared.get(number) else {
                    return cluster_state::error(answers::ErrorCode::NoStatement);
                };
                let word = match shape.access {
                    request::AccessKind::Read => "READ",
                    request::AccessKind::Write => "WRITE",
                };
                let text = format!("{word} {}", String::from_utf8_lossy(arguments));
                self.statement(state, id, *min_position, &text, rows)
            }
        }
    }

    fn statement(
        &mut self,
        state: &mut cluster_state::ClusterState,
        id: &Bytes,
        min_position: Option<log_position::LogPosition>,
        text: &str,
        rows: &mut Vec<Bytes>,
    ) -> Result<Bytes, answers::StatementError> {
        let instance = state.instance(&self.instance);
        if instance.busy > 0 {
            instance.busy -= 1;
            return cluster_state::error(answers::ErrorCode::Busy);
        }
        if lacks_position(instance, min_position) {
            return cluster_state::error(answers::ErrorCode::Lagging);
        }
        let writable = self
            .transaction
            .as_ref()
            .is_some_and(|transaction| !transaction.read_only);
        let wrote = self
            .transaction
            .as_ref()
            .is_some_and(|transaction| !transaction.changes.is_empty());
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        let ends_read_only = word == "COMMIT" && !wrote;
        let is_primary = instance.primary;
        if !is_primary
            && ((writable && !ends_read_only) || (word == "WRITE" && self.transaction.is_none()))
        {
            return cluster_state::error(answers::ErrorCode::ReadOnly);
        }
        instance.ran.push((id.clone(), text.to_owned()));
        instance.ran_workspaces.push(self.workspace.clone());
        instance
            .ran_value_names
            .push(self.values.keys().cloned().collect());
        let signature = Bytes::from(format!("signed-{}", self.instance));
        match word {
            "READ" => {
                rows.push(instance.read(rest.as_bytes()));
                Ok(signature)
            }
            "WRITE" => {
                let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
                let change = (
                    Bytes::copy_from_slice(item.as_bytes()),
                    Bytes::copy_from_slice(data.as_bytes()),
                );
                if let Some(transaction) = &mut self.transaction {
                    transaction.changes.push(change);
                    return Ok(signature);
                }
                self.committed = Some(state.commit(&self.instance, id, vec![change]));
                Ok(signature)
            }
            "COMMIT" => {
                let Some(transaction) = self.transaction.take() else {
                    return cluster_state::error(answers::ErrorCode::Malformed);
                };
                self.failed = false;
                if !transaction.changes.is_empty() {
                    self.committed = Some(state.commit(&self.instance, id, transaction.changes));
                }
                Ok(signature)
            }
            _ => cluster_state::error(answers::ErrorCode::Malformed),
        }
    }
}

/// Tells whether the applied part of the log lacks a position. A position that a promotion dropped
/// from the log never appears again.
fn lacks_position(
    instance: &instance_state::InstanceState,
    min_position: Option<log_position::LogPosition>,
) -> bool {
    let Some(min_position) = min_position else {
        return false;
    };
    min_position.offset > 0
        && !instance
            .log
            .iter()
            .take(instance.applied)
            .any(|entry| entry.position == min_position)
}

fn status_row(instance: &instance_state::InstanceState) -> Bytes {
    let role = if instance.primary {
        "primary"
    } else {
        "replica"
    };
    let received = instance.received_position();
    Bytes::from(format!(
        "{role} {} {}.{} {}",
        instance.term, received.term, received.offset, instance.fenced
    ))
}
