//! [`PlatformClient`]: calls the platform's HTTP/JSON service.

use std::net;
use std::sync;
use std::time;

use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy;
use hyper_util::rt;
use serde::{Serialize, de};

use crate::dial;
use crate::model::{group_spec, vm_record};
use crate::platform::kv_entry;
use crate::platform::platform_error;

/// Header with the name of the calling VM, by which the platform counts calls.
pub const VM_HEADER: &str = "x-vm";

type HttpClient = legacy::Client<legacy::connect::HttpConnector, Full<bytes::Bytes>>;

/// Calls the platform. Every call ends within its timeout. Cheap to clone.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    address: net::SocketAddr,
    vm: String,
    dialer: dial::TcpDialer,
    timeout: time::Duration,
    http: sync::Arc<arc_swap::ArcSwap<HttpClient>>,
}

struct RawReply {
    status: u16,
    body: bytes::Bytes,
}

impl PlatformClient {
    /// Creates a client for the platform at `address`; `vm` names the caller, and the dialer's
    /// timeout bounds each call.
    #[must_use]
    pub fn new(address: net::SocketAddr, vm: &str, dialer: dial::TcpDialer) -> Self {
        let http = sync::Arc::new(arc_swap::ArcSwap::from_pointee(http_client(dialer)));
        let timeout = dialer.timeout;
        Self {
            address,
            vm: vm.to_owned(),
            dialer,
            timeout,
            http,
        }
    }

    /// Lists the keys below `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer or refuses.
    pub async fn list(
        &self,
        prefix: &str,
    ) -> Result<kv_entry::KvListing, platform_error::PlatformError> {
        let path = format!("/kv?prefix={prefix}");
        self.call_json("GET", &path, bytes::Bytes::new(), self.timeout)
            .await
    }

    /// Reads one key; `None` if it is absent.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer or refuses.
    pub async fn get(
        &self,
        key: &str,
    ) -> Result<Option<kv_entry::KvEntry>, platform_error::PlatformError> {
        let path = format!("/kv/{key}");
        match self
            .call_json("GET", &path, bytes::Bytes::new(), self.timeout)
            .await
        {
            Ok(entry) => Ok(Some(entry)),
            Err(platform_error::PlatformError::Refused { status: 404, .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Writes one key and returns its new revision.
    ///
    /// # Errors
    ///
    /// Fails with [`platform_error::PlatformError::Conflict`] if the key has another revision than
    /// expected. After [`platform_error::PlatformError::NoAnswer`] the write may have taken effect.
    pub async fn put(
        &self,
        key: &str,
        body: &kv_entry::PutBody,
    ) -> Result<u64, platform_error::PlatformError> {
        let path = format!("/kv/{key}");
        let reply: kv_entry::PutReply = self
            .call_json("PUT", &path, encode_json(body), self.timeout)
            .await?;
        Ok(reply.revision)
    }

    /// Deletes one key, if it has the expected revision.
    ///
    /// # Errors
    ///
    /// Like [`Self::put`].
    pub async fn delete(
        &self,
        key: &str,
        expected: u64,
    ) -> Result<(), platform_error::PlatformError> {
        let path = format!("/kv/{key}?expected={expected}");
        self.call("DELETE", &path, bytes::Bytes::new(), self.timeout)
            .await
            .map(drop)
    }

    /// Waits up to `wait` for a change below `prefix` after store revision `after`, then lists it.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer or refuses.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: time::Duration,
    ) -> Result<kv_entry::KvListing, platform_error::PlatformError> {
        let path = format!(
            "/watch?prefix={prefix}&after={after}&timeout_ms={}",
            wait.as_millis()
        );
        self.call_json("GET", &path, bytes::Bytes::new(), wait + self.timeout)
            .await
    }

    /// Requests a new lease.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer or refuses.
    pub async fn grant_lease(
        &self,
        ttl: time::Duration,
    ) -> Result<kv_entry::LeaseGrant, platform_error::PlatformError> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let body = encode_json(&kv_entry::LeaseGrant {
            id: String::new(),
            ttl_ms,
        });
        self.call_json("POST", "/lease", body, self.timeout).await
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Fails with status 404 if the lease has lapsed.
    pub async fn renew_lease(&self, id: &str) -> Result<(), platform_error::PlatformError> {
        let path = format!("/lease/{id}/renew");
        self.call("POST", &path, bytes::Bytes::new(), self.timeout)
            .await
            .map(drop)
    }

    /// Revokes a lease, which deletes the keys written with it.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer or refuses.
    pub async fn revoke_lease(&self, id: &str) -> Result<(), platform_error::PlatformError> {
        self.call(
            "DELETE",
            &format!("/lease/{id}"),
            bytes::Bytes::new(),
            self.timeout,
        )
        .await
        .map(drop)
    }

    /// Reads the list of VMs, which may be out of date.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer or refuses.
    pub async fn vms(&self) -> Result<Vec<vm_record::VmRecord>, platform_error::PlatformError> {
        self.call_json("GET", "/vms", bytes::Bytes::new(), self.timeout)
            .await
    }

    /// Reads the list of groups.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer or refuses.
    pub async fn groups(
        &self,
    ) -> Result<Vec<group_spec::GroupSpec>, platform_error::PlatformError> {
        self.call_json("GET", "/groups", bytes::Bytes::new(), self.timeout)
            .await
    }

    async fn call_json<T: de::DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: bytes::Bytes,
        timeout: time::Duration,
    ) -> Result<T, platform_error::PlatformError> {
        let reply = self.call(method, path, body, timeout).await?;
        serde_json::from_slice(&reply.body).map_err(|error| {
            platform_error::PlatformError::Refused {
                step: format!("{method} {path}"),
                peer: self.address.to_string(),
                status: reply.status,
                cause: format!("answer cannot be decoded: {error}"),
            }
        })
    }

    async fn call(
        &self,
        method: &str,
        path: &str,
        body: bytes::Bytes,
        timeout: time::Duration,
    ) -> Result<RawReply, platform_error::PlatformError> {
        let step = format!("{method} {path}");
        let peer = self.address.to_string();
        let no_answer = |cause: String| platform_error::PlatformError::NoAnswer {
            step: step.clone(),
            peer: peer.clone(),
            cause,
        };
        let reply = tokio::time::timeout(timeout, self.exchange(method, path, body))
            .await
            .map_err(|elapsed| {
                // Idle connections may have gone silent like this one. With a new HTTP client, the
                // next call opens a connection instead of timing out on each of them in turn.
                self.http.store(sync::Arc::new(http_client(self.dialer)));
                no_answer(elapsed.to_string())
            })?
            .map_err(no_answer)?;
        match reply.status {
            200..=299 => Ok(reply),
            409 => Err(platform_error::PlatformError::Conflict {
                step,
                peer,
                current: serde_json::from_slice(&reply.body).ok(),
            }),
            status => Err(platform_error::PlatformError::Refused {
                step,
                peer,
                status,
                cause: String::from_utf8_lossy(&reply.body).into_owned(),
            }),
        }
    }

    async fn exchange(
        &self,
        method: &str,
        path: &str,
        body: bytes::Bytes,
    ) -> Result<RawReply, String> {
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(VM_HEADER, &self.vm)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| error.to_string())?;
        let response = self
            .http
            .load_full()
            .request(request)
            .await
            .map_err(|error| error.to_string())?;
        let status = response.status().as_u16();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|error| error.to_string())?;
        Ok(RawReply {
            status,
            body: body.to_bytes(),
        })
    }
}

fn http_client(dialer: dial::TcpDialer) -> HttpClient {
    let mut connector = legacy::connect::HttpConnector::new();
    connector.set_local_address(dialer.source);
    connector.set_connect_timeout(Some(dialer.timeout));
    connector.set_nodelay(true);
    legacy::Client::builder(rt::TokioExecutor::new()).build(connector)
}

fn encode_json<T: Serialize>(value: &T) -> bytes::Bytes {
    // Encoding cannot fail, because the bodies are plain structs of strings and numbers.
    serde_json::to_vec(value)
        .map(bytes::Bytes::from)
        .unwrap_or_default()
}
