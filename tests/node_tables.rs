//! The tables of a node: configurations, the list of upstreams, and outages of the store.

mod node_support;

use std::time::Duration;

use node_support as support;
use persimmontack::link::{client, control, hello, stream_kind};
use persimmontack::node::edge::ControlChange;

/// Guards against a configuration that goes back, for example when an older page of the store is
/// read again.
#[test]
fn a_configuration_never_goes_back() {
    support::run(|scene| async move {
        assert!(scene.board.apply_config(support::node_config(7)));
        assert!(!scene.board.apply_config(support::node_config(6)));
        assert!(!scene.board.apply_config(support::node_config(7)));
        assert_eq!(scene.board.config().map(|config| config.version), Some(7));
    });
}

/// Guards against a configuration that comes into force only with the next restart.
#[test]
fn a_configuration_in_the_store_comes_into_force() {
    support::run(|scene| async move {
        scene
            .edge
            .change(|state| state.record(ControlChange::Config(support::node_config(9))));
        scene
            .until("version 9", |scene| {
                scene
                    .board
                    .config()
                    .is_some_and(|config| config.version == 9)
            })
            .await;
    });
}

/// Guards against upstreams that are dropped because their entries lapsed in an outage of the
/// store, although they live and come back.
#[test]
fn an_entry_that_vanishes_for_a_moment_is_kept() {
    support::run(|scene| async move {
        scene
            .edge
            .change(|state| state.record(ControlChange::UpstreamGone("b".to_owned())));
        scene.pass(Duration::from_millis(1_500)).await;
        assert!(scene.board.pool("b").is_some());
        scene
            .edge
            .change(|state| state.change_entry("b", |_entry| {}));
        scene.pass(Duration::from_secs(5)).await;
        assert!(scene.board.pool("b").is_some());
    });
}

/// Guards against an upstream that is gone for good and is waited for by every failover.
#[test]
fn an_entry_that_stays_away_is_dropped() {
    support::run(|scene| async move {
        scene
            .edge
            .change(|state| state.record(ControlChange::UpstreamGone("b".to_owned())));
        scene
            .until("b is dropped", |scene| scene.board.pool("b").is_none())
            .await;
    });
}

/// Guards against work that is still sent to an upstream which has left.
#[test]
fn an_upstream_that_left_is_dropped_at_once() {
    support::run(|scene| async move {
        scene
            .edge
            .change(|state| state.change_entry("b", |entry| entry.leaving = true));
        scene
            .until("b leaves", |scene| {
                scene
                    .board
                    .pool("b")
                    .is_some_and(|pool| pool.entry().leaving)
            })
            .await;
        let mut caller = scene.caller(support::AGED).await;
        support::rows(&caller.ask(support::read(), "READ item").await);
        assert_eq!(scene.ran("b", "READ"), 0);
        scene
            .edge
            .change(|state| state.record(ControlChange::UpstreamGone("b".to_owned())));
        // Far less than an entry that vanished for another reason is kept.
        scene.pass(Duration::from_millis(100)).await;
        assert!(scene.board.pool("b").is_none());
    });
}

/// Guards against a second life of an upstream under its old id, with what was known of the first.
#[test]
fn an_upstream_that_started_anew_gets_new_connections() {
    support::run(|scene| async move {
        let old = scene.board.pool("b").expect("a pool");
        scene
            .edge
            .change(|state| state.change_entry("b", |entry| entry.incarnation = 2));
        scene
            .until("the old pool is retired", |_scene| old.is_removed())
            .await;
        let new = scene.board.pool("b").expect("a pool");
        assert!(!new.is_removed());
    });
}

/// Guards against a node that stops serving when the store does.
#[test]
fn reads_and_writes_go_on_without_the_store() {
    support::run(|scene| async move {
        let mut caller = scene.caller(support::SESSION).await;
        scene.edge.change(|state| state.store_up = false);
        scene
            .until("the outage is seen", |scene| !scene.board.store_up.get())
            .await;
        scene.pass(Duration::from_secs(20)).await;
        support::rows(&caller.ask(support::write(), "WRITE item one").await);
        support::rows(&caller.ask(support::read(), "READ item").await);
        assert_eq!(scene.board.pools().len(), 3);
    });
}

/// Guards against an operator who cannot ask a VM what it believes.
#[test]
fn the_state_of_a_node_can_be_read_over_a_link() {
    support::run(|scene| async move {
        let socket = scene.edge.network.connect(scene.board.own.address);
        let hello = hello::Hello::new("", "persimmonctl");
        let link = client::PeerClient::handshake(socket.expect("a socket"), "vm-1", &hello);
        let link = link.await.expect("a link");
        let stream = link.open(stream_kind::StreamKind::Control).await;
        let (mut writer, mut reader) = stream.expect("a stream");
        let request = control::ControlRequest::Status;
        writer.send_last(&request).await.expect("sent");
        let Ok(control::ControlReply::Status(report)) = reader.expect().await else {
            panic!("expected a status");
        };
        assert_eq!(report.vm, "vm-1");
        assert!(report.platform_reachable);
        assert_eq!(report.rules_revision, 1);
        let [group] = &report.groups[..] else {
            panic!("expected one group: {report:?}");
        };
        assert_eq!(group.primary.as_deref(), Some("a"));
        assert!(group.upstreams.iter().all(|upstream| upstream.reachable));
        assert_eq!(report.vms.len(), 1);
        assert_eq!(report.programs.len(), 1);
    });
}
