//! Tests of the stand-in platform itself, so that a failure of another test can be attributed to
//! the product.

use std::net;
use std::time;

use persimmontack::dial;
use persimmontack::platform::{client, kv_entry, platform_error};
use standins::platform::{fault_plan, platform_server, settings};
use testenv::http_call;

/// Timeout of waits for a condition. Only a failing test reaches it.
const WAIT_LIMIT: time::Duration = time::Duration::from_secs(30);

async fn platform() -> (net::SocketAddr, client::PlatformClient) {
    let settings = settings::PlatformSettings {
        listen: net::SocketAddr::from(([127, 0, 0, 1], 0)),
        writes_per_second: 400,
        reads_per_second: 2000,
        vm_lag_ms: 0,
    };
    let (address, _task) = platform_server::start(settings).await.unwrap();
    let dialer = dial::TcpDialer {
        source: None,
        timeout: time::Duration::from_secs(1),
    };
    (
        address,
        client::PlatformClient::new(address, "vm-1", dialer),
    )
}

fn put_body(value: &str, expected: Option<u64>, lease: Option<String>) -> kv_entry::PutBody {
    kv_entry::PutBody {
        value: value.to_owned(),
        expected,
        lease,
    }
}

/// Guards against two writers whose writes of the same revision both succeed.
#[tokio::test]
async fn second_writer_gets_a_conflict_with_the_first_value() {
    let (_address, client) = platform().await;
    let revision = client
        .put("rules/log/1", &put_body("mine", Some(0), None))
        .await
        .unwrap();
    let error = client
        .put("rules/log/1", &put_body("yours", Some(0), None))
        .await
        .unwrap_err();
    let platform_error::PlatformError::Conflict { current, .. } = error else {
        panic!("expected a conflict, got {error}");
    };
    let current = current.unwrap();
    assert_eq!(
        (current.value.as_str(), current.revision),
        ("mine", revision)
    );
    client.delete("rules/log/1", revision).await.unwrap();
    assert_eq!(client.get("rules/log/1").await.unwrap(), None);
}

/// Guards against a lease whose key is kept although the lease is not renewed, and against a watch
/// that does not return after the deletion.
#[tokio::test]
async fn lapsed_lease_deletes_its_key_and_wakes_the_watch() {
    let (_address, client) = platform().await;
    let lease = client
        .grant_lease(time::Duration::from_millis(50))
        .await
        .unwrap();
    let body = put_body("vm-1", Some(0), Some(lease.id.clone()));
    let revision = client.put("lease/shard/1", &body).await.unwrap();
    let listing = client.watch("lease/", revision, WAIT_LIMIT).await.unwrap();
    assert_eq!(listing.entries, vec![]);
    assert!(listing.revision > revision);
    assert!(client.renew_lease(&lease.id).await.is_err());
}

/// Guards against a call whose answer is lost by a fault but which has no effect either. Tests
/// would then miss the case in which callers have to read back the value to learn the outcome.
#[tokio::test]
async fn call_with_a_lost_answer_takes_effect() {
    let (address, client) = platform().await;
    let plan = fault_plan::FaultPlan {
        lost_answers: 1,
        ..Default::default()
    };
    let body = serde_json::to_string(&plan).unwrap();
    let reply = http_call::call(address, "POST", "/admin/faults", &body).await;
    assert_eq!(reply.unwrap().0, 200);
    let error = client
        .put("x", &put_body("1", Some(0), None))
        .await
        .unwrap_err();
    assert!(matches!(
        error,
        platform_error::PlatformError::NoAnswer { .. }
    ));
    assert_eq!(client.get("x").await.unwrap().unwrap().value, "1");
    client
        .put("y", &put_body("1", Some(0), None))
        .await
        .unwrap();
}
