//! [`CallerSession`]: serves the requests of one caller's session.

use std::rc;

use tokio::time::Instant;

use crate::model::{ids, log_position};
use crate::node::connections::{transaction_admission, workspace_hosts};
use crate::node::rate_limits::admission;
use crate::node::workspaces::{key_check, key_refusal, session_end};
use crate::node::{
    answers, attempt, config, edge, group, node_log, node_tables, reads, relay, relay_frame,
    request, request_report, session_start, session_state, stop, transaction, writes,
};

/// The session of one caller.
#[derive(Debug)]
pub struct CallerSession<E: edge::NodeEdge> {
    tables: rc::Rc<node_tables::NodeTables<E>>,
    database: String,
    key: key_check::KeyCheck,
    state: rc::Rc<session_state::SessionState>,
    /// Bytes of the values and prepared statements in the state.
    state_bytes: usize,
    transaction: Option<transaction::OpenTransaction<E>>,
    relay: relay::RelaySession,
    /// Whether another VM forwards the session to this one.
    relayed: bool,
}

impl<E: edge::NodeEdge> CallerSession<E> {
    /// Creates a session on a database. If `relayed`, another VM forwards the session to this one,
    /// and its statements are not forwarded any further.
    #[must_use]
    pub fn new(
        tables: rc::Rc<node_tables::NodeTables<E>>,
        database: ids::DatabaseName,
        key: key_check::KeyCheck,
        relayed: bool,
    ) -> Self {
        Self {
            tables,
            database,
            key,
            state: rc::Rc::default(),
            state_bytes: 0,
            transaction: None,
            relay: relay::RelaySession::default(),
            relayed,
        }
    }

    /// Serves requests until the caller disconnects or the session is closed, then rolls back an
    /// open transaction.
    pub async fn run<C: edge::CallerLink>(&mut self, link: &mut C, stop: &stop::StopState) {
        self.serve(link, stop).await;
        link.close().await;
        if let Some(mut transaction) = self.transaction.take() {
            transaction.roll_back().await;
        }
    }

    async fn serve<C: edge::CallerLink>(&mut self, link: &mut C, stop: &stop::StopState) {
        let started = Instant::now();
        let tables = rc::Rc::clone(&self.tables);
        loop {
            let request = tokio::select! {
                biased;
                request = link.receive() => request,
                refusal = self.key.wait_refused(&tables) => {
                    let was_open = !self.relayed && self.in_transaction();
                    session_end::report(&tables, &self.key, refusal, was_open);
                    if !was_open {
                        return;
                    }
                    // The answer to the next statement tells the caller.
                    self.key.record_rollback();
                    session_end::roll_back(&mut self.transaction, &mut self.relay).await;
                    continue;
                }
                () = stop.wait_idle_close(self.in_transaction()) => {
                    node_log::debug("session_closed", &[("reason", &"stopping")]);
                    return;
                }
                () = tables.isolation.await_idle_close(started), if !self.in_transaction() => {
                    node_log::info("session_closed", &[("reason", &"cut_off")]);
                    return;
                }
                () = self.wait_idle_timeout() => {
                    self.expire().await;
                    continue;
                }
            };
            let request = match request {
                Ok(request) => request,
                Err(error) => return session_start::reject(link, error).await,
            };
            if let Some(state) = link.take_state() {
                self.state_bytes = state.bytes();
                self.state = rc::Rc::new(state);
            }
            let forwarded = link.forwarded_route();
            if forwarded.is_some_and(|forwarded| self.is_behind(forwarded)) {
                if link.refuse_behind().await.is_err() {
                    return;
                }
                continue;
            }
            let handled = match self.key.verify(&tables) {
                Ok(()) => self.handle(&request).await,
                Err(refusal) => Err(refusal),
            };
            let answer = match handled {
                Ok(answer) => answer,
                Err(refusal) => {
                    let ended = self.in_transaction() || self.key.is_rolled_back();
                    session_end::roll_back(&mut self.transaction, &mut self.relay).await;
                    return session_end::refuse_request(
                        &tables, link, &self.key, &request, refusal, ended,
                    )
                    .await;
                }
            };
            link.record_state(self.state_bytes);
            drop(request);
            if link.answer(&answer).await.is_err() {
                return;
            }
        }
    }

    /// Returns whether another VM forwards a request by a newer configuration, with a route that this VM does not
    /// have. An open transaction goes on with the route with which it began.
    fn is_behind(&self, forwarded: &relay_frame::ForwardedRoute) -> bool {
        let config = self.tables.config();
        let version = config.as_ref().map_or(0, |config| config.version);
        if version >= forwarded.config || self.in_transaction() {
            return false;
        }
        let route = config
            .as_ref()
            .and_then(|config| config.routes.get(&self.database));
        let is_behind = route.is_none_or(|route| route.group != forwarded.group);
        if is_behind {
            node_log::warn(
                "config_behind",
                &[("config", &version), ("forwarded", &forwarded.config)],
            );
        }
        is_behind
    }

    async fn wait_idle_timeout(&self) {
        let is_bound = self
            .transaction
            .as_ref()
            .is_some_and(transaction::OpenTransaction::is_bound);
        let timeout = self
            .tables
            .config()
            .and_then(|config| config.transaction_idle);
        match timeout {
            Some(timeout) if is_bound => tokio::time::sleep(timeout).await,
            _ => std::future::pending().await,
        }
    }

    async fn expire(&mut self) {
        if let Some(transaction) = &mut self.transaction {
            node_log::warn(
                "transaction_expired",
                &[
                    ("database", &self.database),
                    ("upstream", &transaction.upstream()),
                ],
            );
            transaction.expire().await;
        }
    }

    fn in_transaction(&self) -> bool {
        self.transaction.is_some() || self.relay.in_transaction()
    }

    fn transaction_state(&self) -> answers::TransactionState {
        match &self.transaction {
            None => self.relay.state(),
            Some(transaction) if transaction.is_failed() => answers::TransactionState::Failed,
            Some(_) => answers::TransactionState::Open,
        }
    }

    /// Answers a request. Fails without running it if the key is withdrawn while it waits for a
    /// token.
    async fn handle(
        &mut self,
        request: &request::CallerRequest,
    ) -> Result<answers::CallerAnswer, key_refusal::KeyRefusal> {
        if !self.begins_operation(request) {
            return Ok(self.dispatch(request).await);
        }
        let admitted =
            admission::admit(&self.tables, self.key.binding(), &self.database, request).await;
        let token = match admitted {
            Ok(token) => token,
            Err(refusal) => return Ok(refusal),
        };
        if let Err(refusal) = self.key.verify(&self.tables) {
            token.give_back(self.tables.edge.boot_time());
            return Err(refusal);
        }
        let answer = self.dispatch(request).await;
        token.settle(&answer, self.tables.edge.boot_time());
        Ok(answer)
    }

    /// Returns whether a request counts against the limits of its workspace: a transaction, or a
    /// statement outside one. Relayed requests were counted at the VM of their caller.
    fn begins_operation(&self, request: &request::CallerRequest) -> bool {
        let counts = match &request.kind {
            request::StatementKind::Begin { .. }
            | request::StatementKind::Read
            | request::StatementKind::Write => true,
            request::StatementKind::Execute { name, .. } => self.state.prepared(name).is_some(),
            request::StatementKind::Commit
            | request::StatementKind::Rollback
            | request::StatementKind::Set { .. }
            | request::StatementKind::Prepare { .. }
            | request::StatementKind::Forget { .. } => false,
        };
        counts && !self.relayed && self.transaction_state() == answers::TransactionState::Idle
    }

    async fn dispatch(&mut self, request: &request::CallerRequest) -> answers::CallerAnswer {
        let state = self.transaction_state();
        if state == answers::TransactionState::Failed && !request.kind.ends_transaction() {
            let text = "the transaction has failed; end it first";
            return answers::CallerAnswer::error(answers::ErrorCode::Malformed, text, state);
        }
        if let Some(route) = self.relay_route(request) {
            if let Some(answer) = self.relay(request, &route).await {
                return answer;
            }
            if self.relay.may_have_run() {
                return attempt::retried_as_aborted(self.dispatch_here(request, state).await);
            }
        }
        self.dispatch_here(request, state).await
    }

    /// Handles a request on this VM.
    async fn dispatch_here(
        &mut self,
        request: &request::CallerRequest,
        state: answers::TransactionState,
    ) -> answers::CallerAnswer {
        let Some(bytes) = self.state.bytes_after(&request.kind, self.state_bytes) else {
            let text = "the session's values and prepared statements are too long";
            return answers::CallerAnswer::error(answers::ErrorCode::TooLong, text, state);
        };
        self.state_bytes = bytes;
        match &request.kind {
            request::StatementKind::Begin { read_only } => self.begin(request, *read_only),
            request::StatementKind::Commit => self.commit(request).await,
            request::StatementKind::Rollback => self.roll_back().await,
            request::StatementKind::Set { name, value } => {
                rc::Rc::make_mut(&mut self.state).set(name, value);
                answers::CallerAnswer::local(state)
            }
            request::StatementKind::Prepare { name, shape } => {
                rc::Rc::make_mut(&mut self.state).prepare(name, shape);
                answers::CallerAnswer::local(state)
            }
            request::StatementKind::Forget { name } => {
                if rc::Rc::make_mut(&mut self.state).forget(name) {
                    answers::CallerAnswer::local(state)
                } else {
                    answers::CallerAnswer::no_statement(name.clone(), state)
                }
            }
            request::StatementKind::Execute { name, .. } if self.state.prepared(name).is_none() => {
                answers::CallerAnswer::no_statement(name.clone(), state)
            }
            request::StatementKind::Read
            | request::StatementKind::Write
            | request::StatementKind::Execute { .. } => {
                self.run_statement(request, self.may_write(request)).await
            }
        }
    }

    fn may_write(&self, request: &request::CallerRequest) -> bool {
        match &request.kind {
            request::StatementKind::Execute { name, .. } => self
                .state
                .prepared(name)
                .is_some_and(|shape| shape.access == request::AccessKind::Write),
            kind => *kind == request::StatementKind::Write,
        }
    }

    fn read_plan(&self) -> Option<reads::ReadPlan> {
        let config = self.tables.config()?;
        let route = config.routes.get(&self.database)?.clone();
        let group = self.tables.group(&route.group);
        let written = self.state.written(&route.group);
        Some(reads::ReadPlan {
            group,
            route,
            workspace: self.key.binding().clone(),
            arrival: self.tables.edge.boot_time(),
            written,
        })
    }

    /// Returns the route if the statement has to be forwarded to another VM, or `None` if this VM
    /// handles it.
    fn relay_route(&self, request: &request::CallerRequest) -> Option<config::DatabaseRoute> {
        let unknown = matches!(&request.kind, request::StatementKind::Execute { name, .. }
            if self.state.prepared(name).is_none());
        let no_transaction = request.kind.ends_transaction() && !self.relay.in_transaction();
        let local = request.kind.is_session_setup() || unknown || no_transaction;
        if local || self.relayed || self.transaction.is_some() {
            return None;
        }
        if self.relay.in_transaction() {
            return self.relay.route().cloned();
        }
        let config = self.tables.config()?;
        let route = config.routes.get(&self.database)?;
        let tables = &self.tables;
        let serves = workspace_hosts::serves(tables, &route.group, self.key.binding(), &tables.vm);
        (!serves).then(|| route.clone())
    }

    async fn relay(
        &mut self,
        request: &request::CallerRequest,
        route: &config::DatabaseRoute,
    ) -> Option<answers::CallerAnswer> {
        let job = relay::RelayJob {
            request,
            writes: self.may_write(request),
            database: &self.database,
            workspace: self.key.binding(),
            route,
            state: &self.state,
            started: Instant::now(),
        };
        let answer = self.relay.answer(&self.tables, &job).await?;
        if let Some((group, position)) = &answer.written {
            rc::Rc::make_mut(&mut self.state).record_commit(group, *position);
        }
        Some(answer)
    }

    fn begin(
        &mut self,
        request: &request::CallerRequest,
        read_only: bool,
    ) -> answers::CallerAnswer {
        let state = self.transaction_state();
        if self.transaction.is_some() {
            let text = "a transaction is open already";
            return answers::CallerAnswer::error(answers::ErrorCode::Malformed, text, state);
        }
        let Some(plan) = self.read_plan() else {
            return self.no_database(request);
        };
        if transaction_admission::refuses_begin(&self.tables, &plan, read_only) {
            let text = answers::retry_later_text(&"too many transactions");
            return answers::CallerAnswer::error(answers::ErrorCode::Busy, text, state);
        }
        self.transaction = Some(transaction::OpenTransaction::new(plan, read_only));
        answers::CallerAnswer::local(answers::TransactionState::Open)
    }

    async fn roll_back(&mut self) -> answers::CallerAnswer {
        match self.transaction.take() {
            Some(mut transaction) => {
                transaction.roll_back().await;
                answers::CallerAnswer::local(answers::TransactionState::Idle)
            }
            None => answers::CallerAnswer::no_transaction(),
        }
    }

    async fn commit(&mut self, request: &request::CallerRequest) -> answers::CallerAnswer {
        let started = Instant::now();
        let idle = answers::TransactionState::Idle;
        let Some(mut transaction) = self.transaction.take() else {
            return answers::CallerAnswer::no_transaction();
        };
        if transaction.is_failed() {
            transaction.roll_back().await;
            let text = "the transaction has failed and is rolled back";
            return answers::CallerAnswer::error(answers::ErrorCode::Aborted, text, idle);
        }
        let upstream = transaction.upstream();
        let outcome = transaction
            .commit(&self.tables, request, &self.state, started)
            .await;
        let report = request_report::RequestReport {
            tables: &self.tables,
            request,
            database: &self.database,
            workspace: self.key.binding(),
            kind: "commit",
            route: transaction.route(),
            upstream: &upstream,
            started,
        };
        match outcome {
            transaction::TransactionOutcome::Answered(answer) => {
                if answer.result.is_ok()
                    && transaction.wrote()
                    && let Some(position) = answer.position
                {
                    let group = &transaction.group().group;
                    rc::Rc::make_mut(&mut self.state).record_commit(group, position);
                }
                report.answered(&answer);
                let mut answer =
                    answers::CallerAnswer::from_upstream(attempt::not_run_as_aborted(answer), idle);
                answer.written = self.last_commit(transaction.group());
                answer
            }
            transaction::TransactionOutcome::Aborted(reason) => {
                report.refuse(answers::ErrorCode::Aborted, &reason, idle)
            }
            transaction::TransactionOutcome::Unknown(reason) => {
                report.refuse(answers::ErrorCode::Unknown, &reason, idle)
            }
        }
    }

    fn last_commit(
        &self,
        group: &group::GroupState,
    ) -> Option<(ids::GroupId, log_position::LogPosition)> {
        let position = self.state.written(&group.group)?;
        Some((group.group.clone(), position))
    }

    async fn run_statement(
        &mut self,
        request: &request::CallerRequest,
        writes: bool,
    ) -> answers::CallerAnswer {
        if self.transaction.is_some() {
            return self.run_in_transaction(request, writes).await;
        }
        let Some(plan) = self.read_plan() else {
            return self.no_database(request);
        };
        if writes {
            self.write(request, plan).await
        } else {
            self.read(request, plan).await
        }
    }

    async fn run_in_transaction(
        &mut self,
        request: &request::CallerRequest,
        writes: bool,
    ) -> answers::CallerAnswer {
        let started = Instant::now();
        let Some(transaction) = &mut self.transaction else {
            return answers::CallerAnswer::no_transaction();
        };
        let outcome = transaction
            .run(&self.tables, request, writes, &self.state, started)
            .await;
        let upstream = transaction.upstream();
        let report = request_report::RequestReport {
            tables: &self.tables,
            request,
            database: &self.database,
            workspace: self.key.binding(),
            kind: if writes {
                "write_in_transaction"
            } else {
                "read_in_transaction"
            },
            route: transaction.route(),
            upstream: &upstream,
            started,
        };
        let state = if transaction.is_failed() {
            answers::TransactionState::Failed
        } else {
            answers::TransactionState::Open
        };
        match outcome {
            transaction::TransactionOutcome::Answered(answer) => {
                report.answered(&answer);
                answers::CallerAnswer::from_upstream(attempt::not_run_as_aborted(answer), state)
            }
            transaction::TransactionOutcome::Aborted(reason)
            | transaction::TransactionOutcome::Unknown(reason) => {
                report.refuse(answers::ErrorCode::Aborted, &reason, state)
            }
        }
    }

    async fn read(
        &mut self,
        request: &request::CallerRequest,
        plan: reads::ReadPlan,
    ) -> answers::CallerAnswer {
        let started = Instant::now();
        let job = attempt::ReadJob {
            arrival: plan.arrival,
            workspace: plan.workspace.clone(),
            request: request.clone(),
            session: rc::Rc::clone(&self.state),
            options: plan.route.wait_options(started),
            deadline: started + plan.route.timeout,
        };
        let outcome = reads::run(&self.tables, &plan, job, started).await;
        let mut report = request_report::RequestReport {
            tables: &self.tables,
            request,
            database: &self.database,
            workspace: self.key.binding(),
            kind: "read",
            route: &plan.route,
            upstream: "-",
            started,
        };
        let idle = answers::TransactionState::Idle;
        // A read has no effect, so `Aborted` is correct even if it may have run.
        match outcome {
            reads::ReadOutcome::Answered(upstream, answer) => {
                report.upstream = &upstream;
                report.answered(&answer);
                answers::CallerAnswer::from_upstream(answer, idle)
            }
            reads::ReadOutcome::NotRun(reason) => {
                report.refuse(answers::ErrorCode::Busy, &reason, idle)
            }
            reads::ReadOutcome::Late(upstream) => {
                report.upstream = &upstream;
                report.refuse(answers::ErrorCode::Timeout, &"no answer in time", idle)
            }
            reads::ReadOutcome::MayHaveRun(reason) => {
                report.refuse(answers::ErrorCode::Aborted, &reason, idle)
            }
        }
    }

    async fn write(
        &mut self,
        request: &request::CallerRequest,
        plan: reads::ReadPlan,
    ) -> answers::CallerAnswer {
        let started = Instant::now();
        let job = writes::WriteJob {
            request: request.clone(),
            session: rc::Rc::clone(&self.state),
            group: plan.group,
            route: plan.route,
            workspace: plan.workspace,
            started,
        };
        let outcome = writes::run(&self.tables, &job).await;
        let mut report = request_report::RequestReport {
            tables: &self.tables,
            request,
            database: &self.database,
            workspace: self.key.binding(),
            kind: "write",
            route: &job.route,
            upstream: "-",
            started,
        };
        let idle = answers::TransactionState::Idle;
        match outcome {
            writes::WriteOutcome::Answered(upstream, answer, position) => {
                if let Some(position) = position {
                    let group = &job.route.group;
                    rc::Rc::make_mut(&mut self.state).record_commit(group, position);
                }
                report.upstream = &upstream;
                report.answered(&answer);
                let mut answer = answers::CallerAnswer::from_upstream(answer, idle);
                answer.written = self.last_commit(&job.group);
                answer
            }
            writes::WriteOutcome::NotRun(reason) => {
                report.refuse(answers::ErrorCode::Busy, &reason, idle)
            }
            writes::WriteOutcome::Unknown(upstream, reason) => {
                report.upstream = &upstream;
                report.refuse(answers::ErrorCode::Unknown, &reason, idle)
            }
        }
    }

    fn no_database(&self, request: &request::CallerRequest) -> answers::CallerAnswer {
        request_report::log_no_database(&self.tables, request, &self.database, self.key.binding());
        let code = answers::ErrorCode::NoDatabase;
        answers::CallerAnswer::error(code, self.database.clone(), self.transaction_state())
    }
}
