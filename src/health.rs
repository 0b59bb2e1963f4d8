//! HTTP endpoint of a daemon for metrics, readiness and liveness.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;

use axum::extract;
use axum::routing;
use metrics_exporter_prometheus as prometheus;

/// Readiness of a daemon: whether the load balancer should send callers to it. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct ReadyFlag {
    ready: sync::Arc<atomic::AtomicBool>,
}

impl ReadyFlag {
    /// Sets the flag.
    pub fn set(&self, ready: bool) {
        self.ready.store(ready, atomic::Ordering::Release);
    }

    /// Reads the flag.
    #[must_use]
    pub fn get(&self) -> bool {
        self.ready.load(atomic::Ordering::Acquire)
    }
}

#[derive(Clone)]
struct HealthState {
    metrics: prometheus::PrometheusHandle,
    flag: ReadyFlag,
}

/// Installs the metrics recorder and serves `/metrics`, `/ready` and `/live` on `address` in a
/// separate task. Returns the bound address.
///
/// # Errors
///
/// Fails if the recorder is already installed or the address cannot be bound.
pub async fn start(address: net::SocketAddr, flag: ReadyFlag) -> io::Result<net::SocketAddr> {
    let metrics = prometheus::PrometheusBuilder::new()
        .install_recorder()
        .map_err(io::Error::other)?;
    let listener = tokio::net::TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    let router = axum::Router::new()
        .route("/metrics", routing::get(render_metrics))
        .route("/ready", routing::get(check_ready))
        .route("/live", routing::get(|| async { "live\n" }))
        .with_state(HealthState { metrics, flag });
    tokio::spawn(async move { axum::serve(listener, router).await });
    Ok(bound)
}

async fn render_metrics(extract::State(state): extract::State<HealthState>) -> String {
    state.metrics.render()
}

async fn check_ready(
    extract::State(state): extract::State<HealthState>,
) -> (http::StatusCode, &'static str) {
    if state.flag.get() {
        (http::StatusCode::OK, "ready\n")
    } else {
        (http::StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}
