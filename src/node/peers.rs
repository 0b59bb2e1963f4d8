//! [`PeerTable`]: the links from this VM to other VMs.

use std::cell;
use std::collections;
use std::net;
use std::rc;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync;
use tokio::time::Instant;

use crate::link::{client, frame_reader, frame_writer, hello, stream_kind};
use crate::model::ids;
use crate::node::{edge, limits, node_log, node_tables};

/// Name of this program in the hello message of a link.
pub const PROGRAM: &str = "persimmon-node";

#[derive(Debug, Default)]
struct PeerState {
    client: sync::Mutex<Option<(net::SocketAddr, client::PeerClient)>>,
    /// If the last attempt failed: when the VM may be tried again.
    not_before: cell::Cell<Option<Instant>>,
}

/// The links from this VM to other VMs, opened on first use.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: cell::RefCell<collections::BTreeMap<ids::VmId, rc::Rc<PeerState>>>,
}

impl PeerTable {
    /// Returns an open link to a VM, and connects if needed.
    ///
    /// # Errors
    ///
    /// Fails if the VM is not a member or cannot be reached.
    pub async fn connect<E: edge::NodeEdge>(
        &self,
        tables: &node_tables::NodeTables<E>,
        vm: &str,
    ) -> Result<client::PeerClient, String> {
        let Some(address) = tables.member_address(vm) else {
            return Err(format!("{vm} is not a member"));
        };
        let state = rc::Rc::clone(self.peers.borrow_mut().entry(vm.to_owned()).or_default());
        let mut known = match (state.client.try_lock(), state.not_before.get()) {
            (Ok(known), _) => known,
            // One task checks whether the VM is reachable again; the others do not wait for it.
            (Err(_held), Some(_failed)) => return Err(format!("{vm} is being tried again")),
            (Err(_held), None) => state.client.lock().await,
        };
        if let Some((known, client)) = &*known
            && *known == address
            && client.is_open()
        {
            return Ok(client.clone());
        }
        if state
            .not_before
            .get()
            .is_some_and(|moment| Instant::now() < moment)
        {
            return Err(format!("{vm} could not be reached a moment ago"));
        }
        let hello = hello::Hello::new(&tables.vm, PROGRAM);
        let connect = async {
            let socket = tables
                .edge
                .connect_peer(address)
                .await
                .map_err(|error| error.to_string())?;
            client::PeerClient::handshake(socket, &address.to_string(), &hello)
                .await
                .map_err(|error| error.to_string())
        };
        let result = tokio::time::timeout(limits::PEER_TIMEOUT, connect)
            .await
            .unwrap_or_else(|elapsed| Err(elapsed.to_string()));
        match result {
            Ok(client) => {
                node_log::info("peer_connected", &[("vm", &vm), ("address", &address)]);
                *known = Some((address, client.clone()));
                state.not_before.set(None);
                Ok(client)
            }
            Err(error) => {
                node_log::warn(
                    "peer_connect_failed",
                    &[("vm", &vm), ("address", &address), ("reason", &error)],
                );
                *known = None;
                let moment = Instant::now() + limits::PEER_PAUSE;
                state.not_before.set(Some(moment));
                Err(error)
            }
        }
    }

    /// Opens a stream of a kind that carries no question, and returns the reply of a VM.
    ///
    /// # Errors
    ///
    /// Fails if the VM cannot be reached or does not reply.
    pub async fn ask<E: edge::NodeEdge, R: DeserializeOwned>(
        &self,
        tables: &node_tables::NodeTables<E>,
        vm: &str,
        kind: stream_kind::StreamKind,
    ) -> Result<R, String> {
        let (mut writer, mut reader) = self.open(tables, vm, kind).await?;
        writer.finish().map_err(|error| error.to_string())?;
        reader.expect().await.map_err(|error| error.to_string())
    }

    /// Sends one message to a VM, and returns its reply.
    ///
    /// # Errors
    ///
    /// Fails if the VM cannot be reached or does not reply.
    pub async fn exchange<E: edge::NodeEdge, R: DeserializeOwned>(
        &self,
        tables: &node_tables::NodeTables<E>,
        vm: &str,
        kind: stream_kind::StreamKind,
        message: &impl Serialize,
    ) -> Result<R, String> {
        let (mut writer, mut reader) = self.open(tables, vm, kind).await?;
        let sent = writer.send_last(message).await;
        sent.map_err(|error| error.to_string())?;
        reader.expect().await.map_err(|error| error.to_string())
    }

    async fn open<E: edge::NodeEdge>(
        &self,
        tables: &node_tables::NodeTables<E>,
        vm: &str,
        kind: stream_kind::StreamKind,
    ) -> Result<(frame_writer::FrameWriter, frame_reader::FrameReader), String> {
        let client = self.connect(tables, vm).await?;
        let stream = client.open(kind).await;
        stream.map_err(|error| error.to_string())
    }

    /// Returns whether the last attempt to reach a VM failed and no other one may be made yet, or one
    /// is being made.
    #[must_use]
    pub fn is_unreachable(&self, vm: &str) -> bool {
        let peers = self.peers.borrow();
        let Some(state) = peers.get(vm) else {
            return false;
        };
        state
            .not_before
            .get()
            .is_some_and(|moment| Instant::now() < moment || state.client.try_lock().is_err())
    }

    /// Drops a link that did not answer in time. A new connection is attempted only after a pause.
    pub async fn mark_unreachable(&self, vm: &str) {
        let state = self.peers.borrow().get(vm).cloned();
        let Some(state) = state else {
            return;
        };
        let moment = Instant::now() + limits::PEER_PAUSE;
        state.not_before.set(Some(moment));
        *state.client.lock().await = None;
    }
}
