//! Tests of links between processes over real sockets.

use std::net;
use std::time;

use persimmontack::dial;
use persimmontack::link::{client, hello, observe, server, stream_kind};
use standins::cluster::{cut_table, peer_network};

const DIALER: dial::TcpDialer = dial::TcpDialer {
    source: None,
    timeout: time::Duration::from_secs(10),
};

async fn start_echo() -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind");
    let address = listener.local_addr().expect("address");
    let server = server::PeerServer::new(listener, hello::Hello::new("vm-1", "echo"));
    tokio::spawn(server.run(echo));
    address
}

async fn echo(mut stream: server::PeerStream) {
    while let Ok(Some(request)) = stream.reader.next::<observe::ObserveRequest>().await {
        if stream.writer.send(&request).await.is_err() {
            return;
        }
    }
    stream.writer.finish().expect("finish");
}

/// Guards against frames that are lost or truncated at flow-control boundaries.
#[tokio::test]
async fn frames_larger_than_the_window_arrive_complete() {
    let address = start_echo().await;
    let hello = hello::Hello::new("vm-2", "test");
    let client = client::PeerClient::connect(&DIALER, address, &hello)
        .await
        .expect("connect");
    assert_eq!(client.peer_hello().program, "echo");
    let (mut writer, mut reader) = client
        .open(stream_kind::StreamKind::Observe)
        .await
        .expect("open");
    let request = observe::ObserveRequest {
        upstreams: (0..50_000)
            .map(|number| format!("upstream-{number}"))
            .collect(),
    };
    let send = async {
        writer.send(&request).await.expect("send");
        writer.send_last(&request).await.expect("send last");
    };
    let receive = async {
        for _ in 0..2 {
            let echoed: observe::ObserveRequest = reader.expect().await.expect("receive");
            assert_eq!(echoed, request);
        }
        assert!(
            reader
                .next::<observe::ObserveRequest>()
                .await
                .expect("end")
                .is_none()
        );
    };
    futures::join!(send, receive);
}

/// Guards against two releases that exchange messages which they decode differently.
#[tokio::test]
async fn another_protocol_version_is_refused_with_both_versions_named() {
    let address = start_echo().await;
    let hello = hello::Hello {
        protocol_version: hello::PROTOCOL_VERSION + 1,
        ..hello::Hello::new("vm-2", "test")
    };
    let error = client::PeerClient::connect(&DIALER, address, &hello)
        .await
        .expect_err("another version must be refused")
        .to_string();
    assert!(error.contains("step=hello"), "{error}");
    assert!(
        error.contains(&format!("version {}", hello::PROTOCOL_VERSION)),
        "{error}"
    );
    assert!(
        error.contains(&format!("version {}", hello::PROTOCOL_VERSION + 1)),
        "{error}"
    );
}

/// Returns a network in which `vm-1` echoes frames, and a link from `vm-2` to it.
async fn connect_in_memory() -> (peer_network::PeerNetwork, client::PeerClient) {
    let address = net::SocketAddr::from(([10, 0, 0, 1], 1));
    let network = peer_network::PeerNetwork::default();
    let mut streams = network.listen(address, "vm-1");
    tokio::spawn(async move {
        while let Some(stream) = streams.recv().await {
            tokio::spawn(echo(stream));
        }
    });
    let socket = network
        .connect_from("vm-2", address)
        .await
        .expect("connect");
    let hello = hello::Hello::new("vm-2", "test");
    let client = client::PeerClient::handshake(socket, "vm-1", &hello)
        .await
        .expect("handshake");
    (network, client)
}

/// Guards against a process that closes its links after a pause of its own, although the peer has
/// answered the ping meanwhile. Open transactions on the link would be lost.
#[tokio::test(start_paused = true)]
async fn a_pause_of_the_own_process_closes_no_link() {
    let (network, client) = connect_in_memory().await;
    let peer = cut_table::CutTarget::Vm("vm-1".to_owned());
    network.cuts.cut("vm-2", &peer);
    // The next ping has been sent; its answer has not arrived.
    tokio::time::sleep(time::Duration::from_millis(600)).await;
    // A pause longer than the timeout: time passes, and nothing runs meanwhile.
    tokio::time::advance(time::Duration::from_millis(1_300)).await;
    network.cuts.heal("vm-2", &peer);
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    assert!(client.is_open());
    let (mut writer, mut reader) = client
        .open(stream_kind::StreamKind::Observe)
        .await
        .expect("open");
    let request = observe::ObserveRequest {
        upstreams: vec!["upstream-1".to_owned()],
    };
    writer.send_last(&request).await.expect("send");
    let echoed: observe::ObserveRequest = reader.expect().await.expect("receive");
    assert_eq!(echoed, request);
}

/// Guards against a link whose packets are dropped and that looks open for longer than the failover
/// bound of 2 s.
#[tokio::test(start_paused = true)]
async fn a_link_without_answers_is_closed_within_the_failover_bound() {
    let (network, client) = connect_in_memory().await;
    let peer = cut_table::CutTarget::Vm("vm-1".to_owned());
    network.cuts.cut("vm-2", &peer);
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    assert!(!client.is_open());
}

/// Guards against reasons whose names, which are metric labels, lack the separators between words.
#[test]
fn reasons_are_displayed_in_snake_case() {
    use persimmontack::model::refusal_reason;
    assert_eq!(
        refusal_reason::RefusalReason::NoFreshUpstream.to_string(),
        "no_fresh_upstream"
    );
}
