//! Tests of links between processes over real sockets.

use std::time;

use persimmontack::dial;
use persimmontack::link::{client, hello, observe, server, stream_kind};

const DIALER: dial::TcpDialer = dial::TcpDialer {
    source: None,
    timeout: time::Duration::from_secs(10),
};

async fn start_echo() -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind");
    let address = listener.local_addr().expect("address");
    let server = server::PeerServer::new(listener, hello::Hello::new("vm-1", "echo"));
    tokio::spawn(server.run(|mut stream| async move {
        while let Ok(Some(request)) = stream.reader.next::<observe::ObserveRequest>().await {
            if stream.writer.send(&request).await.is_err() {
                return;
            }
        }
        stream.writer.finish().expect("finish");
    }));
    address
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

/// Guards against reasons whose names, which are metric labels, lack the separators between words.
#[test]
fn reasons_are_displayed_in_snake_case() {
    use persimmontack::model::refusal_reason;
    assert_eq!(
        refusal_reason::RefusalReason::NoFreshUpstream.to_string(),
        "no_fresh_upstream"
    );
}
