//! [`FaultLink`]: a TCP forwarder inside the test process that injects network faults.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Size of the read buffer.
const CHUNK_BYTES: usize = 64 * 1024;
/// Limit on buffered chunks in each direction while a delay is in force. A full buffer stops the
/// link from reading.
const CHUNKS_IN_FLIGHT: usize = 64;

/// Time after which the target's side of a silenced connection is closed, as TCP keepalive does on
/// an upstream that is configured as `docs/operators.md` says. Otherwise the dead connections would
/// use up the upstream's connection limit for the rest of a run.
const TARGET_KEEPALIVE: time::Duration = time::Duration::from_secs(10);

/// Directions in which bytes pass. Connections stay open in all cases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FlowRule {
    /// Bytes pass in both directions.
    #[default]
    Pass,
    /// Bytes to the target are held back.
    StopToTarget,
    /// Bytes from the target are held back.
    StopFromTarget,
    /// All bytes are held back. New connections are accepted and stay silent.
    Freeze,
}

/// Faults on the connections of one source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkRule {
    /// Closes open connections and refuses new ones.
    pub cut: bool,
    /// Directions in which bytes pass.
    pub flow: FlowRule,
    /// Delay added in each direction.
    pub delay: time::Duration,
}

#[derive(Clone, Debug, Default)]
struct RuleTable {
    all: LinkRule,
    by_source: collections::HashMap<net::IpAddr, LinkRule>,
    // Connections of the source, or of all sources for `None`, with a number up to this one stay
    // silent until they end.
    silent: Vec<(Option<net::IpAddr>, u64)>,
    last_connection: u64,
}

impl RuleTable {
    fn rule(&self, source: net::IpAddr) -> LinkRule {
        self.by_source.get(&source).copied().unwrap_or(self.all)
    }

    fn is_silent(&self, source: net::IpAddr, connection: u64) -> bool {
        self.silent
            .iter()
            .any(|(from, last)| connection <= *last && from.is_none_or(|from| from == source))
    }
}

/// A listener that forwards connections to a target. Dropping it closes the listener and all
/// connections.
#[derive(Debug)]
pub struct FaultLink {
    address: net::SocketAddr,
    rules: sync::Arc<tokio::sync::watch::Sender<RuleTable>>,
    target: sync::Arc<tokio::sync::watch::Sender<net::SocketAddr>>,
    task: tokio::task::JoinHandle<()>,
}

impl FaultLink {
    /// Starts forwarding from a free port of `listen` to `target`.
    ///
    /// # Errors
    ///
    /// Fails if the listener cannot be bound.
    pub async fn start(listen: net::IpAddr, target: net::SocketAddr) -> io::Result<Self> {
        let listener = tokio::net::TcpListener::bind((listen, 0)).await?;
        let address = listener.local_addr()?;
        let (rules, _rule_changes) = tokio::sync::watch::channel(RuleTable::default());
        let (target, _target_changes) = tokio::sync::watch::channel(target);
        let rules = sync::Arc::new(rules);
        let target = sync::Arc::new(target);
        let task = tokio::spawn(accept(
            listener,
            sync::Arc::clone(&rules),
            sync::Arc::clone(&target),
        ));
        Ok(Self {
            address,
            rules,
            target,
            task,
        })
    }

    /// Returns the address to connect to.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Forwards new connections to another target, such as the new address of a restarted process.
    pub fn set_target(&self, target: net::SocketAddr) {
        self.target.send_replace(target);
    }

    /// Sets the rule for all sources without a rule of their own.
    pub fn set_all(&self, rule: LinkRule) {
        self.rules.send_modify(|table| table.all = rule);
    }

    /// Sets the rule for one source; `None` removes it.
    pub fn set_source(&self, source: net::IpAddr, rule: Option<LinkRule>) {
        self.rules.send_modify(|table| {
            match rule {
                Some(rule) => table.by_source.insert(source, rule),
                None => table.by_source.remove(&source),
            };
        });
    }

    /// Silences all connections of a source that are open now, until they end. New ones are not
    /// affected. `None` means all sources.
    pub fn silence_open(&self, source: Option<net::IpAddr>) {
        self.rules.send_modify(|table| {
            let last = table.last_connection;
            table.silent.push((source, last));
        });
    }

    /// Removes all rules. Silenced connections stay silent.
    pub fn heal(&self) {
        self.rules.send_modify(|table| {
            table.all = LinkRule::default();
            table.by_source.clear();
        });
    }
}

impl Drop for FaultLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: tokio::net::TcpListener,
    rules: sync::Arc<tokio::sync::watch::Sender<RuleTable>>,
    target: sync::Arc<tokio::sync::watch::Sender<net::SocketAddr>>,
) {
    // Dropped with this task, which ends the connections too.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_ended) = connections.join_next() => continue,
        };
        let Ok((socket, peer)) = accepted else {
            tokio::time::sleep(time::Duration::from_millis(10)).await;
            continue;
        };
        let mut number = 0;
        rules.send_modify(|table| {
            table.last_connection += 1;
            number = table.last_connection;
        });
        if rules.borrow().rule(peer.ip()).cut {
            reset(&socket);
            continue;
        }
        let target = *target.borrow();
        connections.spawn(forward(
            socket,
            peer.ip(),
            number,
            target,
            rules.subscribe(),
        ));
    }
}

/// Makes the socket close with a reset, which the peer sees like a refused connection.
fn reset(socket: &tokio::net::TcpStream) {
    // On failure the peer sees an orderly close instead.
    let _result = socket2::SockRef::from(socket).set_linger(Some(time::Duration::ZERO));
}

async fn forward(
    socket: tokio::net::TcpStream,
    source: net::IpAddr,
    number: u64,
    target: net::SocketAddr,
    rules: tokio::sync::watch::Receiver<RuleTable>,
) {
    let gate = LinkGate {
        source,
        number,
        rules,
    };
    let Some(upstream) = gate.connect(target).await else {
        reset(&socket);
        return;
    };
    let linked = socket2::SockRef::from(&socket);
    // Nagle's algorithm would add delays of its own. A failure only makes the link slower.
    let _client = linked.set_tcp_nodelay(true);
    let _target = upstream.set_nodelay(true);
    let (mut client_reader, mut client_writer) = socket.into_split();
    let (mut target_reader, mut target_writer) = upstream.into_split();
    let mut cut = gate.rules.clone();
    let cut = async { cut.wait_for(|table| table.rule(source).cut).await.is_ok() };
    tokio::pin!(cut);
    let ended = tokio::select! {
        () = async {
            tokio::join!(
                forward_direction(&mut client_reader, &mut target_writer, gate.clone(), true),
                forward_direction(&mut target_reader, &mut client_writer, gate.clone(), false),
            );
        } => return,
        () = gate.silent_for(TARGET_KEEPALIVE) => {
            // The client's side stays open and silent.
            drop((target_reader, target_writer));
            cut.await
        }
        ended = &mut cut => ended,
    };
    log::debug!("event=link_cut source={source} connection={number} by_rule={ended}");
}

/// Applies the rules to one connection.
#[derive(Clone, Debug)]
struct LinkGate {
    source: net::IpAddr,
    number: u64,
    rules: tokio::sync::watch::Receiver<RuleTable>,
}

impl LinkGate {
    async fn connect(&self, target: net::SocketAddr) -> Option<tokio::net::TcpStream> {
        let mut rules = self.rules.clone();
        let frozen = |table: &RuleTable| {
            let rule = table.rule(self.source);
            !rule.cut && rule.flow == FlowRule::Freeze
        };
        if rules.wait_for(|table| !frozen(table)).await.is_err() {
            return None;
        }
        let socket = match target {
            net::SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4().ok()?,
            net::SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6().ok()?,
        };
        // Keeps the source address, so that another link behind this one can match it.
        socket.bind(net::SocketAddr::new(self.source, 0)).ok()?;
        socket.connect(target).await.ok()
    }

    /// Waits until the rules let bytes pass in this direction.
    async fn pass(&mut self, to_target: bool) {
        let (source, number) = (self.source, self.number);
        let passes = |table: &RuleTable| {
            let stopped = match table.rule(source).flow {
                FlowRule::Pass => false,
                FlowRule::StopToTarget => to_target,
                FlowRule::StopFromTarget => !to_target,
                FlowRule::Freeze => true,
            };
            !stopped && !table.is_silent(source, number)
        };
        if self.rules.wait_for(passes).await.is_err() {
            // The link is being dropped, which ends this task.
            std::future::pending::<()>().await;
        }
    }

    /// Completes once the connection has been silenced for `lasting`.
    async fn silent_for(&self, lasting: time::Duration) {
        let mut rules = self.rules.clone();
        let silent = |table: &RuleTable| table.is_silent(self.source, self.number);
        let dropped = rules.wait_for(silent).await.is_err();
        if dropped {
            // The link is being dropped, which ends this task.
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(lasting).await;
    }

    fn delay(&self) -> time::Duration {
        self.rules.borrow().rule(self.source).delay
    }
}

async fn forward_direction(
    reader: &mut tokio::net::tcp::OwnedReadHalf,
    writer: &mut tokio::net::tcp::OwnedWriteHalf,
    mut gate: LinkGate,
    to_target: bool,
) {
    let (sender, mut receiver) =
        tokio::sync::mpsc::channel::<(tokio::time::Instant, Bytes)>(CHUNKS_IN_FLIGHT);
    let read_gate = gate.clone();
    let read = async move {
        let mut buffer = vec![0_u8; CHUNK_BYTES];
        while let Ok(count) = reader.read(&mut buffer).await {
            let chunk = Bytes::copy_from_slice(buffer.get(..count).unwrap_or_default());
            let due = tokio::time::Instant::now() + read_gate.delay();
            // An empty chunk marks the end of the stream, which is subject to the rules like bytes.
            if sender.send((due, chunk)).await.is_err() || count == 0 {
                return;
            }
        }
    };
    let write = async move {
        while let Some((due, chunk)) = receiver.recv().await {
            // The timer rounds up to milliseconds, so a sleep until a past time would add a delay.
            if due > tokio::time::Instant::now() {
                tokio::time::sleep_until(due).await;
            }
            gate.pass(to_target).await;
            if chunk.is_empty() || writer.write_all(&chunk).await.is_err() {
                break;
            }
        }
        // The peer may have closed the connection already.
        let _result = writer.shutdown().await;
    };
    tokio::join!(read, write);
}
