//! [`FaultLink`]: a TCP forwarder inside the test process that plays faults of a network.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Bytes read at once.
const CHUNK_BYTES: usize = 64 * 1024;
/// Chunks in flight in each direction while a delay is in force; more hold the sender back.
const CHUNKS_IN_FLIGHT: usize = 64;

/// Time after which the target's side of a silenced connection closes, as TCP keepalive does on an
/// upstream that is set up as `docs/operators.md` says. Without it the dead connections used up the
/// upstream's limit for the rest of a run.
const TARGET_KEEPALIVE: time::Duration = time::Duration::from_secs(10);

/// Which bytes pass. Connections stay open in all cases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FlowRule {
    /// Bytes pass both ways.
    #[default]
    Pass,
    /// Bytes to the target stop.
    StopToTarget,
    /// Bytes from the target stop.
    StopFromTarget,
    /// All bytes stop; new connections are accepted and stay silent.
    Freeze,
}

/// What happens to the connections of one source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkRule {
    /// Closes open connections and refuses new ones.
    pub cut: bool,
    /// Which bytes pass.
    pub flow: FlowRule,
    /// Time added in each direction.
    pub delay: time::Duration,
}

#[derive(Clone, Debug, Default)]
struct RuleTable {
    all: LinkRule,
    by_source: collections::HashMap<net::IpAddr, LinkRule>,
    // Connections with a number up to this one are silent for good, by source; `None` means all.
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

/// One listener in front of one target. Dropping it closes the listener and all connections.
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

    /// Sends new connections to another target, for a process that started again.
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

    /// Silences the connections that are open now, for good; new ones work. `None` means those of
    /// all sources.
    pub fn silence_open(&self, source: Option<net::IpAddr>) {
        self.rules.send_modify(|table| {
            let last = table.last_connection;
            table.silent.push((source, last));
        });
    }

    /// Removes all rules. Connections that were silenced stay silent.
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
    // Dropped together with this task, so that its connections end too.
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

/// Closes with a reset, which the peer sees like a refused connection.
fn reset(socket: &tokio::net::TcpStream) {
    // A failure only means that the peer sees an orderly close.
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
    // Without it the link would add delays of its own; a failure leaves it only slower.
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
                pump(&mut client_reader, &mut target_writer, gate.clone(), true),
                pump(&mut target_reader, &mut client_writer, gate.clone(), false),
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

/// Tells for one connection whether bytes pass.
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
        // Keeps the source visible to a further link behind this one.
        socket.bind(net::SocketAddr::new(self.source, 0)).ok()?;
        socket.connect(target).await.ok()
    }

    /// Waits until bytes of this direction pass.
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

async fn pump(
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
            // An empty chunk carries the end of the stream, which passes the gate like bytes do.
            if sender.send((due, chunk)).await.is_err() || count == 0 {
                return;
            }
        }
    };
    let write = async move {
        while let Some((due, chunk)) = receiver.recv().await {
            // The timer counts whole milliseconds, so a time that has passed must not be slept on.
            if due > tokio::time::Instant::now() {
                tokio::time::sleep_until(due).await;
            }
            gate.pass(to_target).await;
            if chunk.is_empty() || writer.write_all(&chunk).await.is_err() {
                break;
            }
        }
        // The peer may be gone already.
        let _result = writer.shutdown().await;
    };
    tokio::join!(read, write);
}
