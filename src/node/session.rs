//! The session of one caller.

use std::rc;

use tokio::time::Instant;

use crate::model::{ids, log_position};
use crate::node::{
    answers, attempt, board, config, edge, group, journal, limits, reads, relay, request,
    request_report, session_state, stop, transaction, writes,
};

/// Serves one caller until it leaves or the node stops.
pub async fn serve<E: edge::NodeEdge, C: edge::CallerLink>(
    board: rc::Rc<board::NodeBoard<E>>,
    mut link: C,
    stop: rc::Rc<stop::StopState>,
) {
    let database = match link.accept().await {
        Ok(database) => database,
        Err(error) => return reject(&mut link, error).await,
    };
    let Some(config) = first_config(&board).await else {
        journal::warn(
            "caller_refused",
            &[("database", &database), ("reason", &"no_config")],
        );
        let text = come_back(&"no configuration yet");
        let error = answers::StatementError::new(answers::ErrorCode::Busy, text);
        return link.reject(&error).await;
    };
    if !config.routes.contains_key(&database) {
        journal::warn(
            "caller_refused",
            &[("database", &database), ("reason", &"no_database")],
        );
        let error = answers::StatementError::new(answers::ErrorCode::NoDatabase, database);
        return link.reject(&error).await;
    }
    if link.welcome().await.is_err() {
        return;
    }
    let count = stop::SessionCount::new(rc::Rc::clone(&board));
    let mut session = CallerSession {
        board,
        database,
        state: rc::Rc::default(),
        transaction: None,
        relay: relay::RelaySession::default(),
        relayed: C::RELAYED,
    };
    session.run(&mut link, &stop).await;
    link.close().await;
    if let Some(mut transaction) = session.transaction.take() {
        transaction.roll_back().await;
    }
    drop(count);
}

/// Waits for the first configuration, since a caller may come before it.
async fn first_config<E: edge::NodeEdge>(
    board: &board::NodeBoard<E>,
) -> Option<rc::Rc<config::NodeConfig>> {
    let limit = Instant::now() + limits::FIRST_CONFIG;
    while Instant::now() < limit {
        if let Some(config) = board.config() {
            return Some(config);
        }
        tokio::time::sleep(limits::ROUTE_PAUSE).await;
    }
    None
}

async fn reject<C: edge::CallerLink>(link: &mut C, error: edge::CallerError) {
    match error {
        edge::CallerError::Closed => {}
        edge::CallerError::Invalid(error) => {
            journal::warn(
                "caller_refused",
                &[
                    ("reason", &error.code),
                    ("text", &String::from_utf8_lossy(&error.text)),
                ],
            );
            link.reject(&error).await;
        }
    }
}

#[derive(Debug)]
struct CallerSession<E: edge::NodeEdge> {
    board: rc::Rc<board::NodeBoard<E>>,
    database: String,
    state: rc::Rc<session_state::SessionState>,
    transaction: Option<transaction::OpenTransaction<E>>,
    relay: relay::RelaySession,
    /// Whether another VM relays the session to this one. It is not relayed any further.
    relayed: bool,
}

impl<E: edge::NodeEdge> CallerSession<E> {
    async fn run<C: edge::CallerLink>(&mut self, link: &mut C, stop: &stop::StopState) {
        let started = Instant::now();
        let board = rc::Rc::clone(&self.board);
        loop {
            let request = tokio::select! {
                biased;
                request = link.receive() => request,
                () = stop.closes_idle(self.in_transaction()) => {
                    journal::debug("session_closed", &[("reason", &"stopping")]);
                    return;
                }
                () = board.isolation.closes_idle(started), if !self.in_transaction() => {
                    journal::info("session_closed", &[("reason", &"cut_off")]);
                    return;
                }
                () = self.idle_limit() => {
                    self.expire().await;
                    continue;
                }
            };
            let request = match request {
                Ok(request) => request,
                Err(error) => return reject(link, error).await,
            };
            if let Some(state) = link.take_state() {
                self.state = rc::Rc::new(state);
            }
            let answer = self.handle(&request).await;
            if link.answer(&answer).await.is_err() {
                return;
            }
        }
    }

    async fn idle_limit(&self) {
        let bound = self
            .transaction
            .as_ref()
            .is_some_and(transaction::OpenTransaction::is_bound);
        let limit = self
            .board
            .config()
            .and_then(|config| config.transaction_idle);
        match limit {
            Some(limit) if bound => tokio::time::sleep(limit).await,
            _ => std::future::pending().await,
        }
    }

    async fn expire(&mut self) {
        if let Some(transaction) = &mut self.transaction {
            journal::warn(
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

    async fn handle(&mut self, request: &request::CallerRequest) -> answers::CallerAnswer {
        let state = self.transaction_state();
        let ending = matches!(
            request.kind,
            request::StatementKind::Commit | request::StatementKind::Rollback
        );
        if state == answers::TransactionState::Failed && !ending {
            let text = "the transaction has failed; end it first";
            return answers::CallerAnswer::error(answers::ErrorCode::Malformed, text, state);
        }
        if let Some(plan) = self.relay_plan(request) {
            return self.relay(request, &plan).await;
        }
        match &request.kind {
            request::StatementKind::Begin { read_only } => self.begin(request, *read_only),
            request::StatementKind::Commit => self.commit(request).await,
            request::StatementKind::Rollback => self.roll_back().await,
            request::StatementKind::Set { name, value } => {
                rc::Rc::make_mut(&mut self.state).set(name.clone(), value.clone());
                answers::CallerAnswer::local(state)
            }
            request::StatementKind::Prepare { name, shape } => {
                rc::Rc::make_mut(&mut self.state).prepare(name.clone(), shape.clone());
                answers::CallerAnswer::local(state)
            }
            request::StatementKind::Forget { name } => {
                if rc::Rc::make_mut(&mut self.state).forget(name) {
                    answers::CallerAnswer::local(state)
                } else {
                    no_statement(name, state)
                }
            }
            request::StatementKind::Read => self.statement(request, false).await,
            request::StatementKind::Write => self.statement(request, true).await,
            request::StatementKind::Execute { name, .. } => {
                let Some(shape) = self.state.prepared(name) else {
                    return no_statement(name, state);
                };
                let writes = shape.access == request::AccessKind::Write;
                self.statement(request, writes).await
            }
        }
    }

    fn plan(&self) -> Option<reads::ReadPlan> {
        let config = self.board.config()?;
        let route = config.routes.get(&self.database)?.clone();
        let group = self.board.group(&route.group);
        let written = self.state.written(&route.group);
        Some(reads::ReadPlan {
            group,
            route,
            arrival: self.board.edge.boot_time(),
            written,
        })
    }

    /// Returns the plan of a statement that another VM has to run.
    fn relay_plan(&self, request: &request::CallerRequest) -> Option<reads::ReadPlan> {
        let local = match &request.kind {
            request::StatementKind::Set { .. }
            | request::StatementKind::Prepare { .. }
            | request::StatementKind::Forget { .. } => true,
            request::StatementKind::Execute { name, .. } => self.state.prepared(name).is_none(),
            request::StatementKind::Commit | request::StatementKind::Rollback => {
                !self.relay.in_transaction()
            }
            request::StatementKind::Begin { .. }
            | request::StatementKind::Read
            | request::StatementKind::Write => false,
        };
        if local || self.relayed || self.transaction.is_some() {
            return None;
        }
        let plan = self.plan()?;
        let elsewhere = self.relay.in_transaction() || !self.board.is_host(&plan.route.group);
        elsewhere.then_some(plan)
    }

    async fn relay(
        &mut self,
        request: &request::CallerRequest,
        plan: &reads::ReadPlan,
    ) -> answers::CallerAnswer {
        let started = Instant::now();
        let bound = self.relay.in_transaction();
        let writes = match &request.kind {
            request::StatementKind::Write => true,
            request::StatementKind::Execute { name, .. } => self
                .state
                .prepared(name)
                .is_some_and(|shape| shape.access == request::AccessKind::Write),
            _ => false,
        };
        let order = relay::RelayOrder {
            request,
            writes,
            database: &self.database,
            route: &plan.route,
            state: &self.state,
            started,
        };
        let end = self.relay.run(&self.board, &order).await;
        let host = self.relay.host();
        let report = request_report::RequestReport {
            board: &self.board,
            request,
            database: &self.database,
            kind: "relayed",
            route: &plan.route,
            upstream: &host,
            started,
        };
        let state = self.relay.state();
        let (code, reason) = match end {
            relay::RelayEnd::Answered(answer) => {
                report.relayed(&answer);
                if let Some((group, position)) = &answer.written {
                    rc::Rc::make_mut(&mut self.state).record_commit(group, *position);
                }
                return answer;
            }
            relay::RelayEnd::NotRun(reason) if bound => (answers::ErrorCode::Aborted, reason),
            relay::RelayEnd::NotRun(reason) => (answers::ErrorCode::Busy, reason),
            relay::RelayEnd::Unknown(reason) => {
                let commit = request.kind == request::StatementKind::Commit;
                let code = if (commit && self.relay.wrote()) || (writes && !bound) {
                    answers::ErrorCode::Unknown
                } else {
                    answers::ErrorCode::Aborted
                };
                (code, reason)
            }
        };
        let ending = matches!(
            request.kind,
            request::StatementKind::Commit | request::StatementKind::Rollback
        );
        if ending {
            self.relay.leave();
        }
        if request.kind == request::StatementKind::Rollback {
            // The host rolls back what it has lost its caller for.
            return answers::CallerAnswer::local(answers::TransactionState::Idle);
        }
        report.failed(code, &reason);
        let state = if ending {
            answers::TransactionState::Idle
        } else {
            state
        };
        let text = if code == answers::ErrorCode::Unknown {
            reason
        } else {
            come_back(&reason)
        };
        answers::CallerAnswer::error(code, text, state)
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
        let Some(plan) = self.plan() else {
            return self.no_database(request);
        };
        self.transaction = Some(transaction::OpenTransaction::new(plan, read_only));
        answers::CallerAnswer::local(answers::TransactionState::Open)
    }

    async fn roll_back(&mut self) -> answers::CallerAnswer {
        match self.transaction.take() {
            Some(mut transaction) => {
                transaction.roll_back().await;
                answers::CallerAnswer::local(answers::TransactionState::Idle)
            }
            None => no_transaction(),
        }
    }

    async fn commit(&mut self, request: &request::CallerRequest) -> answers::CallerAnswer {
        let started = Instant::now();
        let idle = answers::TransactionState::Idle;
        let Some(mut transaction) = self.transaction.take() else {
            return no_transaction();
        };
        if transaction.is_failed() {
            transaction.roll_back().await;
            let text = "the transaction has failed and is rolled back";
            return answers::CallerAnswer::error(answers::ErrorCode::Aborted, text, idle);
        }
        let upstream = transaction.upstream();
        let end = transaction
            .commit(&self.board, request, &self.state, started)
            .await;
        let report = request_report::RequestReport {
            board: &self.board,
            request,
            database: &self.database,
            kind: "commit",
            route: transaction.route(),
            upstream: &upstream,
            started,
        };
        match end {
            transaction::TransactionEnd::Answered(answer) => {
                if answer.result.is_ok()
                    && transaction.wrote()
                    && let Some(position) = answer.position
                {
                    let group = &transaction.group().group;
                    rc::Rc::make_mut(&mut self.state).record_commit(group, position);
                }
                report.answered(&answer);
                let mut answer = answers::CallerAnswer::pass(promise_kept(answer), idle);
                answer.written = self.written(transaction.group());
                answer
            }
            transaction::TransactionEnd::Aborted(reason) => {
                report.failed(answers::ErrorCode::Aborted, &reason);
                answers::CallerAnswer::error(answers::ErrorCode::Aborted, come_back(&reason), idle)
            }
            transaction::TransactionEnd::Unknown(reason) => {
                report.failed(answers::ErrorCode::Unknown, &reason);
                answers::CallerAnswer::error(answers::ErrorCode::Unknown, reason, idle)
            }
        }
    }

    fn written(
        &self,
        group: &group::GroupState,
    ) -> Option<(ids::GroupId, log_position::LogPosition)> {
        let position = self.state.written(&group.group)?;
        Some((group.group.clone(), position))
    }

    async fn statement(
        &mut self,
        request: &request::CallerRequest,
        writes: bool,
    ) -> answers::CallerAnswer {
        if self.transaction.is_some() {
            return self.run_in_transaction(request, writes).await;
        }
        let Some(plan) = self.plan() else {
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
            return no_transaction();
        };
        let end = transaction
            .run(&self.board, request, writes, &self.state, started)
            .await;
        let upstream = transaction.upstream();
        let report = request_report::RequestReport {
            board: &self.board,
            request,
            database: &self.database,
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
        match end {
            transaction::TransactionEnd::Answered(answer) => {
                report.answered(&answer);
                answers::CallerAnswer::pass(promise_kept(answer), state)
            }
            transaction::TransactionEnd::Aborted(reason)
            | transaction::TransactionEnd::Unknown(reason) => {
                report.failed(answers::ErrorCode::Aborted, &reason);
                answers::CallerAnswer::error(answers::ErrorCode::Aborted, come_back(&reason), state)
            }
        }
    }

    async fn read(
        &mut self,
        request: &request::CallerRequest,
        plan: reads::ReadPlan,
    ) -> answers::CallerAnswer {
        let started = Instant::now();
        let order = attempt::ReadOrder {
            request: request.clone(),
            session: rc::Rc::clone(&self.state),
            terms: plan.route.wait_terms(started),
            limit: started + plan.route.timeout,
        };
        let end = reads::run(&self.board, &plan, order, started).await;
        let mut report = request_report::RequestReport {
            board: &self.board,
            request,
            database: &self.database,
            kind: "read",
            route: &plan.route,
            upstream: "-",
            started,
        };
        let idle = answers::TransactionState::Idle;
        // A read leaves nothing behind, so the caller may always be told that nothing is kept.
        match end {
            reads::ReadEnd::Answered(upstream, answer) => {
                report.upstream = &upstream;
                report.answered(&answer);
                answers::CallerAnswer::pass(answer, idle)
            }
            reads::ReadEnd::NotRun(reason) => {
                report.failed(answers::ErrorCode::Busy, &reason);
                answers::CallerAnswer::error(answers::ErrorCode::Busy, come_back(&reason), idle)
            }
            reads::ReadEnd::Late(upstream) => {
                report.upstream = &upstream;
                report.failed(answers::ErrorCode::Timeout, &"no answer in time");
                let text = "no answer in time";
                answers::CallerAnswer::error(answers::ErrorCode::Timeout, text, idle)
            }
            reads::ReadEnd::Broken(reason) => {
                report.failed(answers::ErrorCode::Aborted, &reason);
                answers::CallerAnswer::error(answers::ErrorCode::Aborted, come_back(&reason), idle)
            }
        }
    }

    async fn write(
        &mut self,
        request: &request::CallerRequest,
        plan: reads::ReadPlan,
    ) -> answers::CallerAnswer {
        let started = Instant::now();
        let order = writes::WriteOrder {
            request: request.clone(),
            session: rc::Rc::clone(&self.state),
            group: plan.group,
            route: plan.route,
            started,
        };
        let end = writes::run(&self.board, &order).await;
        let mut report = request_report::RequestReport {
            board: &self.board,
            request,
            database: &self.database,
            kind: "write",
            route: &order.route,
            upstream: "-",
            started,
        };
        let idle = answers::TransactionState::Idle;
        match end {
            writes::WriteEnd::Answered(upstream, answer, position) => {
                if let Some(position) = position {
                    let group = &order.route.group;
                    rc::Rc::make_mut(&mut self.state).record_commit(group, position);
                }
                report.upstream = &upstream;
                report.answered(&answer);
                let mut answer = answers::CallerAnswer::pass(answer, idle);
                answer.written = self.written(&order.group);
                answer
            }
            writes::WriteEnd::NotRun(reason) => {
                report.failed(answers::ErrorCode::Busy, &reason);
                answers::CallerAnswer::error(answers::ErrorCode::Busy, come_back(&reason), idle)
            }
            writes::WriteEnd::Unknown(upstream, reason) => {
                report.upstream = &upstream;
                report.failed(answers::ErrorCode::Unknown, &reason);
                answers::CallerAnswer::error(answers::ErrorCode::Unknown, reason, idle)
            }
        }
    }

    fn no_database(&self, request: &request::CallerRequest) -> answers::CallerAnswer {
        journal::warn(
            "request_refused",
            &[
                ("request", &request.id_text()),
                ("database", &self.database),
                ("reason", &"no_database"),
            ],
        );
        let code = answers::ErrorCode::NoDatabase;
        answers::CallerAnswer::error(code, self.database.clone(), self.transaction_state())
    }
}

/// Turns an upstream's refusal inside a transaction into the one that callers know.
fn promise_kept(mut answer: answers::UpstreamAnswer) -> answers::UpstreamAnswer {
    if let Err(error) = &mut answer.result
        && attempt::not_run(error.code).is_some()
    {
        error.code = answers::ErrorCode::Aborted;
    }
    answer
}

fn no_transaction() -> answers::CallerAnswer {
    let text = "no transaction is open";
    answers::CallerAnswer::error(
        answers::ErrorCode::Malformed,
        text,
        answers::TransactionState::Idle,
    )
}

fn no_statement(name: &bytes::Bytes, state: answers::TransactionState) -> answers::CallerAnswer {
    answers::CallerAnswer::error(answers::ErrorCode::NoStatement, name.clone(), state)
}

fn come_back(reason: &dyn std::fmt::Display) -> String {
    format!(
        "{reason}; come back in {} ms",
        limits::COME_BACK.as_millis()
    )
}
