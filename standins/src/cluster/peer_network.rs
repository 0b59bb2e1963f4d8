//! [`PeerNetwork`]: how VMs of a test reach each other, without sockets.

use std::cell;
use std::collections;
use std::io;
use std::net;

use persimmontack::link::{hello, server};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::sync::mpsc;

use crate::cluster::cut_table;

/// Bytes that a connection holds in each direction.
const BUFFER_BYTES: usize = 64 * 1024;

#[derive(Debug)]
struct ListenState {
    hello: hello::Hello,
    streams: mpsc::UnboundedSender<server::PeerStream>,
    connections: Vec<tokio::task::JoinHandle<()>>,
    reachable: bool,
}

/// How VMs of a test reach each other, without sockets.
#[derive(Debug, Default)]
pub struct PeerNetwork {
    /// What the VMs cannot reach.
    pub cuts: cut_table::CutTable,
    listening: cell::RefCell<collections::BTreeMap<net::SocketAddr, ListenState>>,
}

impl PeerNetwork {
    /// Has `vm` accept links at `address`, and returns the streams that are opened on them.
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
        };
        self.listening.borrow_mut().insert(address, state);
        receiver
    }

    /// Breaks all links to `address`, and refuses new ones.
    pub fn cut(&self, address: net::SocketAddr) {
        if let Some(state) = self.listening.borrow_mut().get_mut(&address) {
            state.reachable = false;
            for connection in state.connections.drain(..) {
                connection.abort();
            }
        }
    }

    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Fails if nobody listens there, or if it was cut off.
    pub fn connect(&self, address: net::SocketAddr) -> io::Result<tokio::io::DuplexStream> {
        let mut listening = self.listening.borrow_mut();
        let state = listening
            .get_mut(&address)
            .filter(|state| state.reachable)
            .ok_or_else(|| io::Error::from(io::ErrorKind::ConnectionRefused))?;
        let (near, far) = tokio::io::duplex(BUFFER_BYTES);
        let hello = state.hello.clone();
        let streams = state.streams.clone();
        state.connections.push(tokio::spawn(async move {
            let handler = move |stream| {
                // Fails only once the test has dropped the VM.
                drop(streams.send(stream));
                std::future::ready(())
            };
            let served = server::serve_connection(far, "test", &hello, handler);
            // The connection of a VM that a test has dropped ends with an error.
            drop(served.await);
        }));
        Ok(near)
    }

    /// Connects a VM to `address`. A cut between the two VMs holds back what they send.
    ///
    /// # Errors
    ///
    /// Fails if nobody listens there, or if it was cut off.
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
        let back = forward(far_reader, near_writer, gate.clone());
        let forth = forward(near_reader, far_writer, gate);
        tokio::spawn(async move {
            tokio::select! {
                () = back => {}
                () = forth => {}
            }
        });
        Ok(near)
    }
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
