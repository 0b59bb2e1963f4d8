//! [`PeerNetwork`]: an in-memory network between the VMs of a test.

use std::cell;
use std::collections;
use std::io;
use std::net;
use std::sync;

use persimmontack::link::{hello, server, stream_kind};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::sync::mpsc;

use crate::cluster::cut_table;

/// Buffer size of a connection in each direction.
const BUFFER_BYTES: usize = 64 * 1024;

#[derive(Debug)]
struct ListenState {
    hello: hello::Hello,
    streams: mpsc::UnboundedSender<server::PeerStream>,
    connections: Vec<tokio::task::JoinHandle<()>>,
    reachable: bool,
    held: HeldStreams,
}

/// Streams that a VM does not serve although its links are open, or `None` if it serves all.
type HeldStreams = sync::Arc<sync::Mutex<Option<Vec<server::PeerStream>>>>;

/// Kinds of streams that no VM serves.
type RefusedKinds = sync::Arc<sync::Mutex<Vec<stream_kind::StreamKind>>>;

/// An in-memory network between the VMs of a test.
#[derive(Debug, Default)]
pub struct PeerNetwork {
    /// Cuts in force.
    pub cuts: cut_table::CutTable,
    refused: RefusedKinds,
    listening: cell::RefCell<collections::BTreeMap<net::SocketAddr, ListenState>>,
}

impl PeerNetwork {
    /// Accepts links to `vm` at `address` and returns the streams that peers open on them.
    #[must_use]
    pub fn listen(
        &self,
        address: net::SocketAddr,
        vm: &str,
    ) -> mpsc::UnboundedReceiver<server::PeerStream> {
        let (streams, receiver) = mpsc::unbounded_channel();
        let state = ListenState {
            hello: hello::Hello::new(vm, "test"),
            streams,
            connections: Vec::new(),
            reachable: true,
            held: HeldStreams::default(),
        };
        self.listening.borrow_mut().insert(address, state);
        receiver
    }

    /// Breaks all links to `address` and refuses new ones.
    pub fn cut(&self, address: net::SocketAddr) {
        if let Some(state) = self.listening.borrow_mut().get_mut(&address) {
            state.reachable = false;
            for connection in state.connections.drain(..) {
                connection.abort();
            }
        }
    }

    /// Has all VMs refuse streams of a kind from now on.
    pub fn refuse(&self, kind: stream_kind::StreamKind) {
        lock(&self.refused).push(kind);
    }

    /// Breaks all links to `address`. New ones are accepted and answer pings, but their streams are not served,
    /// as at a process that hardly runs.
    pub fn hang(&self, address: net::SocketAddr) {
        if let Some(state) = self.listening.borrow_mut().get_mut(&address) {
            *lock(&state.held) = Some(Vec::new());
            for connection in state.connections.drain(..) {
                connection.abort();
            }
        }
    }

    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Fails if no VM listens there or the address was cut off.
    pub fn connect(&self, address: net::SocketAddr) -> io::Result<tokio::io::DuplexStream> {
        let mut listening = self.listening.borrow_mut();
        let state = listening
            .get_mut(&address)
            .filter(|state| state.reachable)
            .ok_or_else(|| io::Error::from(io::ErrorKind::ConnectionRefused))?;
        let (near, far) = tokio::io::duplex(BUFFER_BYTES);
        let hello = state.hello.clone();
        let streams = state.streams.clone();
        let held = sync::Arc::clone(&state.held);
        let refused = sync::Arc::clone(&self.refused);
        state.connections.push(tokio::spawn(async move {
            let handler = move |stream: server::PeerStream| {
                match &mut *lock(&held) {
                    // Its sender sees that the stream has ended.
                    _ if lock(&refused).contains(&stream.kind) => drop(stream),
                    Some(held) => held.push(stream),
                    // Fails only after the test has dropped the VM.
                    None => drop(streams.send(stream)),
                }
                std::future::ready(())
            };
            let served = server::serve_connection(far, "test", &hello, handler);
            // The error of a connection whose VM the test has dropped is expected.
            drop(served.await);
        }));
        Ok(near)
    }

    /// Connects a VM to `address`. While the two VMs are cut off, their traffic is held back.
    ///
    /// # Errors
    ///
    /// Fails if no VM listens there or the address was cut off.
    pub async fn connect_from(
        &self,
        vm: &str,
        address: net::SocketAddr,
    ) -> io::Result<tokio::io::DuplexStream> {
        let peer = self
            .listening
            .borrow()
            .get(&address)
            .map(|state| state.hello.vm.clone())
            .unwrap_or_default();
        let mut gate = self.cuts.gate(vm, cut_table::CutTarget::Vm(peer));
        gate.pass().await;
        let far = self.connect(address)?;
        let (near, inner) = tokio::io::duplex(BUFFER_BYTES);
        let (near_reader, near_writer) = tokio::io::split(inner);
        let (far_reader, far_writer) = tokio::io::split(far);
        let inbound = forward(far_reader, near_writer, gate.clone());
        let outbound = forward(near_reader, far_writer, gate);
        tokio::spawn(async move {
            tokio::select! {
                () = inbound => {}
                () = outbound => {}
            }
        });
        Ok(near)
    }
}

fn lock<T>(shared: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Forwards bytes in one direction until the connection ends.
async fn forward(
    mut from: tokio::io::ReadHalf<tokio::io::DuplexStream>,
    mut to: tokio::io::WriteHalf<tokio::io::DuplexStream>,
    mut gate: cut_table::CutGate,
) {
    let mut bytes = vec![0; BUFFER_BYTES];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        gate.pass().await;
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
