//! Starts nodes on a group of in-memory instances. The clock of the runtime is paused and advances
//! only while all tasks wait, so the tests need no real time and are deterministic.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod acknowledged_writes;
pub mod decision_steps;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use persimmontack::node::workspaces::{caller_hello, key_check, workspace_binding};
use persimmontack::node::{
    answers, config, isolation, limits, member, membership, node_tables, relay_caller, request,
    session, session_start, stop, table_follower,
};
use standins::cluster::{cluster_edge, cluster_state, instance_state, test_caller};

/// Databases of the group: reads see every commit, reads of bounded age, and read-your-writes.
pub const LATEST: &str = "latest";
pub const AGED: &str = "aged";
pub const SESSION: &str = "session";

/// A running node, and the in-memory group and platform behind it.
pub struct TestNode {
    pub edge: cluster_edge::ClusterEdge,
    pub tables: Rc<node_tables::NodeTables<cluster_edge::ClusterEdge>>,
    pub stop: Rc<stop::StopState>,
}

pub fn node_config(version: u64) -> config::NodeConfig {
    let age = Duration::from_secs(2);
    let route = |policy, priority| config::DatabaseRoute {
        group: cluster_state::GROUP.to_owned(),
        policy,
        timeout: Duration::from_millis(800),
        goal: Duration::from_millis(250),
        priority,
        public: false,
    };
    config::NodeConfig {
        version,
        routes: [
            (LATEST.to_owned(), route(config::ReadPolicy::Latest, 1)),
            (AGED.to_owned(), route(config::ReadPolicy::Aged(age), 2)),
            (
                SESSION.to_owned(),
                route(config::ReadPolicy::Session(age), 2),
            ),
        ]
        .into(),
        groups: [(
            cluster_state::GROUP.to_owned(),
            config::GroupLimits {
                max_connections: 22,
            },
        )]
        .into(),
        transaction_idle: Some(Duration::from_secs(3)),
        ..config::NodeConfig::default()
    }
}

/// Runs a test on a runtime with a paused clock.
pub fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, test);
}

/// Runs a test on a node that has the complete list of its group and knows the primary.
pub fn run<F: Future<Output = ()>>(test: impl FnOnce(TestNode) -> F) {
    block_on(async {
        let state = cluster_state::ClusterState::new(node_config(1));
        let edge = cluster_edge::ClusterEdge::new(state);
        let node = start(&edge, 1, "dc-b");
        node.wait_until("a position of the primary is known", |node| {
            node.primary() == "a"
                && node
                    .tables
                    .group(cluster_state::GROUP)
                    .newest_position_time()
                    .is_some()
        })
        .await;
        node.wait_until("the whole list is known", |node| {
            node.tables.has_complete_list()
        })
        .await;
        test(node).await;
    });
}

/// Returns a group whose upstreams each allow `max_connections` connections.
pub fn cluster(max_connections: u32) -> cluster_edge::ClusterEdge {
    let mut config = node_config(1);
    let limits = config::GroupLimits { max_connections };
    config
        .groups
        .insert(cluster_state::GROUP.to_owned(), limits);
    cluster_edge::ClusterEdge::new(cluster_state::ClusterState::new(config))
}

/// Returns the member entry of VM `number`.
pub fn member(number: u16, data_centre: &str) -> member::MemberEntry {
    member::MemberEntry {
        data_centre: data_centre.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000 + number)),
    }
}

/// Starts VM `number`.
pub fn start(edge: &cluster_edge::ClusterEdge, number: u16, data_centre: &str) -> TestNode {
    let vm = format!("vm-{number}");
    let own = member(number, data_centre);
    let streams = edge.network.listen(own.address, &vm);
    let node = TestNode {
        edge: edge.clone(),
        tables: node_tables::NodeTables::new(edge.for_vm(&vm), vm, own),
        stop: Rc::default(),
    };
    tokio::task::spawn_local(table_follower::follow_store(Rc::clone(&node.tables)));
    tokio::task::spawn_local(membership::keep(
        Rc::clone(&node.tables),
        Rc::clone(&node.stop),
    ));
    tokio::task::spawn_local(isolation::watch(Rc::clone(&node.tables)));
    tokio::task::spawn_local(relay_caller::serve(
        Rc::clone(&node.tables),
        Rc::clone(&node.stop),
        streams,
    ));
    node
}

/// Starts VMs, in turn in each of the data centres, and waits until all know each other and the whole list. A
/// configuration has to be in force within `apply_limit`.
pub async fn start_all(
    edge: &cluster_edge::ClusterEdge,
    vms: u16,
    data_centres: &[&str],
    apply_limit: Duration,
) -> Vec<TestNode> {
    let nodes: Vec<_> = (1..=vms)
        .zip(data_centres.iter().cycle())
        .map(|(number, data_centre)| start(edge, number, data_centre))
        .collect();
    for node in &nodes {
        node.tables.set_bounds(apply_limit, limits::DRAIN_LIMIT);
    }
    for node in &nodes {
        node.wait_until("all members and the list are known", |node| {
            node.tables.members().len() == usize::from(vms) && node.tables.has_complete_list()
        })
        .await;
    }
    nodes
}

/// Returns a VM that gets its tables from followers.
pub fn first_reader(nodes: &[TestNode]) -> &TestNode {
    nodes
        .iter()
        .find(|node| !node.tables.is_table_follower())
        .expect("a reader")
}

/// Opens a session at a VM.
pub fn open(
    tables: &Rc<node_tables::NodeTables<cluster_edge::ClusterEdge>>,
    stop: &Rc<stop::StopState>,
    database: &str,
) -> test_caller::TestCaller {
    let (caller, link) = test_caller::connect(database);
    let serve = session_start::serve(Rc::clone(tables), link, Rc::clone(stop));
    tokio::task::spawn_local(serve);
    caller
}

/// Opens a session of a workspace, as if its key had been checked.
pub fn open_for_workspace(
    node: &TestNode,
    database: &str,
    workspace: &str,
) -> test_caller::TestCaller {
    let (caller, mut link) = test_caller::connect(database);
    let hello = caller_hello::CallerHello {
        database: database.to_owned(),
        credentials: caller_hello::CallerCredentials::Forwarded(
            workspace_binding::WorkspaceBinding::new(workspace),
        ),
    };
    let config = node.tables.config().expect("a configuration");
    let key = key_check::KeyCheck::new(&config, hello).expect("a listed workspace");
    let tables = Rc::clone(&node.tables);
    let stop = Rc::clone(&node.stop);
    let database = database.to_owned();
    tokio::task::spawn_local(async move {
        let mut session = session::CallerSession::new(tables, database, key, false);
        session.run(&mut link, &stop).await;
    });
    caller
}

impl TestNode {
    /// Opens a session.
    pub async fn caller(&self, database: &str) -> test_caller::TestCaller {
        let mut caller = open(&self.tables, &self.stop, database);
        assert_eq!(
            caller.reply().await,
            Some(test_caller::CallerReply::Welcome)
        );
        caller
    }

    /// Waits until a condition holds.
    pub async fn wait_until(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        let look = async {
            while !condition(self) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        assert!(
            tokio::time::timeout(Duration::from_secs(60), look)
                .await
                .is_ok(),
            "not reached: {what}"
        );
    }

    /// Returns the primary that the node knows.
    pub fn primary(&self) -> String {
        self.tables
            .group(cluster_state::GROUP)
            .primary()
            .unwrap_or_default()
    }

    /// Returns the upstreams that the platform has promoted, oldest first.
    pub fn promotions(&self) -> Vec<String> {
        let state = self.edge.state.borrow();
        state
            .promotions
            .iter()
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Changes an instance.
    pub fn instance(&self, name: &str, change: impl FnOnce(&mut instance_state::InstanceState)) {
        self.edge.change(|state| change(state.instance(name)));
    }

    /// Returns how often an instance ran a statement of a caller that starts with `word`.
    pub fn count_statements(&self, name: &str, word: &str) -> usize {
        let mut state = self.edge.state.borrow_mut();
        let ran = &state.instance(name).ran;
        ran.iter()
            .filter(|(_, text)| text.starts_with(word))
            .count()
    }

    /// Lets time pass.
    pub async fn sleep(&self, time: Duration) {
        tokio::time::sleep(time).await;
    }
}

pub fn read() -> request::StatementKind {
    request::StatementKind::Read
}

pub fn write() -> request::StatementKind {
    request::StatementKind::Write
}

pub fn begin(read_only: bool) -> request::StatementKind {
    request::StatementKind::Begin { read_only }
}

/// Returns the rows of a successful answer of an upstream, and fails on any other answer.
pub fn rows(answer: &answers::CallerAnswer) -> Vec<Bytes> {
    assert!(
        matches!(&answer.result, Ok(Some(_))),
        "expected an upstream's success: {answer:?}"
    );
    answer.rows.clone()
}

/// Returns the error code of an answer, and fails on a success.
pub fn code(answer: &answers::CallerAnswer) -> answers::ErrorCode {
    match &answer.result {
        Err(error) => error.code,
        Ok(_) => panic!("expected an error: {answer:?}"),
    }
}
