//! Serves the platform's HTTP calls with `axum`.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use axum::extract::{Path, Query, Request, State};
use axum::http::StatusCode;
use axum::middleware::Next;
use axum::response::{IntoResponse, Response};
use axum::{Json, routing};
use persimmontack::event;
use persimmontack::model::{group_spec, vm_record};
use persimmontack::platform::{client, kv_entry};
use serde::Deserialize;

use crate::platform::call_limits;
use crate::platform::fault_plan;
use crate::platform::kv_store;
use crate::platform::settings;

/// Interval between checks for expired leases.
const LEASE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(5);
/// Longest time that a watch waits for a change.
const WATCH_LIMIT: time::Duration = time::Duration::from_secs(60);

type SharedPlatform = sync::Arc<PlatformState>;

#[derive(Debug)]
struct PlatformState {
    tables: sync::Mutex<PlatformTables>,
    changed: tokio::sync::watch::Sender<u64>,
    faults: tokio::sync::watch::Sender<fault_plan::FaultPlan>,
    vm_lag: time::Duration,
}

#[derive(Debug)]
struct PlatformTables {
    store: kv_store::KvStore,
    limits: call_limits::CallLimits,
    vms: Vec<vm_record::VmRecord>,
    groups: Vec<group_spec::GroupSpec>,
}

impl PlatformState {
    fn with<T>(&self, action: impl FnOnce(&mut PlatformTables) -> T) -> T {
        let mut tables = self
            .tables
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        action(&mut tables)
    }

    fn write<T>(&self, action: impl FnOnce(&mut kv_store::KvStore) -> T) -> T {
        let result = self.with(|tables| action(&mut tables.store));
        self.changed.send_modify(|count| *count += 1);
        result
    }
}

/// Starts the platform on the current runtime and returns its address and its task, which runs
/// until it is aborted.
///
/// # Errors
///
/// Fails if the listener cannot be bound.
pub async fn start(
    settings: settings::PlatformSettings,
) -> io::Result<(net::SocketAddr, tokio::task::JoinHandle<()>)> {
    let listener = tokio::net::TcpListener::bind(settings.listen).await?;
    let address = listener.local_addr()?;
    let (changed, _changes) = tokio::sync::watch::channel(0);
    let (faults, _fault_changes) = tokio::sync::watch::channel(fault_plan::FaultPlan::default());
    let state = sync::Arc::new(PlatformState {
        tables: sync::Mutex::new(PlatformTables {
            store: kv_store::KvStore::default(),
            limits: call_limits::CallLimits::new(
                settings.reads_per_second,
                settings.writes_per_second,
                time::Instant::now(),
            ),
            vms: Vec::new(),
            groups: Vec::new(),
        }),
        changed,
        faults,
        vm_lag: time::Duration::from_millis(settings.vm_lag_ms),
    });
    event::info("listening", &[("what", &"listen"), ("address", &address)]);
    event::info("started", &[]);
    let app = router(sync::Arc::clone(&state));
    let task = tokio::spawn(async move {
        tokio::select! {
            () = expire_leases(state) => {}
            served = axum::serve(listener, app) => {
                if let Err(error) = served {
                    event::error("serve_failed", &[("cause", &error)]);
                }
            }
        }
    });
    Ok((address, task))
}

fn router(state: SharedPlatform) -> axum::Router {
    let served = axum::Router::new()
        .route("/kv", routing::get(list_keys))
        .route(
            "/kv/{*key}",
            routing::get(get_key).put(put_key).delete(delete_key),
        )
        .route("/watch", routing::get(watch))
        .route("/lease", routing::post(grant_lease))
        .route("/lease/{id}/renew", routing::post(renew_lease))
        .route("/lease/{id}", routing::delete(revoke_lease))
        .route("/vms", routing::get(list_vms))
        .route("/groups", routing::get(list_groups))
        .layer(axum::middleware::from_fn_with_state(
            sync::Arc::clone(&state),
            admit,
        ));
    axum::Router::new()
        .route("/admin/counts", routing::get(read_counts))
        .route("/admin/vms", routing::post(post_vms))
        .route("/admin/groups", routing::post(post_groups))
        .route("/admin/faults", routing::post(post_faults))
        .merge(served)
        .layer(axum::extract::DefaultBodyLimit::max(
            16 * kv_store::VALUE_LIMIT,
        ))
        .with_state(state)
}

async fn expire_leases(state: SharedPlatform) {
    loop {
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
        let now = time::Instant::now();
        if state.with(|tables| tables.store.expire_leases(now)) {
            state.changed.send_modify(|count| *count += 1);
        }
    }
}

/// Counts the call, enforces the rate limits and injects the faults.
async fn admit(State(state): State<SharedPlatform>, request: Request, next: Next) -> Response {
    let vm = request
        .headers()
        .get(client::VM_HEADER)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("unknown")
        .to_owned();
    let path = request.uri().path();
    let first = path.split('/').nth(1).unwrap_or_default();
    let call = format!("{} /{first}", request.method());
    let kind = if request.method() == "GET" {
        call_limits::CallKind::Read
    } else {
        call_limits::CallKind::Write
    };
    let now = time::Instant::now();
    if !state.with(|tables| tables.limits.admit(&vm, &call, kind, now)) {
        return (StatusCode::TOO_MANY_REQUESTS, "rate limit").into_response();
    }
    let plan = *state.faults.borrow();
    match plan.outage {
        fault_plan::OutageKind::None => {}
        fault_plan::OutageKind::Refuse => {
            return (StatusCode::SERVICE_UNAVAILABLE, "outage").into_response();
        }
        fault_plan::OutageKind::Hang => {
            wait_while_hanging(&state).await;
            return (StatusCode::SERVICE_UNAVAILABLE, "outage").into_response();
        }
    }
    tokio::time::sleep(time::Duration::from_millis(plan.slow_ms)).await;
    let response = next.run(request).await;
    let lost = kind == call_limits::CallKind::Write
        && response.status().is_success()
        && state.faults.send_if_modified(|plan| {
            let lost = plan.lost_answers > 0;
            plan.lost_answers = plan.lost_answers.saturating_sub(1);
            lost
        });
    if lost {
        // The caller gets no answer until its own timeout.
        std::future::pending::<()>().await;
    }
    response
}

async fn wait_while_hanging(state: &PlatformState) {
    let mut faults = state.faults.subscribe();
    // The state owns the sender, so the wait cannot fail.
    let _ended = faults
        .wait_for(|plan| plan.outage != fault_plan::OutageKind::Hang)
        .await;
}

#[derive(Deserialize)]
struct PrefixQuery {
    #[serde(default)]
    prefix: String,
}

#[derive(Deserialize)]
struct WatchQuery {
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    after: u64,
    timeout_ms: u64,
}

#[derive(Deserialize)]
struct DeleteQuery {
    expected: Option<u64>,
}

async fn list_keys(
    State(state): State<SharedPlatform>,
    Query(query): Query<PrefixQuery>,
) -> Response {
    Json(state.with(|tables| tables.store.list(&query.prefix))).into_response()
}

async fn get_key(State(state): State<SharedPlatform>, Path(key): Path<String>) -> Response {
    match state.with(|tables| tables.store.get(&key)) {
        Some(entry) => Json(entry).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn put_key(
    State(state): State<SharedPlatform>,
    Path(key): Path<String>,
    Json(body): Json<kv_entry::PutBody>,
) -> Response {
    written(state.write(|store| store.put(&key, body)))
}

async fn delete_key(
    State(state): State<SharedPlatform>,
    Path(key): Path<String>,
    Query(query): Query<DeleteQuery>,
) -> Response {
    written(state.write(|store| store.delete(&key, query.expected)))
}

fn written(result: Result<u64, kv_store::WriteRefusal>) -> Response {
    match result {
        Ok(revision) => Json(kv_entry::PutReply { revision }).into_response(),
        Err(kv_store::WriteRefusal::Conflict(current)) => {
            (StatusCode::CONFLICT, Json(current)).into_response()
        }
        Err(kv_store::WriteRefusal::LeaseUnknown) => {
            (StatusCode::PRECONDITION_FAILED, "lease is unknown").into_response()
        }
        Err(kv_store::WriteRefusal::ValueTooLong) => {
            (StatusCode::PAYLOAD_TOO_LARGE, "value is too long").into_response()
        }
        Err(kv_store::WriteRefusal::KeyUnknown) => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn watch(State(state): State<SharedPlatform>, Query(query): Query<WatchQuery>) -> Response {
    let wait = time::Duration::from_millis(query.timeout_ms).min(WATCH_LIMIT);
    let mut changes = state.changed.subscribe();
    let changed = async {
        loop {
            changes.mark_unchanged();
            let seen = state.with(|tables| tables.store.changed_after(&query.prefix, query.after));
            if seen || changes.changed().await.is_err() {
                return;
            }
        }
    };
    // The answer is the same whether a key changed or the wait timed out.
    let _elapsed = tokio::time::timeout(wait, changed).await;
    Json(state.with(|tables| tables.store.list(&query.prefix))).into_response()
}

async fn grant_lease(
    State(state): State<SharedPlatform>,
    Json(body): Json<kv_entry::LeaseGrant>,
) -> Response {
    let ttl = time::Duration::from_millis(body.ttl_ms);
    let id = state.with(|tables| tables.store.grant(ttl, time::Instant::now()));
    Json(kv_entry::LeaseGrant {
        id,
        ttl_ms: body.ttl_ms,
    })
    .into_response()
}

async fn renew_lease(State(state): State<SharedPlatform>, Path(id): Path<String>) -> Response {
    found(state.with(|tables| {
        let now = time::Instant::now();
        tables.store.expire_leases(now);
        tables.store.renew(&id, now)
    }))
}

async fn revoke_lease(State(state): State<SharedPlatform>, Path(id): Path<String>) -> Response {
    found(state.write(|store| store.revoke(&id)))
}

fn found(found: bool) -> Response {
    if found {
        Json(serde_json::json!({})).into_response()
    } else {
        StatusCode::NOT_FOUND.into_response()
    }
}

async fn list_vms(State(state): State<SharedPlatform>) -> Response {
    Json(state.with(|tables| tables.vms.clone())).into_response()
}

async fn list_groups(State(state): State<SharedPlatform>) -> Response {
    Json(state.with(|tables| tables.groups.clone())).into_response()
}

async fn read_counts(State(state): State<SharedPlatform>) -> Response {
    Json(state.with(|tables| tables.limits.report().clone())).into_response()
}

/// Replaces the VM list after a delay, which `lag_ms` in the query overrides.
async fn post_vms(
    State(state): State<SharedPlatform>,
    Query(query): Query<collections::HashMap<String, u64>>,
    Json(vms): Json<Vec<vm_record::VmRecord>>,
) -> Response {
    let lag = query
        .get("lag_ms")
        .copied()
        .map_or(state.vm_lag, time::Duration::from_millis);
    if lag.is_zero() {
        state.with(|tables| tables.vms = vms);
    } else {
        tokio::spawn(async move {
            tokio::time::sleep(lag).await;
            state.with(|tables| tables.vms = vms);
        });
    }
    Json(serde_json::json!({})).into_response()
}

async fn post_groups(
    State(state): State<SharedPlatform>,
    Json(groups): Json<Vec<group_spec::GroupSpec>>,
) -> Response {
    state.with(|tables| tables.groups = groups);
    Json(serde_json::json!({})).into_response()
}

async fn post_faults(
    State(state): State<SharedPlatform>,
    Json(plan): Json<fault_plan::FaultPlan>,
) -> Response {
    state.faults.send_replace(plan);
    Json(serde_json::json!({})).into_response()
}
