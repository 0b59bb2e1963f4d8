//! Which callers a node serves by their keys, and when a session ends because its key has gone.

mod node_support;

use std::rc::Rc;
use std::sync::Mutex;
use std::time::Duration;

use node_support as support;
use persimmontack::node::answers::{CallerAnswer, ErrorCode, TransactionState};
use persimmontack::node::config::NodeConfig;
use persimmontack::node::edge::ControlChange;
use persimmontack::node::workspaces::api_key::ApiKey;
use persimmontack::node::{limits, request, session_start};
use standins::cluster::cluster_state;
use standins::cluster::test_caller::{self, CallerReply, TestCaller};

/// A route that needs no key.
const PUBLIC: &str = support::AGED;

/// Returns a configuration with the given keys and their workspaces.
fn config(version: u64, keys: &[(&str, &str)]) -> NodeConfig {
    let mut config = support::node_config(version);
    for (key, workspace) in keys {
        let key = ApiKey::new(key);
        config.keys.insert(key, (*workspace).to_owned());
    }
    for workspace in ["w1", "w2"] {
        config.workspaces.insert(workspace.to_owned(), None);
    }
    config.routes.get_mut(PUBLIC).expect("a route").public = true;
    config
}

fn publish(node: &support::TestNode, config: NodeConfig) {
    node.edge.change(|state| {
        state.config = config.clone();
        state.record(ControlChange::Config(config));
    });
}

/// Brings a configuration into force.
async fn apply(node: &support::TestNode, config: NodeConfig) {
    let version = config.version;
    publish(node, config);
    node.wait_until("the configuration is in force", |node| {
        node.tables.config().map(|config| config.version) == Some(version)
    })
    .await;
}

/// Runs a test on a node whose callers have the key `s3cret` of workspace `w1`.
fn run<F: Future<Output = ()>>(test: impl FnOnce(support::TestNode) -> F) {
    support::run(|node| async move {
        apply(&node, config(2, &[("s3cret", "w1")])).await;
        test(node).await;
    });
}

fn connect(node: &support::TestNode, database: &str, key: &str) -> TestCaller {
    let (caller, link) = test_caller::connect_with_key(database, key);
    let serve = session_start::serve(Rc::clone(&node.tables), link, Rc::clone(&node.stop));
    tokio::task::spawn_local(serve);
    caller
}

async fn open(node: &support::TestNode, database: &str, key: &str) -> TestCaller {
    let mut caller = connect(node, database, key);
    assert_eq!(caller.reply().await, Some(CallerReply::Welcome));
    caller
}

/// Returns the code with which a caller is refused at the start.
async fn refusal(node: &support::TestNode, database: &str, key: &str) -> Option<ErrorCode> {
    let mut caller = connect(node, database, key);
    let Some(CallerReply::Rejected(error)) = caller.reply().await else {
        return None;
    };
    assert_eq!(caller.reply().await, None);
    Some(error.code)
}

async fn begin_write(caller: &mut TestCaller) {
    caller.ask(support::begin(false), "BEGIN").await;
    support::rows(&caller.ask(support::write(), "WRITE 1 x").await);
}

async fn commit(caller: &mut TestCaller) -> CallerAnswer {
    caller.ask(request::StatementKind::Commit, "COMMIT").await
}

/// Guards against serving a caller whose key no configuration has, and against refusing one on a
/// public route, or one with the wrong error.
#[test]
fn a_caller_needs_a_known_key_unless_the_route_is_public() {
    run(|node| async move {
        for key in ["", "-", "S3CRET", "s3cre", "s3cret "] {
            let refused = refusal(&node, support::LATEST, key).await;
            assert_eq!(refused, Some(ErrorCode::NoKey), "{key:?}");
            open(&node, PUBLIC, key).await;
        }
        for key in ["", "s3cret"] {
            let refused = refusal(&node, "nowhere", key).await;
            assert_eq!(refused, Some(ErrorCode::NoDatabase), "{key:?}");
        }
        let mut caller = open(&node, support::LATEST, "s3cret").await;
        support::rows(&caller.ask(support::write(), "WRITE 1 x").await);
    });
}

/// Guards against sessions that go on after their key has been revoked or given to another
/// workspace, or their route has stopped being public, until their next statement or for ever.
#[test]
fn an_idle_session_is_closed_without_a_message_when_its_key_goes() {
    for (key, database, keys) in [
        ("s3cret", support::LATEST, &[][..]),
        ("s3cret", support::LATEST, &[("s3cret", "w2")][..]),
        ("", PUBLIC, &[("s3cret", "w1")][..]),
    ] {
        run(|node| async move {
            let mut caller = open(&node, database, key).await;
            caller.ask(support::read(), "READ 1").await;
            let mut next = config(3, keys);
            next.routes.get_mut(PUBLIC).expect("a route").public = false;
            apply(&node, next).await;
            assert_eq!(caller.reply().await, None, "{key:?} {keys:?}");
            node.wait_until("no session is left", |node| node.tables.sessions.get() == 0)
                .await;
        });
    }
}

/// Guards against closing sessions whose key is still valid when the configuration changes.
#[test]
fn a_session_with_a_valid_key_goes_on_in_a_new_configuration() {
    run(|node| async move {
        let mut caller = open(&node, support::LATEST, "s3cret").await;
        begin_write(&mut caller).await;
        apply(&node, config(3, &[("s3cret", "w1"), ("other", "w2")])).await;
        support::rows(&commit(&mut caller).await);
    });
}

/// Guards against a commit after the key has been revoked, and against a transaction that keeps
/// its connection until its caller returns.
#[test]
fn a_transaction_of_a_revoked_key_is_rolled_back_and_its_next_statement_refused() {
    for (keys, code) in [
        (&[][..], ErrorCode::NoKey),
        (&[("s3cret", "w2")][..], ErrorCode::Aborted),
    ] {
        run(|node| async move {
            let mut caller = open(&node, support::LATEST, "s3cret").await;
            begin_write(&mut caller).await;
            let pool = node.tables.pool("a").expect("a pool");
            apply(&node, config(3, keys)).await;
            node.wait_until("the connection is returned", |_node| {
                pool.close_idle();
                pool.connections() == 0
            })
            .await;
            let answer = commit(&mut caller).await;
            assert_eq!(support::code(&answer), code);
            assert_eq!(answer.state, TransactionState::Idle);
            assert_eq!(caller.reply().await, None);
            assert!(node.edge.state.borrow().acknowledged.is_empty());
            assert_eq!(node.count_statements("a", "COMMIT"), 0);
        });
    }
}

/// Guards against a statement that arrives together with the configuration that revokes its key
/// and still runs.
#[test]
fn a_statement_that_arrives_with_the_revocation_does_not_run() {
    for (keys, code) in [
        (&[][..], ErrorCode::NoKey),
        (&[("s3cret", "w2")][..], ErrorCode::Busy),
    ] {
        run(|node| async move {
            let mut caller = open(&node, support::LATEST, "s3cret").await;
            node.tables.apply_config(config(3, keys));
            let answer = caller.ask(support::write(), "WRITE 1 x").await;
            assert_eq!(support::code(&answer), code);
            assert_eq!(node.count_statements("a", "WRITE"), 0);
            assert_eq!(caller.reply().await, None);
        });
    }
}

/// Guards against a revoked key that becomes valid again: by an older configuration that arrives
/// late, by a restored store, or by a restart of the VM.
#[test]
fn a_revoked_key_stays_revoked() {
    run(|node| async move {
        let copy = node.edge.state.borrow().copy_store();
        let old = config(2, &[("s3cret", "w1")]);
        apply(&node, config(3, &[])).await;
        assert!(!node.tables.apply_config(old.clone()));
        let refused = |node| refusal(node, support::LATEST, "s3cret");
        assert_eq!(refused(&node).await, Some(ErrorCode::NoKey));
        let restarted = support::start(&node.edge, 2, "dc-a");
        assert_eq!(refused(&restarted).await, Some(ErrorCode::NoKey));
        node.edge.change(|state| {
            state.config = old;
            state.restore_store(copy);
        });
        node.wait_until("the restored store is read", |node| {
            node.tables.revision.get() > 1_000_000_000_000
        })
        .await;
        assert_eq!(refused(&node).await, Some(ErrorCode::NoKey));
    });
}

/// Starts a host and a VM that relays to it, with the key `s3cret` of workspace `w1`.
async fn start_relaying() -> (support::TestNode, support::TestNode) {
    let edge = support::cluster(limits::RESERVED_CONNECTIONS + limits::MIN_HOST_CONNECTIONS);
    let groups = edge.state.borrow().config.groups.clone();
    let mut first = config(2, &[("s3cret", "w1")]);
    first.groups = groups;
    edge.change(|state| {
        state.config = first.clone();
        state.record(ControlChange::Config(first));
    });
    let mut nodes = [1, 2].map(|number| support::start(&edge, number, "dc-a"));
    for node in &nodes {
        node.wait_until("all members are known", |node| {
            node.tables.members().len() == 2 && node.tables.is_ready()
        })
        .await;
    }
    nodes.sort_by_key(|node| !node.tables.is_host(cluster_state::GROUP));
    let [host, other] = nodes;
    assert!(!other.tables.is_host(cluster_state::GROUP));
    (host, other)
}

/// Returns the configuration in force with a change and a higher version.
fn changed(node: &support::TestNode, change: impl FnOnce(&mut NodeConfig)) -> NodeConfig {
    let mut config = NodeConfig::clone(&node.tables.config().expect("a configuration"));
    config.version += 1;
    change(&mut config);
    config
}

/// Guards against a host that runs statements of a workspace that it does not know, and against
/// refusing them for good although the host learns of the workspace in time.
#[test]
fn a_relayed_statement_waits_for_a_host_that_knows_its_workspace() {
    support::block_on(async {
        let (host, other) = start_relaying().await;
        let next = changed(&other, |config| {
            config.workspaces.insert("w3".to_owned(), None);
            let key = ApiKey::new("new");
            config.keys.insert(key, "w3".to_owned());
        });
        other.tables.apply_config(next.clone());
        let mut caller = open(&other, support::LATEST, "new").await;
        let answer = caller.ask(support::write(), "WRITE 1 x").await;
        assert_eq!(support::code(&answer), ErrorCode::Busy);
        assert_eq!(host.count_statements("a", "WRITE"), 0);
        caller.send(support::write(), "WRITE 1 y");
        other.sleep(Duration::from_millis(100)).await;
        host.tables.apply_config(next);
        let Some(CallerReply::Answer(answer)) = caller.reply().await else {
            panic!("expected an answer");
        };
        support::rows(&answer);
        assert_eq!(host.count_statements("a", "WRITE"), 1);
    });
}

/// Guards against a relayed transaction that is committed, or stays open on the host, after its
/// key was revoked or its workspace removed on the host only.
#[test]
fn a_relayed_transaction_ends_with_its_key_or_workspace() {
    for (on_host, code) in [(false, ErrorCode::NoKey), (true, ErrorCode::Aborted)] {
        support::block_on(async {
            let (host, other) = start_relaying().await;
            let mut caller = open(&other, support::LATEST, "s3cret").await;
            begin_write(&mut caller).await;
            let next = changed(&other, |config| {
                config.keys.clear();
                config.workspaces.remove("w1");
            });
            let node = if on_host { &host } else { &other };
            node.tables.apply_config(next);
            host.wait_until("the host's session ends", |host| {
                host.tables.sessions.get() == 0
            })
            .await;
            assert_eq!(support::code(&commit(&mut caller).await), code);
            assert_eq!(host.count_statements("a", "COMMIT"), 0);
            assert!(host.edge.state.borrow().acknowledged.is_empty());
        });
    }
}

/// Collects the lines that the tests of this file log.
struct LineLog(Mutex<String>);

impl log::Log for LineLog {
    fn enabled(&self, _metadata: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut text = self.0.lock().expect("the lines");
        *text += &format!("{}\n", record.args());
    }

    fn flush(&self) {}
}

static LINES: LineLog = LineLog(Mutex::new(String::new()));

/// Guards against keys in log lines and in `Debug` output, and against refusals that say neither
/// the reason nor how old the configuration may be.
#[test]
fn a_key_is_never_shown() {
    log::set_logger(&LINES).expect("the only logger");
    log::set_max_level(log::LevelFilter::Trace);
    run(|node| async move {
        let mut caller = open(&node, support::LATEST, "s3cret").await;
        node.edge.change(|state| state.store_up = false);
        node.sleep(limits::CONFIG_APPLY_LIMIT * 2).await;
        refusal(&node, support::LATEST, "s3cret-2").await;
        // A caller that leaves out the database sends its key in this place.
        let mut without_database = connect(&node, "s3cret", "");
        let refused = without_database.reply().await;
        assert!(!format!("{refused:?}").contains("s3cret"));
        // It must not be open for longer than a transaction may be idle.
        begin_write(&mut caller).await;
        node.tables.apply_config(config(3, &[]));
        // The session ends the transaction before its next statement arrives.
        node.sleep(Duration::from_millis(100)).await;
        commit(&mut caller).await;
        let debug = format!("{:?} {:?}", node.tables, config(2, &[("s3cret", "w1")]));
        assert!(!debug.contains("s3cret"));
    });
    let lines = LINES.0.lock().expect("the lines");
    for part in [
        "event=caller_refused reason=no_key database=latest config=2 old_config_age_ms=",
        "event=caller_refused reason=no_database database_bytes=6",
        "event=transaction_ended reason=no_key workspace=w1 config=3",
        "event=request_refused request=q3 workspace=w1 reason=no_key",
    ] {
        assert!(lines.contains(part), "{part}");
    }
    assert!(!lines.contains("s3cret"));
}
